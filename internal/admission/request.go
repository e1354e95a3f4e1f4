package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/coldstart"
	"github.com/guavaford/guavaford/internal/servicerate"
)

// Request holds the attributes of a request that decide on its admission.
type Request struct {
	Organisation string
	// Weight of the organisation in fair sharing; 0 counts as 1.
	Weight float64
	// Priority of the class: 0 is the most important, MaxPriority the least.
	Priority int
	// Depth is the number of calls above this one in its call tree.
	Depth int
	// Level is the shedding level returned by LevelOf; all calls of a call tree have the same.
	Level uint32
	// Deadline of the request; zero if it has none.
	Deadline time.Time
	// MaxWait is the longest time that the request may queue; 0 applies the default bound (see MaxQueueTime).
	MaxWait time.Duration
}

// Config describes the target of a controller.
type Config struct {
	// Service that the target belongs to; cutoffs name it.
	Service string
	// Slots is the number that the target announces; the limit never exceeds it. With 0 the
	// limit starts at a default and adapts from there.
	Slots int
	// ColdStart is the time from Started until the target takes its full load.
	ColdStart time.Duration
	Started   time.Time
	// FixedLimit derives the limit from the announced slots alone instead of adapting it.
	FixedLimit bool
	// Cold is the policy for the time in which the target is cold; the controller itself is told by SetColdRate.
	Cold coldstart.Policy
	// ColdBurst is the largest number of requests that may start at once at a cold target; 0 leaves that to the rate limit.
	ColdBurst float64
	// LearnLimit lowers a fixed limit to what the target handles well, as learned from the requests that it serves, and
	// adds to load reports how long requests take there.
	LearnLimit bool
	// NoShedding turns cutoffs off. Requests are then shed early only by the nodes at which they enter the fleet.
	NoShedding bool
}

// ResultKind classifies how an admitted request ended.
type ResultKind int

// The kinds of results.
const (
	Success ResultKind = iota
	Failure
	TimedOut
	Cancelled
	// Rejected means that the target itself refused the request because of overload.
	Rejected
)

// Result describes how an admitted request ended.
type Result struct {
	Kind ResultKind
	// Downstream is the time during which the target waited for sub-calls. It is left out of
	// the limiter's samples, as it says nothing about the load of this target.
	Downstream time.Duration
	// Route is the route of the request.
	Route string
	// Ticket is that of the decision that started the request; Permit.Release sets it.
	Ticket servicerate.Ticket
}

// Load is the state of a controller that is reported to callers.
type Load struct {
	InFlight, Queued, Limit int
	// Cutoff holds the lowest levels that are refused; nil without shedding.
	Cutoff   *apiv1.Cutoff
	Latency  time.Duration
	Draining bool
	// RateLimit is the number of requests that may start in a second, as the target names it; 0 for no limit.
	RateLimit float64
	// ColdRate is the number of requests that may start in a second while the target is cold; 0 if it is warm.
	ColdRate float64
	// ExpectedTime is how long a request of the route of the answered request holds a slot; 0 if that isn't learned.
	ExpectedTime time.Duration
	// LearnedLimit is the number of concurrent requests that the target handles well; 0 if that isn't learned.
	LearnedLimit int
	// Slowdown is how many times their usual time requests take now; 0 if that isn't learned.
	Slowdown float64
}

// Message returns the load as a message between nodes.
func (l Load) Message() *apiv1.LoadReport {
	return &apiv1.LoadReport{
		InFlight:  uint32(l.InFlight),
		Queued:    uint32(l.Queued),
		Limit:     uint32(l.Limit),
		Cutoff:    l.Cutoff,
		LatencyNs: int64(l.Latency),
		Draining:  l.Draining,
		RateLimit: l.RateLimit,

		ExpectedTimeNs: int64(l.ExpectedTime),
	}
}

// MaxPriority is the priority of the least important class.
const MaxPriority = 15

// levelHashBits is the number of low bits of a level that hold a hash, which spreads the
// requests of one class evenly.
const levelHashBits = 24

// LevelOf returns the shedding level of a request: its priority in the high bits, and a hash of
// its id below. All nodes compute the same level, so the services of a call chain shed the
// same requests.
func LevelOf(priority int, requestID string) uint32 {
	hash := uint32(xxhash.Sum64String(requestID) >> (64 - levelHashBits))
	return uint32(clampPriority(priority))<<levelHashBits | hash
}

// StricterCutoff returns the stricter of two cutoffs by their levels over all organisations; nil
// means no cutoff. With it a node merges the cutoffs on the answers of a request's sub-calls
// into the one on the answer of the request itself.
func StricterCutoff(a, b *apiv1.Cutoff) *apiv1.Cutoff {
	if a == nil || (b != nil && b.GetCommon() < a.GetCommon()) {
		return b
	}
	return a
}

// levelAt returns the level below which the given fraction of a class lies.
func levelAt(priority int, fraction float64) uint32 {
	return uint32(priority)<<levelHashBits + uint32(fraction*(1<<levelHashBits))
}

// clampPriority returns the nearest valid priority.
func clampPriority(priority int) int {
	return min(max(priority, 0), MaxPriority)
}

// weight returns the weight of the request's organisation, 1 by default.
func (r *Request) weight() float64 {
	if r.Weight <= 0 {
		return 1
	}
	return r.Weight
}
