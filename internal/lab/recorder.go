package lab

import (
	"math"
	"time"

	"github.com/guavaford/guavaford/internal/outcome"
)

// bin is the resolution of goodput over time.
const bin = 100 * time.Millisecond

// recorder counts what callers see.
type recorder struct {
	run   *run
	start time.Time
	// bins holds counts for each bin of time and chain.
	bins []binCounts
	// window counts of the measured period.
	byTenant []tenantCounts
	byClass  map[int]*classCounts

	tries, attempts, wasted int
	extra, extraMax         int
	leaverStarts            int
	// reasons counts tries that failed in the measured period, by code and depth.
	reasons map[Reason]int
}

// Reason is why a try failed, and how many calls deep.
type Reason struct {
	Code  outcome.Code
	Depth int
}

// binCounts holds, for each chain, the work wanted and done in one bin.
type binCounts struct {
	wanted, done []int
}

// tenantCounts holds one organisation's figures in the measured period. counted and refused
// are tries of work that belongs to the period as a whole.
type tenantCounts struct {
	wanted, done, counted, refused int
}

// classCounts holds one class's figures in the measured period.
type classCounts struct {
	wanted, done int
}

func newRecorder(r *run) *recorder {
	return &recorder{
		run:      r,
		start:    r.sim.Now(),
		byTenant: make([]tenantCounts, len(r.deployment.Tenants)),
		byClass:  make(map[int]*classCounts),
		reasons:  make(map[Reason]int),
	}
}

// elapsed returns the time since the start of the scenario.
func (c *recorder) elapsed() time.Duration {
	return c.run.sim.Now().Sub(c.start)
}

// counted reports whether work that is wanted now counts: it is wanted in the measured
// period, early enough to be done in it.
func (c *recorder) counted() bool {
	t := c.elapsed()
	return t >= c.run.scenario.From && t < c.run.scenario.To-c.run.deployment.Timeout
}

// measured reports whether the measured period is on.
func (c *recorder) measured() bool {
	t := c.elapsed()
	return t >= c.run.scenario.From && t < c.run.scenario.To
}

// current returns the bin of now.
func (c *recorder) current() *binCounts {
	n := int(c.elapsed() / bin)
	for len(c.bins) <= n {
		chains := len(c.run.deployment.Chains)
		c.bins = append(c.bins, binCounts{wanted: make([]int, chains), done: make([]int, chains)})
	}
	return &c.bins[n]
}

// chain returns the number of a chain.
func (c *recorder) chain(ch *Chain) int {
	for i := range c.run.deployment.Chains {
		if &c.run.deployment.Chains[i] == ch {
			return i
		}
	}
	panic("lab: chain of another deployment")
}

// class returns the counts of a class.
func (c *recorder) class(priority int) *classCounts {
	if c.byClass[priority] == nil {
		c.byClass[priority] = &classCounts{}
	}
	return c.byClass[priority]
}

// wanted counts new work.
func (c *recorder) wanted(w *work) {
	c.current().wanted[c.chain(w.chain)]++
	if c.measured() {
		c.byTenant[w.tenant].wanted++
	}
	if w.counted {
		c.class(w.chain.Priority).wanted++
	}
}

// succeeded counts work that was done for its caller.
func (c *recorder) succeeded(w *work) {
	c.current().done[c.chain(w.chain)]++
	if !c.measured() {
		return
	}
	c.byTenant[w.tenant].done++
	if w.counted {
		c.byTenant[w.tenant].counted++
		c.class(w.chain.Priority).done++
	}
}

// tryEnded counts the attempts of a try whose outcome is final for its caller.
func (c *recorder) tryEnded(t *try, success bool) {
	c.tries++
	c.extra += t.extra
	c.extraMax = max(c.extraMax, t.extra)
	if !c.measured() {
		return
	}
	c.attempts += t.started
	if !success {
		c.wasted += t.started
		return
	}
	c.wasted += max(t.started-len(t.chain.Services), 0)
}

// refused counts a try that brought its caller nothing.
func (c *recorder) refused(t *try, code outcome.Code) {
	if !c.measured() {
		return
	}
	c.reasons[Reason{Code: code, Depth: t.reached}]++
	if t.counted {
		c.byTenant[t.tenant].refused++
	}
}

// best returns the work that could have been done between two times: for each bottleneck,
// what was wanted up to what it can finish.
func (c *recorder) best(from, to time.Duration) float64 {
	d := c.run.deployment
	wanted := make(map[string]float64)
	for n := int(from / bin); n < int(to/bin) && n < len(c.bins); n++ {
		for i := range d.Chains {
			wanted[d.Chains[i].Bottleneck] += float64(c.bins[n].wanted[i])
		}
	}
	total := 0.0
	for i := range d.Chains {
		name := d.Chains[i].Bottleneck
		if w, ok := wanted[name]; ok {
			finish := c.run.capacity(&d.Chains[i], from) * (to - from).Seconds()
			total += math.Min(w, finish)
			delete(wanted, name)
		}
	}
	return total
}

// done returns the work done between two times.
func (c *recorder) done(from, to time.Duration) float64 {
	total := 0
	for n := int(from / bin); n < int(to/bin) && n < len(c.bins); n++ {
		for _, done := range c.bins[n].done {
			total += done
		}
	}
	return float64(total)
}

// capacity returns the requests a second that the bottleneck of a chain can finish at a time.
func (r *run) capacity(c *Chain, at time.Duration) float64 {
	slow := 1.0
	s := r.scenario
	if c.Bottleneck == r.deployment.Deep && s.Slow > 0 && at >= s.CauseFrom && at < s.CauseTo {
		slow = s.Slow
	}
	return r.deployment.capacity(c.Bottleneck, slow, r.deployment.below(c)) * s.capacityShare(c.Bottleneck)
}
