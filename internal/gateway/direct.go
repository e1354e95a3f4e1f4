package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/guavaford/guavaford/internal/board"
	"github.com/guavaford/guavaford/internal/callctx"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/dispatch"
	"github.com/guavaford/guavaford/internal/headers"
	"github.com/guavaford/guavaford/internal/http1"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/retry"
	"github.com/guavaford/guavaford/internal/shed"
	"github.com/guavaford/guavaford/internal/telemetry"
)

// CombinedOptions are the dependencies and settings of a CombinedHandler.
type CombinedOptions struct {
	Board       *board.Board
	Dispatcher  Dispatcher
	RateLimiter RateLimiter
	Shedder     *shed.Shedder
	LoadTracker *shed.LoadTracker
	// CallIndex finds the requests that the host's target executes by their request ids.
	CallIndex *callctx.CallIndex
	// HeaderNames are the names of the header fields that callers use.
	HeaderNames headers.Names
	// Service is the service of this host's target. Requests without a key on open routes come from that target.
	Service string
	Clock   clock.Clock
	Metrics *telemetry.Metrics
	Log     telemetry.Logger
	// LogLimiter limits the rate of log lines about individual requests.
	LogLimiter *telemetry.LogLimiter
	// WarmIn, if set, returns the time until the first target of a service is warm; 0 if there is a warm one.
	WarmIn func(service string) time.Duration
}

// CombinedHandler serves the requests of callers and the calls of the host's own target at one address. Both are routed
// by host and path. A target's calls carry neither a key nor a handle.
type CombinedHandler struct {
	o        CombinedOptions
	splitter routeSplitter
}

// NewCombinedHandler returns a CombinedHandler with the options o, a handler for http1 servers.
func NewCombinedHandler(o CombinedOptions) *CombinedHandler {
	return &CombinedHandler{o: o, splitter: routeSplitter{states: map[string]*splitState{}}}
}

// Fractions of time budgets.
const (
	// queueWaitShare is the maximum time that a new request waits for a slot, as a fraction of the route's latency
	// goal. A longer wait leaves its caller too little time to retry.
	queueWaitShare = 0.125
	// retryAfterShare is the maximum Retry-After, as a fraction of the time left until the deadline.
	retryAfterShare = 1.0 / 3
	// coldRetryAfterShare is the same for requests refused because all targets are cold: a retry before the first is warm would most
	// likely be refused as well.
	coldRetryAfterShare = 0.8
	// retryAfterJitter is the maximum jitter added to Retry-After, as a fraction of it, so that callers refused at the
	// same time don't retry at the same time.
	retryAfterJitter = 0.5
)

// arrival is a request while a CombinedHandler handles it.
type arrival struct {
	*CombinedHandler
	request *http1.Request
	id      string
	route   *config.Route
	service string
	start   time.Time
	origin  *callctx.Origin
	// organisation is nil for requests without a key and on open routes.
	organisation *config.Organisation
	// cold is true if the request was refused because all targets of a service are cold.
	cold bool
}

// Serve handles one request and returns its response.
func (d *CombinedHandler) Serve(ctx context.Context, r *http1.Request) *http1.Response {
	a := &arrival{CombinedHandler: d, request: r, id: r.Header.Get(d.o.HeaderNames.RequestID), start: d.o.Clock.Now()}
	if refusal := a.resolve(ctx); refusal != nil {
		return a.refuse(refusal)
	}
	ctx, cancel := context.WithDeadline(ctx, a.origin.Deadline)
	result := a.run(ctx)
	a.cold = a.cold || result.Cold
	response := a.respond(ctx, result)
	if response.Stream == nil {
		cancel()
	} else {
		response.Stream = &stream{ReadCloser: response.Stream, cancel: cancel}
		response.Replace = func() *http1.Response {
			return a.refuse(&outcome.Refusal{Code: outcome.TargetFailed, Ran: outcome.RanYes, Detail: "too many answers are streamed at this node"})
		}
	}
	d.o.Metrics.Latency.Record(telemetry.Series{Organisation: a.origin.Organisation, Class: a.origin.Class}, d.o.Clock.Now().Sub(a.start))
	return response
}

// stream is the body of a response that is read after Serve has returned. The context of its request ends when it is closed.
type stream struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and ends the context of the request.
func (s *stream) Close() error {
	err := s.ReadCloser.Close()
	s.cancel()
	return err
}

// Times for requests that arrive before a newly started node has received its first configuration.
const (
	// unconfiguredRetryAfter is the time after which the node may have a configuration.
	unconfiguredRetryAfter = 300 * time.Millisecond
	// unconfiguredWait is the maximum time that a request waits for the configuration. A start of the whole fleet,
	// including the control replicas, takes about a second. Most callers retry only once, and that retry would be
	// refused as well if requests did not wait.
	unconfiguredWait = 1500 * time.Millisecond
	// unconfiguredShare limits that wait to a fraction of the caller's timeout.
	unconfiguredShare = 0.3
)

// configuration returns the current configuration. If there is none yet, it waits for the first one, at most for
// unconfiguredWait and unconfiguredShare of the timeout.
func (a *arrival) configuration(ctx context.Context) *board.Configuration {
	configuration, changed := a.o.Board.Configuration.Watch()
	if configuration.Revision > 0 {
		return configuration
	}
	wait := unconfiguredWait
	if ms, err := strconv.ParseInt(a.request.Header.Get(a.o.HeaderNames.TimeoutMs), 10, 64); err == nil && ms >= 0 {
		wait = min(wait, time.Duration(unconfiguredShare*float64(ms)*float64(time.Millisecond)))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for configuration.Revision == 0 {
		select {
		case <-changed:
		case <-timer.C:
			return configuration
		case <-ctx.Done():
			return configuration
		}
		configuration, changed = a.o.Board.Configuration.Watch()
	}
	return configuration
}

// resolve matches a request to its route, sets up its origin and identifies its organisation.
func (a *arrival) resolve(ctx context.Context) *outcome.Refusal {
	configuration := a.configuration(ctx)
	if configuration.Revision == 0 {
		return outcome.NotRun(outcome.StaleConfiguration, unconfiguredRetryAfter, "the node has no configuration yet")
	}
	r := a.request
	path, _, _ := strings.Cut(r.RequestURI, "?")
	a.route = configuration.Snapshot.MatchLiteral(r.Method, r.Host, path)
	if a.route == nil {
		return outcome.NotRun(outcome.RouteUnknown, 0, "%s %s%s", r.Method, r.Host, path)
	}
	available, refusal := a.timeout()
	if refusal != nil {
		return refusal
	}
	a.origin = &callctx.Origin{
		RequestID: a.id,
		Weight:    1,
		Class:     a.route.Class.Name,
		Route:     a.route.Name,
		Priority:  a.route.Class.Priority,
		Deadline:  a.start.Add(available),
		Allowance: retry.NewAllowance(0),
	}
	a.service = a.splitter.pick(a.route)
	return a.identify(configuration.Snapshot)
}

// timeout returns the timeout that the caller sent, limited to the timeout of the route.
func (a *arrival) timeout() (time.Duration, *outcome.Refusal) {
	value := a.request.Header.Get(a.o.HeaderNames.TimeoutMs)
	if value == "" {
		return a.route.Timeout, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return 0, outcome.NotRun(outcome.BadRequest, 0, "%s is not a number of milliseconds", a.o.HeaderNames.TimeoutMs)
	}
	if ms <= 0 {
		return 0, outcome.NotRun(outcome.DeadlineTooShort, 0, "no time is left")
	}
	return min(time.Duration(ms)*time.Millisecond, a.route.Timeout), nil
}

// identify finds the organisation that owns the key of a request. A request without a key on an open route is a call
// of the host's own target. Work has already been done for the request that it belongs to, so it has priority over new
// requests.
func (a *arrival) identify(snapshot *config.Snapshot) *outcome.Refusal {
	key, keyed := bearerToken(a.request.Header)
	switch {
	case a.route.Open && keyed, !keyed && len(snapshot.Organisations) == 0 && !a.route.Open:
		return nil
	case a.route.Open:
		a.origin.Depth = 1
		a.origin.Priority = 0
		return nil
	case !keyed:
		return outcome.NotRun(outcome.KeyMissing, 0, "send the key as Authorization: Bearer KEY")
	}
	organisation := snapshot.OrganisationOfKey(key)
	if organisation == nil {
		return outcome.NotRun(outcome.KeyUnknown, 0, "the key is not known")
	}
	a.organisation = organisation
	a.origin.Organisation = organisation.Name
	a.origin.Weight = organisation.Weight
	return nil
}

// run applies load shedding and the rate limit to a new request and dispatches it. Calls of the host's own target are
// dispatched without either.
func (a *arrival) run(ctx context.Context) *dispatch.Result {
	if a.origin.Depth > 0 {
		a.o.Metrics.SubCalls.Add(1)
		parent := a.parent()
		a.o.LoadTracker.CallStarted(a.start, a.workOf(parent), shed.ServiceRoute{Service: a.service, Route: a.route.Name})
		result := a.dispatch(ctx)
		a.recordOutcome(result)
		if parent != nil {
			parent.AddQueueTime(result.QueueTime)
		}
		return result
	}
	a.o.Metrics.Calls.Add(1)
	if refusal := a.shed(); refusal != nil {
		return dispatch.RefusedResult(refusal)
	}
	if a.organisation == nil || a.organisation.Unlimited {
		return a.dispatch(ctx)
	}
	charge, refusal := a.o.RateLimiter.Take(ctx, a.organisation.Name)
	if refusal != nil {
		return dispatch.RefusedResult(refusal)
	}
	result := a.dispatch(ctx)
	if refusal = result.Refusal(); refusal != nil && refusal.Ran == outcome.RanNo {
		charge.Refund()
	}
	return result
}

// recordOutcome records whether a call of the host's own target was refused. A call that the target itself cancelled is
// not counted, as it says nothing about the called service. Nor is one that cold targets had no room for: the load of the service shows that,
// and a service that is cold for a moment must not count as one that loses its calls.
func (a *arrival) recordOutcome(result *dispatch.Result) {
	refusal := result.Refusal()
	if refusal != nil && (refusal.Code == outcome.Cancelled || result.Cold) {
		return
	}
	a.o.LoadTracker.CallEnded(a.o.Clock.Now(), a.service, refusal != nil)
}

// parent returns the running request on whose behalf the host's target makes a call; nil if it can't be derived from the
// id of the call.
func (a *arrival) parent() *callctx.RunningCall {
	if a.o.HeaderNames.ParentID == nil {
		return nil
	}
	running, _ := a.o.CallIndex.Find(a.o.HeaderNames.ParentID(a.id))
	return running
}

// workOf returns the service and the route of a request of the host's target. The route is empty if the request is not
// known.
func (a *arrival) workOf(request *callctx.RunningCall) shed.ServiceRoute {
	work := shed.ServiceRoute{Service: a.o.Service}
	if request != nil {
		work.Route = request.Origin.Route
	}
	return work
}

const (
	// shedRetryAfter is the time after which the shares of requests that entry nodes admit may have changed.
	shedRetryAfter = 300 * time.Millisecond
	// lostRetryAfter is the time after which a service that loses most of its calls may have recovered. Callers with
	// less time left are told a shorter time; see retryAfter.
	lostRetryAfter = time.Second
)

// shed refuses a new request if a service that it would call, directly or indirectly, is overloaded or loses so many
// calls that the request is unlikely to finish.
func (a *arrival) shed() *outcome.Refusal {
	rank := shed.Rank{Class: a.origin.Priority}
	if a.organisation != nil {
		rank.Organisation = a.organisation.Priority
	}
	decision := a.o.Shedder.Admit(a.start, shed.Request{
		ServiceRoute: shed.ServiceRoute{Service: a.service, Route: a.route.Name}, Rank: rank,
		Repeatable: a.route.Idempotent(a.request.Method), Random: rand.Float64(),
	})
	switch {
	case decision.Admitted:
		return nil
	case decision.Unlikely:
		return outcome.NotRun(outcome.Overloaded, lostRetryAfter, "%.2f calls to service %s, which loses many (%v old); the request would finish with chance %.3f",
			decision.Calls, decision.Service, decision.Age, decision.SuccessProbability)
	}
	retryAfter := shedRetryAfter
	if a.o.WarmIn != nil {
		if left := a.o.WarmIn(decision.Service); left > 0 {
			retryAfter, a.cold = max(retryAfter, left), true
		}
	}
	return outcome.NotRun(outcome.Overloaded, retryAfter, "%.2f calls to service %s, which has load %.2f (%v old); %.0f%% enters",
		decision.Calls, decision.Service, decision.Load, decision.Age, 100*decision.Share)
}

// stoppingRetryAfter is the time after which callers have found another node.
const stoppingRetryAfter = 100 * time.Millisecond

// dispatch sends a request to a target. The run of a request that arrives after the address was closed could outlast the node, so it is refused; calls
// of the host's target belong to runs that began before. A non-idempotent request is sent only after the requests before it on the same
// connection.
func (a *arrival) dispatch(ctx context.Context) *dispatch.Result {
	idempotent := a.route.Idempotent(a.request.Method)
	if !idempotent && !a.request.AwaitPrevious(ctx) {
		return dispatch.RefusedResult(outcome.NotRun(outcome.Cancelled, 0, "the connection closed before the request could start"))
	}
	body, refusal := a.body()
	if refusal != nil {
		return dispatch.RefusedResult(refusal)
	}
	if a.origin.Depth == 0 && a.request.Late() {
		return dispatch.RefusedResult(outcome.NotRun(outcome.NodeStopping, stoppingRetryAfter, "the node is stopping and takes no more requests"))
	}
	key, _ := bearerToken(a.request.Header)
	maxWait := time.Duration(queueWaitShare * float64(a.route.Goal))
	if a.origin.Depth > 0 {
		maxWait = a.origin.Deadline.Sub(a.start)
	}
	return a.o.Dispatcher.Do(ctx, &dispatch.Request{
		Origin:        a.origin,
		Service:       a.service,
		Selector:      a.route.Selector,
		Method:        a.request.Method,
		Path:          a.request.RequestURI,
		Host:          a.request.Host,
		CallerService: a.o.Service,
		Headers:       headers.ForwardedRequestFields(a.request.Header, key),
		Idempotent:    idempotent,
		MaxTargets:    max(a.route.MaxTargets, 1),
		MaxWait:       maxWait,
		HomeRegions:   a.route.HomeRegions(a.organisation),
		Body:          body,
	})
}

// body reads the start of a request's body, subject to the size limit of the route and to the deadline.
func (a *arrival) body() (*dispatch.Body, *outcome.Refusal) {
	limit := a.route.MaxBody
	if a.request.ContentLength > limit {
		return nil, outcome.NotRun(outcome.BodyTooLarge, 0, "the body exceeds %d bytes", limit)
	}
	if a.request.ContentLength == 0 {
		return dispatch.BufferedBody(nil), nil
	}
	a.request.SetBodyDeadline(a.origin.Deadline)
	source := a.request.Source()
	source.SetLimit(limit)
	body, err := dispatch.NewBody(source)
	if err != nil {
		return nil, bodyRefusal(err, limit)
	}
	return body, nil
}

// respond converts a result to the response for the caller.
func (a *arrival) respond(ctx context.Context, result *dispatch.Result) *http1.Response {
	refusal := result.Refusal()
	if refusal != nil && refusal.Code == outcome.Cancelled && errors.Is(context.Cause(ctx), http1.ErrGivenUp) {
		refusal = &outcome.Refusal{Code: outcome.NodeStopping, Ran: refusal.Ran, RetryAfter: stoppingRetryAfter, Detail: "the node stopped before the request was answered"}
	}
	if refusal != nil {
		return a.refuse(a.withoutRetryHint(ctx, refusal))
	}
	header := result.Header
	response := &http1.Response{
		Status: int(header.GetStatus()),
		Stream: result.Body,
		Length: header.GetContentLength(),
	}
	// Responses of targets were already matched with their requests, so targets need not return the request id.
	if a.o.HeaderNames.RequestID != "" && a.id != "" {
		response.Add(a.o.HeaderNames.RequestID, a.id)
	}
	for _, f := range header.GetHeaders() {
		response.Add(f.GetName(), f.GetValue())
	}
	a.o.Log.Debug("answered", "request", a.id, "route", a.route.Name, "service", a.service, "status", response.Status,
		"attempts", result.Attempts, "took", a.o.Clock.Now().Sub(a.start))
	return response
}
