package lab

import (
	"fmt"
	"math/rand/v2"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/admission"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/retry"
	"github.com/guavaford/guavaford/internal/route"
)

// Admission is the kind of admission control in front of each target.
type Admission int

// The kinds of admission.
const (
	// Adaptive is the product's admission control.
	Adaptive Admission = iota
	// Fixed is a fixed limit with one FIFO queue.
	Fixed
	// PassThrough admits everything.
	PassThrough
)

// Policy says which decisions are made by the product and which by a baseline.
type Policy struct {
	Name      string
	Admission Admission
	// Routing uses the product's picker; otherwise targets are picked at random.
	Routing bool
	Route   route.Config
	// Retries uses the product's allowance, budget and backoff; otherwise each hop retries up to
	// baselineRetries times without waiting.
	Retries bool
}

// Policies returns the policies of the table, the product first.
func Policies() []Policy {
	return []Policy{Product(), {Name: "fixed-fifo", Admission: Fixed}, {Name: "pass-through", Admission: PassThrough}}
}

// Product returns the policy in which the product makes all decisions.
func Product() Policy {
	return Policy{Name: "guavaford", Routing: true, Route: route.DefaultConfig(), Retries: true}
}

const (
	// baselineRetries is the number of extra attempts that each hop of a baseline makes.
	baselineRetries = 2
	// retryAllowance is the product's allowance of extra attempts for a whole call tree.
	retryAllowance = 3
	// pingTimeout is the time until a node gives up a connection without answers to its pings.
	pingTimeout = time.Second
	// registryDelay is the time until all nodes know of a change of a target.
	registryDelay = time.Second
	// nodeTimeout is the time until the registry hides a node without heartbeats.
	nodeTimeout = 4 * time.Second
	// dialTimeout is how long a node waits for a new connection to open.
	dialTimeout  = 300 * time.Millisecond
	goneState    = apiv1.TargetState_TARGET_STATE_GONE
	leavingState = apiv1.TargetState_TARGET_STATE_LEAVING
)

// run is the simulation of one scenario under one policy.
type run struct {
	sim        *Sim
	random     *rand.Rand
	deployment *Deployment
	scenario   *Scenario
	policy     Policy
	targets    map[string]*fakeTarget
	// targetList holds the targets in a fixed order.
	targetList []*fakeTarget
	gates      map[string]gate
	nodes      []*node
	// nodeByTarget holds the node beside each target, by the target's ID.
	nodeByTarget map[string]*node
	requests     uint64
	recorder     *recorder
}

// newRun builds the simulated deployment.
func newRun(d *Deployment, sc *Scenario, p Policy, seed uint64) *run {
	r := &run{
		sim:          NewSim(),
		random:       rand.New(rand.NewPCG(seed, 1)),
		deployment:   d,
		scenario:     sc,
		policy:       p,
		targets:      make(map[string]*fakeTarget),
		gates:        make(map[string]gate),
		nodeByTarget: make(map[string]*node),
	}
	r.recorder = newRecorder(r)
	for i := range d.Services {
		for n := range d.Services[i].Targets {
			r.addTarget(&d.Services[i], n)
		}
	}
	for i, n := range r.nodes {
		r.addPickers(n, uint64(i))
	}
	r.publishTargets()
	return r
}

// addTarget makes a target, its gate and the node beside it.
func (r *run) addTarget(s *Service, n int) {
	record := &registry.Target{
		Name:       s.Name,
		Service:    s.Name,
		Node:       fmt.Sprintf("%s-%d", s.Name, n),
		DataCentre: r.deployment.DataCentres[n%len(r.deployment.DataCentres)],
		Slots:      s.Slots,
		State:      apiv1.TargetState_TARGET_STATE_READY,
	}
	t := &fakeTarget{run: r, service: s, slots: s.Slots, record: record, slowFactor: 1}
	r.targets[record.ID()] = t
	r.targetList = append(r.targetList, t)
	r.gates[record.ID()] = r.newGate(admission.Config{Service: s.Name, Slots: s.Slots})
	beside := &node{dataCentre: record.DataCentre}
	r.nodes = append(r.nodes, beside)
	r.nodeByTarget[record.ID()] = beside
}

// newGate returns a gate of the kind that the policy names.
func (r *run) newGate(c admission.Config) gate {
	switch r.policy.Admission {
	case Fixed:
		return &fixedGate{limit: c.Slots}
	case PassThrough:
		return &passThroughGate{}
	default:
		return newAdaptiveGate(r.sim, c)
	}
}

// addPickers gives a node a picker and a budget for each service.
func (r *run) addPickers(n *node, number uint64) {
	n.pickers = make(map[string]picker)
	cfg := r.policy.Route
	cfg.CutoffCache = route.NewCutoffCache(r.sim)
	n.budgets = make(map[string]*retry.Budget)
	for i, s := range r.deployment.Services {
		p := route.NewPicker(cfg, n.dataCentre, r.sim, number*100+uint64(i))
		n.pickers[s.Name] = p
		if !r.policy.Routing {
			n.pickers[s.Name] = &randomPicker{Picker: p, random: r.random}
		}
		n.budgets[s.Name] = retry.NewBudget(retry.DefaultBudgetRatio, retry.DefaultBudgetBurst)
	}
}

// publishTargets passes the records of all targets to all pickers.
func (r *run) publishTargets() {
	byService := make(map[string][]*registry.Target)
	for _, t := range r.targetList {
		byService[t.service.Name] = append(byService[t.service.Name], t.record)
	}
	for _, n := range r.nodes {
		for name, records := range byService {
			n.pickers[name].Update(records)
		}
	}
}

// updateTarget replaces the record of a target; nodes learn of it after registryDelay.
func (r *run) updateTarget(t *fakeTarget, edit func(*registry.Target)) {
	record := *t.record
	edit(&record)
	t.record = &record
	r.sim.After(registryDelay, r.publishTargets)
}

// targetOf returns target number n of a service.
func (r *run) targetOf(service string, n int) *fakeTarget {
	return r.targets[fmt.Sprintf("%s-%d/%s", service, n, service)]
}

// delay returns the one-way delay between nodes of two data centres.
func (r *run) delay(a, b string) time.Duration {
	if a == b {
		return localDelay
	}
	return r.deployment.CrossDelay
}

// randomPicker is the routing baseline: it picks targets at random.
type randomPicker struct {
	*route.Picker
	random *rand.Rand
	ids    []string
}

func (p *randomPicker) Update(targets []*registry.Target) {
	p.ids = p.ids[:0]
	for _, t := range targets {
		if t.State != leavingState && t.State != goneState {
			p.ids = append(p.ids, t.ID())
		}
	}
	p.Picker.Update(targets)
}

func (p *randomPicker) Pick(q route.Query) (route.Choice, *outcome.Refusal) {
	id := p.ids[p.random.IntN(len(p.ids))]
	return p.Picker.Pick(route.Query{Accept: func(t *registry.Target) bool { return t.ID() == id }})
}
