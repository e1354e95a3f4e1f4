package servicerate_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/admission"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/route"
	"github.com/guavaford/guavaford/internal/servicerate"
)

// load describes a service, its callers and how both vary.
type load struct {
	hosts, dataCentres, slots int
	// speeds has one element for each target. Targets are dealt out to the data centres in turn.
	speeds []float64
	work   time.Duration
	// spread is by how much the work of a call differs from the mean, either way.
	spread    float64
	perSecond float64
	// longShare is the share of calls of a second route, whose work takes ten times as long.
	longShare float64
	// wave is the amplitude of the demand of each data centre as a share of its mean; waves of wavePeriod are out of
	// phase between data centres.
	wave       float64
	wavePeriod time.Duration
	// knee is the share of the slots above which work takes kneeFactor times as long.
	knee, kneeFactor float64
	// stalled is the number of targets that are slower by stallFactor, others each stallFor.
	stalled     int
	stallFactor float64
	stallFor    time.Duration
	length      time.Duration
	seed        uint64
	// centres holds the data centre of each target; nil deals them out in turn.
	centres []int
	// demand, if set, replaces wave: it returns the demand of a data centre, whose mean over all is 1, in relation to
	// perSecond, and peakDemand is its highest value.
	demand     func(at time.Duration, dataCentre int) float64
	peakDemand float64
	// reportEvery, if set, is the interval at which the load reports of other data centres' targets change.
	reportEvery time.Duration
	// silent, if set, tells when answers carry no load reports.
	silent func(at time.Duration) bool
}

// centre returns the data centre of a target.
func (l *load) centre(target int) int {
	if l.centres != nil {
		return l.centres[target]
	}
	return target % l.dataCentres
}

const (
	warmUp      = 4 * time.Second
	nearLink    = 500 * time.Microsecond
	farLink     = 5 * time.Millisecond
	utilWindow  = time.Second
	lateAfter   = 300 * time.Millisecond
	callTimeout = 2 * time.Second
)

// result is what a run of the model has measured after its warm-up.
type result struct {
	calls, refused, late, crossed, moved int
	latencies                            []time.Duration
	// utilisation is the share of each target's slots in use over the whole run. deviation is the largest difference
	// between one target and the mean of all in any window of a second.
	utilisation []float64
	deviation   float64
	// crossSwing is the mean change of the share of calls that leave a data centre between windows of 200 ms.
	crossSwing float64
}

func (r *result) quantile(q float64) time.Duration {
	slices.Sort(r.latencies)
	return r.latencies[int(q*float64(len(r.latencies)-1))]
}

// spread returns the largest difference of a target's utilisation from the mean, over the whole run.
func (r *result) spread() (mean, largest float64) {
	for _, u := range r.utilisation {
		mean += u / float64(len(r.utilisation))
	}
	for _, u := range r.utilisation {
		largest = max(largest, math.Abs(u-mean))
	}
	return mean, largest
}

func (r *result) String() string {
	mean, largest := r.spread()
	return fmt.Sprintf("calls=%d refused=%d moved=%.2f%% late=%.2f%% p50=%v p99=%v mean_utilisation=%.3f largest_difference=%.3f in_1s=%.3f crossed=%.1f%% swing=%.3f",
		r.calls, r.refused, 100*float64(r.moved)/float64(r.calls), 100*float64(r.late)/float64(r.calls), r.quantile(0.5).Round(time.Millisecond), r.quantile(0.99).Round(time.Millisecond),
		mean, largest, r.deviation, 100*float64(r.crossed)/float64(r.calls), r.crossSwing)
}

// event is something that happens at a time of the model.
type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// model runs the product's pickers and gates against targets in virtual time.
type model struct {
	load
	now   time.Time
	start time.Time
	queue events
	order int
	rnd   *rand.Rand
	// turn holds the targets in the order in which they stall.
	turn    []int
	pickers []*route.Picker
	targets []*modelTarget
	result  result
	// refusedAt, if set, is called for each refused call.
	refusedAt func(c *modelCall)
	// chosen, if set, is called for each attempt.
	chosen func(c *modelCall)
}

func (m *model) Now() time.Time { return m.now }

func (m *model) after(d time.Duration, do func()) {
	m.order++
	heap.Push(&m.queue, event{m.now.Add(d), m.order, do})
}

// modelTarget is a target with the gate beside it.
type modelTarget struct {
	model      *model
	record     *registry.Target
	gate       *admission.StateMachine
	speed      float64
	stalled    bool
	running    int
	changed    time.Time
	busy       time.Duration
	windowBusy time.Duration
	waiting    map[*admission.Waiter]*modelCall
	dataCentre int
	leaving    bool
	// reported is the load report that callers in other data centres get until reportUntil.
	reported    *apiv1.LoadReport
	reportUntil time.Time
}

// report returns the load report that an answer carries.
func (t *modelTarget) report(c *modelCall) *apiv1.LoadReport {
	m := t.model
	if m.silent != nil && m.silent(m.now.Sub(m.start)) {
		return nil
	}
	if m.reportEvery == 0 || c.link == nearLink || t.leaving {
		return t.gate.LoadForRoute(m.now, "", c.route).Message()
	}
	if !m.now.Before(t.reportUntil) {
		t.reported, t.reportUntil = t.gate.LoadForRoute(m.now, "", c.route).Message(), m.now.Add(m.reportEvery)
	}
	return t.reported
}

// count adds the slot time since the last change.
func (t *modelTarget) count() {
	d := time.Duration(t.running) * t.model.now.Sub(t.changed)
	t.busy, t.windowBusy, t.changed = t.busy+d, t.windowBusy+d, t.model.now
}

// modelCall is one call on its way.
type modelCall struct {
	host    int
	route   string
	tried   []string
	target  *modelTarget
	choice  route.Choice
	begun   time.Time
	started time.Time
	ticket  servicerate.Ticket
	link    time.Duration
	waiter  admission.Waiter
}

// newModel returns a model. admit describes the gates, choose the pickers.
func newModel(l load, admit admission.Config, choose route.Config) *model {
	m := &model{load: l, now: time.Unix(1000, 0), rnd: rand.New(rand.NewPCG(l.seed, 7))}
	m.start = m.now
	var records []*registry.Target
	admit.Slots, admit.FixedLimit, admit.NoShedding = l.slots, true, true
	for i, speed := range l.speeds {
		record := &registry.Target{Name: "t", Service: "s", Node: fmt.Sprint("node-", i), DataCentre: fmt.Sprint("dc-", l.centre(i)),
			Slots: l.slots, State: apiv1.TargetState_TARGET_STATE_READY}
		records = append(records, record)
		m.targets = append(m.targets, &modelTarget{model: m, record: record, gate: admission.NewStateMachine(admit), speed: speed,
			dataCentre: l.centre(i), changed: m.now, waiting: map[*admission.Waiter]*modelCall{}})
	}
	for i := range l.hosts {
		p := route.NewPicker(choose, fmt.Sprint("dc-", i%l.dataCentres), m, l.seed*1000+uint64(i))
		p.Update(records)
		m.pickers = append(m.pickers, p)
	}
	return m
}

func (m *model) warm() bool { return m.now.Sub(m.start) >= warmUp }

// run plays the load and returns what it measured.
func (m *model) run() *result {
	m.arrive()
	if m.stalled > 0 {
		m.stall()
	}
	m.after(warmUp, func() {
		for _, t := range m.targets {
			t.count()
			t.busy, t.windowBusy = 0, 0
		}
		m.after(utilWindow, m.measureWindow)
		m.measureCrossing(-1)
	})
	end := m.start.Add(warmUp + m.length)
	for m.now.Before(end) {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.do()
	}
	for _, t := range m.targets {
		t.count()
		m.result.utilisation = append(m.result.utilisation, t.busy.Seconds()/m.length.Seconds()/float64(m.slots))
	}
	return &m.result
}

// measureWindow compares the targets' utilisation in the last window.
func (m *model) measureWindow() {
	mean := 0.0
	for _, t := range m.targets {
		t.count()
		mean += t.windowBusy.Seconds() / utilWindow.Seconds() / float64(m.slots) / float64(len(m.targets))
	}
	for _, t := range m.targets {
		m.result.deviation = max(m.result.deviation, math.Abs(t.windowBusy.Seconds()/utilWindow.Seconds()/float64(m.slots)-mean))
		t.windowBusy = 0
	}
	m.after(utilWindow, m.measureWindow)
}

// measureCrossing measures how the share of calls that leave a data centre changes.
func (m *model) measureCrossing(last float64) {
	calls, crossed := m.result.calls, m.result.crossed
	const window = 200 * time.Millisecond
	m.after(window, func() {
		share := float64(m.result.crossed-crossed) / float64(max(m.result.calls-calls, 1))
		if last >= 0 {
			m.result.crossSwing += math.Abs(share-last) * window.Seconds() / m.length.Seconds()
		}
		m.measureCrossing(share)
	})
}

// stall makes other targets slow, all of them in turn in an order that depends on the seed.
func (m *model) stall() {
	if m.turn == nil {
		m.turn = rand.New(rand.NewPCG(m.seed, 8)).Perm(len(m.targets))
	}
	for i, t := range m.turn {
		m.targets[t].stalled = i < m.stalled
	}
	m.turn = append(m.turn[m.stalled:], m.turn[:m.stalled]...)
	m.after(m.stallFor, m.stall)
}

// arrive begins a call now and then, at a host of which each data centre has as many.
func (m *model) arrive() {
	peak := m.perSecond * (1 + m.wave)
	if m.demand != nil {
		peak = m.perSecond * m.peakDemand
	}
	m.after(time.Duration(m.rnd.ExpFloat64()/peak*float64(time.Second)), m.arrive)
	host := m.rnd.IntN(m.hosts)
	if m.demand != nil && m.rnd.Float64()*m.peakDemand > m.demand(m.now.Sub(m.start), host%m.dataCentres) {
		return
	}
	if m.wave > 0 {
		phase := m.now.Sub(m.start).Seconds()/m.wavePeriod.Seconds() + float64(host%m.dataCentres)/float64(m.dataCentres)
		if m.rnd.Float64()*(1+m.wave) > 1+m.wave*math.Sin(2*math.Pi*phase) {
			return
		}
	}
	c := &modelCall{host: host, begun: m.now, route: "r"}
	if m.longShare > 0 && m.rnd.Float64() < m.longShare {
		c.route = "long"
	}
	m.call(c)
}

// call sends a call to the target that the picker of its host chooses.
func (m *model) call(c *modelCall) {
	choice, refusal := m.pickers[c.host].Pick(route.Query{Route: c.route, Exclude: c.tried})
	if refusal != nil {
		m.refuse(c)
		return
	}
	i := slices.IndexFunc(m.targets, func(t *modelTarget) bool { return t.record == choice.Target() })
	c.target, c.choice, c.link = m.targets[i], choice, nearLink
	if c.host%m.dataCentres != c.target.dataCentre {
		c.link = farLink
	}
	if m.chosen != nil {
		m.chosen(c)
	}
	if m.warm() {
		if len(c.tried) == 0 {
			m.result.calls++
		} else {
			m.result.moved++
		}
		if c.link == farLink {
			m.result.crossed++
		}
	}
	m.after(c.link, c.reach)
}

func (m *model) refuse(c *modelCall) {
	if !m.warm() {
		return
	}
	m.result.refused++
	if m.refusedAt != nil {
		m.refusedAt(c)
	}
}

// reach passes the call to the gate of its target.
func (c *modelCall) reach() {
	t := c.target
	c.waiter.Request = admission.Request{Deadline: c.begun.Add(callTimeout), MaxWait: c.choice.QueueWait()}
	d := t.gate.Arrive(t.model.now, &c.waiter)
	switch d.Verdict {
	case admission.Started:
		c.start(d.Ticket)
	case admission.Refused:
		c.refused()
	case admission.Queued:
		t.waiting[&c.waiter] = c
		t.model.after(c.waiter.QueueDeadline.Sub(t.model.now), func() {
			if t.waiting[&c.waiter] != nil {
				t.gate.Expire(t.model.now, &c.waiter)
				t.decide()
			}
		})
	}
	t.decide()
}

// decide carries out what the gate has decided on calls in its queue.
func (t *modelTarget) decide() {
	for _, d := range slices.Clone(t.gate.TakeDecisions()) {
		c := t.waiting[d.Waiter]
		delete(t.waiting, d.Waiter)
		if d.Verdict == admission.Started {
			c.start(d.Ticket)
		} else {
			c.refused()
		}
	}
}

// start runs the call at its target.
func (c *modelCall) start(ticket servicerate.Ticket) {
	t, m := c.target, c.target.model
	t.count()
	t.running++
	c.started, c.ticket = m.now, ticket
	took := m.work.Seconds() * (1 - m.spread + 2*m.spread*m.rnd.Float64()) / t.speed
	if c.route == "long" {
		took *= 10
	}
	if t.stalled {
		took *= m.stallFactor
	}
	if m.knee > 0 && float64(t.running) > m.knee*float64(m.slots) {
		took *= m.kneeFactor
	}
	m.after(time.Duration(took*float64(time.Second)), c.finish)
}

// finish ends the call at its target and sends the answer back.
func (c *modelCall) finish() {
	t, m := c.target, c.target.model
	t.count()
	t.running--
	t.gate.Finish(m.now, c.started, admission.Result{Kind: admission.Success, Route: c.route, Ticket: c.ticket})
	t.decide()
	c.answer(route.Success)
}

// refused tells the caller that the call did not run. It is sent to another target if it was to wait briefly only, or if
// its target leaves.
func (c *modelCall) refused() {
	m := c.target.model
	c.answer(route.Refused)
	if !c.target.leaving && (c.choice.QueueWait() == 0 || len(c.tried) > 0) {
		m.refuse(c)
		return
	}
	m.after(c.link, func() {
		m.call(&modelCall{host: c.host, begun: c.begun, route: c.route, tried: append(c.tried, c.target.record.ID())})
	})
}

// answer brings the load report and the outcome to the caller.
func (c *modelCall) answer(o route.CallOutcome) {
	m := c.target.model
	report := c.target.report(c)
	choice := c.choice
	m.after(c.link, func() {
		took := m.now.Sub(c.begun)
		choice.Done(route.Observation{Outcome: o, Latency: took, Load: report})
		if m.warm() && o == route.Success {
			m.result.latencies = append(m.result.latencies, took)
			if took > lateAfter {
				m.result.late++
			}
		}
	})
}
