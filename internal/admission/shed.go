package admission

import (
	"math"
	"time"
)

const (
	// shedWindow is the shortest time between two changes of the cutoffs.
	shedWindow = 100 * time.Millisecond
	// shedWindowArrivals is the number of arrivals that makes a window conclusive;
	// shedWindowMax ends it with fewer.
	shedWindowArrivals = 20
	shedWindowMax      = 500 * time.Millisecond
	// shedMinRefused and shedTolerance are the number and the share of arrivals refused by
	// the queue in a window that turn shedding on.
	shedMinRefused = 3
	shedTolerance  = 0.02
	// shedDemandGain is the weight of a window in the smoothed demand.
	shedDemandGain = 0.5
	// shedUsualSeconds is the time constant of the demand by which shares are given.
	shedUsualSeconds = 2.0
	// shedShareMargin is how far an organisation's demand may be above its fair share, by
	// chance, before it is thinned out.
	shedShareMargin = 1.1
	// shedMinFraction is the smallest admitted share from which demand is extrapolated.
	shedMinFraction = 0.02
	// shedDemandDecay is the factor for demand that is wholly shed, and thus unseen.
	shedDemandDecay = 0.9
	// shedCapacitySeconds is the time constant of the smoothed capacity.
	shedCapacitySeconds = 1.0
	// shedQueue is the queue length to steer to, as a share of its bound; it is no less than
	// the root of the limit. shedGain is the correction of the admitted demand for a
	// deviation of the whole bound.
	shedQueue = 0.25
	shedGain  = 0.3
	// shedFirstOpening is the share of a class that is admitted in the first window after it
	// was wholly shed; the share doubles with each window.
	shedFirstOpening = 0.05
	// shedTrimGain is the part of a deviation that each window adds to a lasting correction,
	// for demand that callers admit beyond the cutoff. shedTrimMax bounds it.
	shedTrimGain = 0.05
	shedTrimMax  = 0.2
	// shedProbeMax bounds the growth of the capacity in a window in which slots stayed idle.
	shedProbeMax = 1.5
	// shedIdle is the use of the slots under which the capacity counts as not reached.
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
	// trim is the lasting correction of the target, as a share of the capacity.
	trim float64
	// target is the number of requests a second to admit; 0 while nothing is shed.
	target   float64
	marginal int
	// opening bounds the share of the marginal class that is admitted.
	opening float64
	// lowest is the least important class seen.
	lowest int
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
	// usual is the same over a longer time; fair shares are computed from it, since the
	// demand of a small organisation in one window is mostly chance.
	usual [MaxPriority + 1]float64
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
	s.lowest = max(s.lowest, clampPriority(r.Priority))
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

// cutoffs returns the first refused level of an organisation and over all. While nothing is
// shed both are above the levels of all requests seen.
func (s *shedder) cutoffs(organisation string) (own, common uint32) {
	if s.target == 0 {
		open := levelAt(s.lowest+1, 0)
		return open, open
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
	overloaded := s.refused >= shedMinRefused && float64(s.refused) > shedTolerance*float64(s.arrivals)
	s.observeCapacity(elapsed, use)
	s.steer(overloaded, use)
	s.setCutoffs()
	s.start, s.arrivals, s.refused, s.finished = now, 0, 0, 0
}

// observeCapacity smooths the completions of a window. Slots that stayed idle show that the
// target could have finished more.
func (s *shedder) observeCapacity(elapsed float64, use gateUse) {
	finished := float64(s.finished) / elapsed
	used := float64(use.inFlight) / float64(use.limit)
	if s.target == 0 || s.capacity == 0 {
		s.capacity = finished
		return
	}
	if used < shedIdle {
		s.capacity *= min(shedIdle/max(used, 0.01), shedProbeMax)
		return
	}
	gain := min(elapsed/shedCapacitySeconds, 1)
	s.capacity += gain * (finished - s.capacity)
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
		d.usual[priority] *= shedDemandDecay
		return
	}
	seen := float64(counted) / elapsed / fraction
	d.wanted[priority] += shedDemandGain * (seen - d.wanted[priority])
	d.usual[priority] += min(elapsed/shedUsualSeconds, 1) * (seen - d.usual[priority])
}

// steer sets the admitted demand to what the target finishes, corrected such that the queue
// comes to its reference length: full enough to keep the slots busy, with room for chance.
func (s *shedder) steer(overloaded bool, use gateUse) {
	if !overloaded && s.target == 0 {
		return
	}
	if s.target == 0 {
		s.begin()
	}
	bound := float64(max(use.queueCap, 1))
	reference := max(shedQueue*bound, math.Sqrt(float64(use.limit)))
	deviation := (reference - float64(use.queued)) / bound
	s.trim = min(max(s.trim+shedTrimGain*deviation, -shedTrimMax), shedTrimMax)
	s.target = max(s.capacity*(1+shedGain*deviation+s.trim), 1)
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
// demand fits with a margin. The marginal class rises by one in a window at most, since the
// demand of a class that was wholly shed is not known.
func (s *shedder) setCutoffs() {
	if s.target == 0 {
		return
	}
	left := s.target
	for p := range s.lowest + 1 {
		wanted := s.total(p)
		if wanted > left || p > s.marginal {
			s.share(p, left)
			return
		}
		left -= wanted
	}
	if s.target < shedOffMargin*(s.target-left) || s.opening < 1 {
		s.share(s.lowest, s.total(s.lowest))
		return
	}
	s.end()
}

// begin starts shedding from the state in which every class is admitted.
func (s *shedder) begin() {
	s.marginal, s.opening = s.lowest, 1
}

// end stops shedding.
func (s *shedder) end() {
	s.target, s.trim = 0, 0
	for _, d := range s.demands {
		d.cutoff, d.fraction = 0, 1
	}
}

// open moves the marginal class. One that was wholly shed is opened in steps, each of which
// shows how much is wanted.
func (s *shedder) open(priority int) {
	switch {
	case priority > s.marginal:
		s.opening = shedFirstOpening
	case priority < s.marginal:
		s.opening = 1
	default:
		s.opening = min(2*s.opening, 1)
	}
	s.marginal = priority
}

// share divides rate requests a second of a class among the organisations by weight, such
// that none gets more than it wants, and sets their cutoffs. Who is within its fair share is
// judged by the capacity, which is steadier than the rate; only those above theirs bear the
// corrections of the rate.
func (s *shedder) share(priority int, rate float64) {
	s.open(priority)
	s.common = max(levelAt(priority, min(rate/max(s.total(priority), 1e-9), s.opening)), 1)
	fair := shedShareMargin * s.fairShare(priority, rate+max(s.capacity-s.target, 0))
	left, weights := rate, 0.0
	for _, d := range s.demands {
		if d.usual[priority] <= fair*d.weight {
			left -= d.usual[priority]
		} else {
			weights += d.weight
		}
	}
	perWeight := max(left/max(weights, 1e-9), shedMinFraction*fair)
	for _, d := range s.demands {
		d.fraction = 1
		if usual := d.usual[priority]; usual > fair*d.weight {
			d.fraction = perWeight * d.weight / usual
		}
		d.fraction = min(d.fraction, s.opening)
		d.cutoff = max(levelAt(priority, d.fraction), 1)
	}
}

// fairShare returns the max-min fair rate for each unit of weight.
func (s *shedder) fairShare(priority int, rate float64) float64 {
	share := 0.0
	for range len(s.demands) + 1 {
		left, weights := rate, 0.0
		for _, d := range s.demands {
			if wanted := d.usual[priority]; wanted <= share*d.weight {
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
