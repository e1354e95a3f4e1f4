package shed

import (
	"math"
	"time"
)

// A drain of a data centre takes capacity from a service at a known moment. Waiting until the readings of the other
// targets show it would admit, for about a second, requests that their gates then refuse.

// expectedIncreaseDecay is the time constant with which an expected increase of the load gives way to the readings. They
// follow a step by meterDecay and then by readingSmoothing.
const expectedIncreaseDecay = meterDecay + readingSmoothing

// expectedIncrease is the part of a service's load that its readings don't show yet after targets were drained.
type expectedIncrease struct {
	load float64
	at   time.Time
}

// remaining returns what is left of the increase.
func (e expectedIncrease) remaining(now time.Time) float64 {
	if e.load == 0 {
		return 0
	}
	return e.load * math.Exp(-max(now.Sub(e.at), 0).Seconds()/expectedIncreaseDecay.Seconds())
}

// SetDrained says which targets of a service, by ID, don't count as capacity from now on, since their data centres are
// drained. concentration is the capacity before as a multiple of what is left of it, 1 if none was taken, and 0 if none
// is left. The load that other targets will take over counts at once. Capacity that returns counts by its own readings,
// as its targets may be cold.
func (r *LoadTracker) SetDrained(now time.Time, service string, drained map[string]bool, concentration float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.serviceLoad(service)
	before, _ := s.load(now)
	returned := false
	for target := range s.drained {
		if !drained[target] {
			// While it was drained, it may have refused requests and so reported a load that it never had.
			delete(s.byTarget, target)
			returned = true
		}
	}
	s.drained = drained
	s.overall, s.forwardable = meanReading{}, meanReading{}
	switch {
	case concentration > 1:
		left := s.computeMean(now, originEntry, true)
		s.increase = expectedIncrease{load: max(before.load*concentration-left.load, 0) + s.increase.remaining(now), at: now}
	case returned || concentration == 0:
		s.increase = expectedIncrease{}
	}
	s.overall = meanReading{}
}
