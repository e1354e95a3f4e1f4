package registry

import (
	"maps"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/outcome"
)

// Report is an announcement that identifies the process of the target and carries a sequence number, so that
// reports may arrive late and out of order.
type Report struct {
	Announcement
	// Start is when this process of the target started, by the target's own clock.
	Start time.Time
	// Sequence increases with each report of one process.
	Sequence uint64
}

// ReportResult is the result of processing a report.
type ReportResult string

// Results of processing a report.
const (
	// ReportAccepted means that the report was accepted.
	ReportAccepted ReportResult = "taken"
	// ReportOutdated means that a later report of the same process was accepted before.
	ReportOutdated ReportResult = "outdated"
	// ReportFromEndedProcess means that the report comes from a process that has left or that a later one has replaced.
	ReportFromEndedProcess ReportResult = "dead"
	// ReportHeld means that the report is held back until it is known what an earlier process of the node knew.
	ReportHeld ReportResult = "held"
)

// lastReport identifies the last accepted report of a target.
type lastReport struct {
	start    time.Time
	sequence uint64
	left     bool
	// leaving is set if the process leaves whatever its further reports say: it has said so otherwise than by a report, or, with departed set,
	// by a report to an earlier process of the node.
	leaving   bool
	departed  bool
	updatedAt time.Time
}

// reportRetention is how long the last report of a removed target is kept. It is far longer than a report
// can be delayed.
const reportRetention = 2 * time.Minute

// Bounds of what a report may say of its process. A report beyond them is not one of the target's own, and would make these look late.
const (
	// maxReportSequence is the largest number that every writer of JSON holds exactly.
	maxReportSequence = 1 << 53
	// maxStartAhead is how far the clock of a target may be ahead of that of its node.
	maxStartAhead = 24 * time.Hour
)

// checkReport returns a refusal if a report can't come from a process of the target.
func checkReport(now time.Time, r Report) *outcome.Refusal {
	switch {
	case r.Sequence > maxReportSequence:
		return outcome.NotRun(outcome.BadRequest, 0, "report: sequence %d is above %d", r.Sequence, uint64(maxReportSequence))
	case r.Start.Before(time.Unix(0, 0)) || r.Start.After(now.Add(maxStartAhead)):
		return outcome.NotRun(outcome.BadRequest, 0, "report: the process started at %v, which is not in the past", r.Start)
	}
	return checkAnnouncement(r.Announcement)
}

// ApplyReport applies a report unless it accepted a later one before: from the same process, from a later process
// of the target, or from a later target at the same address.
func (l *Local) ApplyReport(now time.Time, r Report) (ReportResult, *outcome.Refusal) {
	if refusal := checkReport(now, r); refusal != nil {
		return "", refusal
	}
	r.cold = r.coldReading(now, r.Sequence)
	result, refusal := l.applyOrHold(now, r)
	if result == ReportAccepted {
		l.tellCold(r.Name)
	}
	return result, refusal
}

// applyOrHold applies a valid report, or holds it back.
func (l *Local) applyOrHold(now time.Time, r Report) (ReportResult, *outcome.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mustHold(now, r) {
		return ReportHeld, nil
	}
	return l.applyReport(now, r)
}

// applyReport applies a valid report. The caller holds the lock.
func (l *Local) applyReport(now time.Time, r Report) (ReportResult, *outcome.Refusal) {
	last, known := l.lastReports[r.Name]
	switch {
	case known && r.Start.Before(last.start):
		return ReportFromEndedProcess, nil
	case known && r.Start.Equal(last.start) && last.left:
		return ReportFromEndedProcess, nil
	case known && r.Start.Equal(last.start) && r.Sequence < last.sequence:
		return ReportOutdated, nil
	case l.addressHeldByNewer(r):
		return ReportFromEndedProcess, nil
	}
	leaving := known && r.Start.Equal(last.start) && last.leaving
	r.departed = r.Leaving() || (leaving && last.departed)
	if leaving {
		r.State = apiv1.TargetState_TARGET_STATE_LEAVING
	}
	if _, refusal := l.announce(now, r.Announcement, r.Start); refusal != nil {
		return "", refusal
	}
	l.lastReports[r.Name] = lastReport{start: r.Start, sequence: r.Sequence, leaving: leaving, departed: leaving && last.departed, updatedAt: now}
	return ReportAccepted, nil
}

// MarkLeaving sets the state of a target to LEAVING for the rest of the run that started at a time, whatever its reports say. It does
// nothing if another run is announced.
func (l *Local) MarkLeaving(now time.Time, name string, started time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.entries[name]
	if entry == nil || !entry.target.Started.Equal(started) {
		return
	}
	if last, known := l.lastReports[name]; known {
		last.leaving, last.updatedAt = true, now
		l.lastReports[name] = last
	}
	if entry.target.State != apiv1.TargetState_TARGET_STATE_LEAVING {
		l.setState(entry, apiv1.TargetState_TARGET_STATE_LEAVING)
	}
}

// addressHeldByNewer reports whether another target that started later is announced at the address of the report.
// The caller holds the lock.
func (l *Local) addressHeldByNewer(r Report) bool {
	for name, entry := range l.entries {
		if name != r.Name && entry.target.Address == r.Address && l.lastReports[name].start.After(r.Start) {
			return true
		}
	}
	return false
}

// RemoveReported removes a target that sends reports; further reports of the same process are ignored. It
// returns false if the target is not announced.
func (l *Local) RemoveReported(now time.Time, name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	start := l.startOf(now, name)
	last, known := l.lastReports[name]
	if known || len(l.lastReports) < maxLastReports {
		l.lastReports[name] = lastReport{start: start, sequence: last.sequence, left: true, updatedAt: now}
	}
	record := &apiv1.TargetRecord{Name: name, Node: l.options.Node, StartedUnixNs: start.UnixNano()}
	entry := l.entries[name]
	if entry != nil {
		record = entry.target.Record()
	}
	delete(l.entries, name)
	delete(l.held, name)
	l.version++
	departed := tombstone(record, l.options.Incarnation, l.version)
	departed.Departed = true
	l.addTombstone(departed)
	l.publish()
	return entry != nil
}

// pruneReports drops the last reports of targets that were removed long ago. The caller holds the lock.
func (l *Local) pruneReports(now time.Time) {
	maps.DeleteFunc(l.held, func(_ string, h heldReport) bool { return now.Sub(h.at) > l.options.TTL })
	for name, last := range l.lastReports {
		if l.entries[name] == nil && now.Sub(last.updatedAt) > reportRetention {
			delete(l.lastReports, name)
		}
	}
}

// Leaving reports whether the target has announced that it accepts no new work.
func (a *Announcement) Leaving() bool {
	return a.State == apiv1.TargetState_TARGET_STATE_LEAVING
}
