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

// Admission says what stands before a target.
type Admission int

// The kinds of admission.
const (
	// Adaptive is the product's gate.
	Adaptive Admission = iota
	// Fixed is a fixed limit with one FIFO queue.
	Fixed
	// PassThrough admits everything.
	PassThrough
)

// Policy says which decisions are the product's.
type Policy struct {
	Name      string
	Admission Admission
	// Routing uses the product's picker; else targets are drawn at random.
	Routing bool
	Route   route.Config
	// Retries uses allowance, budget and backoff; else each hop tries up to baselineExtra
	// more times at once.
	Retries bool
}

// Policies returns the policies of the table, the product first.
func Policies() []Policy {
	return []Policy{Product(), {Name: "fixed-fifo", Admission: Fixed}, {Name: "pass-through", Admission: PassThrough}}
}

// Product returns the policy with all decisions of the product.
func Product() Policy {
	return Policy{Name: "guavaford", Routing: true, Route: route.DefaultConfig(), Retries: true}
}

const (
	// baselineExtra is the number of extra attempts that each hop of a baseline makes.
	baselineExtra = 2
	// allowanceExtra is the product's allowance for a whole request.
	allowanceExtra = 3
	// silenceBound is when a node gives up on a connection that went silent.
	silenceBound = time.Second
	// registryDelay is the time until a change of a target is known at all nodes.
	registryDelay = time.Second
	// livenessBound is the time until the registry hides a host that isn't heard.
	livenessBound = 4 * time.Second
	// dialTimeout bounds the opening of a new connection.
	dialTimeout  = 300 * time.Millisecond
	goneState    = apiv1.TargetState_TARGET_STATE_GONE
	leavingState = apiv1.TargetState_TARGET_STATE_LEAVING
)

// run is one scenario under one policy.
type run struct {
	sim        *Sim
	random     *rand.Rand
	deployment *Deployment
	scenario   *Scenario
	policy     Policy
	targets    map[string]*fakeTarget
	order      []*fakeTarget
	gates      map[string]gate
	nodes      []*node
	beside     map[string]*node
	requests   uint64
	result     *recorder
}

// newRun builds the deployment.
func newRun(d *Deployment, sc *Scenario, p Policy, seed uint64) *run {
	r := &run{
		sim:        NewSim(),
		random:     rand.New(rand.NewPCG(seed, 1)),
		deployment: d,
		scenario:   sc,
		policy:     p,
		targets:    make(map[string]*fakeTarget),
		gates:      make(map[string]gate),
		beside:     make(map[string]*node),
	}
	r.result = newRecorder(r)
	for i := range d.Services {
		for n := range d.Services[i].Targets {
			r.addTarget(&d.Services[i], n)
		}
	}
	for i, n := range r.nodes {
		r.addPickers(n, uint64(i))
	}
	r.announce()
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
	t := &fakeTarget{run: r, service: s, slots: s.Slots, record: record, slow: 1}
	r.targets[record.ID()] = t
	r.order = append(r.order, t)
	r.gates[record.ID()] = r.newGate(admission.Config{Service: s.Name, Slots: s.Slots})
	beside := &node{dataCentre: record.DataCentre}
	r.nodes = append(r.nodes, beside)
	r.beside[record.ID()] = beside
}

// newGate returns the gate of the policy.
func (r *run) newGate(c admission.Config) gate {
	switch r.policy.Admission {
	case Fixed:
		return &fixedGate{limit: c.Slots}
	case PassThrough:
		return &openGate{}
	default:
		return newCoreGate(r.sim, c)
	}
}

// addPickers gives a node a picker and a budget for each service.
func (r *run) addPickers(n *node, number uint64) {
	n.pickers = make(map[string]picker)
	cfg := r.policy.Route
	cfg.Cutoffs = route.NewCutoffs(r.sim)
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

// announce passes the records of all targets to all pickers.
func (r *run) announce() {
	byService := make(map[string][]*registry.Target)
	for _, t := range r.order {
		byService[t.service.Name] = append(byService[t.service.Name], t.record)
	}
	for _, n := range r.nodes {
		for name, records := range byService {
			n.pickers[name].Update(records)
		}
	}
}

// change replaces the record of a target; nodes learn it after registryDelay.
func (r *run) change(t *fakeTarget, edit func(*registry.Target)) {
	record := *t.record
	edit(&record)
	t.record = &record
	r.sim.After(registryDelay, r.announce)
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

// randomPicker is the baseline of routing.
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
