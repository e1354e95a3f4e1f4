package gateway

import (
	"context"
	"net/http"

	"github.com/guavaford/guavaford/internal/admission"
	"github.com/guavaford/guavaford/internal/callctx"
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/dispatch"
	"github.com/guavaford/guavaford/internal/headers"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/retry"
	"github.com/guavaford/guavaford/internal/telemetry"
)

// Callers is the HTTP handler of requests from callers: clients that authenticate with an API key.
type Callers struct {
	entry *Forwarder
}

// NewCallers returns the handler of the address that callers use.
func NewCallers(e *Forwarder) *Callers {
	return &Callers{entry: e}
}

// ServeHTTP handles one request of a caller: it authenticates, charges and dispatches the request and writes the
// response.
func (c *Callers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o := &c.entry.o
	o.Metrics.Calls.Add(1)
	start := o.Clock.Now()
	id := newRequestID()
	in, refusal := c.resolve(w, r, id)
	if refusal != nil {
		c.entry.refuse(w, refusal, id)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), in.origin.Deadline)
	defer cancel()
	defer in.endBody()
	complete := c.entry.writeResponse(in, c.run(ctx, in))
	series := telemetry.Series{Organisation: in.origin.Organisation, Class: in.origin.Class}
	o.Metrics.Latency.Record(series, o.Clock.Now().Sub(start))
	if !complete {
		o.Log.Warn("answer cut off", "request", id, "route", in.route.Name)
		panic(http.ErrAbortHandler)
	}
}

// resolve matches a request to its route, authenticates its key and sets up its origin.
func (c *Callers) resolve(w http.ResponseWriter, r *http.Request, id string) (*inbound, *outcome.Refusal) {
	o := &c.entry.o
	snapshot := o.Board.Configuration.Load().Snapshot
	route, code := snapshot.Match(r.Method, r.Host, r.URL.Path)
	if code != "" {
		// A node whose configuration is missing or stale can't tell that a route doesn't exist.
		if stale := o.KeyChecker.checkFreshness(); stale != nil {
			return nil, stale
		}
		return nil, outcome.NotRun(code, 0, "%s %s", r.Method, r.URL.Path)
	}
	available, refusal := timeout(r.Header, route)
	if refusal != nil {
		return nil, refusal
	}
	origin := &callctx.Origin{
		RequestID:    id,
		Organisation: callctx.OpenOrganisation,
		Weight:       1,
		Class:        route.Class.Name,
		Route:        route.Name,
		Priority:     route.Class.Priority,
		Level:        admission.LevelOf(route.Class.Priority, sheddingID(r, id)),
		Deadline:     o.Clock.Now().Add(available),
		Allowance:    retry.NewAllowance(route.ExtraAttempts),
	}
	in := &inbound{writer: w, request: r, route: route, origin: origin, path: r.URL.RequestURI()}
	if route.Open {
		return in, nil
	}
	return in, c.identify(in, snapshot)
}

// sheddingID returns the string from which the shedding level of a request is derived. A resend with the same
// Idempotency-Key gets the level of the first request, so that a request that was shed stays shed.
func sheddingID(r *http.Request, id string) string {
	if key := r.Header.Get(headers.IdempotencyKey); key != "" {
		return key
	}
	return id
}

// identify authenticates the key of a request and records its organisation in the origin.
func (c *Callers) identify(in *inbound, snapshot *config.Snapshot) *outcome.Refusal {
	verified, refusal := c.entry.o.KeyChecker.authenticate(in.request)
	if refusal != nil {
		return refusal
	}
	organisation, ok := snapshot.Organisations[verified.record.Organisation]
	if !ok {
		return outcome.NotRun(outcome.KeyUnknown, 0, "the organisation of the key was deleted")
	}
	in.secret = verified.secret
	in.origin.Organisation = organisation.Name
	in.origin.Weight = organisation.Weight
	in.origin.KeyNumber = verified.record.Number
	return nil
}

// run charges a request to the rate limit of its organisation once, and dispatches it. The charge is refunded if the
// request was not executed.
func (c *Callers) run(ctx context.Context, in *inbound) *dispatch.Result {
	if !in.origin.HasKey() {
		return c.entry.serve(ctx, in)
	}
	charge, refusal := c.entry.o.RateLimiter.Take(ctx, in.origin.Organisation)
	if refusal != nil {
		return dispatch.RefusedResult(refusal)
	}
	// The key may have been withdrawn while the request waited for a token of the rate limit.
	if refusal = c.entry.o.KeyChecker.CheckKeyNumber(in.origin.KeyNumber); refusal != nil {
		charge.Refund()
		return dispatch.RefusedResult(refusal)
	}
	result := c.entry.serve(ctx, in)
	if refusal = result.Refusal(); refusal != nil && refusal.Ran == outcome.RanNo {
		charge.Refund()
	}
	return result
}
