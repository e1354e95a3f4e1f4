package shed

import (
	"math"
	"sync"
	"time"
)

const (
	// meterDecay is the time constant with which a meter discounts past arrivals and service times. It
	// spans several service times of the services that were measured.
	meterDecay = 300 * time.Millisecond
	// meterWarmUp is the time after the first arrival during which a meter reports no load.
	meterWarmUp = 200 * time.Millisecond
)

// Meter measures the load offered to one target. It is safe for concurrent use.
type Meter struct {
	mu          sync.Mutex
	startedAt   time.Time
	updatedAt   time.Time
	arrivals    float64
	slotSeconds float64
	finished    float64
	// abortedSlotSeconds is the time for which aborted requests held slots.
	abortedSlotSeconds float64
}

// NewMeter returns a meter without any samples.
func NewMeter() *Meter { return &Meter{} }

// decay discounts all counts by the time since the last update. The caller holds mu.
func (m *Meter) decay(now time.Time) {
	if m.startedAt.IsZero() {
		m.startedAt, m.updatedAt = now, now
		return
	}
	elapsed := now.Sub(m.updatedAt)
	if elapsed <= 0 {
		return
	}
	m.updatedAt = now
	factor := math.Exp(-elapsed.Seconds() / meterDecay.Seconds())
	m.arrivals *= factor
	m.slotSeconds *= factor
	m.finished *= factor
	m.abortedSlotSeconds *= factor
}

// Arrived counts a request, whether or not it is admitted.
func (m *Meter) Arrived(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.arrivals++
}

// Aborted counts a request that held a slot for a time and was aborted: it failed, was refused by a target
// with free capacity, or its caller disconnected. It counts only the slot time that it used, not the mean
// service time.
func (m *Meter) Aborted(now time.Time, held time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.removeArrival(held)
	m.abortedSlotSeconds += held.Seconds()
}

// Moved counts a request that queued for a time, held no slot and went to another target, which counts it as well.
func (m *Meter) Moved(now time.Time, queued time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.removeArrival(queued)
}

// removeArrival removes the rest of an arrival, which has decayed since. The caller holds mu.
func (m *Meter) removeArrival(since time.Duration) {
	m.arrivals = max(m.arrivals-math.Exp(-since.Seconds()/meterDecay.Seconds()), 0)
}

// Finished counts a request that held a slot for a time and completed.
func (m *Meter) Finished(now time.Time, held time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.slotSeconds += held.Seconds()
	m.finished++
}

// Warmed forgets the service times of a target that was cold until now.
func (m *Meter) Warmed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.slotSeconds, m.finished, m.abortedSlotSeconds = 0, 0, 0
}

// Reading is the measured load of a target.
type Reading struct {
	// Load is the offered work as a share of the capacity.
	Load float64
	// ArrivalsPerSecond is the rate of arrivals; MeanServiceTime is the mean time for which a completed request held
	// its slot.
	ArrivalsPerSecond float64
	MeanServiceTime   time.Duration
}

// Capacity is what a target can do.
type Capacity struct {
	// Slots is the number of requests that it serves at once.
	Slots int
	// PerSecond is the number of requests that it accepts in a second; 0 for no such limit.
	PerSecond float64
	// Cold is true while the target is cold. Its load is then arrivals against PerSecond alone: how long requests take now says
	// nothing about its slots.
	Cold bool
}

// Read returns the current reading for a capacity.
func (m *Meter) Read(now time.Time, c Capacity) Reading {
	r := Reading{Load: m.Load(now, c)}
	m.mu.Lock()
	defer m.mu.Unlock()
	r.ArrivalsPerSecond = m.arrivals / meterDecay.Seconds()
	if m.finished > 0 {
		r.MeanServiceTime = time.Duration(m.slotSeconds / m.finished * float64(time.Second))
	}
	return r
}

// Load returns the offered work as a share of the capacity, or 0 without enough samples.
func (m *Meter) Load(now time.Time, c Capacity) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	age := now.Sub(m.startedAt)
	if m.startedAt.IsZero() || age < meterWarmUp {
		return 0
	}
	window := meterDecay.Seconds() * (1 - math.Exp(-age.Seconds()/meterDecay.Seconds()))
	if c.Cold {
		return m.arrivals / window / c.PerSecond
	}
	if m.finished < 1 || c.Slots <= 0 {
		return 0
	}
	load := (m.arrivals*m.slotSeconds/m.finished + m.abortedSlotSeconds) / window / float64(c.Slots)
	if c.PerSecond > 0 {
		load = max(load, m.arrivals/window/c.PerSecond)
	}
	return load
}
