package shed

import (
	"math"
	"time"
)

const (
	// callResultDecay is the time constant of the exponential decay of call results.
	callResultDecay = 500 * time.Millisecond
	// minCallResults is the decayed number of call results needed to compute a loss rate.
	minCallResults = 5.0
	// normalLossRate is the loss rate up to which requests are assumed to make all of their calls.
	normalLossRate = 0.05

	// minSuccessRepeatable is the success probability from which all requests are admitted that their
	// callers may safely send again. Below it most of the work that they cause is wasted, and other
	// requests may need the capacity.
	minSuccessRepeatable = 0.05
	// minSuccessOnce is the same for requests that may run only once. Their failure is final, while a
	// caller who is told that the request has not run can retry later.
	minSuccessOnce = 0.3
	// minAdmitProbability is the share of the requests with a low success probability that is admitted
	// regardless, so that new readings keep arriving.
	minAdmitProbability = 0.05
)

// callResults counts the results of calls to one service. Both counts decay, but never below
// minCallResults calls until readingTTL has passed without a new result.
type callResults struct {
	total, lost float64
	at          time.Time
}

func (e *callResults) decay(now time.Time) {
	elapsed := now.Sub(e.at)
	if elapsed <= 0 {
		return
	}
	e.at = now
	if elapsed > readingTTL {
		e.total, e.lost = 0, 0
		return
	}
	remaining := max(e.total*math.Exp(-elapsed.Seconds()/callResultDecay.Seconds()), min(e.total, minCallResults))
	if e.total > 0 {
		e.lost *= remaining / e.total
	}
	e.total = remaining
}

// hasEnough reports whether enough calls ended recently to compute a loss rate.
func (e *callResults) hasEnough(now time.Time) bool {
	return now.Sub(e.at) <= readingTTL && e.total >= minCallResults
}

// CallEnded counts a call that a target of this host made to a service; lost is true if the call ended without
// a response from the service.
func (r *LoadTracker) CallEnded(now time.Time, service string, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.callResults[service]
	if e == nil {
		e = &callResults{at: now}
		r.callResults[service] = e
	}
	e.decay(now)
	e.total++
	if lost {
		e.lost++
	}
}

// lossRate returns the share of the calls to a service that end without its response: of the calls of this
// host's target, or the share that others report if that target makes too few. The caller holds mu.
func (r *LoadTracker) lossRate(now time.Time, service string, known reading) float64 {
	if e := r.callResults[service]; e != nil && e.hasEnough(now) {
		return e.lost / e.total
	}
	return known.lost
}

// LossRate returns the share of the calls to a service that are lost, as reported by its callers, and the age
// of the reading.
func (r *LoadTracker) LossRate(now time.Time, service string) (share float64, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.load(now, service)
	if !ok {
		return 0, 0
	}
	return known.lost, now.Sub(known.at)
}

// SuccessProbability returns the probability that a request with the given needs (calls by service) finishes, from the
// loss rates of its downstream services, and the service that lowers the probability most.
func (r *LoadTracker) SuccessProbability(now time.Time, w ServiceRoute, needs map[string]float64) (chance float64, worst string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	chance, lowest := 1.0, 1.0
	for service, calls := range needs {
		if service == w.Service {
			continue
		}
		known, ok := r.load(now, service)
		if !ok || known.lost <= normalLossRate {
			continue
		}
		success := math.Pow(1-min(known.lost, 1), calls)
		chance *= success
		if success < lowest {
			lowest, worst = success, service
		}
	}
	return chance, worst
}

// admitProbability returns the share of the requests with a given success probability that is admitted.
func admitProbability(success float64, repeatable bool) float64 {
	threshold := minSuccessOnce
	if repeatable {
		threshold = minSuccessRepeatable
	}
	return min(max(success/threshold, minAdmitProbability), 1)
}
