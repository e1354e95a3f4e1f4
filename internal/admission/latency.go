package admission

import "time"

const (
	// latencyGain is the weight of a new sample in the smoothed latency.
	latencyGain = 0.05
	// latencyStaleAfter is how long an estimate stays unchanged without samples.
	latencyStaleAfter = 200 * time.Millisecond
	// latencyHalfLife is the time in which a stale estimate halves. Without the decay, an
	// estimate above all deadlines would cause every request to be refused and never be corrected.
	latencyHalfLife = 300 * time.Millisecond
)

// latency is an exponentially weighted mean of durations that decays while no samples come.
type latency struct {
	mean    time.Duration
	samples int
	updated time.Time
}

// add includes a sample. The first samples have more weight, so that the estimate converges fast.
func (l *latency) add(now time.Time, sample time.Duration) {
	l.samples++
	gain := max(latencyGain, 1/float64(l.samples))
	l.mean += time.Duration(gain * float64(sample-l.mean))
	l.updated = now
}

// addLowerBound includes work that was cut short and would have taken at least elapsed.
func (l *latency) addLowerBound(now time.Time, elapsed time.Duration) {
	if elapsed > l.mean {
		l.add(now, elapsed)
	}
}

// estimate returns the mean, decayed when it is stale; 0 without samples.
func (l *latency) estimate(now time.Time) time.Duration {
	idle := now.Sub(l.updated) - latencyStaleAfter - l.mean
	if l.samples == 0 || idle <= 0 {
		return l.mean
	}
	halvings := min(idle/latencyHalfLife, 62)
	return l.mean >> halvings
}
