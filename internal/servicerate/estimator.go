package servicerate

import (
	"math"
	"time"
)

const (
	// usualDecay is the time constant of the usual time of a route. It is long compared with a stall of a second, and
	// short enough to follow a target that has changed for good.
	usualDecay = 5 * time.Second
	// slowdownDecay is the time constant of the slowdown; minSlowdownSamples is the least number of requests that it
	// is averaged over.
	slowdownDecay      = 40 * time.Millisecond
	minSlowdownSamples = 8
	// maxSlowdown bounds one sample, so that one request that hung doesn't look like a stall of its target.
	maxSlowdown = 10.0
	// idleRecovery is the time constant with which the slowdown returns to 1 while no requests finish: a target that
	// gets no calls because it was slow must be tried again.
	idleRecovery = time.Second
	// maxRoutes bounds the routes with a usual time. When there are more, all are learned again.
	maxRoutes = 256
)

// usualTime is the mean time of the requests of one route, in seconds.
type usualTime struct {
	mean    float64
	samples int
	at      time.Time
}

// Estimator learns what one target handles well. It is not safe for concurrent use.
type Estimator struct {
	routes   map[string]*usualTime
	slowdown float64
	samples  int
	at       time.Time
	knee     knee
}

// New returns an estimator without samples.
func New() *Estimator {
	return &Estimator{routes: map[string]*usualTime{}, slowdown: 1}
}

// Ticket identifies a request between its start and its end; the zero Ticket identifies none.
type Ticket uint64

// Started counts a request that starts as one of inFlight, itself included, at a target with the given slots.
func (e *Estimator) Started(now time.Time, inFlight, slots int) Ticket {
	return e.knee.started(now, inFlight, slots)
}

// Finished records that a request completed after it held its slot for a time, less the time it waited for others.
func (e *Estimator) Finished(now time.Time, t Ticket, route string, held time.Duration) {
	u := e.routes[route]
	if u == nil {
		if len(e.routes) >= maxRoutes {
			clear(e.routes)
		}
		u = &usualTime{at: now}
		e.routes[route] = u
	}
	sample := max(held, time.Microsecond).Seconds()
	u.add(now, sample)
	ratio := min(sample/u.mean, maxSlowdown)
	gain := min(decayGain(now.Sub(e.at), slowdownDecay), 1.0/minSlowdownSamples)
	e.samples++
	before := e.current(now)
	e.slowdown = before + max(gain, 1/float64(e.samples))*(ratio-before)
	e.at = now
	e.knee.finished(now, t, math.Log(ratio))
}

// add includes a sample. The first samples count alike.
func (u *usualTime) add(now time.Time, sample float64) {
	u.samples++
	gain := max(min(decayGain(now.Sub(u.at), usualDecay), 1.0/minSlowdownSamples), 1/float64(u.samples))
	u.mean += gain * (sample - u.mean)
	u.at = now
}

// decayGain returns the weight of a new sample after a time in a moving average with a time constant.
func decayGain(elapsed, constant time.Duration) float64 {
	return -math.Expm1(-max(elapsed, 0).Seconds() / constant.Seconds())
}

// current returns the slowdown, which returns to 1 while no requests finish.
func (e *Estimator) current(now time.Time) float64 {
	idle := now.Sub(e.at) - idleRecovery/4
	if idle <= 0 {
		return e.slowdown
	}
	return 1 + (e.slowdown-1)*math.Exp(-idle.Seconds()/idleRecovery.Seconds())
}

// Slowdown returns how many times their usual time requests take now; 1 without samples.
func (e *Estimator) Slowdown(now time.Time) float64 { return e.current(now) }

// ExpectedTime returns how long a request of a route would hold a slot now; 0 while the route is unknown.
func (e *Estimator) ExpectedTime(now time.Time, route string) time.Duration {
	u := e.routes[route]
	if u == nil {
		return 0
	}
	return time.Duration(u.mean * e.current(now) * float64(time.Second))
}

// Limit returns the number of concurrent requests that the target handles well, at most ceiling, of its slots.
func (e *Estimator) Limit(now time.Time, ceiling, slots int) int {
	return e.knee.limit(now, ceiling, slots)
}
