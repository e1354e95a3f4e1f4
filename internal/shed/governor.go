package shed

import (
	"math"
	"sync"
	"time"
)

const (
	// adjustInterval is the time between two adjustments of the shares. An adjustment shows in the
	// readings after about the duration of a call chain.
	adjustInterval = 200 * time.Millisecond
	// loadSetpoint is the load at which services are held. Above it, random variation makes queues grow.
	loadSetpoint = 0.93
	// additiveIncrease is added to every share in each adjustment. It weighs more for small shares, so
	// that the shares of all entries of a service converge (additive increase, multiplicative decrease).
	// It raises the load at which services settle by 4% when a fifth of the demand is admitted.
	additiveIncrease = 0.004
	// maxDecreaseFactor and maxIncreaseFactor bound the factor of one adjustment.
	maxDecreaseFactor = 0.7
	maxIncreaseFactor = 1.4
	// adjustGain is the part of the deviation that one adjustment corrects.
	adjustGain = 0.5
	// readingLag is the delay of the readings behind the shares: the duration of a call chain plus the
	// averaging. A reading is compared with the share that caused it.
	readingLag = 400 * time.Millisecond
	// minShare keeps readings arriving from a service for which nearly all requests are refused.
	minShare = 0.05
	// demandDecay is the time constant of the exponential decay of the demand.
	demandDecay = 2 * time.Second
	// overloadThreshold is the load above which requests begin to be refused.
	overloadThreshold = 1.0
	// maxRanks is the number of distinct ranks: 16 priorities of organisations by 16 of classes.
	maxRanks = 16 * 16
)

// Rank orders requests by importance: the organisation's priority is compared before that of the class,
// and 0 is the most important.
type Rank struct {
	Organisation, Class int
}

func (r Rank) number() int {
	return min(max(r.Organisation, 0), 15)*16 + min(max(r.Class, 0), 15)
}

// Shedder decides which new requests one entry node admits. It is safe for concurrent use.
type Shedder struct {
	tracker *LoadTracker
	options Options

	mu         sync.Mutex
	adjustedAt time.Time
	services   map[string]*serviceLimiter
}

// serviceLimiter holds the share of the demand on one service that this entry admits.
type serviceLimiter struct {
	share float64
	// losing is true while the loss rate of the service exceeds normalLossRate.
	losing bool
	// coldUntil is when the first target of the service is warm; zero unless all are cold. Until openingUntil it has just become warm.
	coldUntil    time.Time
	openingUntil time.Time
	// laggedShare is the share delayed by readingLag: the one that caused the current reading.
	laggedShare float64
	// demand is the decayed number of calls to the service that the requests of each rank would make.
	demand [maxRanks]float64
	ranks  []int
	// admitProbability is the share of the requests of each rank that is admitted.
	admitProbability [maxRanks]float64
}

// OverloadChange reports that a service has become overloaded or has recovered.
type OverloadChange struct {
	Service    string
	Overloaded bool
	// Load and Age describe the reading behind the change.
	Load float64
	Age  time.Duration
}

// Options configures a Shedder. The zero value enables every mechanism.
type Options struct {
	// OnOverloadChange, if set, is called when requests begin to be refused because of a service, and when all are
	// admitted again. It must not block.
	OnOverloadChange func(OverloadChange)
	// OnLossChange, if set, is called when calls to a service begin to be lost, and when they no longer are.
	// It must not block.
	OnLossChange func(LossChange)
	// AdmitAll admits requests whatever the load of services.
	AdmitAll bool
	// IgnoreLoss admits requests whatever their probability to finish.
	IgnoreLoss bool
}

// LossChange reports that calls to a service have begun to be lost, or no longer are.
type LossChange struct {
	Service string
	Losing  bool
	// Share and Age describe the reading behind the change.
	Share float64
	Age   time.Duration
}

// NewShedder returns a shedder that admits everything until a service is overloaded or loses calls.
func NewShedder(relay *LoadTracker, o Options) *Shedder {
	if o.OnOverloadChange == nil {
		o.OnOverloadChange = func(OverloadChange) {}
	}
	if o.OnLossChange == nil {
		o.OnLossChange = func(LossChange) {}
	}
	return &Shedder{tracker: relay, options: o, services: map[string]*serviceLimiter{}}
}

// Decision is the result for one request and the values that led to it.
type Decision struct {
	Admitted bool
	// Service is the overloaded service, Load its reading, Age the age of the reading and Share the share
	// of the demand that is admitted.
	Service string
	Load    float64
	Age     time.Duration
	Share   float64
	// Calls is the number of calls to Service that the request would make.
	Calls float64
	// Unlikely is true if the request was refused because SuccessProbability, its probability to finish, is too low.
	Unlikely           bool
	SuccessProbability float64
}

// Request is a new request at an entry.
type Request struct {
	ServiceRoute ServiceRoute
	Rank         Rank
	// Repeatable is true if the caller may safely send the request again, whether or not it ran.
	Repeatable bool
	// Random is a random number in [0, 1) for the request.
	Random float64
}

// Admit decides whether a request enters.
func (g *Shedder) Admit(now time.Time, a Request) Decision {
	w, rank, draw := a.ServiceRoute, a.Rank, a.Random
	needs := g.tracker.CallsPerRequest(w)
	if chance, worst := g.tracker.SuccessProbability(now, w, needs); !g.options.IgnoreLoss && draw >= admitProbability(chance, a.Repeatable) {
		load, age, _ := g.tracker.Load(now, worst)
		return Decision{Service: worst, Load: load, Age: age, Calls: needs[worst], Unlikely: true, SuccessProbability: chance}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.adjustedAt) >= adjustInterval {
		g.adjust(now)
	}
	decision := Decision{Admitted: true}
	for name, calls := range needs {
		c := g.services[name]
		if c == nil {
			c = &serviceLimiter{share: 1, laggedShare: 1}
			g.services[name] = c
		}
		c.addDemand(rank.number(), calls)
		if !g.options.AdmitAll && c.share < 1 && draw >= c.admitProbability[rank.number()] {
			load, age, _ := g.tracker.Load(now, name)
			decision = Decision{Service: name, Load: load, Age: age, Share: c.share, Calls: calls}
		}
	}
	return decision
}

// addDemand adds the calls that a request would make to the demand of its rank.
func (c *serviceLimiter) addDemand(rank int, calls float64) {
	if c.demand[rank] == 0 {
		c.ranks = insertSorted(c.ranks, rank)
		c.admitProbability[rank] = 1
		if c.share < 1 {
			c.admitProbability[rank] = c.share
		}
	}
	c.demand[rank] += calls
}

// insertSorted adds a rank to a sorted list unless the list has it.
func insertSorted(sorted []int, rank int) []int {
	i := 0
	for i < len(sorted) && sorted[i] < rank {
		i++
	}
	if i < len(sorted) && sorted[i] == rank {
		return sorted
	}
	sorted = append(sorted, 0)
	copy(sorted[i+1:], sorted[i:])
	sorted[i] = rank
	return sorted
}

// adjust updates the shares from the latest readings and reports changes.
func (g *Shedder) adjust(now time.Time) {
	elapsed := now.Sub(g.adjustedAt)
	g.adjustedAt = now
	decay := math.Exp(-min(elapsed, time.Minute).Seconds() / demandDecay.Seconds())
	for name, c := range g.services {
		load, age, ok := g.tracker.Load(now, name)
		if lost, age := g.tracker.LossRate(now, name); (lost > normalLossRate) != c.losing {
			c.losing = !c.losing
			g.options.OnLossChange(LossChange{Service: name, Losing: c.losing, Share: lost, Age: age})
		}
		previous := c.share
		c.observeCold(now, g.tracker.ColdUntil(now, name), ok)
		c.updateShare(now, load, ok)
		if (previous < 1) != (c.share < 1) {
			g.options.OnOverloadChange(OverloadChange{Service: name, Overloaded: c.share < 1, Load: load, Age: age})
		}
		c.laggedShare += (1 - math.Exp(-min(elapsed, time.Minute).Seconds()/readingLag.Seconds())) * (c.share - c.laggedShare)
		c.allocate()
		for _, rank := range c.ranks {
			c.demand[rank] *= decay
		}
	}
}

// updateShare changes the share by the deviation of the load from loadSetpoint.
func (c *serviceLimiter) updateShare(now time.Time, load float64, known bool) {
	lowest, highest, gain := c.pace(now)
	switch {
	case !known:
		c.share = min(c.share*highest, 1)
	case c.share >= 1 && load <= overloadThreshold:
	default:
		desired := c.laggedShare * loadSetpoint / max(load, 0.01)
		next := c.share + gain*(desired-c.share) + additiveIncrease
		c.share = min(max(min(max(next, c.share*lowest), c.share*highest), minShare), 1)
	}
}

// allocate distributes the share over the ranks in order of importance.
func (c *serviceLimiter) allocate() {
	total := 0.0
	for _, rank := range c.ranks {
		total += c.demand[rank]
	}
	remaining := c.share * total
	for _, rank := range c.ranks {
		demand := c.demand[rank]
		c.admitProbability[rank] = 1
		if demand > remaining {
			c.admitProbability[rank] = max(remaining, 0) / max(demand, 1e-9)
		}
		remaining -= demand
	}
}
