package route

import (
	"math"
	"sync/atomic"
	"time"
)

// With Config.LearnedCapacity each call goes to a target drawn with a probability in proportion to the target's free
// capacity: its free slots divided by the time for which a call of the route holds one, as the gate beside the target has
// learned it. If all nodes sent their calls to the target that looks best, all would move there at once, and
// back after the next report. Shares change only as much as what is known of the targets.

const (
	// expectedTimeTTL is how long a reported time is used.
	expectedTimeTTL = 2 * time.Second
	// minRoom is the free share of its limit with which a target counts that is just full. It is above 0 since all
	// targets may be full; the one with the shortest queue gets the most calls then.
	minRoom = 0.02
	// crossRange is the range of a data centre's use, from Config.SpillLoad on, over which the share of calls that leave
	// it grows from none to all that find more room elsewhere. In the model of internal/servicerate with waves of
	// demand, 7.8% of the calls left with a spill load of 0.85 and 9.7% with 0.8, with equal latencies.
	crossRange = 0.1
	// crossAdvantage is by how much less another data centre must be in use for all those calls to go there. The share
	// grows evenly up to it, so that calls don't swing between data centres.
	crossAdvantage = 0.2
	// useSmoothing is the time constant of the use of a data centre. It is long compared with the age of load
	// reports, so that calls don't swing, and short compared with waves of demand.
	useSmoothing = 150 * time.Millisecond
	// queueWaitShare is the share of the expected time for which a call queues at most while others have room. A
	// half made 0.1 percentage points more calls late in the model, and a tenth moved more calls.
	queueWaitShare = 0.25
	// minQueueWait is the least such time: moving a call costs up to two messages between data centres.
	minQueueWait = 5 * time.Millisecond
	// roomElsewhere is the share of the limits of the other targets in use below which they have room.
	roomElsewhere = 0.9
	// maxWeighed bounds the targets among which one call is drawn. Of more in a data centre, a random part is considered.
	maxWeighed = 64
)

// smoothedUse is an average over time. It is safe for concurrent use; of concurrent updates one may get lost.
type smoothedUse struct {
	bits atomic.Uint64
	at   atomic.Int64
}

// add includes what targets have reported and returns the average; 0 before the first report. While there are no recent
// reports it decays: calls that all go elsewhere bring none.
func (s *smoothedUse) add(now int64, w *weighedTargets) float64 {
	if w.limit <= 0 && s.at.Load() == 0 {
		return 0
	}
	value := w.use()
	at := s.at.Swap(max(now, 1))
	if at > 0 {
		old := math.Float64frombits(s.bits.Load())
		value = old - (value-old)*math.Expm1(-float64(max(now-at, 0))/float64(useSmoothing))
	}
	s.bits.Store(math.Float64bits(value))
	return value
}

// weighedTargets holds the weights of the targets of this data centre, or of the others, that a call may go to.
type weighedTargets struct {
	entries []entry
	// weights belong to the entries from index first on, those at the end being followed by those at the start.
	weights      [maxWeighed]float64
	first, count int
	total        float64
	// expected is the mean of the times that the targets have reported for the route, of known targets.
	expected float64
	known    int
	// requests and limit are the sums of what these targets have reported.
	requests, limit float64
}

// use returns the share of the limits that is in use.
func (w *weighedTargets) use() float64 { return w.requests / max(w.limit, 1) }

// chooseWarm returns the target for a call by what is known of the loads and speeds of targets, or nil, and how long the
// call should queue there at most; 0 for no such bound.
func (p *Picker) chooseWarm(now int64, q *Query, ejected bool) (*entry, time.Duration) {
	if !p.config.LearnedCapacity {
		return p.chooseByScore(now, q, ejected), 0
	}
	t := p.table.Load()
	reference := p.reference(now, q.Route, t)
	if probe := p.drawProbe(now, t.local, q, ejected, reference); probe != nil {
		return probe, 0
	}
	local := weighedTargets{entries: t.local}
	p.weigh(now, q, ejected, reference, &local)
	use := p.localUse.add(now, &local)
	if len(t.remote) == 0 || local.total > 0 && use <= p.config.SpillLoad {
		return p.drawWeighed(now, q, &local)
	}
	remote := weighedTargets{entries: t.remote}
	p.weigh(now, q, ejected, reference, &remote)
	if local.total == 0 {
		return p.drawWeighed(now, q, &remote)
	}
	remoteUse := p.remoteUse.add(now, &remote)
	share := min((use-p.config.SpillLoad)/crossRange, 1) * min(max((use-remoteUse)/crossAdvantage, 0), 1)
	if p.config.FullSpillRatio == 0 && remoteUse >= DefaultSpillLoad {
		share = 0
	}
	if remote.total > 0 && p.fraction() < share {
		return p.drawWeighed(now, q, &remote)
	}
	return p.drawWeighed(now, q, &local)
}

// weigh computes the weights of the targets that a call may go to. Slow ones have none if there are others.
func (p *Picker) weigh(now int64, q *Query, ejected bool, reference int64, w *weighedTargets) {
	w.count = min(len(w.entries), maxWeighed)
	if len(w.entries) > maxWeighed {
		w.first = int(p.random() % uint64(len(w.entries)))
	}
	service := p.latencyNs.Load()
	var times [maxWeighed]float64
	onlySlow := true
	for i := range w.count {
		e := w.at(i)
		if !q.eligible(now, e, ejected) {
			continue
		}
		if e.routeLatencies.slow(now, q.Route, p.config.SlowRatio, reference) {
			if !onlySlow {
				continue
			}
		} else if onlySlow {
			onlySlow = false
			clear(w.weights[:i])
			w.requests, w.limit, w.expected, w.known = 0, 0, 0, 0
		}
		requests, limit := e.load(now)
		if limit > 0 {
			w.requests += float64(requests)
			w.limit += float64(limit)
		} else {
			limit = int64(max(e.target.Slots, 1))
		}
		used := float64(requests) / float64(limit)
		room := max(1-used, minRoom/max(used, 1))
		w.weights[i] = room * float64(limit) * e.slowStartShare(now, p.config.SlowStart)
		if times[i] = e.reportedTime(now, q.Route); times[i] > 0 {
			w.known++
			w.expected += (times[i] - w.expected) / float64(w.known)
		}
	}
	for i := range w.count {
		if w.weights[i] > 0 {
			w.weights[i] /= w.expectedTime(now, i, times[i], service)
			w.total += w.weights[i]
		}
	}
}

// expectedTime returns the time in nanoseconds for which a call of the route holds a slot of a target: as the gate beside
// it has reported, or else by the latency of all calls there that this node has observed. Routes differ by more than
// targets do, so that is put in relation to what other targets have reported for the route.
func (w *weighedTargets) expectedTime(now int64, i int, reported float64, service int64) float64 {
	if reported > 0 {
		return reported
	}
	latency := w.at(i).latency(now, service)
	if w.known > 0 && service > 0 {
		return w.expected * latency / float64(max(service, int64(minLatency)))
	}
	return latency
}

// at returns the entry of a weight.
func (w *weighedTargets) at(i int) *entry { return &w.entries[(w.first+i)%len(w.entries)] }

// drawWeighed draws a target by the weights, and returns it, or nil if none has a weight, and how long the call should
// queue there at most.
func (p *Picker) drawWeighed(now int64, q *Query, w *weighedTargets) (*entry, time.Duration) {
	var drawn *entry
	index := 0
	left := p.fraction() * w.total
	for i, weight := range w.weights[:w.count] {
		if weight == 0 {
			continue
		}
		drawn, index = w.at(i), i
		if left -= weight; left < 0 {
			break
		}
	}
	if drawn == nil || len(q.Exclude) > 0 {
		// A call that has been moved or refused already queues as long as it may.
		return drawn, 0
	}
	requests, limit := drawn.load(now)
	others := weighedTargets{requests: w.requests - float64(requests), limit: w.limit - float64(limit)}
	if limit == 0 || others.limit <= 0 || others.use() > roomElsewhere {
		return drawn, 0
	}
	wait := queueWaitShare * w.expectedTime(now, index, drawn.reportedTime(now, q.Route), p.latencyNs.Load())
	return drawn, max(time.Duration(wait), minQueueWait)
}

// fraction returns the next random number in [0, 1).
func (p *Picker) fraction() float64 { return float64(p.random()>>11) / (1 << 53) }

// reportedTime returns the time in nanoseconds for which a call of a route holds a slot, as the gate beside the target
// last reported it; 0 if that is unknown or too old.
func (e *entry) reportedTime(now int64, route string) float64 {
	l := e.routeLatencies.find(route)
	if l == nil || now-l.expectedAt.Load() > int64(expectedTimeTTL) || l.expectedNs.Load() == 0 {
		return 0
	}
	return float64(max(l.expectedNs.Load(), int64(minLatency)))
}

// QueueWait returns how long the call should queue at the target at most, since other targets have room; 0 for no such
// bound. When it has passed, the call should be sent to another target.
func (c Choice) QueueWait() time.Duration { return c.queueWait }
