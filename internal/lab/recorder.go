package lab

import (
	"math"
	"time"

	"github.com/guavaford/guavaford/internal/outcome"
)

// binLength is the resolution of goodput over time.
const binLength = 100 * time.Millisecond

// recorder counts the outcomes that callers see.
type recorder struct {
	run   *run
	start time.Time
	// bins holds the counts of consecutive intervals of binLength, for each chain.
	bins []binCounts
	// byTenant and byClass hold the counts of the measured period.
	byTenant []tenantCounts
	byClass  map[int]*classCounts

	callerAttempts, attempts, wasted int
	extraAttempts, maxExtraAttempts  int
	startsAfterLeaving               int
	// reasons counts the caller attempts that failed in the measured period, by code and depth.
	reasons map[Reason]int
}

// Reason is why a caller attempt failed, and the depth of the deepest call that it made.
type Reason struct {
	Code  outcome.Code
	Depth int
}

// binCounts holds, for each chain, the requests offered and completed in one bin.
type binCounts struct {
	offered, completed []int
}

// tenantCounts holds one organisation's figures in the measured period. succeeded and failed
// are caller attempts of requests that count for the period; see recorder.counted.
type tenantCounts struct {
	offered, completed, succeeded, failed int
}

// classCounts holds one class's figures in the measured period.
type classCounts struct {
	offered, completed int
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

// counted reports whether a request that arrives now counts: it arrives in the measured
// period, early enough to complete in it.
func (c *recorder) counted() bool {
	t := c.elapsed()
	return t >= c.run.scenario.MeasureFrom && t < c.run.scenario.MeasureTo-c.run.deployment.Timeout
}

// measured reports whether the current time is in the measured period.
func (c *recorder) measured() bool {
	t := c.elapsed()
	return t >= c.run.scenario.MeasureFrom && t < c.run.scenario.MeasureTo
}

// currentBin returns the bin of the current time.
func (c *recorder) currentBin() *binCounts {
	n := int(c.elapsed() / binLength)
	for len(c.bins) <= n {
		chains := len(c.run.deployment.Chains)
		c.bins = append(c.bins, binCounts{offered: make([]int, chains), completed: make([]int, chains)})
	}
	return &c.bins[n]
}

// chainIndex returns the index of a chain in the deployment.
func (c *recorder) chainIndex(ch *Chain) int {
	for i := range c.run.deployment.Chains {
		if &c.run.deployment.Chains[i] == ch {
			return i
		}
	}
	panic("lab: chain of another deployment")
}

// countsOfClass returns the counts of a class.
func (c *recorder) countsOfClass(priority int) *classCounts {
	if c.byClass[priority] == nil {
		c.byClass[priority] = &classCounts{}
	}
	return c.byClass[priority]
}

// arrived counts a new request.
func (c *recorder) arrived(w *callerRequest) {
	c.currentBin().offered[c.chainIndex(w.chain)]++
	if c.measured() {
		c.byTenant[w.tenant].offered++
	}
	if w.counted {
		c.countsOfClass(w.chain.Priority).offered++
	}
}

// succeeded counts a request that was completed for its caller.
func (c *recorder) succeeded(w *callerRequest) {
	c.currentBin().completed[c.chainIndex(w.chain)]++
	if !c.measured() {
		return
	}
	c.byTenant[w.tenant].completed++
	if w.counted {
		c.byTenant[w.tenant].succeeded++
		c.countsOfClass(w.chain.Priority).completed++
	}
}

// callerAttemptEnded adds up the attempts at targets that a caller attempt made until its caller saw its outcome.
func (c *recorder) callerAttemptEnded(t *callerAttempt, success bool) {
	c.callerAttempts++
	c.extraAttempts += t.extraAttempts
	c.maxExtraAttempts = max(c.maxExtraAttempts, t.extraAttempts)
	if !c.measured() {
		return
	}
	c.attempts += t.startedAttempts
	if !success {
		c.wasted += t.startedAttempts
		return
	}
	c.wasted += max(t.startedAttempts-len(t.chain.Services), 0)
}

// failed counts a caller attempt that was refused or timed out.
func (c *recorder) failed(t *callerAttempt, code outcome.Code) {
	if !c.measured() {
		return
	}
	c.reasons[Reason{Code: code, Depth: t.deepest}]++
	if t.counted {
		c.byTenant[t.tenant].failed++
	}
}

// achievable returns the number of requests that could have been completed between two times: for
// each bottleneck, what was offered, up to its capacity.
func (c *recorder) achievable(from, to time.Duration) float64 {
	d := c.run.deployment
	offered := make(map[string]float64)
	for n := int(from / binLength); n < int(to/binLength) && n < len(c.bins); n++ {
		for i := range d.Chains {
			offered[d.Chains[i].Bottleneck] += float64(c.bins[n].offered[i])
		}
	}
	total := 0.0
	for i := range d.Chains {
		name := d.Chains[i].Bottleneck
		if w, ok := offered[name]; ok {
			finish := c.run.capacity(&d.Chains[i], from) * (to - from).Seconds()
			total += math.Min(w, finish)
			delete(offered, name)
		}
	}
	return total
}

// completed returns the number of requests completed between two times.
func (c *recorder) completed(from, to time.Duration) float64 {
	total := 0
	for n := int(from / binLength); n < int(to/binLength) && n < len(c.bins); n++ {
		for _, completed := range c.bins[n].completed {
			total += completed
		}
	}
	return float64(total)
}

// capacity returns the requests a second that the bottleneck of a chain can complete at a given time.
func (r *run) capacity(c *Chain, at time.Duration) float64 {
	slowFactor := 1.0
	s := r.scenario
	if c.Bottleneck == r.deployment.InnermostService && s.SlowFactor > 0 && at >= s.DisturbanceStart && at < s.DisturbanceEnd {
		slowFactor = s.SlowFactor
	}
	return r.deployment.capacity(c.Bottleneck, slowFactor, r.deployment.timeInSubCalls(c)) * s.capacityShare(c.Bottleneck)
}
