package gateway

import (
	"context"
	"crypto/sha256"
	"io"
	"sync"
	"sync/atomic"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/dispatch"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/telemetry"
)

// Limits of requests with an Idempotency-Key.
const (
	// maxIdempotencyKeyBytes bounds the key itself.
	maxIdempotencyKeyBytes = 256
	// maxRunBodyBytes bounds the body of a request with a key; it is compared by digest.
	maxRunBodyBytes = 1 << 20
	// maxRecordedBytes bounds the answer body that a run record keeps.
	maxRecordedBytes = 64 << 10
)

// Timing of run records.
const (
	claimTimeout   = 2 * time.Second
	finishTimeout  = 2 * time.Second
	finishAttempts = 10
	joinFirstWait  = 20 * time.Millisecond
	joinMaxWait    = 250 * time.Millisecond
)

// RunRecords claims and finishes runs in a quorum of control replicas.
type RunRecords interface {
	Claim(ctx context.Context, c *apiv1.RunClaim) (*apiv1.RunRecord, error)
	Finish(ctx context.Context, f *apiv1.RunFinish) error
}

// Runs makes requests with an Idempotency-Key run at most once over all nodes.
//
// The first request with a key claims its run record before it is dispatched. A resend,
// through whichever node, finds the claim and waits for the recorded answer. A run that
// provably did not happen frees the key again.
type Runs struct {
	identity   peer.Identity
	address    string
	records    RunRecords
	dispatcher Dispatcher
	clock      clock.Clock
	metrics    *telemetry.Metrics
	log        telemetry.Logger
	sequence   atomic.Uint64
	// background counts the runs and finishes that are under way.
	background sync.WaitGroup
}

// RunsOptions are the parts that Runs works with.
type RunsOptions struct {
	Identity peer.Identity
	// Address is the peer address of this node.
	Address    string
	Records    RunRecords
	Dispatcher Dispatcher
	Clock      clock.Clock
	Metrics    *telemetry.Metrics
	Log        telemetry.Logger
}

// NewRuns returns Runs that work with o.
func NewRuns(o RunsOptions) *Runs {
	return &Runs{
		identity:   o.Identity,
		address:    o.Address,
		records:    o.Records,
		dispatcher: o.Dispatcher,
		clock:      o.Clock,
		metrics:    o.Metrics,
		log:        o.Log,
	}
}

// Wait returns when no run and no finish is under way.
func (r *Runs) Wait() {
	r.background.Wait()
}

// Do runs a request under its key, or returns the answer of the run that the key names.
func (r *Runs) Do(ctx context.Context, key string, req *dispatch.Request) *dispatch.Result {
	if len(key) > maxIdempotencyKeyBytes {
		return dispatch.Refused(outcome.NotRun(outcome.BadRequest, 0, "Idempotency-Key exceeds %d bytes", maxIdempotencyKeyBytes))
	}
	body, refusal := wholeBody(req)
	if refusal != nil {
		return dispatch.Refused(refusal)
	}
	claim := &apiv1.RunClaim{
		Organisation: req.Origin.Organisation,
		Key:          key,
		Digest:       digest(req, body),
		Node:         r.identity.Node,
		Incarnation:  r.identity.Incarnation,
		Number:       r.sequence.Add(1),
		Address:      r.address,
	}
	wait := joinFirstWait
	for {
		record, err := r.claim(ctx, claim)
		if err != nil {
			return dispatch.Refused(outcome.NotRun(outcome.RunRecordsAway, time.Second, "the run could not be claimed"))
		}
		if record.GetState() != apiv1.RunState_RUN_STATE_RUNNING {
			return r.settle(ctx, claim, record, req)
		}
		if !sleep(ctx, wait) {
			return dispatch.Refused(stillRunning())
		}
		wait = min(2*wait, joinMaxWait)
	}
}

// stillRunning is the refusal of a resend whose deadline ended before the first run did.
func stillRunning() *outcome.Refusal {
	return &outcome.Refusal{
		Code:       outcome.DeadlineExceeded,
		Ran:        outcome.RanUnknown,
		RetryAfter: time.Second,
		Detail:     "an earlier request with this Idempotency-Key is still running",
	}
}

// sleep waits for d. It returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// wholeBody reads a request's body into memory.
func wholeBody(req *dispatch.Request) ([]byte, *outcome.Refusal) {
	body, err := req.Body.ReadAll(maxRunBodyBytes)
	if err == dispatch.ErrBodyTooLong {
		return nil, outcome.NotRun(outcome.BodyTooLarge, 0, "the body of a request with Idempotency-Key exceeds %d bytes", maxRunBodyBytes)
	}
	if err != nil {
		return nil, bodyRefusal(err)
	}
	return body, nil
}

// digest identifies a request apart from its key.
func digest(req *dispatch.Request, body []byte) []byte {
	hash := sha256.New()
	io.WriteString(hash, req.Service+"\n"+req.Method+"\n"+req.Path+"\n")
	hash.Write(body)
	return hash.Sum(nil)
}

// claim asks for the run record once.
func (r *Runs) claim(ctx context.Context, claim *apiv1.RunClaim) (*apiv1.RunRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim.NowUnixNs = r.clock.Now().UnixNano()
	return r.records.Claim(ctx, claim)
}

// settle acts on the state of the run record.
func (r *Runs) settle(ctx context.Context, claim *apiv1.RunClaim, record *apiv1.RunRecord, req *dispatch.Request) *dispatch.Result {
	switch record.GetState() {
	case apiv1.RunState_RUN_STATE_CLAIMED:
		return r.run(ctx, claim, req)
	case apiv1.RunState_RUN_STATE_FINISHED:
		r.metrics.Replays.Add(1)
		return replay(record.GetFinish())
	case apiv1.RunState_RUN_STATE_LOST:
		return dispatch.Refused(&outcome.Refusal{Code: outcome.OutcomeUnknown, Ran: outcome.RanUnknown, Detail: "the answer of the earlier request with this Idempotency-Key is lost"})
	case apiv1.RunState_RUN_STATE_MISMATCH:
		return dispatch.Refused(outcome.NotRun(outcome.IdempotencyReused, 0, "another request was sent with this Idempotency-Key"))
	case apiv1.RunState_RUN_STATE_FULL:
		return dispatch.Refused(outcome.NotRun(outcome.RunRecordsFull, time.Second, "no room for another run record"))
	default:
		return dispatch.Refused(outcome.NotRun(outcome.RunRecordsAway, time.Second, "run records can't be reached"))
	}
}

// run dispatches a claimed request. The run goes on when its caller leaves.
func (r *Runs) run(ctx context.Context, claim *apiv1.RunClaim, req *dispatch.Request) *dispatch.Result {
	done := make(chan *dispatch.Result, 1)
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Origin.Deadline)
	r.background.Add(1)
	go func() {
		defer r.background.Done()
		defer cancel()
		result := r.dispatcher.Do(runCtx, req)
		finish := r.capture(claim, result)
		done <- result
		r.finish(finish)
	}()
	select {
	case result := <-done:
		return result
	case <-ctx.Done():
		return dispatch.Refused(stillRunning())
	}
}

// capture reads the answer into memory, as far as a record keeps it.
func (r *Runs) capture(claim *apiv1.RunClaim, result *dispatch.Result) *apiv1.RunFinish {
	finish := finishOf(claim)
	if refusal := result.Refusal(); refusal != nil {
		finish.Ran = refusal.Ran.Message()
		return finish
	}
	finish.Ran = apiv1.Ran_RAN_YES
	body, err := io.ReadAll(result.Body)
	result.Body.Close()
	if err != nil {
		*result = *dispatch.Refused(cutOff(err))
		return finish
	}
	result.KeepBody(body)
	if len(body) <= maxRecordedBytes {
		finish.Status = result.Header.GetStatus()
		finish.Headers = result.Header.GetHeaders()
		finish.Body = body
	}
	return finish
}

// finishOf returns the finish message of a claim without its outcome.
func finishOf(claim *apiv1.RunClaim) *apiv1.RunFinish {
	return &apiv1.RunFinish{
		Organisation: claim.GetOrganisation(),
		Key:          claim.GetKey(),
		Node:         claim.GetNode(),
		Incarnation:  claim.GetIncarnation(),
		Number:       claim.GetNumber(),
	}
}

// finish records the outcome of a run, trying again while no quorum answers.
func (r *Runs) finish(f *apiv1.RunFinish) {
	for attempt := range finishAttempts {
		f.NowUnixNs = r.clock.Now().UnixNano()
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		err := r.records.Finish(ctx, f)
		cancel()
		if err == nil {
			return
		}
		r.log.Warn("run record not finished", "organisation", f.GetOrganisation(), "attempt", attempt, "err", err)
		time.Sleep(min(joinFirstWait<<attempt, time.Second))
	}
}

// replay returns the recorded answer of an earlier request.
func replay(f *apiv1.RunFinish) *dispatch.Result {
	if f.GetStatus() == 0 {
		return dispatch.Refused(&outcome.Refusal{Code: outcome.AnswerTooLarge, Ran: outcome.RanYes, Detail: "the earlier request with this Idempotency-Key ran; its answer was not recorded"})
	}
	return dispatch.Recorded(f.GetStatus(), f.GetHeaders(), f.GetBody())
}
