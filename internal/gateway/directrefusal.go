package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/guavaford/guavaford/internal/http1"
	"github.com/guavaford/guavaford/internal/outcome"
)

// withoutRetryHint returns the refusal to send to the caller. If a non-idempotent request may have been executed, the
// status must not suggest that a retry is safe: the code is replaced where necessary, and Retry-After is removed.
func (a *arrival) withoutRetryHint(ctx context.Context, r *outcome.Refusal) *outcome.Refusal {
	if r.Ran == outcome.RanNo {
		return r
	}
	out := *r
	out.RetryAfter = 0
	switch {
	case ctx.Err() == context.DeadlineExceeded:
		out.Code = outcome.DeadlineExceeded
	case r.Code.Status() != http.StatusGatewayTimeout:
		out.Code = outcome.TargetFailed
	}
	return &out
}

// refuse returns the response for a refusal, counts it and logs it.
func (a *arrival) refuse(r *outcome.Refusal) *http1.Response {
	a.o.Metrics.CountRefusal(r.Code)
	status := r.Code.Status()
	if status == statusClientClosed {
		status = http.StatusServiceUnavailable
	}
	response := &http1.Response{Status: status}
	after := a.retryAfter(r)
	if after > 0 {
		response.Add("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	if a.o.HeaderNames.RequestID != "" && a.id != "" {
		response.Add(a.o.HeaderNames.RequestID, a.id)
	}
	response.Add("Content-Type", "application/problem+json")
	response.Add("Cache-Control", "no-store")
	body, err := json.Marshal(problem{
		Type: problemType + string(r.Code), Title: r.Code.Title(), Status: status, Detail: r.Detail, Code: r.Code, Ran: r.Ran, RequestID: a.id,
	})
	if err != nil {
		panic("cannot encode problem document: " + err.Error())
	}
	response.Body = body
	a.logRefusal(r, status, after)
	return response
}

// statusClientClosed is the non-standard status of a request whose caller closed the connection.
const statusClientClosed = 499

// retryAfter returns the Retry-After of a refusal: with jitter, and early enough before the deadline for a retry to
// finish. It is 0 if the refusal names no time or the request may have been executed.
func (a *arrival) retryAfter(r *outcome.Refusal) time.Duration {
	if r.RetryAfter <= 0 || r.Ran != outcome.RanNo {
		return 0
	}
	if r.Code == outcome.Quarantined {
		// An earlier retry would be refused as well.
		return r.RetryAfter
	}
	after := time.Duration(float64(r.RetryAfter) * (1 + retryAfterJitter*rand.Float64()))
	if a.origin == nil {
		return after
	}
	left := a.origin.Deadline.Sub(a.o.Clock.Now())
	share := retryAfterShare
	if a.cold {
		share = coldRetryAfterShare
	}
	return min(after, time.Duration(share*float64(left)))
}

// logRefusal logs a refusal with its reason, at a limited rate.
func (a *arrival) logRefusal(r *outcome.Refusal, status int, after time.Duration) {
	leftOut, ok := a.o.LogLimiter.Allow(a.o.Clock.Now())
	if !ok {
		return
	}
	route, organisation := "", ""
	if a.route != nil {
		route = a.route.Name
	}
	if a.organisation != nil {
		organisation = a.organisation.Name
	}
	a.o.Log.Info("refused", "request", a.id, "route", route, "service", a.service, "organisation", organisation, "status", status,
		"code", r.Code, "ran", r.Ran, "retry_after", after, "took", a.o.Clock.Now().Sub(a.start), "detail", r.Detail, "left_out", leftOut)
}
