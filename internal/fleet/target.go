package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/headers"
	"github.com/guavaford/guavaford/internal/upstream"
)

// Target is a simulated target on a host.
type Target struct {
	Name    string
	Service string
	Slots   int
	// ServiceTime is how long a request takes, without its sub-calls.
	ServiceTime time.Duration
	// SubCalls are the sub-calls that each request makes through the node, one after another, as SERVICE/PATH.
	SubCalls []string
	// CrashedBy, if set, reports whether a request crashes the target at the end of its service time. The host starts the target again
	// Downtime later, under another name.
	CrashedBy func(path string) bool
	Downtime  time.Duration

	host   *Host
	port   int
	cancel context.CancelFunc
	done   sync.WaitGroup
	// crashed is closed when the target crashes and its exchanges break off, ended closingTime later; crashOnce guards both.
	crashed   chan struct{}
	ended     chan struct{}
	crashOnce sync.Once
	// starts counts the crashed targets that this one replaces.
	starts int
	// lastRequest is when the last request reached the target, in Unix nanoseconds.
	lastRequest atomic.Int64
}

// LastRequest returns when the last request reached the target.
func (t *Target) LastRequest() time.Time {
	return time.Unix(0, t.lastRequest.Load())
}

// AddTarget starts a target on the host. It renews its announcement until Leave, Kill or Host.Close.
func (h *Host) AddTarget(t *Target) {
	t.host = h
	t.crashed = make(chan struct{})
	t.ended = make(chan struct{})
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

// address returns the address that the target announces. Ports are unique in the fleet.
func (t *Target) address() string {
	return "127.0.0.1:" + strconv.Itoa(t.port)
}

// announce sends the target's state to the node of the host, if it runs.
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

// Leave stops the announcements and then announces once that the target is leaving. It still serves requests.
func (t *Target) Leave() {
	t.stopAnnouncing()
	t.announce("leaving")
}

// Kill removes the target without an announcement: new requests to it fail, and it is no longer announced.
func (t *Target) Kill() {
	t.host.mu.Lock()
	delete(t.host.targets, t.address())
	t.host.mu.Unlock()
	t.stopAnnouncing()
}

// closingTime is the time from the end of the first connection of a crashed target until new ones are refused. Kernels close
// the connections and the listener of a process one after another, in any order.
const closingTime = 2 * time.Millisecond

// Crash ends the target without an announcement: the requests that it runs break off, and closingTime later new connections are
// refused until another one starts in its place.
func (t *Target) Crash() {
	t.crashOnce.Do(func() {
		close(t.crashed)
		t.cancel()
		t.host.fleet.Crashes.Add(1)
		time.AfterFunc(closingTime, t.end)
	})
}

// end makes the host refuse connections to a crashed target, and starts another one after the downtime.
func (t *Target) end() {
	t.host.mu.Lock()
	delete(t.host.targets, t.address())
	t.host.mu.Unlock()
	close(t.ended)
	next := &Target{Name: fmt.Sprintf("%s-%d", strings.TrimSuffix(t.Name, fmt.Sprintf("-%d", t.starts)), t.starts+1), Service: t.Service, Slots: t.Slots,
		ServiceTime: t.ServiceTime, SubCalls: t.SubCalls, CrashedBy: t.CrashedBy, Downtime: t.Downtime, starts: t.starts + 1}
	time.AfterFunc(t.Downtime, func() {
		if !t.host.closed.Load() {
			t.host.AddTarget(next)
		}
	})
}

// stopAnnouncing ends the announcements and waits for the last one.
func (t *Target) stopAnnouncing() {
	t.cancel()
	t.done.Wait()
}

// targetRequest sends a request to the targets' address of the host. A sub-call passes the handle of its request.
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

// roundTripper passes requests of a node to the targets on its host. It is the http.RoundTripper of the node.
type roundTripper struct {
	host *Host
}

// errNoTarget is the error of a connection to an address without a target.
var errNoTarget = errors.New("connection refused")

// RoundTrip lets the addressed target serve a request. It returns early when the context of the request ends.
func (rt roundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	rt.host.mu.Lock()
	t, ok := rt.host.targets[r.URL.Host]
	rt.host.mu.Unlock()
	if !ok {
		return nil, &dialError{errNoTarget}
	}
	select {
	case <-t.crashed:
		return nil, io.ErrUnexpectedEOF
	default:
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
	case <-t.crashed:
		return nil, io.ErrUnexpectedEOF
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// Probe reports whether connections to an address are refused.
func (rt roundTripper) Probe(ctx context.Context, address string) (refused bool) {
	return upstream.Probe(ctx, rt.dial, address)
}

// dial opens a connection that carries nothing, and ends when the target has crashed.
func (rt roundTripper) dial(_ context.Context, _, address string) (net.Conn, error) {
	rt.host.mu.Lock()
	t, ok := rt.host.targets[address]
	rt.host.mu.Unlock()
	if !ok {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	near, far := net.Pipe()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = far.Read(make([]byte, 1))
	}()
	go func() {
		select {
		case <-t.ended:
		case <-closed:
		}
		_ = far.Close()
	}()
	return near, nil
}

// serve counts a request, makes the sub-calls and answers after the service time.
func (t *Target) serve(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	t.lastRequest.Store(time.Now().UnixNano())
	t.host.fleet.Executions.add(t.Service, r.Header.Get(headers.Organisation), r.URL.Path)
	for _, call := range t.SubCalls {
		w := t.host.targetRequest(r.Context(), http.MethodGet, "/call/"+call, r.Header.Get(headers.Handle), strings.NewReader(""))
		if w.Code != http.StatusOK {
			return newResponse(r, http.StatusBadGateway, w.Body.Bytes()), nil
		}
	}
	clock.Sleep(r.Context(), t.ServiceTime)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	if t.CrashedBy != nil && t.CrashedBy(r.URL.Path) {
		t.Crash()
		return nil, io.ErrUnexpectedEOF
	}
	return newResponse(r, http.StatusOK, []byte(t.Service+" "+r.URL.Path+" "+string(body))), nil
}

// newResponse returns a response to r with a body.
func newResponse(r *http.Request, status int, body []byte) *http.Response {
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
