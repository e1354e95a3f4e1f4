package gateway

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/callctx"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/dispatch"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/retry"
	"github.com/guavaford/guavaford/internal/telemetry"
)

// fakeRecords implements RunRecords in memory, for a single key.
type fakeRecords struct {
	mu     sync.Mutex
	claim  *apiv1.RunClaim
	finish *apiv1.RunFinish
	lost   bool
	claims int
	err    error
}

func (r *fakeRecords) Claim(_ context.Context, c *apiv1.RunClaim) (*apiv1.RunRecord, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claims++
	switch {
	case r.err != nil:
		return nil, r.err
	case r.lost:
		return &apiv1.RunRecord{State: apiv1.RunState_RUN_STATE_LOST}, nil
	case r.finish != nil:
		return &apiv1.RunRecord{State: apiv1.RunState_RUN_STATE_FINISHED, Finish: r.finish}, nil
	case r.claim != nil:
		return &apiv1.RunRecord{State: apiv1.RunState_RUN_STATE_RUNNING, Claim: r.claim}, nil
	}
	r.claim = c
	return &apiv1.RunRecord{State: apiv1.RunState_RUN_STATE_CLAIMED}, nil
}

func (r *fakeRecords) Finish(_ context.Context, f *apiv1.RunFinish) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.GetRan() == apiv1.Ran_RAN_NO {
		r.claim = nil
		return nil
	}
	r.finish = f
	return nil
}

func (r *fakeRecords) DeclareLost(context.Context, *apiv1.RunClaim) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = true
	return nil
}

func (r *fakeRecords) Wait()  {}
func (r *fakeRecords) Close() {}

// fakeNodes implements Incarnations: each node has the same incarnation.
type fakeNodes struct {
	incarnation uint64
	err         error
}

func (n fakeNodes) Incarnation(context.Context, string) (uint64, error) { return n.incarnation, n.err }

// bookingDispatcher is a Dispatcher that takes a second and returns next, or else a successful booking.
type bookingDispatcher struct {
	mu   sync.Mutex
	runs int
	next *dispatch.Result
}

func (b *bookingDispatcher) Do(ctx context.Context, _ *dispatch.Request) *dispatch.Result {
	b.mu.Lock()
	b.runs++
	next := b.next
	b.mu.Unlock()
	clock.Sleep(ctx, time.Second)
	if next != nil {
		return next
	}
	return dispatch.RecordedResult(201, nil, []byte("booked"))
}

// fixture holds the IdempotentRunner of one node and the fakes that it depends on.
type fixture struct {
	*IdempotentRunner
	records  *fakeRecords
	bookings *bookingDispatcher
}

// runFixture runs a test in a synctest bubble, with the incarnations n of other nodes.
func runFixture(t *testing.T, n fakeNodes, test func(t *testing.T, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{records: &fakeRecords{}, bookings: &bookingDispatcher{}}
		f.IdempotentRunner = NewIdempotentRunner(IdempotentRunnerOptions{
			Identity:   peer.Identity{Node: "here", Incarnation: 1},
			Records:    f.records,
			Nodes:      n,
			Dispatcher: f.bookings,
			Clock:      clock.System{},
			Metrics:    telemetry.NewMetrics(),
			Log:        telemetry.Discard(),
		})
		test(t, f)
		f.Wait()
	})
}

// send makes a request with the Idempotency-Key "k".
func (f *fixture) send(ctx context.Context, body string) (status uint32, text string, refusal *outcome.Refusal) {
	result := f.Do(ctx, "k", &dispatch.Request{
		Origin:  &callctx.Origin{Organisation: "court", Deadline: time.Now().Add(5 * time.Second), Allowance: retry.NewAllowance(3)},
		Service: "bookings",
		Method:  "POST",
		Path:    "/b",
		Body:    dispatch.BufferedBody([]byte(body)),
	})
	if refusal := result.Refusal(); refusal != nil {
		return 0, "", refusal
	}
	defer result.Body.Close()
	data, _ := io.ReadAll(result.Body)
	return result.Header.GetStatus(), string(data), nil
}

// TestResendsShareOneRun: resends of a request, while it is executed and afterwards, must not execute it again.
func TestResendsShareOneRun(t *testing.T) {
	runFixture(t, fakeNodes{}, func(t *testing.T, f *fixture) {
		var wg sync.WaitGroup
		for range 50 {
			wg.Go(func() {
				status, body, _ := f.send(t.Context(), "a")
				require.Equal(t, uint32(201), status)
				require.Equal(t, "booked", body)
			})
		}
		wg.Wait()
		require.Equal(t, 1, f.bookings.runs)
		require.Equal(t, 1, f.records.claims, "resends at one node must share one claim")
		f.Wait()
		status, _, _ := f.send(t.Context(), "a")
		require.Equal(t, uint32(201), status)
		require.Equal(t, 1, f.bookings.runs)
	})
}

// TestRunContinuesAfterCallerLeaves: a caller gives up before the run ends. The run must not end with it, and a resend
// gets its response.
func TestRunContinuesAfterCallerLeaves(t *testing.T) {
	runFixture(t, fakeNodes{}, func(t *testing.T, f *fixture) {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, _, refusal := f.send(ctx, "a")
		require.Equal(t, outcome.RanUnknown, refusal.Ran)
		status, _, _ := f.send(t.Context(), "a")
		require.Equal(t, uint32(201), status)
		require.Equal(t, 1, f.bookings.runs)
	})
}

// TestKeyReusedWithAnotherBodyIsRefused: a request that reuses a key with another body must neither be executed nor get
// the response of the first request.
func TestKeyReusedWithAnotherBodyIsRefused(t *testing.T) {
	runFixture(t, fakeNodes{}, func(t *testing.T, f *fixture) {
		go f.send(t.Context(), "a")
		synctest.Wait()
		_, _, refusal := f.send(t.Context(), "b")
		require.Equal(t, outcome.IdempotencyKeyReused, refusal.Code)
		require.Equal(t, outcome.RanNo, refusal.Ran)
		time.Sleep(2 * time.Second)
	})
}

// TestRefusedRunFreesItsKey: a request that was refused without being executed must not block a resend.
func TestRefusedRunFreesItsKey(t *testing.T) {
	runFixture(t, fakeNodes{}, func(t *testing.T, f *fixture) {
		f.bookings.next = dispatch.RefusedResult(outcome.NotRun(outcome.Overloaded, time.Second, "busy"))
		_, _, refusal := f.send(t.Context(), "a")
		require.Equal(t, outcome.Overloaded, refusal.Code)
		f.Wait()
		f.bookings.next = nil
		status, _, _ := f.send(t.Context(), "a")
		require.Equal(t, uint32(201), status)
	})
}

// TestClaimOfRestartedNodeIsDeclaredLost: the node that holds the claim has restarted, so the run will never finish. A
// resend must neither wait for it until the deadline nor be executed.
func TestClaimOfRestartedNodeIsDeclaredLost(t *testing.T) {
	runFixture(t, fakeNodes{incarnation: 8}, func(t *testing.T, f *fixture) {
		f.records.claim = &apiv1.RunClaim{Node: "there", Incarnation: 7}
		start := time.Now()
		_, _, refusal := f.send(t.Context(), "a")
		require.Equal(t, outcome.OutcomeUnknown, refusal.Code)
		require.Less(t, time.Since(start), time.Second, "the resend must not wait until its deadline")
		require.Zero(t, f.bookings.runs)
	})
}

// TestUnavailableRunRecordsRefuseRequest: without a quorum of run records, a request must not be executed.
func TestUnavailableRunRecordsRefuseRequest(t *testing.T) {
	runFixture(t, fakeNodes{}, func(t *testing.T, f *fixture) {
		f.records.err = errors.New("no quorum")
		_, _, refusal := f.send(t.Context(), "a")
		require.Equal(t, outcome.RunRecordsUnavailable, refusal.Code)
		require.Equal(t, outcome.RanNo, refusal.Ran)
		require.Zero(t, f.bookings.runs)
	})
}

// TestResponseTooLongToRecordIsStreamed: a response too long for a run record must reach the caller completely, and a
// resend must be told that the request was executed.
func TestResponseTooLongToRecordIsStreamed(t *testing.T) {
	runFixture(t, fakeNodes{}, func(t *testing.T, f *fixture) {
		long := strings.Repeat("x", 3*maxRecordedBytes)
		f.bookings.next = dispatch.RecordedResult(200, nil, []byte(long))
		_, body, _ := f.send(t.Context(), "a")
		require.Equal(t, long, body)
		f.Wait()
		_, _, refusal := f.send(t.Context(), "a")
		require.Equal(t, outcome.AnswerTooLarge, refusal.Code)
		require.Equal(t, outcome.RanYes, refusal.Ran)
	})
}
