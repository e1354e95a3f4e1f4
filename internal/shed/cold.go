package shed

import "time"

// Some targets of a service may be cold: they get a fixed small rate, and the warm ones take the rest. What a cold target can't take is no
// overload of the service, so the load of a service is the mean over its warm targets. When all are cold, it is the mean over these,
// each with its arrivals against its cold rate; entries then admit what the cold rates carry, and open up fast once targets are
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
	// Cold is true if Load compares arrivals with the cold rate of the target.
	Cold bool
}

// ObserveTarget records the load of a target of this host.
func (r *LoadTracker) ObserveTarget(now time.Time, service, target string, l TargetLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serviceLoad(service).observe(target, reading{load: l.Load, cold: l.Cold, at: now, origin: originLocal})
}

// Cold reports whether all targets of a service that have readings are cold.
func (r *LoadTracker) Cold(now time.Time, service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.load(now, service)
	return ok && known.cold
}

// observeCold notes whether the service is cold at an adjustment.
func (c *serviceLimiter) observeCold(now time.Time, cold, known bool) {
	if c.cold && !cold && known {
		c.openingUntil = now.Add(openingTime)
	}
	if known {
		c.cold = cold
	}
}

// pace returns the bounds of the factor of one adjustment, and the part of the deviation that it corrects.
func (c *serviceLimiter) pace(now time.Time) (lowest, highest, gain float64) {
	switch {
	case c.cold:
		return coldDecreaseFactor, maxIncreaseFactor, adjustGain
	case now.Before(c.openingUntil):
		return maxDecreaseFactor, openingFactor, openingGain
	default:
		return maxDecreaseFactor, maxIncreaseFactor, adjustGain
	}
}
