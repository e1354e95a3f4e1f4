package ratelab

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/rate"
)

// event is a function that runs at a time; order breaks ties.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// Link describes the network between nodes and owners.
type Link struct {
	// Delay is the least one-way delay, Jitter the greatest addition to it.
	Delay, Jitter time.Duration
	// Loss and Duplicate are the shares of messages lost and repeated.
	Loss, Duplicate float64
}

// Simulation is one simulation in virtual time.
type Simulation struct {
	Link Link
	// Shards is the number of shards, fixed before the first owner and node are added.
	Shards uint32
	// Messages counts the requests that nodes sent.
	Messages int
	// Bytes counts the bytes of requests and answers, without transport headers.
	Bytes int

	cfg       rate.Config
	rnd       *rand.Rand
	startTime time.Time
	now       time.Duration
	order     uint64
	queue     eventQueue
	nodes     []*Node
	owners    []*owner
	limits    map[string]limit
}

// limit is the rate and burst of an organisation.
type limit struct {
	perSecond, burst float64
}

// NewSimulation returns a simulation without nodes and owners.
func NewSimulation(cfg rate.Config, seed uint64) *Simulation {
	return &Simulation{
		Link:      Link{Delay: time.Millisecond, Jitter: time.Millisecond / 2},
		Shards:    1,
		cfg:       cfg.WithDefaults(),
		rnd:       rand.New(rand.NewPCG(seed, seed)),
		startTime: time.Unix(1_000_000, 0),
		limits:    make(map[string]limit),
	}
}

// At schedules run at the virtual time d after the start of the simulation.
func (w *Simulation) At(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, event{at: max(d, w.now), order: w.order, run: run})
}

// After schedules run d from now.
func (w *Simulation) After(d time.Duration, run func()) {
	w.At(w.now+d, run)
}

// Run executes events up to the end.
func (w *Simulation) Run(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// Now returns the virtual time since the start.
func (w *Simulation) Now() time.Duration {
	return w.now
}

// SetLimits sets rate and burst of an organisation from now on.
func (w *Simulation) SetLimits(organisation string, perSecond, burst float64) {
	w.limits[organisation] = limit{perSecond: perSecond, burst: burst}
}

// driftingClock is the clock of one process, which drifts by ppm parts per million.
type driftingClock struct {
	world *Simulation
	ppm   int64
}

// Now returns the virtual time as this clock shows it.
func (c driftingClock) Now() time.Time {
	drift := c.world.now * time.Duration(c.ppm) / 1_000_000
	return c.world.startTime.Add(c.world.now + drift)
}

// owner is a control replica that owns all shards for one epoch.
type owner struct {
	clock      driftingClock
	allocators []*rate.Allocator
	// ownedUntil is when its ownership ends, in virtual time.
	ownedUntil time.Duration
}

// AddOwner appoints a new owner now. The former one may still grant for the time oldGrants.
func (w *Simulation) AddOwner(ppm int64, oldGrants time.Duration) {
	clk := driftingClock{world: w, ppm: ppm}
	start := clk.Now()
	if n := len(w.owners); n > 0 {
		w.owners[n-1].ownedUntil = w.now + oldGrants
		start = start.Add(w.cfg.TakeoverWait())
	}
	epoch := uint64(len(w.owners) + 1)
	o := &owner{clock: clk, ownedUntil: 1 << 62}
	for range w.Shards {
		o.allocators = append(o.allocators, rate.NewAllocator(w.cfg, epoch, start))
	}
	w.owners = append(w.owners, o)
}

// lease answers a request at an owner.
func (w *Simulation) lease(o *owner, req *apiv1.LeaseRequest) *apiv1.LeaseResponse {
	if w.now >= o.ownedUntil {
		return &apiv1.LeaseResponse{Sequence: req.GetSequence(), NotOwner: true}
	}
	now := o.clock.Now()
	allocator := o.allocators[req.GetShard()]
	for _, d := range req.GetDemands() {
		if l, ok := w.limits[d.GetOrganisation()]; ok {
			allocator.SetLimits(now, d.GetOrganisation(), l.perSecond, l.burst)
		}
	}
	return allocator.Lease(now, req)
}

// Node is a simulated node.
type Node struct {
	// DataCentre is the data centre of the node.
	DataCentre int
	// Disconnected is true while no message passes between the node and the owners.
	Disconnected bool

	world   *Simulation
	number  int
	restart uint64
	clock   driftingClock
	lessee  *rate.Lessee
	owner   int
	pending []waitingRequest
	wakeAt  time.Duration
}

// Outcome tells whether a request got a token and how long it waited.
type Outcome struct {
	Admitted bool
	Waited   time.Duration
	Charge   rate.Charge
}

// waitingRequest is a request that waits for a token at a node.
type waitingRequest struct {
	ticket  *rate.Ticket
	arrived time.Duration
	done    func(Outcome)
}

// AddNode adds a node whose clock drifts by ppm parts per million.
func (w *Simulation) AddNode(dataCentre int, ppm int64) *Node {
	n := &Node{DataCentre: dataCentre, world: w, number: len(w.nodes), clock: driftingClock{world: w, ppm: ppm}}
	n.start()
	w.nodes = append(w.nodes, n)
	return n
}

func (n *Node) start() {
	id := rate.Identity{Node: fmt.Sprintf("n%d", n.number), Incarnation: n.restart + 1}
	n.lessee = rate.NewLessee(n.world.cfg, id, n.world.Shards, n.clock)
	n.wakeAt = 1 << 62
	n.sendDue()
}

// Restart ends the process of the node and starts a new one without any state.
func (n *Node) Restart() {
	for _, p := range n.pending {
		p.done(Outcome{Waited: n.world.now - p.arrived})
	}
	n.pending = nil
	n.restart++
	n.start()
}

// UseLatestOwner makes the node send its requests to the latest owner.
func (n *Node) UseLatestOwner() {
	n.owner = len(n.world.owners) - 1
}

// Request asks for a token; done is called once with the outcome.
func (n *Node) Request(organisation string, timeout time.Duration, done func(Outcome)) {
	now := n.clock.Now()
	if charge, ok := n.lessee.TryTake(now, organisation); ok {
		done(Outcome{Admitted: true, Charge: charge})
		return
	}
	ticket, refusal := n.lessee.Enqueue(now, organisation, now.Add(timeout))
	if refusal != nil {
		done(Outcome{})
		return
	}
	p := waitingRequest{ticket: ticket, arrived: n.world.now, done: done}
	n.pending = append(n.pending, p)
	limit := min(timeout, n.world.cfg.MaxWait)
	n.world.After(limit, func() { n.resolveWaiting() })
	n.sendDue()
}

// Refund takes back the token of a request that was not run.
func (n *Node) Refund(c rate.Charge) {
	c.Refund()
	n.resolveWaiting()
}

// resolveWaiting reports the outcome of requests whose wait is over.
func (n *Node) resolveWaiting() {
	open := n.pending[:0]
	for _, p := range n.pending {
		waited := n.world.now - p.arrived
		charge, refusal, ok := p.ticket.Poll()
		if !ok && waited >= n.world.cfg.MaxWait {
			charge, refusal = n.lessee.Timeout(n.clock.Now(), p.ticket)
			ok = true
		}
		if !ok {
			open = append(open, p)
			continue
		}
		p.done(Outcome{Admitted: refusal == nil && charge.Valid(), Waited: waited, Charge: charge})
	}
	n.pending = open
}

// sendDue sends the lease requests that are due and schedules the next check.
func (n *Node) sendDue() {
	w := n.world
	due, next := n.lessee.Requests(n.clock.Now())
	for _, out := range due {
		n.transmit(out)
	}
	at := w.now + next.Sub(n.clock.Now())
	if at >= n.wakeAt && n.wakeAt > w.now {
		return
	}
	n.wakeAt = at
	w.At(at, func() {
		if n.wakeAt == at {
			n.sendDue()
		}
	})
}

// transmit sends one request over the link, and its answer back.
func (n *Node) transmit(out rate.PendingRequest) {
	w := n.world
	w.Messages++
	w.Bytes += proto.Size(out.Request)
	lessee := n.lessee
	to := w.owners[n.owner]
	w.send(n, func() {
		resp := w.lease(to, out.Request)
		w.Bytes += proto.Size(resp)
		w.send(n, func() {
			if n.lessee != lessee {
				return
			}
			lessee.ApplyResponse(n.clock.Now(), out, resp)
			n.resolveWaiting()
			n.sendDue()
		})
	})
}

// send delivers a message never, once or twice, each time after its own delay.
func (w *Simulation) send(n *Node, deliver func()) {
	if n.Disconnected || w.rnd.Float64() < w.Link.Loss {
		return
	}
	copies := 1
	if w.rnd.Float64() < w.Link.Duplicate {
		copies = 2
	}
	for range copies {
		delay := w.Link.Delay + time.Duration(w.rnd.Float64()*float64(w.Link.Jitter))
		w.After(delay, func() {
			if !n.Disconnected {
				deliver()
			}
		})
	}
}
