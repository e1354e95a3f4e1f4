package faultsoak

import (
	"fmt"
	"slices"
	"time"
)

// Bounds of cold targets and of evacuations. The page docs/HARD-LOAD.md states them.
const (
	coldPerSecond = 13
	coldExcess    = 1.5
	coldSlack     = 8
	coldWindow    = time.Second
	// evacuationBound is how long after its confirmation an evacuation must be in force everywhere.
	evacuationBound = 5 * time.Second
)

// bounds collects what targets observed about cold time, evacuations, home regions and uploads.
type bounds struct {
	// cold has the start of each request to a target while it was cold, by the target's name.
	cold map[string][]time.Time
	// home counts the requests with a home region that ran.
	home int
	// uploads counts those that arrived whole.
	uploads int
	// evacuations counts the confirmed ones.
	evacuations int
	// events has the events that violate a guarantee by kind: the number of them, and a description of the first.
	events map[string]*events
}

// events counts events of one kind.
type events struct {
	count int
	first string
}

// add adds an event of a kind. The caller holds the lock.
func (b *bounds) add(kind, format string, args ...any) {
	if b.events[kind] == nil {
		b.events[kind] = &events{first: fmt.Sprintf(format, args...)}
	}
	b.events[kind].count++
}

// RecordColdRun records that a target got a request while it was cold.
func (l *Recorder) RecordColdRun(target string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bounds.cold[target] = append(l.bounds.cold[target], at)
}

// RecordEvacuatedRun records that a target got a request although its data centre was evacuated, so long after the confirmation.
func (l *Recorder) RecordEvacuatedRun(target string, after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bounds.add("evacuated "+target, "target %s got a request %.1fs after its data centre was evacuated", target, after.Seconds())
}

// RecordEvacuation records a confirmed evacuation.
func (l *Recorder) RecordEvacuation() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bounds.evacuations++
}

// RecordLostEvacuation records that a confirmed order about a data centre is not in force.
func (l *Recorder) RecordLostEvacuation(dataCentre string, drained bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bounds.add(fmt.Sprintf("drained %s %t", dataCentre, drained), "data centre %s: drained is %t although the opposite was confirmed", dataCentre, drained)
}

// RecordHomeRun records that a request with a home region ran at a target in a region.
func (l *Recorder) RecordHomeRun(id, target, region string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bounds.home++
	if region != homeRegion {
		l.bounds.add("home "+target, "request %s left its home region for target %s", id, target)
	}
}

// RecordUpload records the body of an upload that ended without an error at its target.
func (l *Recorder) RecordUpload(id string, whole bool, got int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if whole {
		l.bounds.uploads++
		return
	}
	l.bounds.add("upload", "upload %s ended after %d bytes that are not its body", id, got)
}

// violations describes the violated bounds. Of each kind of event only the first, and for each cold target only the first span with too
// many requests is reported.
func (b *bounds) violations() []string {
	var broken []string
	for _, kind := range sortedKeys(b.events) {
		e := b.events[kind]
		broken = append(broken, fmt.Sprintf("%s (%d of this kind)", e.first, e.count))
	}
	for _, target := range sortedKeys(b.cold) {
		if n, ok := most(b.cold[target]); ok {
			broken = append(broken, fmt.Sprintf("cold target %s got %d requests in %v, %.1f may come", target, n, coldWindow, coldPerSecond*coldExcess+coldSlack))
		}
	}
	return broken
}

// most returns the number of requests in the first span of coldWindow that has too many.
func most(at []time.Time) (int, bool) {
	slices.SortFunc(at, time.Time.Compare)
	first := 0
	for i := range at {
		for at[i].Sub(at[first]) > coldWindow {
			first++
		}
		if n := i - first + 1; float64(n) > coldPerSecond*coldExcess+coldSlack {
			return n, true
		}
	}
	return 0, false
}
