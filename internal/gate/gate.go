// Package gate admits and runs calls at the targets of its host.
//
// # Concepts
//
// Every call of a target passes the gate of the node on its host, so admission, draining,
// at-most-once execution, counting and the bound on repeats are decided in one place.
//
// An idempotent call is bound to its caller's connection: it ends when the caller is gone.
// A non-idempotent call that has started outlives the connection to its caller; its answer
// is kept, and can be fetched over another connection (see calltable). It ends early only
// when its caller cancels it.
//
// A target may say in its responses how many requests per second it accepts, and that it leaves.
// The gate keeps to such notices for the rest of that run of the target.
// A target may also be cold for a time; until it is warm, the gate starts no more than the cold rate of its policy (see coldstart).
//
// When a target drains, is removed or is replaced, or the node stops, the calls that have not been sent to it are refused as not run
// at once, so that they go to other targets: those that are queued or wait for a trial, and admitted ones that still wait for a connection.
//
// When a target crashes, the requests that it ran become suspects: they run on trial only, and one that crashes
// targets is refused (see quarantine).
//
// # Data flow
//
//	CallHeader -> target known? -> key still valid? -> suspect? (trial, refusal) -> admission (limit, queue)
//	           -> record of the call (non-idempotent only) -> HTTP to the target -> answer
package gate

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/admission"
	"github.com/guavaford/guavaford/internal/callctx"
	"github.com/guavaford/guavaford/internal/calltable"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/coldstart"
	"github.com/guavaford/guavaford/internal/headers"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/quarantine"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/reqbody"
	"github.com/guavaford/guavaford/internal/retry"
	"github.com/guavaford/guavaford/internal/shed"
	"github.com/guavaford/guavaford/internal/telemetry"
)

// KeyChecker checks whether requests with a key may still run.
type KeyChecker interface {
	// CheckKeyNumber returns nil if requests with the key of this number may run, else their refusal.
	CheckKeyNumber(number uint64) *outcome.Refusal
}

// Policies provides the operators' policies for a target.
type Policies interface {
	Admission(t *registry.Target) admission.Config
	Draining(t *registry.Target) bool
}

// Options are the dependencies and settings of a Gate.
type Options struct {
	KeyChecker KeyChecker
	Policies   Policies
	Handles    *callctx.Handles
	// CallIndex, if set, is the index of the running calls by the id of their request.
	CallIndex *callctx.CallIndex
	Clock     clock.Clock
	Metrics   *telemetry.Metrics
	Log       telemetry.Logger
	// LogLimiter limits the rate of log lines about individual requests.
	LogLimiter *telemetry.LogLimiter
	// Transport sends HTTP requests to the targets.
	Transport http.RoundTripper
	// HeaderNames are the names of the header fields in requests to targets; nil selects the default names.
	HeaderNames *headers.Names
	// OnLeaving, if set, is called once for each run of a target that says in a response that it leaves.
	OnLeaving func(t *registry.Target)
	// RepeatLimit bounds the repeated attempts that targets receive.
	RepeatLimit RepeatLimit
	// LoadTracker, if set, exchanges the load of services between nodes, including those that
	// the targets of this host call.
	LoadTracker *shed.LoadTracker
	// ColdReading, if set, returns the latest reading of the cold time of a target of the host, in the run that started at a time.
	ColdReading func(name string, started time.Time) (coldstart.Reading, bool)
	// CountNestedQueueing makes the time for which the calls of a request wait for slots below count as work of the
	// request's own target.
	CountNestedQueueing bool
	// Quarantine, if set, holds what is known of requests that were in flight when targets crashed.
	Quarantine *quarantine.Table
	// Targets returns the targets of a service in the fleet.
	Targets func(service string) []*registry.Target
	// OnQuarantine, if set, is called after the records of Quarantine have changed at this gate.
	OnQuarantine func()
}

// Gate admits and runs calls at the targets of one host.
type Gate struct {
	opts  Options
	calls *calltable.Table
	// waiting holds the idempotent calls that are not admitted yet; calls knows the others.
	waiting waitingCalls

	mu      sync.RWMutex
	targets map[string]*targetEntry
	closing bool
}

// targetEntry holds the admission and load state of one target of the host.
type targetEntry struct {
	target    *registry.Target
	admission *admission.Controller
	// meter measures the work offered to the target in relation to its capacity.
	meter *shed.Meter
	// repeats is nil when repeats are not bounded.
	repeats *retry.Bucket
	// reported holds when load was last reported to each node, by route.
	reported *reportTimes
	// notices is what the target has said of itself.
	notices *notices
	// cold is for how long the target is cold.
	cold *targetCold
	// runs is what the target runs now.
	runs *runState
}

// reportRecipient is a node that sends requests of a route.
type reportRecipient struct{ node, route string }

// reportTimes holds the time of the last report to each recipient.
type reportTimes struct {
	mu sync.Mutex
	at map[reportRecipient]time.Time
}

// reportDue reports whether a recipient is due another report, and if so records it as sent.
func (e *targetEntry) reportDue(now time.Time, recipient reportRecipient) bool {
	r := e.reported
	r.mu.Lock()
	defer r.mu.Unlock()
	if last, ok := r.at[recipient]; ok && now.Sub(last) < pressureInterval {
		return false
	}
	if len(r.at) >= maxReportRecipients {
		clear(r.at)
	}
	r.at[recipient] = now
	return true
}

// spareCapacityUse is the share of a target's limit in use below which a refusal by the target is not taken to mean
// that it is full. It is well under 1, as new connections may briefly hold other slots.
const spareCapacityUse = 0.5

// hasSpareCapacity reports whether the target has free slots, judged by the requests that this gate has admitted. The
// target gets no others.
func (e *targetEntry) hasSpareCapacity() bool {
	load := e.admission.Load()
	return float64(load.InFlight) < spareCapacityUse*float64(load.Limit)
}

// maxReportRecipients bounds the recipients whose last report is remembered; beyond it all are forgotten.
const maxReportRecipients = 8192

// workOf returns the service and route of a call, by which its load is counted.
func workOf(h *apiv1.CallHeader) shed.ServiceRoute {
	return shed.ServiceRoute{Service: h.GetService(), Route: h.GetRoute()}
}

// newEntry returns the entry of a target that is new at this host.
func (g *Gate) newEntry(config admission.Config) *targetEntry {
	e := &targetEntry{admission: admission.NewController(config, g.opts.Clock), meter: shed.NewMeter(), reported: &reportTimes{at: map[reportRecipient]time.Time{}}, notices: &notices{}, cold: g.newCold(&registry.Target{}), runs: newRunState()}
	if g.opts.RepeatLimit.Ratio > 0 {
		e.repeats = retry.NewBucket(g.opts.RepeatLimit.Ratio, rand.Float64)
	}
	return e
}

// pressureInterval is the shortest time between two load reports to one node for one route. It is short compared to the
// time in which entry nodes react to them.
const pressureInterval = 40 * time.Millisecond

// capacityOf returns what a target can do by the state of its admission.
func capacityOf(l admission.Load) shed.Capacity {
	if l.ColdRate > 0 {
		return shed.Capacity{PerSecond: l.ColdRate, Cold: true}
	}
	return shed.Capacity{Slots: l.Limit, PerSecond: l.RateLimit}
}

// load returns the target's load for the sender of a call, with the load of the services below it when a report is due.
func (g *Gate) load(e *targetEntry, h *apiv1.CallHeader) *apiv1.LoadReport {
	now := g.opts.Clock.Now()
	load := e.admission.LoadForRoute(h.GetOrganisation(), h.GetRoute())
	m := load.Message()
	m.Leaving = e.notices.isLeaving()
	e.cold.reportCold(now, m)
	if g.opts.LoadTracker == nil || !e.reportDue(now, reportRecipient{h.GetKey().GetNode(), h.GetRoute()}) {
		return m
	}
	g.opts.LoadTracker.ObserveTarget(now, e.target.Service, e.target.ID(), shed.TargetLoad{Load: e.meter.Load(now, capacityOf(load)),
		ColdLeft: time.Duration(m.GetColdLeftMs()) * time.Millisecond})
	m.Pressures = g.opts.LoadTracker.Report(now, workOf(h))
	return m
}

// loadOfRefused is load for a call that arrived at a time and was refused before it ran.
func (g *Gate) loadOfRefused(e *targetEntry, h *apiv1.CallHeader, arrived time.Time) *apiv1.LoadReport {
	m := g.load(e, h)
	m.QueuedUs = microseconds(g.opts.Clock.Now().Sub(arrived))
	return m
}

// microseconds converts a duration for the wire.
func microseconds(d time.Duration) uint64 {
	return uint64(max(d, 0) / time.Microsecond)
}

// New returns a gate without targets.
func New(o Options) *Gate {
	if o.HeaderNames == nil {
		own := headers.DefaultNames()
		o.HeaderNames = &own
	}
	g := &Gate{opts: o, calls: calltable.New(o.Clock), targets: make(map[string]*targetEntry)}
	if o.Metrics != nil {
		o.Metrics.SetGauge("kept_answer_bytes", func() float64 { return float64(g.calls.KeptBytes()) })
	}
	return g
}

// SetTargets replaces the targets of the host. Targets that stay keep their admission state.
func (g *Gate) SetTargets(targets []*registry.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := make(map[string]*targetEntry, len(targets))
	for _, t := range targets {
		next[t.Name] = g.updatedEntry(t)
	}
	for name, e := range g.targets {
		if kept, ok := next[name]; !ok || kept.admission != e.admission {
			// Requests that wait here would run at a process that is gone, or beside those that the next one admits.
			g.setDraining(e, true)
		}
	}
	g.targets = next
}

// updatedEntry returns the entry of a target, configured by its current policy. The caller holds mu.
func (g *Gate) updatedEntry(t *registry.Target) *targetEntry {
	config := g.opts.Policies.Admission(t)
	e, ok := g.targets[t.Name]
	if !ok || e.target.Incarnation != t.Incarnation || e.target.Address != t.Address || !e.target.Started.Equal(t.Started) {
		e = g.newEntry(config)
		e.cold = g.newCold(t)
	} else {
		e = &targetEntry{admission: e.admission, meter: e.meter, repeats: e.repeats, reported: e.reported, notices: e.notices, cold: e.cold, runs: e.runs}
		e.admission.Configure(config)
	}
	e.target = t
	e.setColdPolicy(config.Cold)
	leaving := t.State == apiv1.TargetState_TARGET_STATE_LEAVING || g.opts.Policies.Draining(t)
	g.setDraining(e, leaving || g.closing)
	return e
}

// Close makes the gate refuse new and queued calls for every target. Calls that run are not stopped.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closing = true
	for _, e := range g.targets {
		g.setDraining(e, true)
	}
}

// find returns the entry of a target.
func (g *Gate) find(name string) (*targetEntry, bool) {
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
	// ColdLeft is for how long the target is cold.
	ColdLeft time.Duration
}

// Loads returns the load of every target of the host.
func (g *Gate) Loads() []TargetLoad {
	g.mu.RLock()
	defer g.mu.RUnlock()
	loads := make([]TargetLoad, 0, len(g.targets))
	for _, e := range g.targets {
		load := e.admission.Load()
		now := g.opts.Clock.Now()
		left, _ := e.cold.left(now)
		loads = append(loads, TargetLoad{Target: e.target, Load: load, Reading: e.meter.Read(now, capacityOf(load)), ColdLeft: left})
	}
	return loads
}

// Do runs one call, whose request has the given body, and returns its answer. The body is returned when nothing more of
// it is sent to the target, at the latest after the end of the answer; one that was not read need not be.
// The caller must close the answer's body.
func (g *Gate) Do(ctx context.Context, h *apiv1.CallHeader, body *reqbody.Lease) *Answer {
	e, ok := g.find(h.GetTarget())
	if !ok || e.target.Service != h.GetService() {
		return refuse(h, leavingRefusal("the target is not on this host"), nil)
	}
	if h.GetIdempotent() {
		return g.runIdempotent(ctx, e, h, body)
	}
	return g.runNonIdempotent(ctx, e, h, body)
}

// Fence prevents a call from being started, unless it has been already, and returns its state. A call that was admitted but not sent to its
// target has not been started.
func (g *Gate) Fence(key *apiv1.CallKey) apiv1.CallState {
	g.opts.Metrics.Fences.Add(1)
	k := calltable.KeyOf(key)
	if g.waiting.withdraw(k) {
		return apiv1.CallState_CALL_STATE_FENCED
	}
	if x := g.findExecution(k); x != nil {
		switch {
		case x.withdraw():
			return apiv1.CallState_CALL_STATE_FENCED
		case x.header.GetIdempotent():
			return apiv1.CallState_CALL_STATE_RUNNING
		}
	}
	return g.calls.Fence(k)
}

// findExecution returns the running call with a key, or nil.
func (g *Gate) findExecution(k calltable.Key) *execution {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for _, e := range g.targets {
		if x := e.runs.find(k); x != nil {
			return x
		}
	}
	return nil
}

// Attach waits for the answer of a non-idempotent call that was sent before, and returns it.
func (g *Gate) Attach(ctx context.Context, key *apiv1.CallKey) *Answer {
	g.opts.Metrics.Attaches.Add(1)
	h := &apiv1.CallHeader{Key: key}
	call, ok := g.calls.Find(calltable.KeyOf(key))
	if !ok {
		r := &outcome.Refusal{Code: outcome.OutcomeUnknown, Ran: outcome.RanUnknown, Detail: "the node has no record of the call"}
		return refuse(h, r, nil)
	}
	return answerFromBuffer(ctx, h, call.Response, true)
}

// admitted is the permission of a call to run.
type admitted struct {
	permit      admission.Permit
	fingerprint quarantine.Fingerprint
	// trial is nil unless the call is a suspect.
	trial *quarantine.Trial
}

// admit checks the key, the crashes that the request was in flight at and the bound on repeats, and waits for admission. The call counts as started
// at its target.
func (g *Gate) admit(ctx context.Context, e *targetEntry, h *apiv1.CallHeader) (admitted, *outcome.Refusal) {
	if r := g.opts.KeyChecker.CheckKeyNumber(h.GetKeyNumber()); r != nil {
		return admitted{}, r
	}
	var a admitted
	if g.opts.Quarantine != nil {
		a.fingerprint = fingerprintOf(h)
		var r *outcome.Refusal
		if a.trial, r = g.admitSuspect(ctx, e, h, a.fingerprint); r != nil {
			return admitted{}, r
		}
	}
	permit, r := g.acquire(ctx, e, h)
	if r != nil {
		a.trial.Release()
		return admitted{}, r
	}
	if !e.runs.trials.TryStart(a.trial) {
		permit.Release(admission.Result{Kind: admission.Cancelled})
		return admitted{}, keptForTrial()
	}
	a.permit = permit
	return a, nil
}

// abandon gives up the permission of a call that does not run.
func (a admitted) abandon(e *targetEntry) {
	a.permit.Release(admission.Result{Kind: admission.Cancelled})
	e.runs.trials.RequestEnded()
	a.trial.Release()
}

// acquire checks the bound on repeats and waits for admission.
func (g *Gate) acquire(ctx context.Context, e *targetEntry, h *apiv1.CallHeader) (admission.Permit, *outcome.Refusal) {
	deadline, _ := ctx.Deadline()
	start := g.opts.Clock.Now()
	// A refused repeat does not count as load offered to the target.
	if r := g.admitRepeat(e, h); r != nil {
		return admission.Permit{}, r
	}
	e.meter.Arrived(start)
	e.adoptRateLimit(h.GetKnownRateLimit())
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
		if h.GetMayMove() && (refusal.Code == outcome.QueueFull || refusal.Code == outcome.DeadlineTooShort) {
			now := g.opts.Clock.Now()
			e.meter.Moved(now, now.Sub(start))
		}
		return admission.Permit{}, refusal
	}
	g.opts.Metrics.QueueWait.Record(seriesOf(h), g.opts.Clock.Now().Sub(start))
	if r := g.opts.KeyChecker.CheckKeyNumber(h.GetKeyNumber()); r != nil {
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

// origin returns the attributes that the sub-calls of a call inherit.
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
