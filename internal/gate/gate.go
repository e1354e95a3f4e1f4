// Package gate stands in front of the targets of its host.
//
// Every request for a target passes the gate of the node beside it, so admission,
// draining, at-most-once execution and counting are decided in one place:
//
//	CallHeader -> target known? -> key still valid? -> admission (limit, queue)
//	           -> record of the call (non-idempotent only) -> HTTP to the target -> answer
//
// An idempotent call is bound to its caller's connection: when the caller goes, it ends.
// A non-idempotent call that has started outlives the connection to its caller; its answer
// is kept, and can be fetched over another connection (see calltable). It ends early only
// when its caller cancels it.
package gate

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/admission"
	"github.com/guavaford/guavaford/internal/callctx"
	"github.com/guavaford/guavaford/internal/calltable"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/headers"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/retry"
	"github.com/guavaford/guavaford/internal/shed"
	"github.com/guavaford/guavaford/internal/telemetry"
)

// Keyring tells whether a request with a key may still run.
type Keyring interface {
	// Allowed returns nil, or the refusal of a request whose key has this number.
	Allowed(number uint64) *outcome.Refusal
}

// Policies resolves the operators' policy for a target.
type Policies interface {
	Admission(t *registry.Target) admission.Config
	Draining(t *registry.Target) bool
}

// Options are the parts that a Gate works with.
type Options struct {
	Keyring  Keyring
	Policies Policies
	Handles  *callctx.Handles
	// Lineage, if set, finds the calls that run by their request's id.
	Lineage *callctx.Lineage
	Clock   clock.Clock
	Metrics *telemetry.Metrics
	Log     telemetry.Logger
	// Transport speaks HTTP to the targets.
	Transport http.RoundTripper
	// Names are the header fields for targets; the zero value stands for the system's own.
	Names *headers.Names
	// Repeats bounds the repeats that targets get.
	Repeats Repeats
	// Pressures, if set, tells of the services that the targets of this host call.
	Pressures *shed.Relay
}

// Repeats bounds the attempts of requests that have reached a target of the service before. The bound
// holds for the whole fleet in any window of time: every attempt passes the gate of its target, and
// the gates of a service share what is allowed.
type Repeats struct {
	// Ratio is the number of repeats for each request of a caller; 0 lets all repeats pass.
	Ratio float64
	// Spare is the number of further repeats at all targets of the service together.
	Spare  float64
	Window time.Duration
	// Targets returns the number of targets of a service; 0 if it is not known.
	Targets func(service string) int
}

// spareUsed leaves room for targets that are not known here yet.
const spareUsed = 0.8

// Gate admits and runs calls at the targets of one host.
type Gate struct {
	o     Options
	calls *calltable.Table

	mu      sync.RWMutex
	targets map[string]*entry
	closing bool
}

// entry is one target of the host and its admission.
type entry struct {
	target    *registry.Target
	admission *admission.Gate
	// meter compares the work offered to the target with what it can do.
	meter *shed.Meter
	// repeats is nil when repeats are not bounded.
	repeats *retry.Window
	// reported holds when each node was told of the pressure last, by route.
	reported *reportTimes
}

// listener is a node that sends requests of a route.
type listener struct{ node, route string }

// reportTimes holds the times of the last reports.
type reportTimes struct {
	mu sync.Mutex
	at map[listener]time.Time
}

// reportDue reports whether a listener is due another report, and notes it as made.
func (e *entry) reportDue(now time.Time, l listener) bool {
	r := e.reported
	r.mu.Lock()
	defer r.mu.Unlock()
	if last, ok := r.at[l]; ok && now.Sub(last) < pressureInterval {
		return false
	}
	if len(r.at) >= maxListeners {
		clear(r.at)
	}
	r.at[l] = now
	return true
}

// roomyShare is the part of a target's limit in use below which a refusal of the target is not for lack of room. Other
// slots may be held by new connections for a moment.
const roomyShare = 0.5

// hasRoom reports whether the target has room by what this gate lets in, which is all that it gets.
func (e *entry) hasRoom() bool {
	load := e.admission.Load()
	return float64(load.InFlight) < roomyShare*float64(load.Limit)
}

// maxListeners bounds the listeners whose reports are remembered.
const maxListeners = 8192

// workOf names what a call asks its service for.
func workOf(h *apiv1.CallHeader) shed.Work {
	return shed.Work{Service: h.GetService(), Route: h.GetRoute()}
}

// admitRepeat refuses a call when no further repeat fits, and counts it otherwise.
func (g *Gate) admitRepeat(e *entry, h *apiv1.CallHeader) *outcome.Refusal {
	if e.repeats == nil {
		return nil
	}
	now := g.o.Clock.Now()
	if h.GetRepeat() == apiv1.Repeat_REPEAT_NONE {
		if h.GetDepth() == 0 && h.GetAttempt() == 0 {
			e.repeats.First(now)
		}
		return nil
	}
	if h.GetRepeat() == apiv1.Repeat_REPEAT_MAY_HAVE_RUN && g.o.Pressures.Calls(now, workOf(h)) {
		// Everything that the run calls would be repeated as well.
		return outcome.NotRun(outcome.RepeatRefused, 0, "the request may have run, and its target calls others")
	}
	targets := max(g.o.Repeats.Targets(e.target.Service), 1)
	e.repeats.SetSpare(spareUsed * g.o.Repeats.Spare / float64(targets))
	if !e.repeats.Reserve(now, 1) {
		return outcome.NotRun(outcome.RepeatRefused, 0, "the repeats of the service are used up")
	}
	return nil
}

// newEntry returns the entry of a target that has just come.
func (g *Gate) newEntry(config admission.Config) *entry {
	e := &entry{admission: admission.NewGate(config, g.o.Clock), meter: shed.NewMeter(), reported: &reportTimes{at: map[listener]time.Time{}}}
	if g.o.Repeats.Ratio > 0 {
		e.repeats = retry.NewWindow(g.o.Repeats.Ratio, 0, g.o.Repeats.Window)
	}
	return e
}

// pressureInterval is the time between two reports of pressure to one node. It is short against the time
// in which entries act on them.
const pressureInterval = 40 * time.Millisecond

// load describes the target to the sender of a call.
func (g *Gate) load(e *entry, h *apiv1.CallHeader) *apiv1.LoadReport {
	now := g.o.Clock.Now()
	load := e.admission.LoadFor(h.GetOrganisation())
	m := load.Message()
	if g.o.Pressures == nil || !e.reportDue(now, listener{h.GetKey().GetNode(), h.GetRoute()}) {
		return m
	}
	g.o.Pressures.Observe(now, e.target.Service, e.target.ID(), e.meter.Load(now, load.Limit))
	m.Pressures = g.o.Pressures.Report(now, workOf(h))
	return m
}

// New returns a gate without targets.
func New(o Options) *Gate {
	if o.Names == nil {
		own := headers.OwnNames()
		o.Names = &own
	}
	return &Gate{o: o, calls: calltable.New(o.Clock), targets: make(map[string]*entry)}
}

// SetTargets replaces the targets of the host, keeping the admission state of those that stay.
func (g *Gate) SetTargets(targets []*registry.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := make(map[string]*entry, len(targets))
	for _, t := range targets {
		next[t.Name] = g.refresh(t)
	}
	for name, e := range g.targets {
		if _, ok := next[name]; !ok {
			e.admission.SetDraining(true)
		}
	}
	g.targets = next
}

// refresh returns the entry of a target under its current policy. The caller holds mu.
func (g *Gate) refresh(t *registry.Target) *entry {
	config := g.o.Policies.Admission(t)
	e, ok := g.targets[t.Name]
	if !ok || e.target.Incarnation != t.Incarnation || e.target.Address != t.Address || !e.target.Started.Equal(t.Started) {
		e = g.newEntry(config)
	} else {
		e = &entry{admission: e.admission, meter: e.meter, repeats: e.repeats, reported: e.reported}
		e.admission.Configure(config)
	}
	e.target = t
	leaving := t.State == apiv1.TargetState_TARGET_STATE_LEAVING || g.o.Policies.Draining(t)
	e.admission.SetDraining(leaving || g.closing)
	return e
}

// Close makes every target refuse new work. Calls that run go on.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closing = true
	for _, e := range g.targets {
		e.admission.SetDraining(true)
	}
}

// find returns the entry of a target.
func (g *Gate) find(name string) (*entry, bool) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	e, ok := g.targets[name]
	return e, ok
}

// TargetLoad is the load of one target of the host.
type TargetLoad struct {
	Target  *registry.Target
	Load    admission.Load
	Reading shed.Reading
}

// Loads returns the load of every target of the host.
func (g *Gate) Loads() []TargetLoad {
	g.mu.RLock()
	defer g.mu.RUnlock()
	loads := make([]TargetLoad, 0, len(g.targets))
	for _, e := range g.targets {
		load := e.admission.Load()
		loads = append(loads, TargetLoad{Target: e.target, Load: load, Reading: e.meter.Read(g.o.Clock.Now(), load.Limit)})
	}
	return loads
}

// Do runs one call and returns its answer. Body holds the request's body.
// The caller of Do must close the answer's body.
func (g *Gate) Do(ctx context.Context, h *apiv1.CallHeader, body io.Reader) *Answer {
	e, ok := g.find(h.GetTarget())
	if !ok || e.target.Service != h.GetService() {
		return refuse(h, outcome.NotRun(outcome.TargetLeaving, 0, "the target is not on this host"), nil)
	}
	if h.GetIdempotent() {
		return g.runBound(ctx, e, h, body)
	}
	return g.runRecorded(ctx, e, h, body)
}

// Fence promises that a call was not started and never will be, unless it was.
func (g *Gate) Fence(key *apiv1.CallKey) apiv1.CallState {
	g.o.Metrics.Fences.Add(1)
	return g.calls.Fence(calltable.KeyOf(key))
}

// Attach returns the answer of a call that was started, waiting until it comes.
func (g *Gate) Attach(ctx context.Context, key *apiv1.CallKey) *Answer {
	g.o.Metrics.Attaches.Add(1)
	h := &apiv1.CallHeader{Key: key}
	call, ok := g.calls.Find(calltable.KeyOf(key))
	if !ok {
		r := &outcome.Refusal{Code: outcome.OutcomeUnknown, Ran: outcome.RanUnknown, Detail: "the node has no record of the call"}
		return refuse(h, r, nil)
	}
	return spooled(ctx, h, call.Spool)
}

// admit checks the key and waits for admission.
func (g *Gate) admit(ctx context.Context, e *entry, h *apiv1.CallHeader) (admission.Permit, *outcome.Refusal) {
	if r := g.o.Keyring.Allowed(h.GetKeyNumber()); r != nil {
		return admission.Permit{}, r
	}
	deadline, _ := ctx.Deadline()
	start := g.o.Clock.Now()
	// A repeat that may not run is not offered to the target, whatever room that has.
	if r := g.admitRepeat(e, h); r != nil {
		return admission.Permit{}, r
	}
	e.meter.Arrived(start)
	permit, refusal := e.admission.Acquire(ctx, admission.Request{
		Organisation: h.GetOrganisation(),
		Weight:       h.GetWeight(),
		Priority:     int(h.GetPriority()),
		Depth:        int(h.GetDepth()),
		Level:        h.GetLevel(),
		Deadline:     deadline,
		MaxWait:      time.Duration(h.GetMaxWaitNs()),
	})
	if refusal != nil {
		return admission.Permit{}, refusal
	}
	g.o.Metrics.QueueWait.Record(seriesOf(h), g.o.Clock.Now().Sub(start))
	if r := g.o.Keyring.Allowed(h.GetKeyNumber()); r != nil {
		permit.Release(admission.Result{Kind: admission.Cancelled})
		return admission.Permit{}, r
	}
	return permit, nil
}

// seriesOf returns the histogram series of a call.
func seriesOf(h *apiv1.CallHeader) telemetry.Series {
	return telemetry.Series{Organisation: h.GetOrganisation(), Class: h.GetClass()}
}

// deadlineContext returns a context that ends at the call's deadline.
func (g *Gate) deadlineContext(ctx context.Context, h *apiv1.CallHeader) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(h.GetTimeoutNs()))
}

// origin returns what the sub-calls of a call inherit.
func (g *Gate) origin(ctx context.Context, h *apiv1.CallHeader) callctx.Origin {
	deadline, _ := ctx.Deadline()
	return callctx.Origin{
		RequestID:    h.GetRequestId(),
		Organisation: h.GetOrganisation(),
		Weight:       h.GetWeight(),
		Class:        h.GetClass(),
		Route:        h.GetRoute(),
		Priority:     int(h.GetPriority()),
		Level:        h.GetLevel(),
		Depth:        int(h.GetDepth()) + 1,
		Deadline:     deadline,
		Allowance:    retry.NewAllowance(int(h.GetAllowance())),
		KeyNumber:    h.GetKeyNumber(),
	}
}
