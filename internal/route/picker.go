package route

import (
	"sync"
	"sync/atomic"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/spread"
)

const (
	// DefaultSlowStart is the time in which a new target is brought to its full load.
	DefaultSlowStart = 10 * time.Second
	// DefaultMaxEjected is the largest share of a service's targets that is ejected at a time.
	DefaultMaxEjected = 0.34
	// DefaultSpillLoad is the share of a target's limit in use from which targets of other data centres compete.
	DefaultSpillLoad = 0.9
	// spillScoreRatio is the ratio of the remote to the local score below which a call leaves its data centre.
	spillScoreRatio = 0.8
	// shedRetryAfter and noTargetRetryAfter are the retry delays in refusals.
	shedRetryAfter     = time.Second
	noTargetRetryAfter = time.Second
)

// Config sets up a Picker.
type Config struct {
	// SlowStart is the time in which a new target is brought to its full load; 0 turns slow start off.
	SlowStart time.Duration
	// MaxEjected is the largest share of targets ejected at a time; unless it is 0, one of
	// several targets may always be ejected.
	MaxEjected float64
	// SpillLoad is the share of a target's limit in use from which targets of other data centres compete.
	SpillLoad float64
	// FullSpillRatio is the ratio of the remote to the local score below which a call leaves its data centre for a
	// target that is full too; 0 keeps it there.
	FullSpillRatio float64
	// ScanAllTargets makes Pick consider all targets of a data centre, and not only the two drawn, before a call goes
	// to one that is full or slow.
	ScanAllTargets bool
	// SlowRatio is the ratio of a target's latency to that of the faster targets above which the target counts as slow
	// and gets calls only when no other has room; 0 turns that off.
	SlowRatio float64
	// LearnedCapacity divides calls by the free capacity of the targets, as the gates beside them have learned it,
	// instead of sending each to the better of two targets.
	LearnedCapacity bool
	// EvenSpread decides by the demand of a data centre how many calls leave it, instead of by whether single targets
	// are full. It has no effect with LearnedCapacity.
	EvenSpread bool
	// OnSpread, if set, is called when calls begin or cease to leave by EvenSpread.
	OnSpread func(SpreadChange)
	// OnEject, if set, is called for each target that is ejected, with the duration of the ejection.
	OnEject func(t *registry.Target, pause time.Duration)
	// CutoffCache is shared by the pickers of a node; nil gives the picker its own.
	CutoffCache *CutoffCache
}

// DefaultConfig returns the default settings. They compare no latencies between targets and don't scan all targets.
func DefaultConfig() Config {
	return Config{SlowStart: DefaultSlowStart, MaxEjected: DefaultMaxEjected, SpillLoad: DefaultSpillLoad}
}

// CallOutcome is the outcome of a call as its caller saw it.
type CallOutcome int

// The outcomes of calls.
const (
	Success CallOutcome = iota
	// Failure means that the target or the node on its host failed.
	Failure
	TimedOut
	// Refused means that the node on the target's host did not run the call.
	Refused
	// Cancelled says nothing about the target.
	Cancelled
	// Unreachable means that nothing could be sent to the target.
	Unreachable
)

// Observation is what a caller observed of one call.
type Observation struct {
	Outcome CallOutcome
	Latency time.Duration
	// Load is the load report that came with the answer; nil if none did.
	Load *apiv1.LoadReport
}

// Picker chooses targets of one service. It is safe for concurrent use.
type Picker struct {
	config     Config
	dataCentre string
	clock      clock.Clock
	origin     time.Time
	seed       uint64
	draws      atomic.Uint64
	table      atomic.Pointer[table]
	cutoffs    *CutoffCache
	// latencyNs is the smoothed latency over all targets.
	latencyNs  atomic.Int64
	references referenceLatencies
	// coldUntilNs is the end of the latest cold time of a target, in nanoseconds since the picker was created.
	coldUntilNs atomic.Int64
	// localUse and remoteUse are the shares of the limits in use in this data centre and in the others.
	localUse, remoteUse smoothedUse
	spread              spread.Controller

	mu      sync.Mutex
	tracked map[string]trackedTarget
	// targets are those of the last Update.
	targets []*registry.Target
	notices notices
}

// trackedTarget holds the statistics of a target and what the last Update said of it.
type trackedTarget struct {
	*targetStats
	started     time.Time
	incarnation uint64
	takesWork   bool
	listedCold  bool
}

// table is an immutable set of the targets that accept new calls; local ones are in the data centre of this node.
type table struct {
	local  []entry
	remote []entry
}

// NewPicker returns a picker without targets. The same seed and the same events give the same picks.
func NewPicker(cfg Config, dataCentre string, clk clock.Clock, seed uint64) *Picker {
	p := &Picker{config: cfg, dataCentre: dataCentre, clock: clk, origin: clk.Now(), seed: seed, cutoffs: cfg.CutoffCache}
	if p.cutoffs == nil {
		p.cutoffs = NewCutoffCache(clk)
	}
	p.table.Store(&table{})
	return p
}

// Update replaces the targets. Those that stay keep their statistics.
func (p *Picker) Update(targets []*registry.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.update(p.now(), targets)
}

// update replaces the targets. The caller holds mu.
func (p *Picker) update(now int64, targets []*registry.Target) {
	tracked := make(map[string]trackedTarget, len(targets))
	next := &table{}
	p.targets = targets
	p.notices.prune(now)
	for _, t := range targets {
		k, ok := p.tracked[t.ID()]
		if !ok || !k.started.Equal(t.Started) || k.incarnation != t.Incarnation {
			k = trackedTarget{targetStats: newTargetStats(p.slowStartFrom(now, t)), started: t.Started, incarnation: t.Incarnation}
			k.setRateLimit(p.notices.rateLimit(t))
		}
		if takesWork(t) && !k.takesWork {
			k.drainingUntilNs.Store(never)
		}
		k.takesWork = takesWork(t)
		p.updateCold(now, &k, t)
		tracked[t.ID()] = k
		switch {
		case !takesWork(t) || p.notices.leaving(t):
		case t.DataCentre == p.dataCentre:
			next.local = append(next.local, entry{target: t, targetStats: k.targetStats})
		default:
			next.remote = append(next.remote, entry{target: t, targetStats: k.targetStats})
		}
	}
	p.tracked = tracked
	p.table.Store(next)
}

// slowStartFrom returns when the slow start of a target that is new to this picker began. Targets
// of the first update ran before this node knew the service, unless their state is cold.
func (p *Picker) slowStartFrom(now int64, t *registry.Target) int64 {
	if t.Cold.PerSecond > 0 {
		// Its gate says what it takes.
		return never
	}
	if p.tracked == nil && t.State != apiv1.TargetState_TARGET_STATE_COLD {
		return never
	}
	return now
}

// Pick chooses a target, or refuses the call as not run. Done must be called once on each Choice.
func (p *Picker) Pick(q Query) (Choice, *outcome.Refusal) {
	now := p.now()
	if p.sheds(&q) {
		return Choice{}, &outcome.Refusal{
			Code: outcome.Overloaded, Ran: outcome.RanNo, RetryAfter: shedRetryAfter,
			Detail: "the service is overloaded and sheds requests of this level",
		}
	}
	e, queueWait := p.choose(now, &q, false)
	if e == nil {
		e, queueWait = p.choose(now, &q, true)
	}
	if e == nil {
		return Choice{}, p.noTarget(now, &q)
	}
	e.inFlight.Add(1)
	choice := Choice{picker: p, entry: *e, route: q.Route, organisation: q.Organisation, queueWait: queueWait, cold: e.cold.cold(now)}
	if (p.config.SlowRatio > 0 || p.config.LearnedCapacity) && !choice.cold {
		choice.latency = e.routeLatencies.add(q.Route)
		choice.latency.begin(now)
	}
	return choice, nil
}

// sheds reports whether the cutoff in force refuses a call.
func (p *Picker) sheds(q *Query) bool {
	cutoff, _, _ := p.cutoffs.lookup(q.Route, q.Organisation)
	if cutoff == 0 {
		return false
	}
	if q.Depth > 0 {
		cutoff += subCallMargin
	}
	return q.Level >= cutoff
}

// Cutoff returns the cutoff in force for requests of a route and organisation; nil means
// none. A node merges it into the answers of requests whose sub-calls use this service.
func (p *Picker) Cutoff(route, organisation string) *apiv1.Cutoff {
	own, common, service := p.cutoffs.lookup(route, organisation)
	if own == 0 {
		return nil
	}
	return &apiv1.Cutoff{Service: service, Common: common, Own: own}
}

// chooseByScore returns the target for a call by load per slot times latency, or nil.
func (p *Picker) chooseByScore(now int64, q *Query, ejected bool) *entry {
	t := p.table.Load()
	reference := p.reference(now, q.Route, t)
	if probe := p.drawProbe(now, t.local, q, ejected, reference); probe != nil {
		return probe
	}
	spreads := p.spreadsEvenly(t)
	if spreads {
		if e := p.chooseRemote(now, q, ejected, reference, t); e != nil {
			return e
		}
	}
	local := p.betterOfTwo(now, t.local, q, ejected)
	if local != nil && p.suitable(now, local, q.Route, reference) {
		return local
	}
	if suitable := p.firstSuitable(now, t.local, q, ejected, reference); suitable != nil {
		return suitable
	}
	if spreads && p.staysFor(now, local, q.Route, reference) {
		return local
	}
	remote := p.betterOfTwo(now, t.remote, q, ejected)
	if remote != nil && !p.suitable(now, remote, q.Route, reference) {
		if suitable := p.firstSuitable(now, t.remote, q, ejected, reference); suitable != nil {
			remote = suitable
		}
	}
	switch {
	case local == nil:
		return remote
	case remote == nil:
		return local
	}
	maxRatio := spillScoreRatio
	if remote.full(now, DefaultSpillLoad) {
		maxRatio = p.config.FullSpillRatio
	}
	if p.score(now, remote) < maxRatio*p.score(now, local) {
		return remote
	}
	return local
}

// drawProbe draws a target and returns it if it is slow and due to be probed by this call, or nil.
func (p *Picker) drawProbe(now int64, entries []entry, q *Query, ejected bool, reference int64) *entry {
	if reference == 0 {
		return nil
	}
	e := p.draw(now, entries, q, ejected, nil)
	if e == nil || !e.routeLatencies.claimProbe(now, q.Route, p.config.SlowRatio, reference) {
		return nil
	}
	return e
}

// suitable reports whether a target has room and isn't slow compared with the others of its service.
func (p *Picker) suitable(now int64, e *entry, route string, reference int64) bool {
	return !e.full(now, p.config.SpillLoad) && !e.routeLatencies.slow(now, route, p.config.SlowRatio, reference)
}

// reference returns the latency of the faster targets for a route; 0 while it is unknown or slow targets are not
// detected.
func (p *Picker) reference(now int64, route string, t *table) int64 {
	if p.config.SlowRatio <= 0 {
		return 0
	}
	return p.references.get(now, route, t)
}

// slowThreshold returns the latency in nanoseconds above which a target is slow for a route, by the last reference.
func (p *Picker) slowThreshold(route string) int64 {
	return int64(p.config.SlowRatio * float64(p.references.cached(route)))
}

// firstSuitable returns the first eligible and suitable target from a random index on, or nil. Two drawn targets are
// not representative of a data centre with many: with half of its slots in use, some are always full by chance.
func (p *Picker) firstSuitable(now int64, entries []entry, q *Query, ejected bool, reference int64) *entry {
	if !p.config.ScanAllTargets || len(entries) == 0 {
		return nil
	}
	start := int(p.random() % uint64(len(entries)))
	for i := range entries {
		e := &entries[(start+i)%len(entries)]
		if q.eligible(now, e, ejected) && p.suitable(now, e, q.Route, reference) {
			return e
		}
	}
	return nil
}

// betterOfTwo draws two targets and returns the one with the lower score, or nil if none is eligible.
func (p *Picker) betterOfTwo(now int64, entries []entry, q *Query, ejected bool) *entry {
	a := p.draw(now, entries, q, ejected, nil)
	if a == nil {
		return nil
	}
	b := p.draw(now, entries, q, ejected, a)
	if b != nil && p.score(now, b) < p.score(now, a) {
		return b
	}
	return a
}

// draw returns the first eligible target from a random index on, other than except; nil if there is none.
func (p *Picker) draw(now int64, entries []entry, q *Query, ejected bool, except *entry) *entry {
	if len(entries) == 0 {
		return nil
	}
	start := int(p.random() % uint64(len(entries)))
	for i := range entries {
		e := &entries[(start+i)%len(entries)]
		if e != except && q.eligible(now, e, ejected) {
			return e
		}
	}
	return nil
}

// score returns the expected cost of a call at a target: its load per slot times its latency,
// raised during slow start.
func (p *Picker) score(now int64, e *entry) float64 {
	requests, limit := e.load(now)
	if limit == 0 {
		limit = int64(max(e.target.Slots, 1))
	}
	latency := e.latency(now, p.latencyNs.Load())
	return float64(requests+1) / float64(limit) * latency / e.slowStartShare(now, p.config.SlowStart)
}

// now returns the nanoseconds since the picker was created.
func (p *Picker) now() int64 {
	return int64(p.clock.Now().Sub(p.origin))
}

// random returns the next number of the sequence given by the seed (SplitMix64).
func (p *Picker) random() uint64 {
	z := p.seed + p.draws.Add(1)*0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Choice is a picked target. Done must be called once.
type Choice struct {
	picker       *Picker
	entry        entry
	route        string
	organisation string
	// latency is nil if slow targets are not detected.
	latency   *routeLatency
	queueWait time.Duration
	// cold is true if the target was cold when it was chosen.
	cold bool
}

// Target returns the chosen target.
func (c Choice) Target() *registry.Target {
	return c.entry.target
}

// RateLimit returns the number of requests per second that the target accepts, as it last said; 0 for no such limit.
func (c Choice) RateLimit() float64 {
	return c.entry.rateLimit()
}

// Done records how the call ended. It must be called once.
func (c Choice) Done(o Observation) {
	p, m := c.picker, c.entry.targetStats
	now := p.now()
	m.inFlight.Add(-1)
	if rateLimit := o.Load.GetRateLimit(); o.Load != nil && (o.Load.GetLeaving() || rateLimit != m.rateLimit()) {
		m.setRateLimit(rateLimit)
		p.observeNotices(now, c.entry.target, o.Load.GetLeaving(), rateLimit)
	}
	if c.latency != nil {
		c.latency.end(now, o.Load.GetExpectedTimeNs())
	}
	p.observeCold(now, m, o.Load)
	if c.cold {
		m.cold.adapt(o.Outcome != Refused)
	}
	// How long a cold target takes says nothing about the target once it is warm, and a timeout there is no failure.
	cold := c.cold || o.Load.GetColdLeftMs() > 0
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Load != nil {
		m.observeLoad(now, o.Load)
		p.cutoffs.observe(c.route, c.organisation, o.Load.GetCutoff())
	}
	at := p.origin.Add(time.Duration(now))
	switch {
	case cold && o.Outcome == Success:
		m.health.succeed(at)
		return
	case cold && o.Outcome == TimedOut:
		return
	}
	switch o.Outcome {
	case Success:
		if m.routeLatencies.observe(now, c.route, o.Latency, p.slowThreshold(c.route)) {
			m.latencyNs.Store(0)
		}
		m.observeLatency(now, o.Latency)
		p.observeLatency(o.Latency)
		m.health.succeed(at)
	case TimedOut:
		m.observeLatency(now, max(o.Latency, time.Duration(m.latencyNs.Load())))
		m.routeLatencies.observeAtLeast(now, c.route, o.Latency, p.slowThreshold(c.route))
		p.recordFailure(now, c.entry, 1)
	case Failure:
		p.recordFailure(now, c.entry, 1)
	case Unreachable:
		p.recordFailure(now, c.entry, unreachableWeight)
	}
}

// observeLatency adds a sample to the smoothed latency of the service. Concurrent updates may lose one.
func (p *Picker) observeLatency(sample time.Duration) {
	old := p.latencyNs.Load()
	if old == 0 {
		p.latencyNs.Store(int64(sample))
		return
	}
	p.latencyNs.Store(old + int64(latencyGain*float64(int64(sample)-old)))
}
