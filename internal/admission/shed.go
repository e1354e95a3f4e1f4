package admission

import "time"

const (
	// shedWindow is the shortest time between two changes of the cutoffs.
	shedWindow = 100 * time.Millisecond
	// shedWindowArrivals is the number of arrivals that makes a window conclusive;
	// shedWindowMax ends it with fewer.
	shedWindowArrivals = 20
	shedWindowMax      = 500 * time.Millisecond
	// shedTolerance is the share of arrivals refused by the queue that counts as overload.
	shedTolerance = 0.01
	// shedDemandGain is the weight of a window in the smoothed demand.
	shedDemandGain = 0.5
	// shedMinFraction is the smallest admitted share from which demand is extrapolated.
	shedMinFraction = 0.02
	// shedDemandDecay is the factor for demand that is wholly shed, and thus unseen.
	shedDemandDecay = 0.9
	// shedCapacityGain is the weight of a window in the smoothed capacity.
	shedCapacityGain = 0.3
	// shedBackoff is the share of the capacity that is admitted while the queue refuses.
	shedBackoff = 0.97
	// shedProbe is the growth of admitted demand in a window without refusals.
	shedProbe = 1.05
	// shedProbeMax bounds the growth in a window in which slots stayed idle.
	shedProbeMax = 1.5
	// shedIdle is the use of the slots under which growth follows the idle share.
	shedIdle = 0.95
	// shedOffMargin is the ratio of admitted to wanted demand from which shedding ends.
	shedOffMargin = 1.2
	// shedForget is how long an organisation without requests is remembered.
	shedForget = 10 * time.Second
)

// shedder computes the cutoffs of a target. It estimates the demand of each organisation in
// each class and admits, class by class, what the target can finish. The class that fits in
// part is shared by weight, so an organisation within its share keeps all of its requests
// while those of one above are thinned out by level.
type shedder struct {
	start    time.Time
	arrivals int
	refused  int
	finished int
	// capacity is the smoothed number of finished requests a second while busy.
	capacity float64
	// target is the number of requests a second to admit; 0 while nothing is shed.
	target   float64
	marginal int
	// common is the cutoff over all organisations together.
	common  uint32
	demands []*demand
	byName  map[string]*demand
}

// demand is what one organisation asks of the target.
type demand struct {
	organisation string
	weight       float64
	// counted holds this window's arrivals below the cutoff, for each class.
	counted [MaxPriority + 1]int
	// wanted is the estimated number of requests a second, for each class.
	wanted [MaxPriority + 1]float64
	// cutoff is the first level refused, or 0 for none; fraction is the share of the
	// marginal class below it.
	cutoff   uint32
	fraction float64
	seen     time.Time
}

// gateUse is the state of the gate that the shedder reads at the end of a window.
type gateUse struct {
	inFlight, limit, queued, queueCap int
}

// newShedder returns a shedder without cutoffs.
func newShedder() *shedder {
	return &shedder{byName: make(map[string]*demand)}
}

// arrived counts a request.
func (s *shedder) arrived(now time.Time, r *Request) {
	if s.start.IsZero() {
		s.start = now
	}
	d := s.byName[r.Organisation]
	if d == nil {
		d = s.join(r.Organisation)
	}
	d.weight = r.weight()
	d.seen = now
	s.arrivals++
	if d.cutoff == 0 || r.Level < d.cutoff {
		d.counted[clampPriority(r.Priority)]++
	}
}

// join adds an organisation. While shedding, it starts with the marginal class admitted.
func (s *shedder) join(organisation string) *demand {
	d := &demand{organisation: organisation, weight: 1, fraction: 1}
	if s.target > 0 {
		d.cutoff = levelAt(s.marginal+1, 0)
	}
	s.byName[organisation] = d
	s.demands = append(s.demands, d)
	return d
}

// cutoffs returns the first refused level of an organisation and over all; 0 means none.
func (s *shedder) cutoffs(organisation string) (own, common uint32) {
	if s.target == 0 {
		return 0, 0
	}
	if d := s.byName[organisation]; d != nil {
		return d.cutoff, s.common
	}
	return levelAt(s.marginal+1, 0), s.common
}

// due reports whether the current window is complete.
func (s *shedder) due(now time.Time) bool {
	elapsed := now.Sub(s.start)
	return elapsed >= shedWindow && (s.arrivals >= shedWindowArrivals || elapsed >= shedWindowMax)
}

// roll ends the window and sets the cutoffs for the next one.
func (s *shedder) roll(now time.Time, use gateUse) {
	elapsed := now.Sub(s.start).Seconds()
	s.estimate(now, elapsed)
	overloaded := float64(s.refused) > shedTolerance*float64(s.arrivals)
	if overloaded || use.inFlight >= use.limit {
		s.observeCapacity(float64(s.finished) / elapsed)
	}
	s.steer(overloaded, use)
	s.setCutoffs()
	s.start, s.arrivals, s.refused, s.finished = now, 0, 0, 0
}

// observeCapacity smooths the completions of a busy window.
func (s *shedder) observeCapacity(finished float64) {
	if s.capacity == 0 {
		s.capacity = finished
		return
	}
	s.capacity += shedCapacityGain * (finished - s.capacity)
}

// estimate turns the counts of the window into demand, and forgets idle organisations.
func (s *shedder) estimate(now time.Time, elapsed float64) {
	kept := s.demands[:0]
	for _, d := range s.demands {
		if now.Sub(d.seen) > shedForget {
			delete(s.byName, d.organisation)
			continue
		}
		kept = append(kept, d)
		for p := range d.wanted {
			d.estimate(p, s.admitted(d, p), elapsed)
		}
	}
	clear(s.demands[len(kept):])
	s.demands = kept
}

// admitted returns the share of a class that was below the cutoff in this window.
func (s *shedder) admitted(d *demand, priority int) float64 {
	switch {
	case s.target == 0 || priority < s.marginal:
		return 1
	case priority == s.marginal:
		return d.fraction
	default:
		return 0
	}
}

// estimate updates the demand of one class, of which a fraction was admitted.
func (d *demand) estimate(priority int, fraction, elapsed float64) {
	counted := d.counted[priority]
	d.counted[priority] = 0
	if fraction < shedMinFraction {
		d.wanted[priority] *= shedDemandDecay
		return
	}
	seen := float64(counted) / elapsed / fraction
	d.wanted[priority] += shedDemandGain * (seen - d.wanted[priority])
}

// steer moves the admitted demand towards what the target can finish.
func (s *shedder) steer(overloaded bool, use gateUse) {
	switch {
	case overloaded && s.target == 0:
		s.target = s.capacity
	case overloaded:
		s.target = min(s.target, s.capacity) * shedBackoff
	case s.target > 0 && use.queued <= use.queueCap/4:
		growth := shedProbe
		if used := float64(use.inFlight) / float64(use.limit); used < shedIdle {
			growth = min(max(shedIdle/max(used, 0.01), shedProbe), shedProbeMax)
		}
		s.target *= growth
	}
	if overloaded {
		s.target = max(s.target, 1)
	}
}

// total returns the demand of a class over all organisations.
func (s *shedder) total(priority int) float64 {
	sum := 0.0
	for _, d := range s.demands {
		sum += d.wanted[priority]
	}
	return sum
}

// setCutoffs admits class by class until the target is reached, and ends shedding when all
// demand fits with a margin.
func (s *shedder) setCutoffs() {
	if s.target == 0 {
		return
	}
	left := s.target
	for p := range MaxPriority + 1 {
		wanted := s.total(p)
		if wanted > left {
			s.share(p, left)
			return
		}
		left -= wanted
	}
	if s.target < shedOffMargin*(s.target-left) {
		s.share(MaxPriority, s.total(MaxPriority))
		return
	}
	s.target = 0
	for _, d := range s.demands {
		d.cutoff, d.fraction = 0, 1
	}
}

// share divides rate requests a second of a class among the organisations by weight, such
// that none gets more than it wants, and sets their cutoffs.
func (s *shedder) share(priority int, rate float64) {
	s.marginal = priority
	s.common = max(levelAt(priority, min(rate/max(s.total(priority), 1e-9), 1)), 1)
	perWeight := s.fairShare(priority, rate)
	for _, d := range s.demands {
		d.fraction = 1
		if wanted := d.wanted[priority]; wanted > perWeight*d.weight {
			d.fraction = perWeight * d.weight / wanted
		}
		d.cutoff = max(levelAt(priority, d.fraction), 1)
	}
}

// fairShare returns the max-min fair rate for each unit of weight.
func (s *shedder) fairShare(priority int, rate float64) float64 {
	share := 0.0
	for range len(s.demands) + 1 {
		left, weights := rate, 0.0
		for _, d := range s.demands {
			if wanted := d.wanted[priority]; wanted <= share*d.weight {
				left -= wanted
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
