package route

import (
	"time"

	"github.com/guavaford/guavaford/internal/spread"
)

// queuedTooLong is the share of a target's limit, queued requests included, from which a call compares it with targets of
// other data centres whatever share of the calls is to leave: when targets have gone, queues grow faster than
// the share follows.
const queuedTooLong = 1.5

// spreadsEvenly reports whether internal/spread decides how many calls leave the data centre.
func (p *Picker) spreadsEvenly(t *table) bool {
	return p.config.EvenSpread && len(t.local) > 0 && len(t.remote) > 0
}

// chooseRemote returns a target of another data centre if the call is one of those that leave, or nil.
func (p *Picker) chooseRemote(now int64, q *Query, ejected bool, reference int64, t *table) *entry {
	if elapsed, due := p.spread.Due(now); due {
		p.updateSpread(now, elapsed, t)
	}
	share := p.spread.Share(q.BodyBytes)
	if share == 0 || p.fraction() >= share {
		return nil
	}
	return p.drawByRoom(now, t.remote, q, ejected, reference)
}

// staysFor reports whether a call stays at a target of the data centre that is full, as it isn't one of those that leave.
func (p *Picker) staysFor(now int64, local *entry, route string, reference int64) bool {
	return local != nil && !local.full(now, queuedTooLong) && !local.routeLatencies.slow(now, route, p.config.SlowRatio, reference)
}

// updateSpread takes over what is known of the targets.
func (p *Picker) updateSpread(now int64, elapsed time.Duration, t *table) {
	var requests, limits, slots int64
	var local, remote meanLatency
	for i := range t.local {
		e := &t.local[i]
		if now < e.drainingUntilNs.Load() || now < e.ejectedUntilNs.Load() {
			continue
		}
		slots += int64(max(e.target.Slots, 1))
		local.add(e)
		if known, limit := e.load(now); limit > 0 {
			requests += known
			limits += limit
		}
	}
	use, weights := 0.0, 0.0
	for i := range t.remote {
		e := &t.remote[i]
		if known, limit := e.load(now); limit > 0 {
			e.farUse.Add(elapsed, float64(known)/float64(limit))
		} else {
			e.farUse.AddUnheard(elapsed)
		}
		remote.add(e)
		weight := float64(max(e.target.Slots, 1))
		weights += weight
		use += weight * e.farUse.Value()
	}
	reading := spread.Reading{Known: limits > 0, LocalUse: float64(requests) / float64(max(limits, 1)), RemoteUse: use / weights, LocalSlots: slots}
	if l, r := local.value(), remote.value(); l > 0 && r > 0 {
		reading.ExtraTime = r/l - 1
	}
	if p.spread.Update(elapsed, reading) && p.config.OnSpread != nil {
		p.config.OnSpread(SpreadChange{Leaving: p.spread.Leaving(), Share: p.spread.Value(), LocalUse: p.spread.Use(), RemoteUse: reading.RemoteUse})
	}
}

// SpreadChange says that calls have begun or ceased to leave the data centre to spread demand evenly.
type SpreadChange struct {
	Leaving bool
	// Share is the share of the calls that leave, LocalUse and RemoteUse are the use of the limits.
	Share, LocalUse, RemoteUse float64
}

// SpreadShare returns the share of the calls that leave the data centre to spread demand evenly.
func (p *Picker) SpreadShare() float64 { return p.spread.Value() }

// meanLatency is the mean latency of targets at which calls have been made.
type meanLatency struct {
	sum   float64
	count int
}

func (m *meanLatency) add(e *entry) {
	if ns := e.latencyNs.Load(); ns > 0 {
		m.sum += float64(ns)
		m.count++
	}
}

// value returns the mean; 0 if there is none.
func (m *meanLatency) value() float64 { return m.sum / float64(max(m.count, 1)) }

// drawByRoom draws an eligible target that isn't slow, with a probability in proportion to its room and speed; nil if
// there is none.
func (p *Picker) drawByRoom(now int64, entries []entry, q *Query, ejected bool, reference int64) *entry {
	var weights [maxWeighed]float64
	count, first := min(len(entries), maxWeighed), 0
	if len(entries) > maxWeighed {
		first = int(p.random() % uint64(len(entries)))
	}
	total, service := 0.0, p.latencyNs.Load()
	for i := range count {
		e := &entries[(first+i)%len(entries)]
		if !q.eligible(now, e, ejected) || e.routeLatencies.slow(now, q.Route, p.config.SlowRatio, reference) {
			continue
		}
		_, limit := e.load(now)
		if limit == 0 {
			limit = int64(max(e.target.Slots, 1))
		}
		weights[i] = e.farUse.Weight() * float64(limit) / e.latency(now, service) * e.slowStartShare(now, p.config.SlowStart)
		total += weights[i]
	}
	var drawn *entry
	left := p.fraction() * total
	for i, weight := range weights[:count] {
		if weight == 0 {
			continue
		}
		drawn = &entries[(first+i)%len(entries)]
		if left -= weight; left < 0 {
			break
		}
	}
	return drawn
}
