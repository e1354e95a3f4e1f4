package ratelab

import (
	"fmt"
	"io"
	"time"

	"github.com/guavaford/guavaford/internal/rate"
)

// Deployment is the size of an installation and the delay between its data centres.
type Deployment struct {
	Name string
	// NodesByDataCentre counts the nodes of each data centre.
	NodesByDataCentre []int
	// Delay is the one-way delay between data centres.
	Delay time.Duration
}

// Koperasi and Verband are the two installations of today.
var (
	Koperasi = Deployment{Name: "koperasi", NodesByDataCentre: []int{5, 4, 4}, Delay: 500 * time.Microsecond}
	Verband  = Deployment{Name: "verband", NodesByDataCentre: []int{4, 4, 4}, Delay: 1500 * time.Microsecond}
)

// Nodes returns the number of nodes.
func (d Deployment) Nodes() int {
	sum := 0
	for _, n := range d.NodesByDataCentre {
		sum += n
	}
	return sum
}

// Method is a way to enforce the rate over the nodes.
type Method struct {
	Name string
	Cfg  rate.Config
	// Split gives each node a fixed part of rate and burst in place of leases.
	Split bool
}

// Methods returns the methods that are compared with each other; the first is the one in use.
func Methods() []Method {
	return []Method{
		{Name: "lease"},
		{Name: "static split", Split: true},
	}
}

// Flow is the demand of one organisation.
type Flow struct {
	Organisation     string
	PerSecond, Burst float64
	// Demand is the mean arrival rate a second.
	Demand float64
	// Node chooses the node that a request enters.
	Node func(w *Simulation, now time.Duration) *Node
}

// Result is the outcome of one organisation in one run, or of all organisations in a fleet run.
type Result struct {
	Scenario, Deployment, Method string
	Organisation                 string
	Demand, Admitted, Ideal      int
	WrongfulRefusalShare         float64
	Excess                       float64
	WaitP50, WaitP99             time.Duration
	// MessagesPerNode is the number of lease requests a second of one node.
	MessagesPerNode float64
	// BytesPerNode is the bytes a second of one node's requests and answers.
	BytesPerNode float64
}

const (
	warmUpTime     = 3 * time.Second
	measuredTime   = 60 * time.Second
	requestTimeout = 2 * time.Second
)

// run simulates flows over a deployment and returns one result for each flow.
func run(scenario string, d Deployment, m Method, flows []Flow, seed uint64, events ...func(w *Simulation)) []Result {
	w := NewSimulation(m.Cfg, seed)
	w.Link = Link{Delay: d.Delay, Jitter: d.Delay / 5}
	w.AddOwner(0, 0)
	for dc, count := range d.NodesByDataCentre {
		for range count {
			w.AddNode(dc, 0)
		}
	}
	tallies := make([]*OutcomeCounter, len(flows))
	for i, f := range flows {
		w.SetLimits(f.Organisation, f.PerSecond, f.Burst)
		tallies[i] = NewOutcomeCounter(f.PerSecond, f.Burst)
		w.generateRequests(f, tallies[i], splitBuckets(w, f, m))
	}
	for _, schedule := range events {
		schedule(w)
	}
	w.At(warmUpTime, func() {
		w.Messages = 0
		w.Bytes = 0
		for _, t := range tallies {
			t.StartMeasuring()
		}
	})
	w.Run(warmUpTime + measuredTime)
	rows := make([]Result, len(flows))
	for i, t := range tallies {
		rows[i] = Result{
			Scenario: scenario, Deployment: d.Name, Method: m.Name, Organisation: flows[i].Organisation,
			Demand: t.Demand, Admitted: t.Admitted, Ideal: t.Ideal,
			WrongfulRefusalShare: t.WrongfulRefusalShare(), Excess: t.Excess,
			WaitP50: t.Wait(50), WaitP99: t.Wait(99),
			MessagesPerNode: float64(w.Messages) / measuredTime.Seconds() / float64(d.Nodes()),
			BytesPerNode:    float64(w.Bytes) / measuredTime.Seconds() / float64(d.Nodes()),
		}
	}
	return rows
}

// generateRequests makes the requests of a flow arrive. split holds the bucket of each node in the static
// split; nil for leases.
func (w *Simulation) generateRequests(f Flow, t *OutcomeCounter, split map[*Node]*Bucket) {
	w.poissonArrivals(f.Demand, func() {
		n := f.Node(w, w.now)
		done := t.Arrive(w.Now)
		if split != nil {
			done(Outcome{Admitted: split[n].Take(w.now)})
			return
		}
		n.Request(f.Organisation, requestTimeout, done)
	})
}

// poissonArrivals runs arrive at exponentially distributed intervals, perSecond times a second on average.
func (w *Simulation) poissonArrivals(perSecond float64, arrive func()) {
	pause := func() time.Duration {
		return time.Duration(w.rnd.ExpFloat64() / perSecond * float64(time.Second))
	}
	var next func()
	next = func() {
		arrive()
		w.After(pause(), next)
	}
	w.After(pause(), next)
}

// splitBuckets returns a bucket for each node with its part of the static split, at least one token of burst each.
func splitBuckets(w *Simulation, f Flow, m Method) map[*Node]*Bucket {
	if !m.Split {
		return nil
	}
	parts := make(map[*Node]*Bucket, len(w.nodes))
	count := float64(len(w.nodes))
	for _, n := range w.nodes {
		parts[n] = NewBucket(f.PerSecond/count, max(1, f.Burst/count))
	}
	return parts
}

// anyNode picks a random node, each with the same probability.
func anyNode(w *Simulation, _ time.Duration) *Node {
	return w.nodes[w.rnd.IntN(len(w.nodes))]
}

// movingNode picks random nodes of one data centre, and of the next one after each period.
func movingNode(period time.Duration) func(w *Simulation, now time.Duration) *Node {
	return func(w *Simulation, now time.Duration) *Node {
		last := w.nodes[len(w.nodes)-1].DataCentre
		dc := int(now/period) % (last + 1)
		for {
			if n := anyNode(w, now); n.DataCentre == dc {
				return n
			}
		}
	}
}

// OverloadedOrganisation simulates one organisation at 5 times its rate beside seven within theirs.
func OverloadedOrganisation(d Deployment, m Method) []Result {
	return run("d", d, m, largeBesideSmall(), 1)
}

func largeBesideSmall() []Flow {
	flows := []Flow{{Organisation: "large", PerSecond: 400, Burst: 200, Demand: 2000, Node: anyNode}}
	for i := range 7 {
		perSecond := 20 * float64(i+1)
		flows = append(flows, Flow{
			Organisation: fmt.Sprintf("small-%d", i+1),
			PerSecond:    perSecond,
			Burst:        perSecond / 2,
			Demand:       0.8 * perSecond,
			Node:         anyNode,
		})
	}
	return flows
}

// MovingDemand simulates one organisation whose requests move between data centres, with a burst below the
// number of nodes.
func MovingDemand(d Deployment, m Method) []Result {
	flow := Flow{
		Organisation: "moving", PerSecond: 100, Burst: 6, Demand: 70,
		Node: movingNode(2 * time.Second),
	}
	return run("g", d, m, []Flow{flow}, 2)
}

// OwnerChange simulates one organisation at 70 % of its rate whose shard moves to another owner
// once. The former owner grants until its ownership lease ends; nodes learn of the new one
// within 300 ms.
func OwnerChange(d Deployment, m Method) []Result {
	flow := Flow{Organisation: "steady", PerSecond: 200, Burst: 100, Demand: 140, Node: anyNode}
	change := func(w *Simulation) {
		w.At(warmUpTime+measuredTime/2, func() { w.AddOwner(0, w.cfg.OwnerLease) })
		for _, n := range w.nodes {
			w.At(warmUpTime+measuredTime/2+time.Duration(w.rnd.Int64N(int64(300*time.Millisecond))), n.UseLatestOwner)
		}
	}
	return run("owner change", d, m, []Flow{flow}, 3, change)
}

// RunScenarios runs the scenarios for both deployments and all methods.
func RunScenarios() []Result {
	var rows []Result
	for _, m := range Methods() {
		for _, d := range []Deployment{Koperasi, Verband} {
			rows = append(rows, OverloadedOrganisation(d, m)...)
			rows = append(rows, MovingDemand(d, m)...)
			if !m.Split {
				rows = append(rows, OwnerChange(d, m)...)
			}
		}
	}
	return rows
}

// WriteTable writes results as a table in Markdown.
func WriteTable(out io.Writer, rows []Result) {
	fmt.Fprintln(out, "| Scenario | Deployment | Method | Organisation | Demand | Admitted | Ideal | Refused within rate | Excess | Wait p50 | Wait p99 | Requests/s of a node | KB/s of a node |")
	fmt.Fprintln(out, "|---|---|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|")
	for _, r := range rows {
		fmt.Fprintf(out, "| %s | %s | %s | %s | %d | %d | %d | %.3f %% | %.3g | %.1f ms | %.1f ms | %.1f | %.1f |\n",
			r.Scenario, r.Deployment, r.Method, r.Organisation, r.Demand, r.Admitted, r.Ideal,
			100*r.WrongfulRefusalShare, r.Excess, ms(r.WaitP50), ms(r.WaitP99), r.MessagesPerNode, r.BytesPerNode/1000)
	}
}

func ms(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
