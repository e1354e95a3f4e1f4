package gate

import (
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// notices is what a target has said of itself in its responses.
type notices struct {
	mu sync.Mutex
	// heard is set once the target has answered a request of this gate.
	heard bool
	// rateLimit is the number of requests per second that the target accepts; 0 if it names none.
	rateLimit float64
	// limitedAt is when the last response arrived that named a limit.
	limitedAt time.Time
	// leaving is set once the target has said that it leaves. It ends with this run of the target.
	leaving bool
}

// minRateLimit is the lowest rate limit, in requests per second. A target that accepts less still gets a request now and then: only
// its responses tell that the limit has ended.
const minRateLimit = 0.5

// parseRateLimit returns the number of requests per second in a field of a response.
func parseRateLimit(value string) (float64, error) {
	perSecond, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return 0, errors.Wrap(err, "rate limit")
	}
	if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return 0, errors.Errorf("rate limit: %q is not a number of requests per second", value)
	}
	return max(perSecond, minRateLimit), nil
}

// observeNotices takes over what a response of the target says of the target itself.
func (x *execution) observeNotices(header http.Header) {
	names := x.gate.opts.HeaderNames
	if names.RateLimit != "" {
		x.observeRateLimit(header.Get(names.RateLimit))
	}
	x.observeColdNotice(header)
	if names.Leaving != "" && header.Get(names.Leaving) == "1" {
		x.observeLeaving()
	}
}

// observeRateLimit takes over the rate limit that a response names; empty for none. A response that names none ends a limit only
// if its request was sent after the last response that named one: an earlier one may have been made before.
func (x *execution) observeRateLimit(value string) {
	now, n := x.gate.opts.Clock.Now(), x.entry.notices
	named := 0.0
	if value != "" {
		var err error
		if named, err = parseRateLimit(value); err != nil {
			x.logNotice("notice of the target ignored", "err", err)
			return
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heard = true
	if named > 0 {
		n.limitedAt = now
	} else if x.started.Before(n.limitedAt) {
		return
	}
	if named == n.rateLimit {
		return
	}
	former := n.rateLimit
	n.rateLimit = named
	x.entry.admission.SetRateLimit(named)
	x.logNotice("target limits its rate", "per_second", named, "was", former)
}

// adoptRateLimit applies the rate limit that a caller has heard from the target, until the target answers a request of this gate. The gate
// may have restarted and not know the limit, while the target gets its first requests.
func (e *targetEntry) adoptRateLimit(known float64) {
	if !(known > 0) || math.IsInf(known, 0) {
		return
	}
	n := e.notices
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.heard || n.rateLimit == known {
		return
	}
	n.rateLimit = known
	e.admission.SetRateLimit(known)
}

// observeLeaving takes over that the target leaves: from now on it gets no new request.
func (x *execution) observeLeaving() {
	n := x.entry.notices
	n.mu.Lock()
	known := n.leaving
	n.leaving = true
	n.mu.Unlock()
	x.gate.setDraining(x.entry, true)
	if known {
		return
	}
	x.logNotice("target says that it leaves")
	if x.gate.opts.OnLeaving != nil {
		x.gate.opts.OnLeaving(x.entry.target)
	}
}

// isLeaving reports whether the target has said that it leaves.
func (n *notices) isLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}

// logNotice logs what the response to a request says of the target.
func (x *execution) logNotice(message string, fields ...any) {
	if leftOut, ok := x.gate.opts.LogLimiter.Allow(x.gate.opts.Clock.Now()); ok {
		fields = append([]any{"target", x.entry.target.Name, "service", x.entry.target.Service, "request", x.header.GetRequestId()}, fields...)
		x.gate.opts.Log.Info(message, append(fields, "left_out", leftOut)...)
	}
}
