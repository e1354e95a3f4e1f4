package gate

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/quarantine"
	"github.com/guavaford/guavaford/internal/registry"
)

// prober is a transport that can tell whether the process at an address has ended.
type prober interface {
	// Probe reports whether a new connection to an address is refused.
	Probe(ctx context.Context, address string) (refused bool)
}

const (
	// probeTimeout bounds the attempt to connect to a target whose exchange broke off. It is on the same host.
	probeTimeout = 100 * time.Millisecond
	// trialWaitShare is the longest wait for a trial, as a fraction of the time that the call has left.
	trialWaitShare = 0.2
	// trialRetryAfter is the time after which trials that run now have ended.
	trialRetryAfter = 250 * time.Millisecond
)

// runState holds what runs at one process of a target. It outlives changes of the target's policy.
type runState struct {
	trials *quarantine.Trials

	mu      sync.Mutex
	running map[*execution]struct{}
	// probe is the probe under way, or nil.
	probe *crashProbe
	// crashed is set once the process has ended while it ran requests.
	crashed bool
}

// crashProbe finds out whether a target has crashed, for all exchanges that break off at the same time.
type crashProbe struct {
	began time.Time
	done  chan struct{}
}

func newRunState() *runState {
	return &runState{trials: quarantine.NewTrials(), running: make(map[*execution]struct{})}
}

// started adds an execution to those that run. Its start was counted before.
func (s *runState) started(x *execution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[x] = struct{}{}
}

// ended removes an execution.
func (s *runState) ended(x *execution) {
	s.mu.Lock()
	delete(s.running, x)
	s.mu.Unlock()
	s.trials.RequestEnded()
}

// fingerprintOf returns the fingerprint of the requests that are the same as a call to its target.
func fingerprintOf(h *apiv1.CallHeader) quarantine.Fingerprint {
	caller := h.GetOrganisation()
	if h.GetDepth() > 0 {
		caller += "/" + h.GetCallerService()
	}
	return quarantine.Identity{
		Service: h.GetService(), Method: h.GetMethod(), Host: h.GetHost(), Path: h.GetPath(), Caller: caller, Body: h.GetBodyDigest(),
	}.Fingerprint()
}

// lifetime identifies one process of a target across the fleet.
func lifetime(t *registry.Target) string {
	return t.ID() + "@" + strconv.FormatInt(t.Started.UnixNano(), 36)
}

// admitSuspect decides whether a call may run by the crashes that it was in flight at. A suspect gets a trial, which must be released.
func (g *Gate) admitSuspect(ctx context.Context, e *targetEntry, h *apiv1.CallHeader, f quarantine.Fingerprint) (*quarantine.Trial, *outcome.Refusal) {
	table, now := g.opts.Quarantine, g.opts.Clock.Now()
	if m := h.GetSuspect(); m != nil {
		if r, ok := quarantine.FromMessage(now, m); ok && r.Fingerprint == f && table.Merge(now, []quarantine.Record{r}) {
			g.notifyQuarantine()
		}
	}
	level, record := table.Check(now, f)
	switch level {
	case quarantine.Free:
		if e.runs.trials.Exclusive() {
			return nil, keptForTrial()
		}
		return nil, nil
	case quarantine.Quarantined:
		g.opts.Metrics.QuarantineRefusals.Add(1)
		left := record.QuarantinedUntil().Sub(now)
		return nil, outcome.NotRun(outcome.Quarantined, left, "%d targets crashed while they ran this request (%s), the last %v ago; it is not run for %v",
			len(record.Crashes), f, now.Sub(record.Crashes[len(record.Crashes)-1].At).Round(time.Millisecond), left.Round(time.Second))
	}
	others, elsewhere := g.trialElsewhere(e, f)
	if elsewhere != nil {
		return nil, elsewhere
	}
	return g.startTrial(ctx, e, h, f, level == quarantine.AloneOnTrial && others > 0)
}

// keptForTrial returns the refusal of a request at a target that another one has to itself.
func keptForTrial() *outcome.Refusal {
	return outcome.NotRun(outcome.Overloaded, trialRetryAfter, "the target is kept for a request on trial")
}

// trialElsewhere returns a refusal that names the target at which a suspect may run, unless it is this one. It also returns the number of
// other targets that run suspects.
func (g *Gate) trialElsewhere(e *targetEntry, f quarantine.Fingerprint) (others int, elsewhere *outcome.Refusal) {
	targets := g.trialTargets(e.target.Service)
	target := quarantine.TrialTarget(f, targets)
	if target == "" || target == e.target.ID() {
		return len(targets) - 1, nil
	}
	r := outcome.NotRun(outcome.Suspected, trialRetryAfter, "a target crashed while it ran this request (%s); it may run on trial at %s", f, target)
	r.TrialTarget = target
	return len(targets), r
}

// startTrial waits until a suspect may run at a target of this host.
func (g *Gate) startTrial(ctx context.Context, e *targetEntry, h *apiv1.CallHeader, f quarantine.Fingerprint, alone bool) (*quarantine.Trial, *outcome.Refusal) {
	began := g.opts.Clock.Now()
	wait := time.Duration(trialWaitShare * float64(h.GetTimeoutNs()))
	trial := e.runs.trials.Acquire(ctx, f, alone, wait)
	waited := g.opts.Clock.Now().Sub(began)
	if trial == nil && e.admission.Draining() {
		return nil, leavingRefusal("the target takes no new work; the request waited there for a trial")
	}
	if trial == nil {
		return nil, outcome.NotRun(outcome.Suspected, trialRetryAfter, "a target crashed while it ran this request (%s); other trials run", f)
	}
	// What other trials have shown meanwhile counts, and this target may have crashed in one.
	if _, elsewhere := g.trialElsewhere(e, f); elsewhere != nil {
		trial.Release()
		return nil, elsewhere
	}
	if level, _ := g.opts.Quarantine.Check(g.opts.Clock.Now(), f); level == quarantine.Quarantined || level == quarantine.AloneOnTrial && !alone {
		trial.Release()
		return nil, outcome.NotRun(outcome.Suspected, trialRetryAfter, "another target crashed while it ran this request (%s)", f)
	}
	g.opts.Metrics.Trials.Add(1)
	g.logSuspect("suspect runs on trial", e, "request", h.GetRequestId(), "fingerprint", f, "alone", alone, "waited", waited)
	return trial, nil
}

// trialTargets returns the ids of the targets of a service that may run suspects.
func (g *Gate) trialTargets(service string) []string {
	var ids []string
	if g.opts.Targets == nil {
		return nil
	}
	for _, t := range g.opts.Targets(service) {
		if t.State != apiv1.TargetState_TARGET_STATE_LEAVING && !g.opts.Quarantine.HasCrashed(lifetime(t)) {
			ids = append(ids, t.ID())
		}
	}
	return ids
}

// observeBreak finds out whether the target has crashed when an exchange broke off. If so, it records that for all requests that were in flight and
// returns what is known of this one.
func (x *execution) observeBreak(ctx context.Context, err error) *apiv1.QuarantineRecord {
	g := x.gate
	p, ok := g.opts.Transport.(prober)
	var op *net.OpError
	if g.opts.Quarantine == nil || !ok || ctx.Err() != nil || x.entry.notices.isLeaving() || x.entry.admission.Draining() ||
		errors.As(err, &op) && op.Op == "dial" {
		return nil
	}
	s := x.entry.runs
	s.mu.Lock()
	probe := s.probe
	first := probe == nil && !s.crashed
	if first {
		probe = &crashProbe{began: g.opts.Clock.Now(), done: make(chan struct{})}
		s.probe = probe
	}
	s.mu.Unlock()
	if first {
		probeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
		refused := p.Probe(probeCtx, x.entry.target.Address)
		cancel()
		if refused {
			g.recordCrash(x.entry, probe.began)
		}
		s.mu.Lock()
		s.probe = nil
		s.mu.Unlock()
		close(probe.done)
	} else if probe != nil {
		<-probe.done
	}
	now := g.opts.Clock.Now()
	if _, record := g.opts.Quarantine.Check(now, x.fingerprint); len(record.Crashes) > 0 {
		return record.Message(now)
	}
	return nil
}

// tellSuspect adds to a refusal what is known of a request whose target has crashed, so that it reaches the next gate with the next attempt.
func (x *execution) tellSuspect(refusal *apiv1.Refusal) {
	if x.suspect == nil {
		return
	}
	refusal.Suspect = x.suspect
	if level, _ := x.gate.opts.Quarantine.Check(x.gate.opts.Clock.Now(), x.fingerprint); level != quarantine.Free {
		refusal.TrialTarget = quarantine.TrialTarget(x.fingerprint, x.gate.trialTargets(x.entry.target.Service))
	}
}

// recordCrash records that the target has crashed while it ran the requests that had begun by a time.
func (g *Gate) recordCrash(e *targetEntry, began time.Time) {
	s, now := e.runs, g.opts.Clock.Now()
	var inFlight []quarantine.Exposure
	seen := make(map[quarantine.Fingerprint]bool)
	s.mu.Lock()
	s.crashed = true
	var oldest time.Duration
	for x := range s.running {
		if x.started.After(began) || seen[x.fingerprint] {
			continue
		}
		seen[x.fingerprint] = true
		inFlight = append(inFlight, quarantine.Exposure{Fingerprint: x.fingerprint, Organisation: x.header.GetOrganisation(), OnTrial: x.trial != nil})
		oldest = max(oldest, now.Sub(x.started))
	}
	s.mu.Unlock()
	if len(inFlight) == 0 {
		return
	}
	records := g.opts.Quarantine.Crashed(now, e.target.Service, lifetime(e.target), inFlight)
	g.opts.Metrics.TargetCrashes.Add(1)
	g.opts.Log.Warn("target crashed", "target", e.target.Name, "service", e.target.Service, "in_flight", len(inFlight), "suspects", len(records), "oldest", oldest)
	for _, r := range records {
		if level := r.Level(now); level == quarantine.Quarantined {
			g.opts.Metrics.Quarantined.Add(1)
			g.opts.Log.Warn("request quarantined", "fingerprint", r.Fingerprint, "organisation", r.Organisation, "service", r.Service, "crashes", len(r.Crashes),
				"in_flight", len(inFlight), "until", r.QuarantinedUntil().UTC().Format(time.RFC3339))
		}
	}
	g.notifyQuarantine()
}

// completed records that the target has run a request to its end.
func (x *execution) completed() {
	g := x.gate
	if g.opts.Quarantine == nil || !g.opts.Quarantine.Completed(g.opts.Clock.Now(), x.fingerprint) {
		return
	}
	g.logSuspect("suspect cleared", x.entry, "request", x.header.GetRequestId(), "fingerprint", x.fingerprint, "on_trial", x.trial != nil)
	g.notifyQuarantine()
}

// notifyQuarantine tells the node that records have changed.
func (g *Gate) notifyQuarantine() {
	if g.opts.OnQuarantine != nil {
		g.opts.OnQuarantine()
	}
}

// logSuspect logs a decision on a suspect, at a limited rate.
func (g *Gate) logSuspect(message string, e *targetEntry, fields ...any) {
	if leftOut, ok := g.opts.LogLimiter.Allow(g.opts.Clock.Now()); ok {
		fields = append([]any{"target", e.target.Name, "service", e.target.Service}, fields...)
		g.opts.Log.Info(message, append(fields, "left_out", leftOut)...)
	}
}
