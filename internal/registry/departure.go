package registry

import (
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// A target that leaves is told so by the process that heard of it, and that must hold for a later process of the node too, which may get
// a delayed report. The departures of a node are therefore stored at control replicas before they are confirmed (Departures,
// Relay.MergeDepartures), and a process that has just started holds reports back until it has asked for them (Restore).

const (
	// maxHold is how long reports are held back if Restore isn't called, since too few replicas answer. A target that still sends reports
	// by then has not left: delayed ones come within seconds.
	maxHold = 10 * time.Second
	// maxLastReports is the maximum number of targets of which a report is remembered because of a removal.
	maxLastReports = 4 * maxLocalTargets
)

// heldReport is the latest report of a target that is held back.
type heldReport struct {
	report Report
	at     time.Time
	// since is when the first report of the same run was held back, first its sequence number.
	since time.Time
	first uint64
}

// mustHold reports whether a report must be held back, and keeps it then. A report of a target that leaves lists nothing that gets
// requests. The caller holds the lock.
func (l *Local) mustHold(now time.Time, r Report) bool {
	if l.restored || r.Leaving() || l.entries[r.Name] != nil {
		return false
	}
	if last, known := l.lastReports[r.Name]; known && !r.Start.After(last.start) {
		return false
	}
	held, known := l.held[r.Name]
	switch {
	case !known && len(l.held) >= maxLocalTargets:
		return true
	case !known || r.Start.After(held.report.Start):
		held = heldReport{since: now, first: r.Sequence}
	case r.Start.Before(held.report.Start) || r.Sequence < held.report.Sequence:
		return true
	}
	held.report, held.at = r, now
	if now.Sub(held.since) >= maxHold && r.Sequence > held.first {
		delete(l.held, r.Name)
		l.restored = true
		return false
	}
	l.held[r.Name] = held
	return true
}

// Restore applies what control replicas hold of the targets of earlier processes of the node, and then the reports that were held back. It
// returns the number of runs that have said that they leave, and the results of these reports by target.
func (l *Local) Restore(now time.Time, records []*apiv1.TargetRecord) (departed int, results map[string]ReportResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range records {
		if m.Node != l.options.Node || m.StartedUnixNs == 0 {
			continue
		}
		gone := m.Departed && m.State == apiv1.TargetState_TARGET_STATE_GONE
		leaving := m.Departed && !gone
		if m.Departed {
			departed++
		}
		start := time.Unix(0, m.StartedUnixNs)
		last, known := l.lastReports[m.Name]
		if known && start.Before(last.start) {
			continue
		}
		if known && start.Equal(last.start) {
			last.left, last.leaving, last.departed = last.left || gone, last.leaving || leaving, last.departed || leaving
		} else {
			last = lastReport{start: start, left: gone, leaving: leaving, departed: leaving, updatedAt: now}
		}
		l.lastReports[m.Name] = last
	}
	l.restored = true
	results = make(map[string]ReportResult, len(l.held))
	for name, held := range l.held {
		if now.Sub(held.at) > l.options.TTL {
			continue
		}
		if result, refusal := l.applyReport(now, held.report); refusal == nil {
			results[name] = result
		}
	}
	clear(l.held)
	l.publish()
	return departed, results
}

// Restored reports whether reports are not held back. Until then the set must not be announced: what is missing from it would be taken
// for removed.
func (l *Local) Restored() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restored
}

// startOf returns the start of the run of a target that is known: announced, held back, or of its last report. Without any it returns now:
// every run that began before has ended. The caller holds the lock.
func (l *Local) startOf(now time.Time, name string) time.Time {
	if entry := l.entries[name]; entry != nil {
		return entry.target.Started
	}
	if held, ok := l.held[name]; ok {
		return held.report.Start
	}
	if last, ok := l.lastReports[name]; ok {
		return last.start
	}
	return now
}

// Departures returns the records of targets that have said that they leave or are gone, as control replicas store them.
func (l *Local) Departures() []*apiv1.TargetRecord {
	view := l.section.Load()
	var records []*apiv1.TargetRecord
	for _, t := range view.Targets {
		if t.Departed {
			records = append(records, t.Record())
		}
	}
	for _, record := range view.tombstones {
		if record.Departed {
			records = append(records, record)
		}
	}
	return records
}

// MergeDepartures stores departures of a node's targets, and returns all records of the node's targets. stored is false if they come from
// an earlier process of the node than the one that is known.
func (r *Relay) MergeDepartures(now time.Time, req *apiv1.DepartureRequest) (records []*apiv1.TargetRecord, stored bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateWarmUp(now)
	for _, record := range req.Departed {
		n := r.admitNode(now, record.Node, record.Incarnation)
		if n == nil || record.Node != req.Node {
			return nil, false
		}
		r.mergeRecord(now, n, record)
	}
	n := r.nodes[req.Node]
	if n == nil {
		return nil, true
	}
	if len(req.Departed) > 0 {
		r.updateAddressClaimants(now, n.address)
		r.updateVisible(now, n)
	}
	for _, rec := range n.records {
		records = append(records, rec.message)
	}
	return records, true
}
