package registry

import (
	"time"

	"github.com/guavaford/guavaford/internal/coldstart"
)

// The cold time of a target changes with each report while it is cold, so it is no part of the record that the fleet hears of: that has the
// state COLD only. The gate of the host needs the time itself.

// localCold is the latest reading of the cold time of one run of a target.
type localCold struct {
	started time.Time
	reading coldstart.Reading
}

// OnColdReading sets the function that is called for each reading of a target's cold time. It must be set before targets are announced.
func (l *Local) OnColdReading(observe func(name string, started time.Time, r coldstart.Reading)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onCold = observe
}

// ColdReading returns the latest reading of the cold time of a target in the run that started at a time.
func (l *Local) ColdReading(name string, started time.Time) (coldstart.Reading, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.cold[name]
	if !ok || !known.started.Equal(started) {
		return coldstart.Reading{}, false
	}
	return known.reading, true
}

// coldReading returns what an announcement that arrived at a time says of the cold time; nil if nothing.
func (a *Announcement) coldReading(arrived time.Time, sequence uint64) *coldstart.Reading {
	if a.ColdLeft == nil {
		return nil
	}
	return &coldstart.Reading{Sequence: sequence, At: arrived, Left: *a.ColdLeft}
}

// noteCold keeps the reading of an accepted announcement, unless a report with its sequence number is known. The caller holds the lock.
func (l *Local) noteCold(a Announcement, started time.Time) {
	if a.cold == nil {
		return
	}
	known, ok := l.cold[a.Name]
	if ok && known.started.Equal(started) && a.cold.Sequence != 0 && a.cold.Sequence <= known.reading.Sequence {
		return
	}
	l.cold[a.Name] = localCold{started: started, reading: *a.cold}
}

// tellCold passes the latest reading of a target on. The caller does not hold the lock, since the gate asks Local for readings under its
// own; readings that are passed on out of order are told apart by their sequence.
func (l *Local) tellCold(name string) {
	l.mu.Lock()
	known, ok := l.cold[name]
	observe := l.onCold
	l.mu.Unlock()
	if ok && observe != nil {
		observe(name, known.started, known.reading)
	}
}
