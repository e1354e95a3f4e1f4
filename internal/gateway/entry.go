// Package gateway serves HTTP to callers and to the targets of the host.
//
// A caller is a client; it authenticates with the API key of an organisation. A target is a process on this host that
// executes requests; it sends sub-calls to other services on behalf of a request that it executes, and identifies that
// request by an opaque handle. The origin (callctx.Origin) holds what is known about the request at the root of a call
// tree, such as its organisation, class and deadline. A run record ensures that a request with an Idempotency-Key is
// executed at most once.
//
// Requests of callers and sub-calls share one path as soon as their origin is known:
//
//	caller: route -> key -> rate limit --\
//	                                      Origin -> run record (Idempotency-Key) -> dispatch -> response
//	target: handle -> key ---------------/
//
// CombinedHandler is another entry, which serves callers and the target of the host at one address.
//
// The key of a caller is removed here; it is passed neither to other nodes nor to targets.
package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/guavaford/guavaford/internal/board"
	"github.com/guavaford/guavaford/internal/buffer"
	"github.com/guavaford/guavaford/internal/callctx"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/dispatch"
	"github.com/guavaford/guavaford/internal/headers"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/rate"
	"github.com/guavaford/guavaford/internal/reqbody"
	"github.com/guavaford/guavaford/internal/telemetry"
)

// Dispatcher sends a request to targets, in one or more attempts.
type Dispatcher interface {
	Do(ctx context.Context, r *dispatch.Request) *dispatch.Result
}

// RateLimiter charges requests to the rate limits of organisations.
type RateLimiter interface {
	Take(ctx context.Context, organisation string) (rate.Charge, *outcome.Refusal)
}

// Options are the dependencies of a Forwarder.
type Options struct {
	Board            *board.Board
	KeyChecker       *KeyChecker
	Dispatcher       Dispatcher
	RateLimiter      RateLimiter
	IdempotentRunner *IdempotentRunner
	Handles          *callctx.Handles
	Clock            clock.Clock
	Metrics          *telemetry.Metrics
	Log              telemetry.Logger
}

// Forwarder forwards requests to the dispatcher and writes their responses. Callers and SubCalls share it.
type Forwarder struct {
	o Options
}

// NewForwarder returns a forwarder with the dependencies o.
func NewForwarder(o Options) *Forwarder {
	return &Forwarder{o: o}
}

// inbound is an incoming request whose route and origin are known.
type inbound struct {
	writer  http.ResponseWriter
	request *http.Request
	route   *config.Route
	origin  *callctx.Origin
	// path is the path and query that the target receives.
	path string
	// source is the body, once it was asked for.
	source *reqbody.Body
	// secret is the caller's key. It is removed from the header fields that are forwarded.
	secret string
}

// requestIDBytes is the length of a request id before encoding.
const requestIDBytes = 12

// newRequestID returns a random request id.
func newRequestID() string {
	var raw [requestIDBytes]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// timeout returns the timeout that the caller asks for, limited to the timeout of the route.
func timeout(h http.Header, route *config.Route) (time.Duration, *outcome.Refusal) {
	values := h[headers.TimeoutMs]
	if len(values) == 0 {
		return route.Timeout, nil
	}
	ms, err := strconv.ParseInt(values[0], 10, 64)
	if len(values) > 1 || err != nil || ms <= 0 {
		return 0, outcome.NotRun(outcome.BadRequest, 0, "%s must be one positive number of milliseconds", headers.TimeoutMs)
	}
	if ms >= route.Timeout.Milliseconds() {
		return route.Timeout, nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// body reads the start of a request's body, subject to the size limit of the route and to the deadline.
func (in *inbound) body() (*dispatch.Body, *outcome.Refusal) {
	limit := in.route.MaxBody
	if in.request.ContentLength > limit {
		return nil, outcome.NotRun(outcome.BodyTooLarge, 0, "the body exceeds %d bytes", limit)
	}
	if in.request.ContentLength == 0 {
		return dispatch.BufferedBody(nil), nil
	}
	controller := http.NewResponseController(in.writer)
	// A target may respond before it has read the whole request. Without full duplex, net/http discards the unread
	// part of the body when the response begins. HTTP/2 is always full duplex.
	_ = controller.EnableFullDuplex()
	// Not every connection supports read deadlines; without one the deadline of the request's context still applies.
	_ = controller.SetReadDeadline(in.origin.Deadline)
	in.source = reqbody.New(in.request.ContentLength, http.MaxBytesReader(in.writer, in.request.Body, limit))
	body, err := dispatch.NewBody(in.source)
	if err != nil {
		return nil, bodyRefusal(err, limit)
	}
	return body, nil
}

// endBody ends the use of the body. net/http reads the rest of it, or closes the connection, after the handler has
// returned, so nobody may read it then.
func (in *inbound) endBody() {
	if in.source == nil {
		return
	}
	in.source.Close(func() { _ = http.NewResponseController(in.writer).SetReadDeadline(time.Unix(1, 0)) })
}

// bodyRefusal returns the refusal of a request whose body could not be read within the limit. The request was not
// dispatched yet.
func bodyRefusal(err error, limit int64) *outcome.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		limit = tooLarge.Limit
	}
	if tooLarge != nil || errors.Is(err, reqbody.ErrTooLong) {
		return outcome.NotRun(outcome.BodyTooLarge, 0, "the body exceeds %d bytes", limit)
	}
	return outcome.NotRun(outcome.BadRequest, 0, "the body could not be read")
}

// serve dispatches a request whose origin is known and returns its result. A non-idempotent request with an
// Idempotency-Key goes through the run records.
func (e *Forwarder) serve(ctx context.Context, in *inbound) *dispatch.Result {
	body, refusal := in.body()
	if refusal != nil {
		return dispatch.RefusedResult(refusal)
	}
	r := &dispatch.Request{
		Origin:      in.origin,
		Service:     in.route.Service,
		Selector:    in.route.Selector,
		Method:      in.request.Method,
		Path:        in.path,
		Headers:     headers.ForwardedRequestFields(in.request.Header, in.secret),
		Idempotent:  in.route.Idempotent(in.request.Method),
		HomeRegions: in.route.HomeRegions(e.o.Board.Configuration.Load().Snapshot.Organisations[in.origin.Organisation]),
		Body:        body,
	}
	key := in.request.Header.Get(headers.IdempotencyKey)
	if key == "" || r.Idempotent || !in.origin.HasKey() {
		return e.o.Dispatcher.Do(ctx, r)
	}
	return e.o.IdempotentRunner.Do(ctx, key, r)
}

// maxBufferedBodyBytes is the largest response body that is read completely before the status is sent, so that a
// failure while reading it can still be reported as a refusal.
const maxBufferedBodyBytes = 64 << 10

// writeResponse sends the response of a request. It returns false when the response was truncated; the caller of
// writeResponse then aborts the connection, so that the client doesn't take the response for complete.
func (e *Forwarder) writeResponse(in *inbound, result *dispatch.Result) bool {
	id := in.origin.RequestID
	if refusal := result.Refusal(); refusal != nil {
		e.refuse(in.writer, refusal, id)
		return true
	}
	defer result.Body.Close()
	size := result.Header.GetContentLength()
	small := size >= 0 && size <= maxBufferedBodyBytes
	var buffered []byte
	if small {
		complete, err := io.ReadAll(result.Body)
		if err != nil {
			e.refuse(in.writer, truncatedRefusal(err), id)
			return true
		}
		buffered = complete
	}
	e.writeHeader(in, result)
	if small {
		_, err := in.writer.Write(buffered)
		return err == nil
	}
	return streamBody(in.writer, result.Body, size < 0)
}

// truncatedRefusal returns the refusal of a request whose response could not be read completely.
func truncatedRefusal(err error) *outcome.Refusal {
	return &outcome.Refusal{Code: outcome.TargetFailed, Ran: outcome.RanYes, Detail: "the answer was cut off: " + err.Error()}
}

// refuse responds with a refusal, counts it and logs it.
func (e *Forwarder) refuse(w http.ResponseWriter, r *outcome.Refusal, id string) {
	e.o.Metrics.CountRefusal(r.Code)
	e.o.Log.Debug("refused", "request", id, "code", r.Code, "ran", r.Ran, "detail", r.Detail)
	writeRefusal(w, r, id)
}

// writeHeader sends the status and the header fields of a target's response.
func (e *Forwarder) writeHeader(in *inbound, result *dispatch.Result) {
	h := in.writer.Header()
	headers.AddFields(h, result.Header.GetHeaders())
	h.Set(headers.RequestID, in.origin.RequestID)
	h.Set(headers.Attempts, strconv.Itoa(result.Attempts))
	if result.Replayed {
		h.Set(headers.IdempotencyReplayed, "true")
	}
	status := int(result.Header.GetStatus())
	size := result.Header.GetContentLength()
	if size >= 0 && status != http.StatusNoContent && status != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(size, 10))
	}
	in.writer.WriteHeader(status)
}

// streamBody streams a response body that was not buffered. If flush is set, each part is sent immediately.
func streamBody(w http.ResponseWriter, body io.Reader, flush bool) bool {
	controller := http.NewResponseController(w)
	err := buffer.Copy(body, func(part []byte) error {
		if _, err := w.Write(part); err != nil {
			return err
		}
		if flush {
			_ = controller.Flush()
		}
		return nil
	})
	return err == nil
}
