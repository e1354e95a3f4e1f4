// Package coldstart tracks for how long a target is cold: it has just started, or has lost its caches, and serves only a
// few requests per second until it is warm.
//
// # Concepts
//
// The load behind it is a target that crashes above a rate that is a hundredth of what it serves when warm. A target tells
// its remaining cold time in its reports and in responses. Each such reading is kept with its time of arrival, so that it
// ends by itself. A later reading replaces it: it may start the cold time again, or end it early. A reading that arrives late,
// after one with a higher sequence number, changes nothing.
//
// While there is no reading, a target counts as cold for the time that its policy names, from its start on.
//
// The package takes the time from its callers and uses no network.
package coldstart

import "time"

// MaxLeft bounds a remaining cold time. A target that stays cold for longer says so in further reports.
const MaxLeft = 10 * time.Minute

// Policy is what operators decide about cold targets of a service.
type Policy struct {
	// Duration is how long a target is cold after its start, unless it says otherwise.
	Duration time.Duration
	// PerSecond is the number of requests per second that a cold target gets; 0 for no limit.
	PerSecond float64
	// HealthPath is the path at which a target may be asked whether it is cold; empty for none.
	HealthPath string
}

// Reading is what a target said of its cold time at one moment.
type Reading struct {
	// Sequence orders the readings of one run of the target; 0 if they are ordered by At alone.
	Sequence uint64
	// At is when the reading arrived.
	At time.Time
	// Left is the remaining cold time; 0 if the target is warm.
	Left time.Duration
}

// Tracker holds the cold time of one run of a target. It is not safe for concurrent use.
type Tracker struct {
	started time.Time
	last    Reading
	known   bool
	// sequence is the highest sequence number of a reading.
	sequence uint64
}

// NewTracker returns a tracker of the run that started at a time.
func NewTracker(started time.Time) *Tracker {
	return &Tracker{started: started}
}

// Observe takes a reading over, and reports whether it did: not if a later one is known.
func (t *Tracker) Observe(r Reading) bool {
	if t.known && r.At.Before(t.last.At) || r.Sequence != 0 && r.Sequence <= t.sequence {
		return false
	}
	t.sequence = max(t.sequence, r.Sequence)
	r.Left = min(max(r.Left, 0), MaxLeft)
	t.last, t.known = r, true
	return true
}

// Known reports whether a reading is known.
func (t *Tracker) Known() bool { return t.known }

// Left returns the remaining cold time by a policy; 0 if the target is warm or the policy has no rate.
func (t *Tracker) Left(now time.Time, p Policy) time.Duration {
	switch {
	case p.PerSecond <= 0:
		return 0
	case t.known:
		return max(t.last.At.Add(t.last.Left).Sub(now), 0)
	default:
		// The start is a reading of the target's clock and may be in the future.
		return min(max(t.started.Add(p.Duration).Sub(now), 0), p.Duration)
	}
}
