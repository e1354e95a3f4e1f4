package shed

import "time"

// Some targets of a service may be cold: they get a fixed small rate, and the warm ones take the rest. What a cold target can't take is no
// overload of the service, so the load of a service is the mean over its warm targets. When all are cold, it is the mean over these,
// each with its arrivals against its cold rate; entries then admit what the cold rates carry, and open up fast once the first is
// warm, since capacity rises a hundredfold within a moment.

const (
	// minWarmWeight is the weight of the readings of warm targets from which a service counts as warm: that of one reading 0.4 s old.
	// Older ones may be of targets that have become cold since.
	minWarmWeight = 0.13
	// coldDecreaseFactor bounds the factor by which one adjustment lowers a share while all targets of the service are cold.
	coldDecreaseFactor = 0.4
	// openingTime is the time after a service has become warm in which its share rises faster: up to openingFactor in one
	// adjustment, which is from the lowest share to all within three.
	openingTime   = 2 * time.Second
	openingFactor = 3.0
	openingGain   = 1.0
)

// TargetLoad is the load of a target of this host.
type TargetLoad struct {
	Load float64
	// ColdLeft is for how long the target is cold; 0 if it is warm. Load then compares arrivals with its cold rate.
	ColdLeft time.Duration
}

// cold reports whether the reading is of cold targets.
func (r *reading) cold() bool { return !r.coldUntil.IsZero() }

// coldUntil returns the end of a remaining cold time in milliseconds; the zero time if there is none.
func coldUntil(now time.Time, leftMs uint32) time.Time {
	if leftMs == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(leftMs) * time.Millisecond)
}

// coldLeftMs returns the time until the end of a cold time in milliseconds, at least 1; 0 without a cold time.
func coldLeftMs(now, until time.Time) uint32 {
	if until.IsZero() {
		return 0
	}
	return uint32(max(until.Sub(now).Milliseconds(), 1))
}

// ObserveTarget records the load of a target of this host.
func (r *LoadTracker) ObserveTarget(now time.Time, service, target string, l TargetLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serviceLoad(service).observe(target, reading{load: l.Load, coldUntil: coldUntil(now, uint32(l.ColdLeft.Milliseconds())), at: now, origin: originLocal})
}

// ColdUntil returns when the first target of a service is warm; the zero time unless all targets that have readings are cold.
func (r *LoadTracker) ColdUntil(now time.Time, service string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, _ := r.load(now, service)
	return known.coldUntil
}

// observeCold notes at an adjustment whether the service is cold. The cold time ends by itself too: an entry that admits few requests gets few
// readings.
func (c *serviceLimiter) observeCold(now, until time.Time, known bool) {
	switch {
	case !until.IsZero():
		c.coldUntil = until
	case c.coldUntil.IsZero():
	case known || !now.Before(c.coldUntil):
		c.coldUntil = time.Time{}
		c.openingUntil = now.Add(openingTime)
	}
}

// pace returns the bounds of the factor of one adjustment, and the part of the deviation that it corrects.
func (c *serviceLimiter) pace(now time.Time) (lowest, highest, gain float64) {
	switch {
	case now.Before(c.coldUntil):
		return coldDecreaseFactor, maxIncreaseFactor, adjustGain
	case now.Before(c.openingUntil):
		return maxDecreaseFactor, openingFactor, openingGain
	default:
		return maxDecreaseFactor, maxIncreaseFactor, adjustGain
	}
}
