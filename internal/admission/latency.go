package admission

import "time"

const (
	// latencyGain is the weight of a new sample in the smoothed latency.
	latencyGain = 0.05
	// latencyHold is how long an estimate stands without samples.
	latencyHold = 200 * time.Millisecond
	// latencyHalfLife is the time in which an estimate without samples halves. Without it,
	// an estimate above all deadlines would refuse everything and never be corrected.
	latencyHalfLife = 300 * time.Millisecond
)

// latency is a smoothed duration that fades when no samples come.
type latency struct {
	mean    time.Duration
	samples int
	updated time.Time
}

// add counts a sample. The first samples weigh more, so that the estimate settles fast.
func (l *latency) add(now time.Time, sample time.Duration) {
	l.samples++
	gain := max(latencyGain, 1/float64(l.samples))
	l.mean += time.Duration(gain * float64(sample-l.mean))
	l.updated = now
}

// atLeast counts work that was cut short: it would have taken at least elapsed.
func (l *latency) atLeast(now time.Time, elapsed time.Duration) {
	if elapsed > l.mean {
		l.add(now, elapsed)
	}
}

// at returns the estimate; 0 when nothing is known.
func (l *latency) at(now time.Time) time.Duration {
	idle := now.Sub(l.updated) - latencyHold - l.mean
	if l.samples == 0 || idle <= 0 {
		return l.mean
	}
	halvings := min(idle/latencyHalfLife, 62)
	return l.mean >> halvings
}
