// Package dispatch makes the attempts of one call.
//
// # Concepts
//
// A call goes to one of the targets of its service. Each attempt passes the gate of the node on
// the target's host, which admits calls and keeps a record of those that are not idempotent. An
// attempt that fails may be followed by another. For most calls that is bounded by the allowance
// of the whole call tree, the retry budget of the service at this node (a ratio of its calls),
// and the deadline. A call with Request.MaxTargets is bounded by the number of targets that it
// reaches, by a fixed number of attempts and by the deadline instead.
//
// A non-idempotent call gets another attempt only with proof that the earlier one was not run.
// The proof is one of
//
//   - the node on the target's host refused it as not run,
//   - nothing of it left this process,
//   - the node on the target's host fenced it: it was not started and never will be.
//
// Without proof the answer of the earlier attempt is fetched over a new connection; when that
// fails too, the outcome is reported as unknown.
//
// A request with home regions is sent to no target elsewhere, whatever becomes of its attempts.
//
// A gate may name the only target at which a suspected request may run (see quarantine); the next attempt
// goes there at once.
//
// # Data flow
//
//	registry view, configuration -> Run -> a route.Picker for each service
//	Request -> Do -> Pick -> header with a part of the allowance -> own gate, or Sender to another node's
//	Answer -> Picker (outcome, latency, load), load of services, unused allowance -> Result, or the next attempt
//	connection lost -> Fence -> next attempt, Attach to fetch the answer, or outcome unknown
package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/board"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/gate"
	"github.com/guavaford/guavaford/internal/homeregion"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/policy"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/reqbody"
	"github.com/guavaford/guavaford/internal/retry"
	"github.com/guavaford/guavaford/internal/route"
	"github.com/guavaford/guavaford/internal/shed"
	"github.com/guavaford/guavaford/internal/telemetry"
)

// Sender carries calls to the gates of other nodes.
type Sender interface {
	Call(ctx context.Context, address string, h *apiv1.CallHeader, body *reqbody.Lease) (*gate.Answer, error)
	Attach(ctx context.Context, address string, key *apiv1.CallKey) (*gate.Answer, error)
	Fence(ctx context.Context, address string, r *apiv1.FenceRequest) (*apiv1.FenceResponse, error)
}

// Directory subscribes to the targets of services.
type Directory interface {
	// Subscribe subscribes the node to a service. It returns false when there are too many subscriptions.
	Subscribe(service string) bool
}

// Options holds the dependencies and settings of a Dispatcher.
type Options struct {
	Identity   peer.Identity
	DataCentre string
	Gate       *gate.Gate
	Sender     Sender
	Directory  Directory
	Board      *board.Board
	Clock      clock.Clock
	Metrics    *telemetry.Metrics
	Log        telemetry.Logger
	// LogLimiter limits the rate of log lines about single requests.
	LogLimiter *telemetry.LogLimiter
	// LoadTracker, if set, receives the load of services that answers carry.
	LoadTracker *shed.LoadTracker
	// Regions holds the region of each data centre.
	Regions homeregion.Map
	// Route configures the choice of targets; nil stands for the defaults.
	Route *route.Config
}

// Dispatcher makes the attempts of the calls that leave one node.
type Dispatcher struct {
	o        Options
	sequence atomic.Uint64
	// cutoffs is shared by the pickers of all services.
	cutoffs *route.CutoffCache

	mu       sync.RWMutex
	services map[string]*service
}

// service holds the picker and the retry budget of one service.
type service struct {
	picker *route.Picker
	budget *retry.Budget
	// listed is closed when the registry has returned the targets of the service.
	listed chan struct{}
	once   sync.Once
	// loggedStates holds the states of the targets at the last update, by ID, so that changes are logged.
	loggedStates map[string]apiv1.TargetState
	flights      flights
}

// New returns a dispatcher that knows no service yet.
func New(o Options) *Dispatcher {
	return &Dispatcher{o: o, cutoffs: route.NewCutoffCache(o.Clock), services: make(map[string]*service)}
}

// Run passes changes of the registry and of the configuration on to the pickers until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	for {
		view, viewChanged := d.o.Board.Registry.Watch()
		configuration, configurationChanged := d.o.Board.Configuration.Watch()
		d.update(view, configuration.Snapshot)
		select {
		case <-viewChanged:
		case <-configurationChanged:
		case <-ctx.Done():
			return
		}
	}
}

// update passes the targets of every service in use to its picker.
func (d *Dispatcher) update(view *registry.View, snapshot *config.Snapshot) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for name, s := range d.services {
		s.updateTargets(d.o.Log, view, snapshot, name)
	}
}

// updateTargets passes the targets of a service to its picker, if the registry has returned them.
func (s *service) updateTargets(log telemetry.Logger, view *registry.View, snapshot *config.Snapshot, name string) {
	announced, ok := view.Services[name]
	if !ok {
		return
	}
	targets := make([]*registry.Target, 0, len(announced))
	for _, t := range announced {
		targets = append(targets, policy.Effective(snapshot, t))
	}
	s.picker.Update(targets)
	s.logTargets(log, name, targets)
	s.once.Do(func() { close(s.listed) })
}

// logTargets logs the targets that were added, were removed or changed their state. Updates of one service are
// never concurrent.
func (s *service) logTargets(log telemetry.Logger, name string, targets []*registry.Target) {
	states := make(map[string]apiv1.TargetState, len(targets))
	for _, t := range targets {
		states[t.ID()] = t.State
		if old, ok := s.loggedStates[t.ID()]; !ok || old != t.State {
			log.Info("target known", "service", name, "target", t.ID(), "state", t.State, "incarnation", t.Incarnation,
				"version", t.Version, "of", len(targets))
		}
	}
	for id := range s.loggedStates {
		if _, ok := states[id]; !ok {
			log.Info("target gone", "service", name, "target", id, "of", len(targets))
		}
	}
	s.loggedStates = states
}

// service returns the entry of a service and subscribes to the service on first use.
func (d *Dispatcher) service(name string) *service {
	d.mu.RLock()
	s, ok := d.services[name]
	d.mu.RUnlock()
	if ok {
		return s
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok = d.services[name]; ok {
		return s
	}
	cfg := route.DefaultConfig()
	if d.o.Route != nil {
		cfg = *d.o.Route
	}
	cfg.CutoffCache = d.cutoffs
	cfg.OnEject = func(t *registry.Target, pause time.Duration) {
		d.o.Log.Info("target ejected", "service", t.Service, "target", t.ID(), "pause", pause)
		go d.withdrawFrom(s, t)
	}
	cfg.OnSpread = func(change route.SpreadChange) { d.logSpread(name, change) }
	s = &service{
		picker: route.NewPicker(cfg, d.o.DataCentre, d.o.Clock, rand.Uint64()),
		budget: retry.NewBudget(retry.DefaultBudgetRatio, retry.DefaultBudgetBurst),
		listed: make(chan struct{}),
	}
	d.services[name] = s
	s.updateTargets(d.o.Log, d.o.Board.Registry.Load(), d.o.Board.Configuration.Load().Snapshot, name)
	d.o.Directory.Subscribe(name)
	return s
}

// firstAnswerTimeout bounds the wait for the registry's first answer about a service.
const firstAnswerTimeout = 2 * time.Second

// awaitTargets waits until the registry has returned the targets of the service.
func (d *Dispatcher) awaitTargets(ctx context.Context, s *service) *outcome.Refusal {
	select {
	case <-s.listed:
		return nil
	default:
	}
	timer := time.NewTimer(firstAnswerTimeout)
	defer timer.Stop()
	select {
	case <-s.listed:
		return nil
	case <-timer.C:
		return outcome.NotRun(outcome.NoTarget, time.Second, "the registry has not returned the targets of the service yet")
	case <-ctx.Done():
		return outcome.NotRun(outcome.DeadlineExceeded, 0, "the registry has not returned the targets of the service yet")
	}
}

// Do makes the attempts of a call and returns its final answer.
func (d *Dispatcher) Do(ctx context.Context, r *Request) *Result {
	s := d.service(r.Service)
	if refusal := d.awaitTargets(ctx, s); refusal != nil {
		return refused(refusal, 0)
	}
	c := &call{dispatcher: d, service: s, request: r}
	if r.MaxTargets > 0 {
		return c.markCold(c.runBounded(ctx))
	}
	return c.markCold(c.run(ctx))
}
