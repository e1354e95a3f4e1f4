// Package gateway speaks HTTP with callers and with the targets of the host.
//
// A request of a caller and a sub-call of a target take the same way once it is known
// for whom they run:
//
//	caller: route -> key -> rate --\
//	                                Origin -> run record (Idempotency-Key) -> dispatch -> answer
//	target: handle -> key ---------/
//
// The key of a caller ends here: nothing behind this package sees it.
package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/guavaford/guavaford/internal/board"
	"github.com/guavaford/guavaford/internal/buffer"
	"github.com/guavaford/guavaford/internal/callctx"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/dispatch"
	"github.com/guavaford/guavaford/internal/headers"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/rate"
	"github.com/guavaford/guavaford/internal/telemetry"
)

// Dispatcher makes the attempts of a call.
type Dispatcher interface {
	Do(ctx context.Context, r *dispatch.Request) *dispatch.Result
}

// Rates charges organisations for their requests.
type Rates interface {
	Take(ctx context.Context, organisation string) (rate.Charge, *outcome.Refusal)
}

// Options are the parts that the gateway works with.
type Options struct {
	Board      *board.Board
	Keyring    *Keyring
	Dispatcher Dispatcher
	Rates      Rates
	Runs       *Runs
	Handles    *callctx.Handles
	Clock      clock.Clock
	Metrics    *telemetry.Metrics
	Log        telemetry.Logger
}

// Entry takes requests to the dispatcher and writes their answers.
type Entry struct {
	o Options
}

// NewEntry returns an entry that works with o.
func NewEntry(o Options) *Entry {
	return &Entry{o: o}
}

// inbound is a request whose origin is known.
type inbound struct {
	writer  http.ResponseWriter
	request *http.Request
	route   *config.Route
	origin  *callctx.Origin
	// path holds path and query for the target.
	path string
	// secret is kept out of the header fields that pass on.
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

// timeout returns the time that a request has: what the caller asks for, at most what the route allows.
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

// body reads the start of a request's body under the limits of the route and the deadline.
func (in *inbound) body() (*dispatch.Body, *outcome.Refusal) {
	limit := in.route.MaxBody
	if in.request.ContentLength > limit {
		return nil, outcome.NotRun(outcome.BodyTooLarge, 0, "the body exceeds %d bytes", limit)
	}
	if in.request.ContentLength == 0 {
		return dispatch.KeptBody(nil), nil
	}
	controller := http.NewResponseController(in.writer)
	// A target may answer before it has read the whole request. Without full duplex net/http
	// drops what was not read when the answer begins. HTTP/2 always works both ways.
	_ = controller.EnableFullDuplex()
	// Not every connection has read deadlines; the request's own deadline holds all the same.
	_ = controller.SetReadDeadline(in.origin.Deadline)
	body, err := dispatch.NewBody(in.request.ContentLength, http.MaxBytesReader(in.writer, in.request.Body, limit))
	if err != nil {
		return nil, bodyRefusal(err)
	}
	return body, nil
}

// bodyRefusal says why a body could not be read. Nothing was dispatched yet.
func bodyRefusal(err error) *outcome.Refusal {
	if tooLarge, ok := err.(*http.MaxBytesError); ok {
		return outcome.NotRun(outcome.BodyTooLarge, 0, "the body exceeds %d bytes", tooLarge.Limit)
	}
	return outcome.NotRun(outcome.BadRequest, 0, "the body could not be read")
}

// serve runs a request whose origin is known and returns its answer.
func (e *Entry) serve(ctx context.Context, in *inbound) *dispatch.Result {
	body, refusal := in.body()
	if refusal != nil {
		return dispatch.Refused(refusal)
	}
	r := &dispatch.Request{
		Origin:     in.origin,
		Service:    in.route.Service,
		Selector:   in.route.Selector,
		Method:     in.request.Method,
		Path:       in.path,
		Headers:    headers.Request(in.request.Header, in.secret),
		Idempotent: in.route.Idempotent(in.request.Method),
		Body:       body,
	}
	key := in.request.Header.Get(headers.IdempotencyKey)
	if key == "" || r.Idempotent || !in.origin.Keyed() {
		return e.o.Dispatcher.Do(ctx, r)
	}
	return e.o.Runs.Do(ctx, key, r)
}

// bufferedAnswerBytes is the largest answer that is read whole before its status is sent,
// so that a failure on the way still becomes a refusal.
const bufferedAnswerBytes = 64 << 10

// write sends the final answer to whoever made the request. It returns false when the
// answer was cut off; the connection is then ended, so that nobody takes it for whole.
func (e *Entry) write(in *inbound, result *dispatch.Result) bool {
	id := in.origin.RequestID
	if refusal := result.Refusal(); refusal != nil {
		e.refuse(in.writer, refusal, id)
		return true
	}
	defer result.Body.Close()
	size := result.Header.GetContentLength()
	small := size >= 0 && size <= bufferedAnswerBytes
	var start []byte
	if small {
		whole, err := io.ReadAll(result.Body)
		if err != nil {
			e.refuse(in.writer, cutOff(err), id)
			return true
		}
		start = whole
	}
	e.writeHeader(in, result)
	if small {
		_, err := in.writer.Write(start)
		return err == nil
	}
	return copyAnswer(in.writer, result.Body, size < 0)
}

// cutOff is the refusal for an answer that was lost on its way back.
func cutOff(err error) *outcome.Refusal {
	return &outcome.Refusal{Code: outcome.TargetFailed, Ran: outcome.RanYes, Detail: "the answer was cut off: " + err.Error()}
}

// refuse answers with a refusal and counts it.
func (e *Entry) refuse(w http.ResponseWriter, r *outcome.Refusal, id string) {
	e.o.Metrics.Refused(r.Code)
	e.o.Log.Debug("refused", "request", id, "code", r.Code, "ran", r.Ran, "detail", r.Detail)
	writeRefusal(w, r, id)
}

// writeHeader sends status and header fields of a target's answer.
func (e *Entry) writeHeader(in *inbound, result *dispatch.Result) {
	h := in.writer.Header()
	headers.Apply(h, result.Header.GetHeaders())
	h.Set(headers.RequestID, in.origin.RequestID)
	h.Set(headers.Attempts, strconv.Itoa(result.Attempts))
	if result.Replayed {
		h.Set(headers.Replayed, "true")
	}
	status := int(result.Header.GetStatus())
	size := result.Header.GetContentLength()
	if size >= 0 && status != http.StatusNoContent && status != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(size, 10))
	}
	in.writer.WriteHeader(status)
}

// copyAnswer copies a long answer; flush sends each part on at once.
func copyAnswer(w http.ResponseWriter, body io.Reader, flush bool) bool {
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
