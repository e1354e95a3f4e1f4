// Package clock provides the current time through an interface, so that tests can give each node a clock that drifts.
package clock

import "time"

// Clock returns the current time. Its readings include a monotonic clock reading, as those of time.Now do, except for
// test clocks that leave it out.
type Clock interface {
	Now() time.Time
}

// System is the clock of the operating system, or the fake clock inside a testing/synctest bubble.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time {
	return time.Now()
}

// Drifting is a clock that runs faster or slower than System at a constant rate.
type Drifting struct {
	// Origin is the time at which the drift is zero; the drift grows with the time since then.
	Origin time.Time
	// PPM is the drift in parts per million; the clock runs fast if it is positive.
	PPM int64
}

// Now returns the current time of System plus the drift since Origin.
func (d Drifting) Now() time.Time {
	elapsed := time.Since(d.Origin)
	return d.Origin.Add(elapsed + elapsed*time.Duration(d.PPM)/1_000_000)
}
