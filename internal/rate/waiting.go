package rate

import (
	"time"

	"github.com/guavaford/guavaford/internal/outcome"
)

// forecastTTL is how long the owner's forecast is used.
const forecastTTL = time.Second

// Ticket is a request that waits for a token.
type Ticket struct {
	account *account
	// since is when the request began to wait, and deadline when it stops in any case.
	since    int64
	deadline int64
	done     chan result
}

// result is the outcome of a waiting request: a token or a refusal.
type result struct {
	charge  Charge
	refusal *outcome.Refusal
}

// Poll returns the outcome of the wait; ok is false while the request still waits.
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

// expected returns when a request at the given place of the queue is expected to get a token;
// ok is false if that is unknown.
func (a *account) expected(now int64, place int) (at int64, ok bool) {
	if a.ownerStarting {
		return a.nextAt, true
	}
	if a.share <= 0 || now-a.forecastAt > int64(forecastTTL) {
		return 0, false
	}
	inTurn := a.nextAt + a.serviceTime(place)
	// Whatever other nodes ask for, the requests that the owner knows of are served by clearAt.
	afterAll := max(a.nextAt, a.clearAt) + a.serviceTime(max(0, place+1-a.reportedWaiting))
	return min(inTurn, afterAll), true
}

// serviceTime returns the time in which the owner serves a number of requests of this node.
func (a *account) serviceTime(requests int) int64 {
	return int64(float64(requests) / a.share * float64(time.Second))
}

// waitLimit returns until when a new request may wait if its wait can be estimated. A queue that has not
// been empty for MaxWait comes from demand above the rate; longer waits would not reduce it.
func (a *account) waitLimit(now, limit int64) int64 {
	if len(a.waiting) == 0 {
		a.busySince = now
	}
	if now-a.busySince > int64(a.cfg.MaxWait) {
		return min(limit, now+int64(a.cfg.OverloadWait))
	}
	return limit
}

// usableUntil returns until when a waiting request can use a token.
func (a *account) usableUntil(t *Ticket) int64 {
	if a.ownerStarting {
		return t.deadline
	}
	return min(t.deadline, max(t.since, a.answeringSince)+int64(a.cfg.MaxWait))
}

// refuseUnservable refuses waiting requests that are not expected to get a token in time.
func (a *account) refuseUnservable(now int64) {
	kept := a.waiting[:0]
	for _, t := range a.waiting {
		at, ok := a.expected(now, len(kept))
		if ok && at > a.usableUntil(t) {
			a.resolve(t, result{refusal: a.refusal(now, at)})
			continue
		}
		kept = append(kept, t)
	}
	clear(a.waiting[len(kept):])
	a.waiting = kept
}

// answering reports whether the owner has answered within MaxWait and grants tokens.
func (a *account) answering(now int64) bool {
	return !a.ownerStarting && now-a.forecastAt <= int64(a.cfg.MaxWait)
}

// timedOut reports whether a request has waited long enough: MaxWait while the owner answers, and
// until its deadline while the owner does not, since its successor then takes over.
func (a *account) timedOut(now int64, t *Ticket) bool {
	return now >= t.deadline || (now >= a.usableUntil(t) && a.answering(now))
}

// refuseTimedOut refuses waiting requests that have waited long enough.
func (a *account) refuseTimedOut(now int64) {
	kept := a.waiting[:0]
	for _, t := range a.waiting {
		if a.timedOut(now, t) {
			a.resolve(t, result{refusal: a.timeoutRefusal(now)})
			continue
		}
		kept = append(kept, t)
	}
	clear(a.waiting[len(kept):])
	a.waiting = kept
}

// refusal returns the refusal of a request for which no token can come in time.
func (a *account) refusal(now, at int64) *outcome.Refusal {
	after := time.Duration(at - now)
	if a.ownerStarting {
		return outcome.NotRun(outcome.RateUnavailable, after, "the rate owner of %s has just started and grants no tokens yet", a.organisation)
	}
	return outcome.NotRun(outcome.RateExceeded, after, "no rate token of %s becomes available in time", a.organisation)
}

// timeoutRefusal returns the refusal of a request for which no token came in time.
func (a *account) timeoutRefusal(now int64) *outcome.Refusal {
	if now-a.forecastAt > int64(forecastTTL) {
		return outcome.NotRun(outcome.RateUnavailable, a.cfg.LeaseTTL, "the rate owner of %s does not answer", a.organisation)
	}
	after := int64(a.cfg.RequestInterval)
	if at, ok := a.expected(now, len(a.waiting)); ok {
		after = max(after, at-now)
	}
	return outcome.NotRun(outcome.RateExceeded, time.Duration(after), "no rate token of %s became available in time", a.organisation)
}
