package rate

import (
	"time"

	"github.com/guavaford/guavaford/internal/outcome"
)

// forecastFresh is how long the owner's forecast is relied upon.
const forecastFresh = time.Second

// Ticket is the place of a waiting request in its account.
type Ticket struct {
	account *account
	// since is when the request began to wait, and deadline when it stops whatever happens.
	since    int64
	deadline int64
	done     chan result
}

// result is a token or the refusal of a waiting request.
type result struct {
	charge  Charge
	refusal *outcome.Refusal
}

// Poll returns the outcome of the wait; ok is false while it is open.
func (t *Ticket) Poll() (charge Charge, refusal *outcome.Refusal, ok bool) {
	select {
	case r := <-t.done:
		return r.charge, r.refusal, true
	default:
		return Charge{}, nil, false
	}
}

// pop removes the first waiting request.
func (a *account) pop() *Ticket {
	t := a.waiting[0]
	a.waiting[0] = nil
	a.waiting = a.waiting[1:]
	return t
}

func (a *account) resolve(t *Ticket, r result) {
	a.queued.Add(-1)
	t.done <- r
}

// expected returns when a request at the given place of the queue can get a token;
// ok is false if that can't be told.
func (a *account) expected(now int64, place int) (at int64, ok bool) {
	if a.starting {
		return a.nextAt, true
	}
	if a.share <= 0 || now-a.forecastAt > int64(forecastFresh) {
		return 0, false
	}
	inTurn := a.nextAt + a.served(place)
	// Whoever else waits, what the owner knows of is served by clearAt.
	afterAll := max(a.nextAt, a.clearAt) + a.served(max(0, place+1-a.known))
	return min(inTurn, afterAll), true
}

// served returns the time in which the owner serves a number of requests of this node.
func (a *account) served(requests int) int64 {
	return int64(float64(requests) / a.share * float64(time.Second))
}

// patience returns until when an arrival may wait if its wait can be told. A list that does
// not become empty stems from demand above the rate; a long wait would not lessen it.
func (a *account) patience(now, limit int64) int64 {
	if len(a.waiting) == 0 {
		a.busySince = now
	}
	if now-a.busySince > int64(a.cfg.MaxWait) {
		return min(limit, now+int64(a.cfg.OverloadWait))
	}
	return limit
}

// latest returns until when a waiting request can use a token.
func (a *account) latest(t *Ticket) int64 {
	if a.starting {
		return t.deadline
	}
	return min(t.deadline, max(t.since, a.answeringSince)+int64(a.cfg.MaxWait))
}

// refuseHopeless refuses waiting requests that can't get a token before their deadline.
func (a *account) refuseHopeless(now int64) {
	kept := a.waiting[:0]
	for _, t := range a.waiting {
		at, ok := a.expected(now, len(kept))
		if ok && at > a.latest(t) {
			a.resolve(t, result{refusal: a.refusal(now, at)})
			continue
		}
		kept = append(kept, t)
	}
	clear(a.waiting[len(kept):])
	a.waiting = kept
}

// answering reports whether the owner has answered lately and grants tokens.
func (a *account) answering(now int64) bool {
	return !a.starting && now-a.forecastAt <= int64(a.cfg.MaxWait)
}

// late reports whether a request has waited long enough: MaxWait while the owner answers, and
// until its deadline while the owner does not, since its successor then takes over.
func (a *account) late(now int64, t *Ticket) bool {
	return now >= t.deadline || (now >= a.latest(t) && a.answering(now))
}

// dropLate refuses waiting requests that have waited long enough.
func (a *account) dropLate(now int64) {
	kept := a.waiting[:0]
	for _, t := range a.waiting {
		if a.late(now, t) {
			a.resolve(t, result{refusal: a.lateRefusal(now)})
			continue
		}
		kept = append(kept, t)
	}
	clear(a.waiting[len(kept):])
	a.waiting = kept
}

// refusal says that no token can come in time.
func (a *account) refusal(now, at int64) *outcome.Refusal {
	after := time.Duration(at - now)
	if a.starting {
		return outcome.NotRun(outcome.RateUnavailable, after, "the rate owner of %s starts", a.organisation)
	}
	return outcome.NotRun(outcome.RateExceeded, after, "no token of %s is free in time", a.organisation)
}

// lateRefusal says that no token came in time.
func (a *account) lateRefusal(now int64) *outcome.Refusal {
	if now-a.forecastAt > int64(forecastFresh) {
		return outcome.NotRun(outcome.RateUnavailable, a.cfg.LeaseTTL, "the rate owner of %s does not answer", a.organisation)
	}
	after := int64(a.cfg.Interval)
	if at, ok := a.expected(now, len(a.waiting)); ok {
		after = max(after, at-now)
	}
	return outcome.NotRun(outcome.RateExceeded, time.Duration(after), "no token of %s came in time", a.organisation)
}
