package gate

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/admission"
	"github.com/guavaford/guavaford/internal/callctx"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/headers"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/telemetry"
)

// anyKey allows every key except the one whose number is withdrawn.
type anyKey struct{ withdrawn atomic.Uint64 }

func (k *anyKey) CheckKeyNumber(number uint64) *outcome.Refusal {
	if number != 0 && number == k.withdrawn.Load() {
		return outcome.NotRun(outcome.KeyWithdrawn, 0, "withdrawn")
	}
	return nil
}

// fixedPolicy gives every target the same number of slots.
type fixedPolicy struct{ slots int }

func (p fixedPolicy) Admission(*registry.Target) admission.Config {
	return admission.Config{Slots: p.slots}
}
func (p fixedPolicy) Draining(*registry.Target) bool { return false }

// fixture is a gate with one target.
type fixture struct {
	gate    *Gate
	handles *callctx.Handles
	keys    *anyKey
	metrics *telemetry.Metrics
}

func newFixture(t *testing.T, address string, slots int) *fixture {
	t.Helper()
	f := &fixture{handles: callctx.NewHandles(), keys: &anyKey{}, metrics: telemetry.NewMetrics()}
	transport := &http.Transport{DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)
	f.gate = New(Options{
		KeyChecker: f.keys,
		Policies:   fixedPolicy{slots},
		Handles:    f.handles,
		Clock:      clock.System{},
		Metrics:    f.metrics,
		Log:        telemetry.Discard(),
		Transport:  transport,
	})
	f.gate.SetTargets([]*registry.Target{{Name: "t1", Service: "s", Node: "n", Address: address, Slots: slots}})
	return f
}

// callNumber is the number of the last call.
var callNumber atomic.Uint64

// header returns the header of a new call of the target, with a number of its own.
func header(idempotent bool) *apiv1.CallHeader {
	return &apiv1.CallHeader{
		Key:        &apiv1.CallKey{Node: "entry", Incarnation: 1, Number: callNumber.Add(1)},
		Service:    "s",
		Target:     "t1",
		Method:     http.MethodPost,
		Path:       "/book",
		TimeoutNs:  int64(5 * time.Second),
		Allowance:  2,
		Weight:     1,
		Idempotent: idempotent,
	}
}

// read returns the whole body of an answer.
func read(t *testing.T, a *Answer) string {
	t.Helper()
	require.Nil(t, a.Refusal())
	data, err := io.ReadAll(a.Body)
	require.NoError(t, err)
	require.NoError(t, a.Body.Close())
	return string(data)
}

// TestTransportNeverResends guards against a booking that runs twice: http.Transport would resend a
// request that has no body and an Idempotency-Key when the target closes the connection after reading it.
func TestTransportNeverResends(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	var bookings atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go closeOnBooking(conn, &bookings)
		}
	}()
	f := newFixture(t, listener.Addr().String(), 4)
	warm := header(true)
	warm.Method, warm.Path = http.MethodGet, "/warm"
	require.Equal(t, "ok", read(t, f.gate.Do(t.Context(), warm, nil)))

	h := header(false)
	h.Headers = []*apiv1.HeaderField{{Name: headers.IdempotencyKey, Value: "k"}}
	refusal := f.gate.Do(t.Context(), h, nil).Refusal()
	require.NotNil(t, refusal)
	require.Equal(t, outcome.RanUnknown, refusal.Ran)
	require.Equal(t, int64(1), bookings.Load())
}

// closeOnBooking answers GET and closes the connection after any other request.
func closeOnBooking(conn net.Conn, bookings *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if req.Method != http.MethodGet {
			bookings.Add(1)
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// TestRefusedConnectionIsNotRun guards against reporting a call as possibly run when no connection to its target was
// made.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	f := newFixture(t, address, 1)
	refusal := f.gate.Do(t.Context(), header(false), nil).Refusal()
	require.Equal(t, outcome.TargetUnreachable, refusal.Code)
	require.Equal(t, http.StatusServiceUnavailable, refusal.Code.Status(), "a 502 would not tell the caller that the request did not run")
	require.Equal(t, outcome.RanNo, refusal.Ran)
}

// TestLostConnectionKeepsTheAnswer guards against a booking that is stopped, lost or run again when its caller's
// connection is lost: the answer must be available over another one.
func TestLostConnectionKeepsTheAnswer(t *testing.T) {
	release := make(chan struct{})
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-release
		_, _ = io.WriteString(w, "booked")
	}))
	defer target.Close()
	f := newFixture(t, target.Listener.Addr().String(), 1)
	h := header(false)
	ctx, lose := context.WithCancelCause(t.Context())
	answers := make(chan *Answer, 1)
	go func() { answers <- f.gate.Do(ctx, h, nil) }()
	require.Eventually(t, func() bool { return f.metrics.InFlight.Load() == 1 }, time.Second, time.Millisecond)
	lose(peer.ErrSessionLost)
	require.Equal(t, outcome.RanUnknown, (<-answers).Refusal().Ran)
	require.Equal(t, apiv1.CallState_CALL_STATE_RUNNING, f.gate.Fence(h.Key))

	close(release)
	require.Equal(t, "booked", read(t, f.gate.Attach(t.Context(), h.Key)))
	require.Equal(t, "booked", read(t, f.gate.Do(t.Context(), h, nil)), "a duplicate gets the answer of the first run")
	require.Equal(t, int64(1), f.metrics.Executions.Load())
}

// TestCancelledCallEndsAtTheTarget guards against a cancelled call that goes on at its target.
func TestCancelledCallEndsAtTheTarget(t *testing.T) {
	arrived, ended := make(chan struct{}), make(chan struct{})
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(ended)
	}))
	defer target.Close()
	f := newFixture(t, target.Listener.Addr().String(), 1)
	ctx, cancel := context.WithCancel(t.Context())
	go f.gate.Do(ctx, header(false), nil)
	<-arrived
	cancel()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the target was not told of the cancellation")
	}
	require.Eventually(t, func() bool { return f.metrics.InFlight.Load() == 0 }, time.Second, time.Millisecond)
}

// TestFencedCallNeverStarts guards against a call that starts after its caller was told that it never will.
func TestFencedCallNeverStarts(t *testing.T) {
	f := newFixture(t, "127.0.0.1:1", 1)
	h := header(false)
	require.Equal(t, apiv1.CallState_CALL_STATE_FENCED, f.gate.Fence(h.Key))
	refusal := f.gate.Do(t.Context(), h, nil).Refusal()
	require.Equal(t, outcome.RanNo, refusal.Ran)
	require.Zero(t, f.metrics.Executions.Load())
}

// TestWithdrawnKeyEndsQueuedCall guards against a request that runs although its key was withdrawn while it was queued.
func TestWithdrawnKeyEndsQueuedCall(t *testing.T) {
	release := make(chan struct{})
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer target.Close()
	f := newFixture(t, target.Listener.Addr().String(), 1)
	first := make(chan *Answer, 1)
	go func() { first <- f.gate.Do(t.Context(), header(true), nil) }()
	require.Eventually(t, func() bool { return f.metrics.InFlight.Load() == 1 }, time.Second, time.Millisecond)
	second := make(chan *Answer, 1)
	queued := header(true)
	queued.KeyNumber = 7
	go func() { second <- f.gate.Do(t.Context(), queued, nil) }()
	require.Eventually(t, func() bool { return f.gate.Loads()[0].Load.Queued == 1 }, time.Second, time.Millisecond)
	f.keys.withdrawn.Store(7)
	close(release)
	read(t, <-first)
	refusal := (<-second).Refusal()
	require.Equal(t, outcome.KeyWithdrawn, refusal.Code)
	require.Equal(t, outcome.RanNo, refusal.Ran)
}

// TestHandleWorksOnlyWhileTheCallRuns guards against a target that makes sub-calls in the name of a call that has
// ended: its handle must be valid during the call only.
func TestHandleWorksOnlyWhileTheCallRuns(t *testing.T) {
	var f *fixture
	var handle callctx.Handle
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		handle = callctx.Handle(r.Header.Get(headers.Handle))
		running, ok := f.handles.Find(handle)
		require.True(t, ok)
		require.Equal(t, 2, running.Origin.Allowance.Left())
		require.True(t, running.Origin.Allowance.Take())
	}))
	defer target.Close()
	f = newFixture(t, target.Listener.Addr().String(), 1)
	answer := f.gate.Do(t.Context(), header(true), nil)
	read(t, answer)
	left, ok := answer.AllowanceLeft()
	require.True(t, ok)
	require.Equal(t, 1, left)
	_, ok = f.handles.Find(handle)
	require.False(t, ok)
}
