// Package clock injects time, so that tests can give each node a clock that drifts.
package clock

import "time"

// Clock tells the time. Readings carry a monotonic part unless a test says otherwise.
type Clock interface {
	Now() time.Time
}

// System is the clock of the operating system, or of the bubble inside testing/synctest.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time {
	return time.Now()
}

// Drifting is a clock that runs faster or slower than System by a fixed share.
type Drifting struct {
	// Origin is the reading from which the drift accumulates.
	Origin time.Time
	// PPM is the drift in parts per million; positive runs fast.
	PPM int64
}

// Now returns the drifted time.
func (d Drifting) Now() time.Time {
	elapsed := time.Since(d.Origin)
	return d.Origin.Add(elapsed + elapsed*time.Duration(d.PPM)/1_000_000)
}
