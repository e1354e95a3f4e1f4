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

// dialError is a connection that could not be opened.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }

// As makes the error look like one of the net package.
func (e *dialError) As(target any) bool {
	op, ok := target.(**net.OpError)
	if ok {
		*op = &net.OpError{Op: "dial", Err: e.cause}
	}
	return ok
}

// Request is a request of a caller.
type Request struct {
	Method string
	Path   string
	Key    string
	// IdempotencyKey makes the request safe to resend.
	IdempotencyKey string
	Body           string
	Timeout        time.Duration
}

// Reply is what a caller was told.
type Reply struct {
	Status int
	Body   string
	// Code and Ran are set in refusals of the system.
	Code outcome.Code
	Ran  outcome.Ran
	// Down is true when the host's process does not run, so that nothing was sent.
	Down bool
	// CutOff is true when the connection ended before the answer was whole.
	CutOff bool
	// RetryAfter is the time after which the caller may come back.
	RetryAfter time.Duration
}

// OK reports whether a target answered.
func (r Reply) OK() bool {
	return r.Status == http.StatusOK
}

// Call makes a request at the callers' address of the host.
func (h *Host) Call(req Request) Reply {
	p := h.Process()
	if p == nil || !h.takesCallers() {
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
	if !served(p.Callers(), w, r) {
		return Reply{CutOff: true}
	}
	return replyOf(w)
}

// served runs a handler and reports whether it ended without aborting the connection.
func served(h http.Handler, w http.ResponseWriter, r *http.Request) (whole bool) {
	defer func() {
		if cause := recover(); cause != nil {
			if cause != http.ErrAbortHandler {
				panic(cause)
			}
			whole = false
		}
	}()
	h.ServeHTTP(w, r)
	return true
}

// replyOf reads a recorded answer.
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

// Ledger counts what ran at the targets.
type Ledger struct {
	mu   sync.Mutex
	runs map[Run]int
}

// Run identifies requests of one kind at the targets of a service.
type Run struct {
	Service      string
	Organisation string
	Path         string
}

// newLedger returns an empty ledger.
func newLedger() *Ledger {
	return &Ledger{runs: make(map[Run]int)}
}

// started counts a request that reached a target.
func (l *Ledger) started(service, organisation, path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[Run{service, organisation, path}]++
}

// Runs returns how often requests of one kind reached a target.
func (l *Ledger) Runs(r Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[r]
}

// All returns every count.
func (l *Ledger) All() map[Run]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[Run]int, len(l.runs))
	for r, n := range l.runs {
		all[r] = n
	}
	return all
}
