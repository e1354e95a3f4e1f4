package spread

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// Interval is the least time between two updates of a Controller.
	Interval = 20 * time.Millisecond
	// goalUse is the share of the limits in use that the nodes of a data centre keep to. In the model of internal/servicerate
	// targets were full for longer with 0.92, and more calls left with 0.88.
	goalUse = 0.9
	// extraTimeUse is by how much the goal rises if a call takes twice as long elsewhere, or longer. It stays below the
	// limits: what exceeds them queues, and the queue grows until calls leave.
	extraTimeUse = 0.08
	// elsewhereMargin is by which factor the goal exceeds the use of the other data centres. Without it, data
	// centres that are all overloaded exchanged 70% of their calls.
	elsewhereMargin = 1.1
	// shareCost is the part of the share of calls that leave by which the goal rises.
	shareCost = 0.15
	// smoothing is the time constant of the use and of the share by which it is explained. It is a multiple of
	// the age of the reports of nearby targets.
	smoothing = 300 * time.Millisecond
	// maxShare leaves enough calls in the data centre to hear of its use.
	maxShare = 0.95
	// unknownDecay is the time constant by which calls return to a data centre whose targets don't report.
	// With 1 s, more calls were refused in the model when reports ceased for 3 s during a wave.
	unknownDecay = 3 * time.Second
	// bodyOverhead is what a call costs beside the bytes of its body, in bytes.
	bodyOverhead = 4096
	// bodyGain is the weight of a call in the mean size of bodies.
	bodyGain = 0.02
	// beginShare is the share from which calls count as leaving, and endShare the one below which they no longer do.
	beginShare = 0.1
	endShare   = 0.005
)

// Reading is what is known of the targets of a service.
type Reading struct {
	// Known is false while no target of the data centre has reported lately.
	Known bool
	// LocalUse is the share of the limits of the data centre's targets that is in use, and RemoteUse that of the others.
	// Queued requests are included.
	LocalUse, RemoteUse float64
	// LocalSlots is the number of slots of the targets in the data centre that take calls.
	LocalSlots int64
	// ExtraTime is the additional time of a call elsewhere, in relation to the time it takes in the data centre.
	ExtraTime float64
}

// Controller holds the share of a node's calls of a service that leave the data centre. It is safe for concurrent use.
type Controller struct {
	at atomic.Int64
	// share is what is decided; stayed and use are the averages of the share that stays and of the reported use.
	share, stayed, use number
	slots              atomic.Int64
	meanBody           number
	leaving            atomic.Bool
}

// number is a float64 that is read and written atomically.
type number struct{ bits atomic.Uint64 }

func (n *number) get() float64  { return math.Float64frombits(n.bits.Load()) }
func (n *number) set(v float64) { n.bits.Store(math.Float64bits(v)) }

// approach moves the number towards a value and returns the result.
func (n *number) approach(gain, value float64) float64 {
	v := n.get()
	v += gain * (value - v)
	n.set(v)
	return v
}

// gain returns the weight of a value that holds for a time in an average with a time constant.
func gain(elapsed, constant time.Duration) float64 {
	return -math.Expm1(-float64(elapsed) / float64(constant))
}

// Due reports whether an update is due at a time, in nanoseconds of any clock, and the time since the last one. Only one
// of several concurrent callers gets true.
func (c *Controller) Due(now int64) (elapsed time.Duration, due bool) {
	at := c.at.Load()
	if at != 0 && now-at < int64(Interval) || !c.at.CompareAndSwap(at, max(now, 1)) {
		return 0, false
	}
	if at == 0 {
		c.stayed.set(1)
		return 0, true
	}
	return time.Duration(now - at), true
}

// Update decides on the share after a time since the last update. It reports whether calls have begun or ceased to leave.
func (c *Controller) Update(elapsed time.Duration, r Reading) (changed bool) {
	share := c.share.get()
	stayed := c.stayed.approach(gain(elapsed, smoothing), 1-share)
	if !r.Known {
		return c.decide(share * (1 - gain(elapsed, unknownDecay)))
	}
	if before := c.slots.Swap(r.LocalSlots); r.LocalSlots > 0 && r.LocalSlots < before {
		// The targets that are left get the calls of those that have gone, before their reports show it.
		c.use.set(c.use.get() * float64(before) / float64(r.LocalSlots))
	}
	use := c.use.approach(gain(elapsed, smoothing), r.LocalUse)
	if use <= 0 {
		return c.decide(0)
	}
	goal := max(goalUse+extraTimeUse*min(max(r.ExtraTime, 0), 1), elsewhereMargin*r.RemoteUse) * (1 + shareCost*share)
	return c.decide(min(max(1-goal*stayed/use, 0), maxShare))
}

// decide sets the share.
func (c *Controller) decide(share float64) (changed bool) {
	c.share.set(share)
	leaving := c.leaving.Load()
	if !leaving && share >= beginShare || leaving && share < endShare {
		return c.leaving.CompareAndSwap(leaving, !leaving)
	}
	return false
}

// Value returns the share of calls that leave.
func (c *Controller) Value() float64 { return c.share.get() }

// Use returns the average use of the data centre's limits.
func (c *Controller) Use() float64 { return c.use.get() }

// Leaving reports whether a part of the calls worth mentioning leaves.
func (c *Controller) Leaving() bool { return c.leaving.Load() }

// Share returns the probability with which a call with a body of the given size should leave. The mean over all calls
// is the decided share, as far as their sizes allow.
func (c *Controller) Share(bodyBytes int64) float64 {
	share := c.share.get()
	if share == 0 || bodyBytes < 0 {
		return share
	}
	size := float64(bodyBytes + bodyOverhead)
	mean := c.meanBody.get()
	if mean == 0 {
		mean = size
	}
	c.meanBody.set(mean + bodyGain*(size-mean))
	return min(share*2*mean/(mean+size), maxShare)
}
