package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// fewSuspects is the number of suspects in a crash up to which each runs alone at its next trial.
	fewSuspects = 4
	// maxCrashes bounds the crashes of one record; the oldest are dropped.
	maxCrashes = 8
	// suspectTTL is the time after a crash at which a request that was in only one is no suspect any more.
	suspectTTL = 30 * time.Second
	// recordTTL is the time after the last crash at which the crashes of a request are forgotten, unless it is quarantined longer.
	recordTTL = time.Hour
	// clearedTTL is how long a cleared record is kept, so that late news of earlier crashes does not bring them back.
	clearedTTL = 2 * time.Minute
	// probationDelay is the length of the quarantine after a second crash, on trial beside others, which proves nothing yet. Targets that
	// crashed have started again by then as a rule, so that the next trial does not take the last one.
	probationDelay = 5 * time.Second
	// minQuarantine and maxQuarantine bound the length of a quarantine after a proof. It doubles with each further crash.
	minQuarantine = 10 * time.Minute
	maxQuarantine = 24 * time.Hour
)

// Crash is the end of a target's process while a request was in flight at it.
type Crash struct {
	// Target identifies the process of the target that ended.
	Target string
	At     time.Time
	// InFlight is the number of suspects that were in flight, this one included.
	InFlight int
	// OnTrial is set if the request ran on trial, Alone if the target ran nothing else.
	OnTrial, Alone bool
	// Trusted is set if the request had completed at the same node a short time before.
	Trusted bool
}

// Record is what is known of one request. It is a value: methods that change it return a copy.
type Record struct {
	Fingerprint  Fingerprint
	Service      string
	Organisation string
	// Crashes are ordered by time. Each has another Target.
	Crashes []Crash
	// Cleared is when a run completed or an operator released the request; earlier crashes do not count.
	Cleared time.Time
}

// Level says how a request may run.
type Level int

// The levels, from the least to the most restricted.
const (
	// Free requests run anywhere.
	Free Level = iota
	// OnTrial requests run at one target of the fleet with few other suspects.
	OnTrial
	// AloneOnTrial requests run at one target that runs nothing else.
	AloneOnTrial
	// Quarantined requests do not run.
	Quarantined
)

// String returns the level as logs and commands show it.
func (l Level) String() string {
	switch l {
	case OnTrial:
		return "suspect"
	case AloneOnTrial:
		return "suspect-alone"
	case Quarantined:
		return "quarantined"
	default:
		return "free"
	}
}

// last returns the time of the latest crash, or the zero time.
func (r Record) last() time.Time {
	if len(r.Crashes) == 0 {
		return time.Time{}
	}
	return r.Crashes[len(r.Crashes)-1].At
}

// convicted reports whether the crashes prove that the request caused them: a target crashed that it had to itself on trial, after another
// crash. Where no target could be kept for it alone, three crashes with a trial among them count as much.
func (r Record) convicted() bool {
	trial, alone := false, false
	for _, c := range r.Crashes {
		trial = trial || c.OnTrial
		alone = alone || c.OnTrial && c.Alone
	}
	return len(r.Crashes) >= 2 && alone || len(r.Crashes) >= 3 && trial
}

// QuarantinedUntil returns when the quarantine of the request ends or has ended; the zero time if it was never quarantined.
func (r Record) QuarantinedUntil() time.Time {
	if n := len(r.Crashes); !r.convicted() {
		if n > 1 && r.Crashes[n-1].OnTrial {
			return r.last().Add(probationDelay)
		}
		return time.Time{}
	}
	length := minQuarantine
	for range len(r.Crashes) - 3 {
		length = min(2*length, maxQuarantine)
	}
	return r.last().Add(length)
}

// Level returns how the request may run at a time.
func (r Record) Level(now time.Time) Level {
	switch n := len(r.Crashes); {
	case n == 0:
		return Free
	case now.Before(r.QuarantinedUntil()):
		return Quarantined
	case n > 1:
		return AloneOnTrial
	case now.Sub(r.last()) > suspectTTL || r.Crashes[0].Trusted:
		return Free
	case r.Crashes[0].InFlight <= fewSuspects:
		return AloneOnTrial
	default:
		return OnTrial
	}
}

// expired reports whether nothing in the record matters any more.
func (r Record) expired(now time.Time) bool {
	if len(r.Crashes) == 0 {
		return now.Sub(r.Cleared) > clearedTTL
	}
	ttl := recordTTL
	if len(r.Crashes) == 1 {
		ttl = suspectTTL
	}
	return now.After(r.last().Add(ttl)) && now.After(r.QuarantinedUntil().Add(ttl))
}

// merge returns the union of two records of the same request.
func (r Record) merge(other Record) Record {
	merged := r
	merged.Cleared = latest(r.Cleared, other.Cleared)
	merged.Service = cmp.Or(r.Service, other.Service)
	merged.Organisation = cmp.Or(r.Organisation, other.Organisation)
	merged.Crashes = nil
	for _, c := range append(slices.Clone(r.Crashes), other.Crashes...) {
		known := slices.ContainsFunc(merged.Crashes, func(k Crash) bool { return k.Target == c.Target })
		if !known && c.At.After(merged.Cleared) {
			merged.Crashes = append(merged.Crashes, c)
		}
	}
	slices.SortStableFunc(merged.Crashes, func(a, b Crash) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Target, b.Target)) })
	if excess := len(merged.Crashes) - maxCrashes; excess > 0 {
		merged.Crashes = slices.Delete(merged.Crashes, 0, excess)
	}
	return merged
}

// clear returns the record without crashes up to a time.
func (r Record) clear(at time.Time) Record {
	return r.merge(Record{Fingerprint: r.Fingerprint, Cleared: at})
}

// sameEvidence reports whether a merge left a record as it was.
func (r Record) sameEvidence(other Record) bool {
	return r.Cleared.Equal(other.Cleared) && slices.EqualFunc(r.Crashes, other.Crashes, func(a, b Crash) bool { return a.Target == b.Target })
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
