// Package admission decides at the node beside a target which requests run there.
//
// See Gate for the use by a node.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/outcome"
)

// Request is what admission knows of a request.
type Request struct {
	Organisation string
	// Weight is the fair share of the organisation; 0 counts as 1.
	Weight float64
	// Priority of the class: 0 is the most important, MaxPriority the least.
	Priority int
	// Depth is the number of calls above this one in its call tree.
	Depth int
	// Level is the shedding level of the whole request, as LevelOf returns it.
	Level uint32
	// Deadline of the request; zero if it has none.
	Deadline time.Time
}

// Config describes the target of a gate.
type Config struct {
	// Slots that the target announces; the limit stays at or under it.
	Slots int
	// ColdStart is the time from Started until the target takes its full load.
	ColdStart time.Duration
	Started   time.Time
}

// Kind says how admitted work ended.
type Kind int

// The kinds of results.
const (
	Success Kind = iota
	Failure
	TimedOut
	Cancelled
	// Rejected means that the target itself refused the work for overload.
	Rejected
)

// Result is how admitted work ended.
type Result struct {
	Kind Kind
	// Downstream is the part of the time during which the target waited for sub-calls. It
	// says nothing about the load of this target.
	Downstream time.Duration
}

// Load is the state of a gate as it is reported to callers.
type Load struct {
	InFlight, Queued, Limit int
	// Cutoff is the level from which requests are refused; 0 means none.
	Cutoff   uint32
	Latency  time.Duration
	Draining bool
}

// Message returns the load as it travels between nodes.
func (l Load) Message() *apiv1.LoadReport {
	return &apiv1.LoadReport{
		InFlight:  uint32(l.InFlight),
		Queued:    uint32(l.Queued),
		Limit:     uint32(l.Limit),
		Cutoff:    l.Cutoff,
		LatencyNs: int64(l.Latency),
		Draining:  l.Draining,
	}
}

// MaxPriority is the priority of the least important class.
const MaxPriority = 15

// levelHashBits is the number of low bits of a level that spread the requests of one class.
const levelHashBits = 24

// LevelOf returns the shedding level of a request: its priority, then a hash of its id. All
// nodes compute the same level, so services of a chain shed the same requests.
func LevelOf(priority int, requestID string) uint32 {
	priority = min(max(priority, 0), MaxPriority)
	hash := uint32(xxhash.Sum64String(requestID) >> (64 - levelHashBits))
	return uint32(priority)<<levelHashBits | hash
}

// LowerCutoff returns the stricter of two cutoffs, where 0 means none.
func LowerCutoff(a, b uint32) uint32 {
	if a == 0 || (b != 0 && b < a) {
		return b
	}
	return a
}

// Gate admits requests to one target. It is safe for concurrent use.
type Gate struct {
	clock clock.Clock

	mu       sync.Mutex
	config   Config
	inFlight int
	draining bool
	queue    []chan struct{}
}

// NewGate returns a gate for the target that c describes.
func NewGate(c Config, clk clock.Clock) *Gate {
	return &Gate{clock: clk, config: c}
}

// Permit is the right to run one request at the target. It must be released once.
type Permit struct {
	gate *Gate
}

// Acquire waits until the request may run. A refusal means that it was not started. The end
// of ctx removes a queued request at once.
func (g *Gate) Acquire(ctx context.Context, r Request) (Permit, *outcome.Refusal) {
	g.mu.Lock()
	if g.draining {
		g.mu.Unlock()
		return Permit{}, outcome.NotRun(outcome.TargetLeaving, 0, "the target takes no new work")
	}
	if g.inFlight < g.config.Slots {
		g.inFlight++
		g.mu.Unlock()
		return Permit{gate: g}, nil
	}
	if len(g.queue) >= g.config.Slots {
		g.mu.Unlock()
		return Permit{}, outcome.NotRun(outcome.QueueFull, time.Second, "the queue of the target is full")
	}
	started := make(chan struct{}, 1)
	g.queue = append(g.queue, started)
	g.mu.Unlock()
	select {
	case <-started:
		return Permit{gate: g}, nil
	case <-ctx.Done():
		return g.abandon(started)
	}
}

// abandon removes a queued request whose caller has gone.
func (g *Gate) abandon(started chan struct{}) (Permit, *outcome.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, waiting := range g.queue {
		if waiting == started {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return Permit{}, outcome.NotRun(outcome.Cancelled, 0, "cancelled while queued")
		}
	}
	g.startNext()
	return Permit{}, outcome.NotRun(outcome.Cancelled, 0, "cancelled while queued")
}

// startNext hands the place of a finished request to the next in the queue.
func (g *Gate) startNext() {
	if len(g.queue) == 0 {
		g.inFlight--
		return
	}
	g.queue[0] <- struct{}{}
	g.queue = g.queue[1:]
}

// Release ends the use of the permit.
func (p Permit) Release(res Result) {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.gate.startNext()
}

// Configure replaces the description of the target.
func (g *Gate) Configure(c Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.config = c
}

// SetDraining makes the gate refuse all new work, or take it again.
func (g *Gate) SetDraining(draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = draining
}

// Load returns the current state for reports to callers.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{InFlight: g.inFlight, Queued: len(g.queue), Limit: g.config.Slots, Draining: g.draining}
}
