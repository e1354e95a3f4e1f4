package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/headers"
)

// Target is a stand-in for a target of a host.
type Target struct {
	Name    string
	Service string
	Slots   int
	// ServiceTime is the time of one request, sub-calls apart.
	ServiceTime time.Duration
	// Calls are the sub-calls that each request makes, as SERVICE/PATH.
	Calls []string

	host   *Host
	port   int
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Add starts a target on the host and announces it until it ends.
func (h *Host) Add(t *Target) {
	t.host = h
	t.port = int(h.fleet.ports.Add(1))
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	h.mu.Lock()
	h.targets[t.address()] = t
	h.mu.Unlock()
	t.done.Add(1)
	go func() {
		defer t.done.Done()
		for ctx.Err() == nil {
			t.announce("ready")
			clock.Sleep(ctx, renewInterval)
		}
	}()
}

// address returns the address by which the node reaches the target.
func (t *Target) address() string {
	return "127.0.0.1:" + strconv.Itoa(t.port)
}

// announce sends the announcement to the node of the host, if it runs.
func (t *Target) announce(state string) {
	body, err := json.Marshal(struct {
		Service string `json:"service"`
		Address string `json:"address"`
		Slots   int    `json:"slots"`
		State   string `json:"state"`
	}{t.Service, t.address(), t.Slots, state})
	if err != nil {
		panic(err)
	}
	t.host.targetRequest(context.Background(), http.MethodPut, "/targets/"+t.Name, "", bytes.NewReader(body))
}

// Leave announces that the target is leaving, and stops renewing.
func (t *Target) Leave() {
	t.end()
	t.announce("leaving")
}

// Die ends the target without notice: its requests fail and nothing is renewed.
func (t *Target) Die() {
	t.host.mu.Lock()
	delete(t.host.targets, t.address())
	t.host.mu.Unlock()
	t.end()
}

// end stops the announcements.
func (t *Target) end() {
	t.cancel()
	t.done.Wait()
}

// targetRequest makes a request at the targets' address of the host.
func (h *Host) targetRequest(ctx context.Context, method, path, handle string, body io.Reader) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	p := h.Process()
	if p == nil {
		w.Code = http.StatusBadGateway
		return w
	}
	r := httptest.NewRequestWithContext(ctx, method, path, body)
	if handle != "" {
		r.Header.Set(headers.Handle, handle)
	}
	p.Targets().ServeHTTP(w, r)
	return w
}

// roundTripper carries requests of a node to the targets of its host.
type roundTripper struct {
	host *Host
}

// errNoTarget is the failure of a connection to a target that is not there.
var errNoTarget = errors.New("connection refused")

// RoundTrip serves one request at a target.
func (rt roundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	rt.host.mu.Lock()
	t, ok := rt.host.targets[r.URL.Host]
	rt.host.mu.Unlock()
	if !ok {
		return nil, &dialError{errNoTarget}
	}
	type exchange struct {
		resp *http.Response
		err  error
	}
	done := make(chan exchange, 1)
	go func() {
		resp, err := t.serve(r)
		done <- exchange{resp, err}
	}()
	select {
	case x := <-done:
		return x.resp, x.err
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// serve runs one request.
func (t *Target) serve(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	t.host.fleet.Ledger.started(t.Service, r.Header.Get(headers.Organisation), r.URL.Path)
	for _, call := range t.Calls {
		w := t.host.targetRequest(r.Context(), http.MethodGet, "/call/"+call, r.Header.Get(headers.Handle), strings.NewReader(""))
		if w.Code != http.StatusOK {
			return answer(r, http.StatusBadGateway, w.Body.Bytes()), nil
		}
	}
	clock.Sleep(r.Context(), t.ServiceTime)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return answer(r, http.StatusOK, []byte(t.Service+" "+r.URL.Path+" "+string(body))), nil
}

// answer returns a response with a body.
func answer(r *http.Request, status int, body []byte) *http.Response {
	return &http.Response{
		StatusCode:    status,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        http.Header{"Content-Type": {"text/plain"}},
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
		Request:       r,
	}
}
