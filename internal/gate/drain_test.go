package gate

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/admission"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/quarantine"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/telemetry"
	"github.com/guavaford/guavaford/internal/upstream"
)

// These tests guard against requests that reach a target after it has begun to drain, and that wait for it meanwhile although they could
// go on to another.

// drainPolicy is a fixedPolicy with which operators can drain all targets.
type drainPolicy struct {
	fixedPolicy
	drained atomic.Bool
}

func (p *drainPolicy) Draining(*registry.Target) bool { return p.drained.Load() }

// heldTarget is a target whose requests end when the test releases them. Responses carry the field Leaving if leaving is set.
type heldTarget struct {
	*fixture
	policy   *drainPolicy
	target   registry.Target
	log      *lockedBuffer
	arrivals atomic.Int64
	leaving  atomic.Bool
	release  func()
}

// lockedBuffer collects log lines of several goroutines.
type lockedBuffer struct {
	mu  sync.Mutex
	all bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all.String()
}

func newHeldTarget(t *testing.T, slots int) *heldTarget {
	h, released := &heldTarget{policy: &drainPolicy{fixedPolicy: fixedPolicy{slots}}, log: &lockedBuffer{}}, make(chan struct{})
	h.release = sync.OnceFunc(func() { close(released) })
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		h.arrivals.Add(1)
		<-released
		if h.leaving.Load() {
			w.Header().Set("Leaving", "1")
		}
	}))
	t.Cleanup(server.Close)
	t.Cleanup(h.release)
	h.fixture = newFixture(t, server.Listener.Addr().String(), slots)
	h.gate.opts.Policies = h.policy
	h.gate.opts.HeaderNames = &noticeNames
	var err error
	h.gate.opts.Log, err = telemetry.NewLogger(h.log, "info")
	require.NoError(t, err)
	e, _ := h.gate.find("t1")
	h.target = *e.target
	return h
}

// changed passes a changed copy of the target to the gate.
func (h *heldTarget) changed(change func(r *registry.Target)) {
	next := h.target
	change(&next)
	h.gate.SetTargets([]*registry.Target{&next})
}

// start runs a call in a goroutine.
func (h *heldTarget) start(t *testing.T, header *apiv1.CallHeader) <-chan *Answer {
	answers := make(chan *Answer, 1)
	go func() { answers <- h.gate.Do(t.Context(), header, nil) }()
	return answers
}

// requireLeft waits shortly for an answer, which must say that the target takes no new work and that the request did not run.
func requireLeft(t *testing.T, answers <-chan *Answer) {
	t.Helper()
	select {
	case a := <-answers:
		r := a.Refusal()
		require.NotNil(t, r)
		require.Equal(t, outcome.TargetLeaving, r.Code, r.Detail)
		require.Equal(t, outcome.RanNo, r.Ran)
		require.False(t, r.Reached)
		require.Positive(t, r.RetryAfter)
	case <-time.After(time.Second):
		require.Fail(t, "the request waits for a target that drains")
	}
}

// TestQueuedRequestsLeaveATargetThatDrains: calls of targets may queue for all the time that they have left, so that they reached a target
// seconds after its draining was confirmed.
func TestQueuedRequestsLeaveATargetThatDrains(t *testing.T) {
	for name, drain := range map[string]func(h *heldTarget){
		"it reports that it drains": func(h *heldTarget) {
			h.changed(func(r *registry.Target) { r.State = apiv1.TargetState_TARGET_STATE_LEAVING })
		},
		"operators drain it":          func(h *heldTarget) { h.policy.drained.Store(true); h.changed(func(*registry.Target) {}) },
		"it is removed":               func(h *heldTarget) { h.gate.SetTargets(nil) },
		"its next run takes its name": func(h *heldTarget) { h.changed(func(r *registry.Target) { r.Started = r.Started.Add(time.Second) }) },
		"it moves to another address": func(h *heldTarget) { h.changed(func(r *registry.Target) { r.Address = "127.0.0.1:1" }) },
		"the node stops":              func(h *heldTarget) { h.gate.Close() },
		"it says so in an answer":     func(h *heldTarget) { h.leaving.Store(true); h.release() },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHeldTarget(t, 1)
			first := h.start(t, header(true))
			require.Eventually(t, func() bool { return h.arrivals.Load() == 1 }, 5*time.Second, time.Millisecond)
			var queued []<-chan *Answer
			booking := header(false)
			for _, header := range []*apiv1.CallHeader{header(true), booking} {
				header.MaxWaitNs = header.TimeoutNs
				queued = append(queued, h.start(t, header))
			}
			e, _ := h.gate.find("t1")
			require.Eventually(t, func() bool { return e.admission.Load().Queued == 2 }, 5*time.Second, time.Millisecond)
			drain(h)
			for _, answers := range queued {
				requireLeft(t, answers)
			}
			require.Equal(t, apiv1.CallState_CALL_STATE_FENCED, h.gate.Fence(booking.Key), "the booking never runs here")
			// The requests leave before they are counted and logged.
			require.Eventually(t, func() bool {
				return strings.Contains(h.log.String(), `msg="requests leave a target that drains" target=t1 service=s queued=2 unsent=0`)
			}, 5*time.Second, time.Millisecond)
			require.EqualValues(t, 2, h.metrics.Withdrawn.Load())
			h.release()
			read(t, <-first)
			require.EqualValues(t, 1, h.arrivals.Load(), "only the request that ran before reaches the target")
			require.Zero(t, e.admission.Load().InFlight)
		})
	}
}

// TestRequestsThatWaitForATrialLeaveATargetThatDrains: a suspect may wait for its trial for a fifth of its time.
func TestRequestsThatWaitForATrialLeaveATargetThatDrains(t *testing.T) {
	h := newHeldTarget(t, 10)
	table := quarantine.NewTable()
	h.gate.opts.Quarantine = table
	h.gate.opts.Targets = func(string) []*registry.Target { return []*registry.Target{&h.target} }
	var calls []*apiv1.CallHeader
	var exposed []quarantine.Exposure
	for _, path := range []string{"/a", "/b", "/c", "/d", "/e"} {
		header := header(true)
		header.Path, header.TimeoutNs = path, int64(20*time.Second)
		calls = append(calls, header)
		exposed = append(exposed, quarantine.Exposure{Fingerprint: fingerprintOf(header)})
	}
	table.Crashed(time.Now(), "s", "other@1", exposed)
	running := make([]<-chan *Answer, 4)
	for i := range running {
		running[i] = h.start(t, calls[i])
	}
	require.Eventually(t, func() bool { return h.arrivals.Load() == 4 }, 5*time.Second, time.Millisecond)
	waiting := h.start(t, calls[4])
	time.Sleep(20 * time.Millisecond)
	require.Empty(t, waiting)
	h.changed(func(r *registry.Target) { r.State = apiv1.TargetState_TARGET_STATE_LEAVING })
	requireLeft(t, waiting)
	requireLeft(t, h.start(t, calls[4]))
	h.release()
	for _, answers := range running {
		read(t, <-answers)
	}
	h.changed(func(*registry.Target) {})
	read(t, <-h.start(t, calls[4]))
}

// TestAdmittedRequestThatWaitsForAConnectionLeavesATargetThatDrains: a target that is slow to accept gets the request seconds later.
func TestAdmittedRequestThatWaitsForAConnectionLeavesATargetThatDrains(t *testing.T) {
	for name, late := range map[string]bool{"the connection does not open": false, "the connection opens afterwards": true} {
		for _, idempotent := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				h := newHeldTarget(t, 10)
				h.release()
				dialling, drained := make(chan struct{}, 1), make(chan struct{})
				h.gate.opts.Transport = &upstream.Transport{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
					dialling <- struct{}{}
					if late {
						<-drained
						return net.Dial(network, address)
					}
					<-ctx.Done()
					return nil, ctx.Err()
				}}
				answers := h.start(t, header(idempotent))
				<-dialling
				h.changed(func(r *registry.Target) { r.State = apiv1.TargetState_TARGET_STATE_LEAVING })
				close(drained)
				requireLeft(t, answers)
				require.Zero(t, h.arrivals.Load())
				require.Contains(t, h.log.String(), "queued=0 unsent=1")
				e, _ := h.gate.find("t1")
				require.Eventually(t, func() bool { return e.admission.Load().InFlight == 0 }, time.Second, time.Millisecond)
			})
		}
	}
}

// TestRequestAdmittedAsTheTargetDrainsIsNotSent: the decision to admit a request and the draining may come in either order, also for a
// transport that does not ask before it sends.
func TestRequestAdmittedAsTheTargetDrainsIsNotSent(t *testing.T) {
	h := newHeldTarget(t, 10)
	h.release()
	e, _ := h.gate.find("t1")
	call := header(true)
	ctx, cancel := context.WithCancel(t.Context())
	permit, refusal := e.admission.Acquire(ctx, admission.Request{})
	require.Nil(t, refusal)
	h.changed(func(r *registry.Target) { r.State = apiv1.TargetState_TARGET_STATE_LEAVING })
	x := h.gate.begin(ctx, cancel, e, call, admitted{permit: permit}, time.Now())
	_, refusal = x.exchange(ctx, nil)
	require.NotNil(t, refusal)
	require.Equal(t, outcome.TargetLeaving, refusal.Code)
	require.Equal(t, outcome.RanNo, refusal.Ran)
	require.Zero(t, h.arrivals.Load())
}

// TestWithdrawnCallIsNotSent guards against a call that its node has withdrawn and that reaches the target all the same, and against a
// withdrawal that ends a call which the target runs.
func TestWithdrawnCallIsNotSent(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		h := newHeldTarget(t, 1)
		running, queued := header(idempotent), header(idempotent)
		queued.MaxWaitNs = queued.TimeoutNs
		first := h.start(t, running)
		require.Eventually(t, func() bool { return h.arrivals.Load() == 1 }, 5*time.Second, time.Millisecond)
		second := h.start(t, queued)
		require.Eventually(t, func() bool { return h.gate.Loads()[0].Load.Queued == 1 }, 5*time.Second, time.Millisecond)
		require.Equal(t, apiv1.CallState_CALL_STATE_RUNNING, h.gate.Fence(running.Key))
		require.Equal(t, apiv1.CallState_CALL_STATE_FENCED, h.gate.Fence(queued.Key))
		require.Equal(t, outcome.RanNo, (<-second).Refusal().Ran)
		h.release()
		read(t, <-first)
		require.EqualValues(t, 1, h.arrivals.Load())
		require.Zero(t, h.gate.Loads()[0].Load.InFlight)
	}
}

// TestAdmittedCallThatIsWithdrawnIsNotSent is like TestWithdrawnCallIsNotSent for a call that waits for a connection.
func TestAdmittedCallThatIsWithdrawnIsNotSent(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		h, dialling, call := newHeldTarget(t, 1), make(chan struct{}, 1), header(idempotent)
		h.gate.opts.Transport = &upstream.Transport{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			dialling <- struct{}{}
			<-ctx.Done()
			return nil, ctx.Err()
		}}
		answers := h.start(t, call)
		<-dialling
		require.Equal(t, apiv1.CallState_CALL_STATE_FENCED, h.gate.Fence(call.Key))
		requireLeft(t, answers)
	}
}
