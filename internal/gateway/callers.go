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

// Callers serves the requests of callers.
type Callers struct {
	entry *Entry
}

// NewCallers returns the handler of the callers' address.
func NewCallers(e *Entry) *Callers {
	return &Callers{entry: e}
}

// ServeHTTP takes one request of a caller to its answer.
func (c *Callers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o := &c.entry.o
	o.Metrics.Calls.Add(1)
	start := o.Clock.Now()
	id := newRequestID()
	in, refusal := c.admit(w, r, id)
	if refusal != nil {
		c.entry.refuse(w, refusal, id)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), in.origin.Deadline)
	defer cancel()
	whole := c.entry.write(in, c.run(ctx, in))
	series := telemetry.Series{Organisation: in.origin.Organisation, Class: in.origin.Class}
	o.Metrics.Latency.Record(series, o.Clock.Now().Sub(start))
	if !whole {
		o.Log.Warn("answer cut off", "request", id, "route", in.route.Name)
		panic(http.ErrAbortHandler)
	}
}

// admit finds the route and the organisation of a request.
func (c *Callers) admit(w http.ResponseWriter, r *http.Request, id string) (*inbound, *outcome.Refusal) {
	o := &c.entry.o
	snapshot := o.Board.Configuration.Load().Snapshot
	route, code := snapshot.Match(r.Method, r.Host, r.URL.Path)
	if code != "" {
		// A node that has not heard of its configuration yet can't say what routes there are.
		if stale := o.Keyring.fresh(); stale != nil {
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
		Level:        admission.LevelOf(route.Class.Priority, levelID(r, id)),
		Deadline:     o.Clock.Now().Add(available),
		Allowance:    retry.NewAllowance(route.ExtraAttempts),
	}
	in := &inbound{writer: w, request: r, route: route, origin: origin, path: r.URL.RequestURI()}
	if route.Open {
		return in, nil
	}
	return in, c.identify(in, snapshot)
}

// levelID returns what the shedding level of a request is drawn from. A resend keeps the
// level of the first request, so that what is shed stays shed.
func levelID(r *http.Request, id string) string {
	if key := r.Header.Get(headers.IdempotencyKey); key != "" {
		return key
	}
	return id
}

// identify fills in the organisation whose key came with the request.
func (c *Callers) identify(in *inbound, snapshot *config.Snapshot) *outcome.Refusal {
	proof, refusal := c.entry.o.Keyring.authenticate(in.request)
	if refusal != nil {
		return refusal
	}
	organisation, ok := snapshot.Organisations[proof.record.Organisation]
	if !ok {
		return outcome.NotRun(outcome.KeyUnknown, 0, "the organisation of the key was deleted")
	}
	in.secret = proof.secret
	in.origin.Organisation = organisation.Name
	in.origin.Weight = organisation.Weight
	in.origin.KeyNumber = proof.record.Number
	return nil
}

// run charges a request once and dispatches it. The charge goes back when it was not run.
func (c *Callers) run(ctx context.Context, in *inbound) *dispatch.Result {
	if !in.origin.Keyed() {
		return c.entry.serve(ctx, in)
	}
	charge, refusal := c.entry.o.Rates.Take(ctx, in.origin.Organisation)
	if refusal != nil {
		return dispatch.Refused(refusal)
	}
	// The key may have been withdrawn while the request waited for its token.
	if refusal = c.entry.o.Keyring.Allowed(in.origin.KeyNumber); refusal != nil {
		charge.Refund()
		return dispatch.Refused(refusal)
	}
	result := c.entry.serve(ctx, in)
	if refusal = result.Refusal(); refusal != nil && refusal.Ran == outcome.RanNo {
		charge.Refund()
	}
	return result
}
