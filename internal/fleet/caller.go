package fleet

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/guavaford/guavaford/internal/headers"
	"github.com/guavaford/guavaford/internal/outcome"
)

// dialError is the error of a connection that could not be opened.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }

// As lets errors.As convert the error to the *net.OpError that a real dial returns.
func (e *dialError) As(target any) bool {
	op, ok := target.(**net.OpError)
	if ok {
		*op = &net.OpError{Op: "dial", Err: e.cause}
	}
	return ok
}

// Request is one HTTP request of a caller.
type Request struct {
	Method string
	Path   string
	Key    string
	// IdempotencyKey is sent as Idempotency-Key, unless empty. It makes the request safe to resend.
	IdempotencyKey string
	Body           string
	Timeout        time.Duration
}

// Reply is what a caller learns about its request.
type Reply struct {
	Status int
	Body   string
	// Code and Ran are set when a node refused the request itself.
	Code outcome.Code
	Ran  outcome.Ran
	// Down is true when no process accepts callers on the host, so that nothing was sent.
	Down bool
	// Incomplete is true when the connection broke before the response was complete.
	Incomplete bool
	// RetryAfter is the time after which the caller may retry.
	RetryAfter time.Duration
}

// OK reports whether a target answered with status 200.
func (r Reply) OK() bool {
	return r.Status == http.StatusOK
}

// Call sends a request to the callers' address of the host.
func (h *Host) Call(req Request) Reply {
	p := h.Process()
	if p == nil || !h.acceptsCallers() {
		return Reply{Down: true}
	}
	ctx, cancel := context.WithTimeout(context.Background(), req.Timeout)
	defer cancel()
	r := httptest.NewRequestWithContext(ctx, req.Method, req.Path, strings.NewReader(req.Body))
	r.Header.Set("Authorization", "Bearer "+req.Key)
	r.Header.Set(headers.TimeoutMs, strconv.FormatInt(req.Timeout.Milliseconds(), 10))
	if req.IdempotencyKey != "" {
		r.Header.Set(headers.IdempotencyKey, req.IdempotencyKey)
	}
	w := httptest.NewRecorder()
	if !serveHTTP(p.Callers(), w, r) {
		return Reply{Incomplete: true}
	}
	return replyOf(w)
}

// serveHTTP runs a handler and reports whether it completed the response. It returns false if the handler aborted the
// connection with http.ErrAbortHandler.
func serveHTTP(h http.Handler, w http.ResponseWriter, r *http.Request) (completed bool) {
	defer func() {
		if cause := recover(); cause != nil {
			if cause != http.ErrAbortHandler {
				panic(cause)
			}
			completed = false
		}
	}()
	h.ServeHTTP(w, r)
	return true
}

// replyOf converts a recorded response.
func replyOf(w *httptest.ResponseRecorder) Reply {
	reply := Reply{Status: w.Code, Body: w.Body.String()}
	if w.Header().Get("Content-Type") != "application/problem+json" {
		return reply
	}
	var p struct {
		Code         outcome.Code `json:"code"`
		Ran          outcome.Ran  `json:"ran"`
		RetryAfterMs int64        `json:"retry_after_ms"`
	}
	if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
		panic(err)
	}
	reply.Code, reply.Ran = p.Code, p.Ran
	reply.RetryAfter = time.Duration(p.RetryAfterMs) * time.Millisecond
	return reply
}

// ExecutionCounter counts the requests that reached targets. It is safe for concurrent use.
type ExecutionCounter struct {
	mu   sync.Mutex
	runs map[ExecutionKey]int
}

// ExecutionKey identifies the requests that an ExecutionCounter counts together.
type ExecutionKey struct {
	Service      string
	Organisation string
	Path         string
}

// newExecutionCounter returns an empty counter.
func newExecutionCounter() *ExecutionCounter {
	return &ExecutionCounter{runs: make(map[ExecutionKey]int)}
}

// add counts a request that reached a target.
func (l *ExecutionCounter) add(service, organisation, path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[ExecutionKey{service, organisation, path}]++
}

// Count returns how many requests of r reached a target.
func (l *ExecutionCounter) Count(r ExecutionKey) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[r]
}

// Counts returns a copy of all counts.
func (l *ExecutionCounter) Counts() map[ExecutionKey]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[ExecutionKey]int, len(l.runs))
	for r, n := range l.runs {
		all[r] = n
	}
	return all
}
