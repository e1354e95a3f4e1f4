package faultsoak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Verdict is the outcome of one try of a request, as its caller knows it.
type Verdict string

// The verdicts on a try.
const (
	// Served means that the caller got the complete answer of a target.
	Served Verdict = "served"
	// NotRun means that a node refused the request and guaranteed that it was not run and will not be.
	NotRun Verdict = "not-run"
	// Unknown means that the request may have run or not: the system said so, the target failed, or the connection broke.
	Unknown Verdict = "unknown"
)

// RateLimit is the rate limit of the limited organisation.
type RateLimit struct {
	PerSecond, Burst float64
	// MaxQueueTime is the longest time between charging a request to the limit and its run.
	MaxQueueTime time.Duration
}

// rateWindow is the length of the sliding window in which runs of the limited organisation are counted.
const rateWindow = 5 * time.Second

// Recorder collects what callers, targets and the operator observed in a run, and finds violated guarantees. It is safe
// for concurrent use.
type Recorder struct {
	limit RateLimit

	mu       sync.Mutex
	bookings map[string]*booking
	// limited has the start of each request of the limited organisation at a target.
	limited []time.Time
	// mixed describes the responses that belong to another request.
	mixed []string
	// changes has the accepted changes that were not read back.
	changes map[string]bool
	// tries counts all tries, quiet those in quiet time.
	tries map[Verdict]int
	quiet map[Verdict]int
	// afterLeave has a target's name for each request that it got long after it had announced that it leaves.
	afterLeave []string
	bounds     bounds
	// quietReasons says why tries in quiet time were not served.
	quietReasons []string
}

// booking collects the runs of one booking and the verdicts of all its tries.
type booking struct {
	runs     int
	verdicts []Verdict
}

// NewRecorder returns an empty recorder that checks a rate limit.
func NewRecorder(limit RateLimit) *Recorder {
	return &Recorder{limit: limit, bookings: map[string]*booking{}, changes: map[string]bool{}, tries: map[Verdict]int{}, quiet: map[Verdict]int{}, bounds: bounds{cold: map[string][]time.Time{}, events: map[string]*events{}}}
}

// booking returns the booking with an id, and adds it if necessary. The caller holds the lock.
func (l *Recorder) booking(id string) *booking {
	b := l.bookings[id]
	if b == nil {
		b = &booking{}
		l.bookings[id] = b
	}
	return b
}

// RecordRun records that a target began to run a booking.
func (l *Recorder) RecordRun(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.booking(id).runs++
}

// RecordLimitedRun records when a target began to run a request of the limited organisation.
func (l *Recorder) RecordLimitedRun(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limited = append(l.limited, at)
}

// RecordRunAfterLeave records that a target got a request long after it had announced that it leaves.
func (l *Recorder) RecordRunAfterLeave(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.afterLeave = append(l.afterLeave, target)
}

// RecordTry records the verdict of one try of a booking. Tries in quiet time also show whether the fleet has recovered.
func (l *Recorder) RecordTry(id string, v Verdict, quiet bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.booking(id)
	b.verdicts = append(b.verdicts, v)
	l.tries[v]++
	if quiet {
		l.quiet[v]++
	}
}

// WrongAnswer records that a request got the answer of another request.
func (l *Recorder) WrongAnswer(id, answer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mixed = append(l.mixed, fmt.Sprintf("request %s got the answer %q", id, answer))
}

// ChangeAccepted records that a change of the operator was accepted.
func (l *Recorder) ChangeAccepted(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes[name] = true
}

// ChangePresent records that a change was found in the configuration at the end.
func (l *Recorder) ChangePresent(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.changes, name)
}

// Summary counts the bookings (uploads included), their tries by verdict, the runs of the limited organisation, requests to cold targets,
// requests with a home region, uploads that arrived whole, and confirmed evacuations.
type Summary struct {
	Bookings                         int
	Tries                            map[Verdict]int
	Limited                          int
	Cold, Home, Uploads, Evacuations int
}

// Summary returns the counts so far.
func (l *Recorder) Summary() Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	tries := map[Verdict]int{}
	for v, n := range l.tries {
		tries[v] = n
	}
	s := Summary{Bookings: len(l.bookings), Tries: tries, Limited: len(l.limited), Home: l.bounds.home, Uploads: l.bounds.uploads, Evacuations: l.bounds.evacuations}
	for _, at := range l.bounds.cold {
		s.Cold += len(at)
	}
	return s
}

// RecordQuietReason records why a try in quiet time was not served.
func (l *Recorder) RecordQuietReason(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quietReasons = append(l.quietReasons, reason)
}

// maxReasons bounds the reasons in a report.
const maxReasons = 3

// minQuietServed is the share of tries in quiet time that must be served.
const minQuietServed = 0.95

// Violations describes each violated guarantee. It is meant to be called once callers, targets and the operator have
// stopped.
func (l *Recorder) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	broken := slices.Clone(l.mixed)
	for _, id := range sortedKeys(l.bookings) {
		broken = append(broken, l.bookings[id].broken(id)...)
	}
	for _, name := range sortedKeys(l.changes) {
		broken = append(broken, fmt.Sprintf("accepted change %s is not in force at the end", name))
	}
	for _, target := range l.afterLeave {
		broken = append(broken, fmt.Sprintf("target %s ran a request long after it said that it leaves", target))
	}
	broken = append(broken, l.bounds.violations()...)
	broken = append(broken, l.brokenRate()...)
	return append(broken, l.brokenRecovery()...)
}

// broken describes the guarantees that were violated for a booking.
func (b *booking) broken(id string) []string {
	var broken []string
	served, refused := 0, 0
	for _, v := range b.verdicts {
		switch v {
		case Served:
			served++
		case NotRun:
			refused++
		case Unknown:
		}
	}
	if b.runs > 1 {
		broken = append(broken, fmt.Sprintf("booking %s ran %d times: %v", id, b.runs, b.verdicts))
	}
	if served > 0 && b.runs == 0 {
		broken = append(broken, fmt.Sprintf("booking %s was served and never ran: %v", id, b.verdicts))
	}
	if b.runs > 0 && len(b.verdicts) > 0 && refused == len(b.verdicts) {
		broken = append(broken, fmt.Sprintf("booking %s ran, and each try was refused as not run: %v", id, b.verdicts))
	}
	return broken
}

// brokenRate checks that no window has more runs of the limited organisation than its rate limit allows. It reports
// only the first window that does.
func (l *Recorder) brokenRate() []string {
	slices.SortFunc(l.limited, time.Time.Compare)
	allowed := l.limit.PerSecond*(rateWindow+l.limit.MaxQueueTime).Seconds() + l.limit.Burst
	first := 0
	for i, at := range l.limited {
		for at.Sub(l.limited[first]) > rateWindow {
			first++
		}
		if n := i - first + 1; float64(n) > allowed {
			return []string{fmt.Sprintf("%d requests of the limited organisation ran in %v, %.0f may", n, rateWindow, allowed)}
		}
	}
	return nil
}

// brokenRecovery checks that enough tries were served in quiet time.
func (l *Recorder) brokenRecovery() []string {
	total := 0
	for _, n := range l.quiet {
		total += n
	}
	if total == 0 {
		return []string{"no request was tried in quiet time"}
	}
	if share := float64(l.quiet[Served]) / float64(total); share < minQuietServed {
		return []string{fmt.Sprintf("%.1f%% of %d tries were served in quiet time: %v, first %q", 100*share, total, l.quiet, l.quietReasons[:min(len(l.quietReasons), maxReasons)])}
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
