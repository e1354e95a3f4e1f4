package admission

import (
	"math"
	"time"
)

const (
	// shedWindow is the shortest time between two changes of the cutoffs.
	shedWindow = 100 * time.Millisecond
	// shedWindowArrivals is the number of arrivals after which a window may end;
	// shedWindowMax is the time after which it ends with fewer.
	shedWindowArrivals = 20
	shedWindowMax      = 500 * time.Millisecond
	// shedMinRefused is the number, and shedMinRefusedShare the share, of requests that the
	// queue must refuse in a window for shedding to start.
	shedMinRefused      = 3
	shedMinRefusedShare = 0.02
	// shedDemandGain is the weight of a new window in the smoothed demand.
	shedDemandGain = 0.5
	// shedLongTermSeconds is the time constant of the demand from which fair shares are computed.
	shedLongTermSeconds = 2.0
	// shedShareMargin is the ratio of an organisation's demand to its fair share up to which
	// none of its requests are shed, since demand fluctuates randomly.
	shedShareMargin = 1.1
	// shedMinAdmitted is the smallest admitted share of a class from which its demand is extrapolated.
	shedMinAdmitted = 0.02
	// shedDemandDecay is the factor applied in each window to a demand that can't be observed, as it is fully shed.
	shedDemandDecay = 0.9
	// shedCapacitySeconds is the time constant of the smoothed capacity.
	shedCapacitySeconds = 1.0
	// shedReferenceQueue is the queue length to control to, as a share of its bound; the
	// length is no less than the root of the limit. shedProportionalGain is the correction of
	// the admitted rate, as a share of the capacity, for a deviation of the whole bound.
	shedReferenceQueue   = 0.25
	shedProportionalGain = 0.3
	// shedReopenShare is the largest share of a class that is admitted in the first window
	// after it was fully shed; it doubles with each window.
	shedReopenShare = 0.05
	// shedIntegralGain is the part of a deviation that each window adds to the integral
	// correction. That compensates for requests that callers send beyond the cutoff.
	// shedIntegralMax bounds the correction in both directions.
	shedIntegralGain = 0.05
	shedIntegralMax  = 0.2
	// shedCapacityGrowthMax bounds the factor by which the capacity estimate grows after a window with idle slots.
	shedCapacityGrowthMax = 1.5
	// shedFullUse is the share of the limit in use below which the target is taken to have spare capacity.
	shedFullUse = 0.95
	// shedStopMargin is the ratio of the admitted rate to the demand from which shedding stops.
	shedStopMargin = 1.2
	// shedDemandExpiry is how long the demand of an organisation without requests is kept.
	shedDemandExpiry = 10 * time.Second
)

// shedder computes the cutoffs of a target. It estimates the demand of each organisation in
// each class and admits, from the most important class down, as much as the target can finish.
// The class that fits only in part, the marginal class, is shared by weight: an organisation
// within its fair share keeps all of its requests, one above it keeps those of the lowest levels.
type shedder struct {
	// start is the start of the current window; arrivals, refused and finished count its requests.
	start    time.Time
	arrivals int
	refused  int
	finished int
	// capacity is the smoothed number of requests a second that the target finishes when it is fully used.
	capacity float64
	// integral is the integral correction of admitRate, as a share of the capacity.
	integral float64
	// admitRate is the number of requests a second to admit; 0 while nothing is shed.
	admitRate float64
	// marginal is the class that is admitted in part.
	marginal int
	// maxFraction bounds the share of the marginal class that is admitted.
	maxFraction float64
	// leastClass is the least important class seen.
	leastClass int
	// common is the cutoff by the demand of all organisations together.
	common         uint32
	demands        []*demand
	byOrganisation map[string]*demand
}

// demand is the estimated demand of one organisation, and its cutoff.
type demand struct {
	organisation string
	weight       float64
	// counted is the number of arrivals below the cutoff in this window, for each class.
	counted [MaxPriority + 1]int
	// rate is the estimated number of requests a second, for each class.
	rate [MaxPriority + 1]float64
	// longTermRate is the same over a longer time. Fair shares are computed from it, since the
	// demand of a small organisation in a single window is mostly random.
	longTermRate [MaxPriority + 1]float64
	// cutoff is the lowest refused level, or 0 for none; fraction is the share of the
	// marginal class below it.
	cutoff   uint32
	fraction float64
	lastSeen time.Time
}

// gateState is the state of the controller that the shedder uses at the end of a window.
type gateState struct {
	inFlight, limit, queued, queueCap int
}

// newShedder returns a shedder without cutoffs.
func newShedder() *shedder {
	return &shedder{byOrganisation: make(map[string]*demand)}
}

// countArrival counts a request that arrives.
func (s *shedder) countArrival(now time.Time, r *Request) {
	if s.start.IsZero() {
		s.start = now
	}
	d := s.byOrganisation[r.Organisation]
	if d == nil {
		d = s.addOrganisation(r.Organisation)
	}
	d.weight = r.weight()
	d.lastSeen = now
	s.arrivals++
	s.leastClass = max(s.leastClass, clampPriority(r.Priority))
	if d.cutoff == 0 || r.Level < d.cutoff {
		d.counted[clampPriority(r.Priority)]++
	}
}

// addOrganisation adds an organisation. During shedding its marginal class is fully admitted at first.
func (s *shedder) addOrganisation(organisation string) *demand {
	d := &demand{organisation: organisation, weight: 1, fraction: 1}
	if s.admitRate > 0 {
		d.cutoff = levelAt(s.marginal+1, 0)
	}
	s.byOrganisation[organisation] = d
	s.demands = append(s.demands, d)
	return d
}

// cutoffs returns the lowest refused level of an organisation, and that over all organisations.
// While nothing is shed both are above the levels of all requests seen.
func (s *shedder) cutoffs(organisation string) (own, common uint32) {
	if s.admitRate == 0 {
		noCutoff := levelAt(s.leastClass+1, 0)
		return noCutoff, noCutoff
	}
	if d := s.byOrganisation[organisation]; d != nil {
		return d.cutoff, s.common
	}
	return levelAt(s.marginal+1, 0), s.common
}

// windowComplete reports whether the current window may end.
func (s *shedder) windowComplete(now time.Time) bool {
	elapsed := now.Sub(s.start)
	return elapsed >= shedWindow && (s.arrivals >= shedWindowArrivals || elapsed >= shedWindowMax)
}

// endWindow ends the window and sets the cutoffs for the next one.
func (s *shedder) endWindow(now time.Time, state gateState) {
	elapsed := now.Sub(s.start).Seconds()
	s.updateDemands(now, elapsed)
	overloaded := s.refused >= shedMinRefused && float64(s.refused) > shedMinRefusedShare*float64(s.arrivals)
	s.observeCapacity(elapsed, state)
	s.updateAdmitRate(overloaded, state)
	s.setCutoffs()
	s.start, s.arrivals, s.refused, s.finished = now, 0, 0, 0
}

// observeCapacity updates the capacity by the requests finished in a window. Idle slots at its
// end show that the target could have finished more.
func (s *shedder) observeCapacity(elapsed float64, state gateState) {
	finished := float64(s.finished) / elapsed
	used := float64(state.inFlight) / float64(state.limit)
	if s.admitRate == 0 || s.capacity == 0 {
		s.capacity = finished
		return
	}
	if used < shedFullUse {
		s.capacity *= min(shedFullUse/max(used, 0.01), shedCapacityGrowthMax)
		return
	}
	gain := min(elapsed/shedCapacitySeconds, 1)
	s.capacity += gain * (finished - s.capacity)
}

// updateDemands updates all demands by the counts of the window, and removes organisations without requests.
func (s *shedder) updateDemands(now time.Time, elapsed float64) {
	kept := s.demands[:0]
	for _, d := range s.demands {
		if now.Sub(d.lastSeen) > shedDemandExpiry {
			delete(s.byOrganisation, d.organisation)
			continue
		}
		kept = append(kept, d)
		for p := range d.rate {
			d.update(p, s.admittedShare(d, p), elapsed)
		}
	}
	clear(s.demands[len(kept):])
	s.demands = kept
}

// admittedShare returns the share of a class that was below the cutoff in this window.
func (s *shedder) admittedShare(d *demand, priority int) float64 {
	switch {
	case s.admitRate == 0 || priority < s.marginal:
		return 1
	case priority == s.marginal:
		return d.fraction
	default:
		return 0
	}
}

// update updates the rates of one class, of which a fraction was below the cutoff.
func (d *demand) update(priority int, fraction, elapsed float64) {
	counted := d.counted[priority]
	d.counted[priority] = 0
	if fraction < shedMinAdmitted {
		d.rate[priority] *= shedDemandDecay
		d.longTermRate[priority] *= shedDemandDecay
		return
	}
	seen := float64(counted) / elapsed / fraction
	d.rate[priority] += shedDemandGain * (seen - d.rate[priority])
	d.longTermRate[priority] += min(elapsed/shedLongTermSeconds, 1) * (seen - d.longTermRate[priority])
}

// updateAdmitRate sets the admitted rate to the capacity, with a proportional and an integral
// correction that bring the queue to its reference length: long enough to keep the slots busy,
// with room for random fluctuation.
func (s *shedder) updateAdmitRate(overloaded bool, state gateState) {
	if !overloaded && s.admitRate == 0 {
		return
	}
	if s.admitRate == 0 {
		s.startShedding()
	}
	bound := float64(max(state.queueCap, 1))
	reference := max(shedReferenceQueue*bound, math.Sqrt(float64(state.limit)))
	deviation := (reference - float64(state.queued)) / bound
	s.integral = min(max(s.integral+shedIntegralGain*deviation, -shedIntegralMax), shedIntegralMax)
	s.admitRate = max(s.capacity*(1+shedProportionalGain*deviation+s.integral), 1)
}

// totalRate returns the demand for a class over all organisations.
func (s *shedder) totalRate(priority int) float64 {
	sum := 0.0
	for _, d := range s.demands {
		sum += d.rate[priority]
	}
	return sum
}

// setCutoffs admits class by class until the admitted rate is used up, and stops shedding when
// all demand fits with a margin. The marginal class moves at most one class towards less
// important ones in a window, since the demand for a class that was fully shed is not known.
func (s *shedder) setCutoffs() {
	if s.admitRate == 0 {
		return
	}
	left := s.admitRate
	for p := range s.leastClass + 1 {
		rate := s.totalRate(p)
		if rate > left || p > s.marginal {
			s.shareClass(p, left)
			return
		}
		left -= rate
	}
	if s.admitRate < shedStopMargin*(s.admitRate-left) || s.maxFraction < 1 {
		s.shareClass(s.leastClass, s.totalRate(s.leastClass))
		return
	}
	s.stopShedding()
}

// startShedding starts with every class admitted.
func (s *shedder) startShedding() {
	s.marginal, s.maxFraction = s.leastClass, 1
}

// stopShedding removes the cutoffs.
func (s *shedder) stopShedding() {
	s.admitRate, s.integral = 0, 0
	for _, d := range s.demands {
		d.cutoff, d.fraction = 0, 1
	}
}

// setMarginal sets the marginal class. One that was fully shed is admitted in growing steps,
// each of which shows how high its demand is.
func (s *shedder) setMarginal(priority int) {
	switch {
	case priority > s.marginal:
		s.maxFraction = shedReopenShare
	case priority < s.marginal:
		s.maxFraction = 1
	default:
		s.maxFraction = min(2*s.maxFraction, 1)
	}
	s.marginal = priority
}

// shareClass divides rate requests a second of a class among the organisations by weight, none
// of which gets more than its demand, and sets their cutoffs. Fair shares are computed from
// the capacity, which is steadier than the rate. Only organisations above their fair share are
// affected by the corrections of the rate.
func (s *shedder) shareClass(priority int, rate float64) {
	s.setMarginal(priority)
	s.common = max(levelAt(priority, min(rate/max(s.totalRate(priority), 1e-9), s.maxFraction)), 1)
	fair := shedShareMargin * s.fairShare(priority, rate+max(s.capacity-s.admitRate, 0))
	left, weights := rate, 0.0
	for _, d := range s.demands {
		if d.longTermRate[priority] <= fair*d.weight {
			left -= d.longTermRate[priority]
		} else {
			weights += d.weight
		}
	}
	perWeight := max(left/max(weights, 1e-9), shedMinAdmitted*fair)
	for _, d := range s.demands {
		d.fraction = 1
		if longTerm := d.longTermRate[priority]; longTerm > fair*d.weight {
			d.fraction = perWeight * d.weight / longTerm
		}
		d.fraction = min(d.fraction, s.maxFraction)
		d.cutoff = max(levelAt(priority, d.fraction), 1)
	}
}

// fairShare returns the max-min fair share of the rate for each unit of weight.
func (s *shedder) fairShare(priority int, rate float64) float64 {
	share := 0.0
	for range len(s.demands) + 1 {
		left, weights := rate, 0.0
		for _, d := range s.demands {
			if longTerm := d.longTermRate[priority]; longTerm <= share*d.weight {
				left -= longTerm
			} else {
				weights += d.weight
			}
		}
		if weights == 0 || left/weights <= share {
			return share
		}
		share = left / weights
	}
	return share
}
