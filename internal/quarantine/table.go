package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Bounds of a table. With records of at most 0.7 kB and the completed runs it takes under 2 MB.
const (
	maxRecords                = 1024
	maxRecordsPerOrganisation = 256
	// maxCompleted is the number of completed runs after which the older half is forgotten.
	maxCompleted = 8192
	// completedTTL is the age at which a completed run is forgotten at the latest.
	completedTTL = 20 * time.Second
	// crashedTTL is how long a crashed process of a target is remembered: it may stay listed until its announcement ends.
	crashedTTL = 10 * time.Second
	// expiryInterval is the time between two removals of expired records.
	expiryInterval = time.Second
)

// Table holds what a node knows of requests that were in flight when targets crashed. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	records map[Fingerprint]*entry
	// version counts changes; those after a version are sent to other nodes.
	version uint64
	// completed and earlier hold the requests that completed at this node, in two generations.
	completed, earlier map[Fingerprint]struct{}
	generation         time.Time
	// crashed holds processes of targets that have ended.
	crashed    map[string]time.Time
	nextExpiry time.Time
}

// entry is a record with the version of its last change at this node.
type entry struct {
	Record
	version uint64
	// repeated is set once the request was in several crashes, also when it is cleared since.
	repeated bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[Fingerprint]*entry{}, completed: map[Fingerprint]struct{}{}, earlier: map[Fingerprint]struct{}{}, crashed: map[string]time.Time{}}
}

// Exposure is a request that was in flight when a target crashed.
type Exposure struct {
	Fingerprint  Fingerprint
	Organisation string
	OnTrial      bool
}

// Crashed records that a process of a target has ended with requests in flight, and returns the records of those that are suspects now.
func (t *Table) Crashed(now time.Time, service, target string, inFlight []Exposure) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	t.crashed[target] = now
	suspects := 0
	for _, e := range inFlight {
		if !t.completedRecently(e.Fingerprint) {
			suspects++
		}
	}
	var records []Record
	for _, e := range inFlight {
		crash := Crash{Target: target, At: now, InFlight: max(suspects, 1), OnTrial: e.OnTrial, Alone: len(inFlight) == 1, Trusted: t.completedRecently(e.Fingerprint)}
		delete(t.completed, e.Fingerprint)
		delete(t.earlier, e.Fingerprint)
		r := Record{Fingerprint: e.Fingerprint, Service: service, Organisation: e.Organisation, Crashes: []Crash{crash}}
		if changed, ok := t.merge(now, r); ok {
			records = append(records, changed)
		}
	}
	return records
}

// completedRecently reports whether a request has completed at this node a short time ago. The caller holds mu.
func (t *Table) completedRecently(f Fingerprint) bool {
	_, ok := t.completed[f]
	if !ok {
		_, ok = t.earlier[f]
	}
	return ok
}

// Completed records that a request has completed, and reports whether that cleared it.
func (t *Table) Completed(now time.Time, f Fingerprint) (cleared bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.completed) >= maxCompleted/2 || now.Sub(t.generation) > completedTTL/2 {
		t.earlier, t.completed, t.generation = t.completed, make(map[Fingerprint]struct{}), now
	}
	t.completed[f] = struct{}{}
	e := t.records[f]
	if e == nil || len(e.Crashes) == 0 {
		return false
	}
	t.put(e.clear(now))
	return true
}

// Release clears a request by an operator's command and reports whether there was anything to clear.
func (t *Table) Release(now time.Time, f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[f]
	if e == nil || len(e.Crashes) == 0 {
		return false
	}
	t.put(e.clear(now))
	return true
}

// Check returns how a request may run, and what is known of it.
func (t *Table) Check(now time.Time, f Fingerprint) (Level, Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.records) == 0 {
		return Free, Record{}
	}
	t.expire(now)
	e := t.records[f]
	if e == nil {
		return Free, Record{}
	}
	return e.Level(now), e.Record
}

// HasCrashed reports whether a process of a target is known to have ended.
func (t *Table) HasCrashed(target string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.crashed[target]
	return ok
}

// Merge adds records of another node and reports whether any was new.
func (t *Table) Merge(now time.Time, records []Record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	anyNew := false
	for _, r := range records {
		for _, c := range r.Crashes {
			if now.Sub(c.At) < crashedTTL {
				t.crashed[c.Target] = c.At
			}
		}
		_, ok := t.merge(now, r)
		anyNew = anyNew || ok
	}
	return anyNew
}

// merge merges one record and returns the result, and whether it differs from before. The caller holds mu.
func (t *Table) merge(now time.Time, r Record) (Record, bool) {
	known := Record{Fingerprint: r.Fingerprint}
	if e := t.records[r.Fingerprint]; e != nil {
		known = e.Record
	}
	merged := known.merge(r)
	if merged.sameEvidence(known) || merged.expired(now) {
		return known, false
	}
	t.put(merged)
	return merged, true
}

// put stores a record as changed. If there is no room, the least restricted and oldest record of the same organisation, or of all, makes room. The
// caller holds mu.
func (t *Table) put(r Record) {
	known := t.records[r.Fingerprint]
	if known == nil {
		own := 0
		for _, e := range t.records {
			if e.Organisation == r.Organisation {
				own++
			}
		}
		if own >= maxRecordsPerOrganisation {
			t.evict(func(e *entry) bool { return e.Organisation == r.Organisation })
		} else if len(t.records) >= maxRecords {
			t.evict(func(*entry) bool { return true })
		}
	}
	t.version++
	t.records[r.Fingerprint] = &entry{Record: r, version: t.version, repeated: len(r.Crashes) > 1 || known != nil && known.repeated}
}

// evict removes the record with the fewest crashes, and the oldest of those, among some.
func (t *Table) evict(among func(*entry) bool) {
	var victim *entry
	for _, e := range t.records {
		if !among(e) {
			continue
		}
		if victim == nil || len(e.Crashes) < len(victim.Crashes) || len(e.Crashes) == len(victim.Crashes) && e.version < victim.version {
			victim = e
		}
	}
	if victim != nil {
		delete(t.records, victim.Fingerprint)
	}
}

// expire removes what no longer matters, at most once in an expiryInterval. The caller holds mu.
func (t *Table) expire(now time.Time) {
	if now.Before(t.nextExpiry) {
		return
	}
	t.nextExpiry = now.Add(expiryInterval)
	maps.DeleteFunc(t.records, func(_ Fingerprint, e *entry) bool { return e.expired(now) })
	maps.DeleteFunc(t.crashed, func(_ string, at time.Time) bool { return now.Sub(at) > crashedTTL })
}

// Changes returns the records of a service, or of all if it is empty, that changed after a version, and the present version.
func (t *Table) Changes(service string, after uint64) ([]Record, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []*entry
	for _, e := range t.records {
		if e.version > after && (service == "" || e.Service == service) {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return int(a.version) - int(b.version) })
	records := make([]Record, 0, len(changed))
	for _, e := range changed {
		records = append(records, e.Record)
	}
	return records, t.version
}

// Repeated returns those of some records whose requests were in several crashes, also if they were cleared since.
func (t *Table) Repeated(records []Record) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(records), func(r Record) bool {
		e := t.records[r.Fingerprint]
		return e == nil || !e.repeated
	})
}

// Foremost returns at most n records of a service: the most restricted first, then the latest.
func (t *Table) Foremost(now time.Time, service string, n int) []Record {
	records, _ := t.Changes(service, 0)
	slices.Reverse(records)
	slices.SortStableFunc(records, func(a, b Record) int { return int(b.Level(now)) - int(a.Level(now)) })
	return records[:min(n, len(records))]
}
