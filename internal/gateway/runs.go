package gateway

import (
	"bytes"
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
	"github.com/guavaford/guavaford/internal/reqbody"
	"github.com/guavaford/guavaford/internal/telemetry"
)

// Limits of requests with an Idempotency-Key.
const (
	// maxIdempotencyKeyBytes bounds the key itself.
	maxIdempotencyKeyBytes = 256
	// maxRunBodyBytes bounds the body of a request with a key. The body is read into memory to compute its digest.
	maxRunBodyBytes = 1 << 20
	// maxRecordedBytes bounds the response body that is stored in a run record.
	maxRecordedBytes = 64 << 10
)

// Timeouts and retries of operations on run records.
const (
	claimTimeout       = 2 * time.Second
	incarnationTimeout = 500 * time.Millisecond
	finishTimeout      = 2 * time.Second
	finishAttempts     = 10
	initialPollWait    = 20 * time.Millisecond
	maxPollWait        = 250 * time.Millisecond
)

// RunRecords stores claims and outcomes of runs on a quorum of control replicas.
type RunRecords interface {
	Claim(ctx context.Context, c *apiv1.RunClaim) (*apiv1.RunRecord, error)
	Finish(ctx context.Context, f *apiv1.RunFinish) error
	// DeclareLost records that the response of the run of a claim can no longer be obtained.
	DeclareLost(ctx context.Context, c *apiv1.RunClaim) error
	// Wait returns when no background work is in progress.
	Wait()
	// Close stops all background work.
	Close()
}

// IncarnationClient queries nodes for their incarnation, the number that identifies one process of a node.
type IncarnationClient interface {
	Incarnation(ctx context.Context, address string) (uint64, error)
}

// IdempotentRunner ensures that a request with an Idempotency-Key is executed at most once across all nodes.
//
// The first request with a key claims its run record before it is dispatched. A resend, through any node, finds the
// claim and waits for the recorded response. If the request was provably not executed, the key becomes free again.
type IdempotentRunner struct {
	identity   peer.Identity
	address    string
	records    RunRecords
	nodes      IncarnationClient
	dispatcher Dispatcher
	clock      clock.Clock
	metrics    *telemetry.Metrics
	log        telemetry.Logger
	sequence   atomic.Uint64
	flights    *flights
	// background counts the runs in progress, including the recording of their outcomes.
	background sync.WaitGroup
	// baseCtx is the parent context of all runs. It is cancelled when the process stops without waiting for them.
	baseCtx    context.Context
	cancelBase context.CancelFunc
}

// IdempotentRunnerOptions are the dependencies of an IdempotentRunner.
type IdempotentRunnerOptions struct {
	Identity peer.Identity
	// Address is the peer address of this node.
	Address    string
	Records    RunRecords
	Nodes      IncarnationClient
	Dispatcher Dispatcher
	Clock      clock.Clock
	Metrics    *telemetry.Metrics
	Log        telemetry.Logger
}

// NewIdempotentRunner returns an IdempotentRunner with the dependencies o.
func NewIdempotentRunner(o IdempotentRunnerOptions) *IdempotentRunner {
	baseCtx, cancelBase := context.WithCancel(context.Background())
	return &IdempotentRunner{
		baseCtx:    baseCtx,
		cancelBase: cancelBase,
		identity:   o.Identity,
		address:    o.Address,
		records:    o.Records,
		nodes:      o.Nodes,
		dispatcher: o.Dispatcher,
		clock:      o.Clock,
		metrics:    o.Metrics,
		log:        o.Log,
		flights:    newFlights(),
	}
}

// Wait returns when no run and no recording of an outcome is in progress.
func (r *IdempotentRunner) Wait() {
	r.background.Wait()
	r.records.Wait()
}

// Close cancels the runs in progress and the recording of outcomes, and waits until they have stopped.
func (r *IdempotentRunner) Close() {
	r.cancelBase()
	r.records.Close()
	r.background.Wait()
}

// Do executes a request, or returns the response of an earlier request with the same key.
func (r *IdempotentRunner) Do(ctx context.Context, key string, req *dispatch.Request) *dispatch.Result {
	if len(key) > maxIdempotencyKeyBytes {
		return dispatch.RefusedResult(outcome.NotRun(outcome.BadRequest, 0, "Idempotency-Key exceeds %d bytes", maxIdempotencyKeyBytes))
	}
	body, refusal := wholeBody(req)
	if refusal != nil {
		return dispatch.RefusedResult(refusal)
	}
	sum := digest(req, body)
	flightKey := flightKey{req.Origin.Organisation, key}
	for {
		fl, leads := r.flights.join(flightKey, sum)
		if leads {
			return r.lead(ctx, flightKey, fl, req)
		}
		if result, again := fl.wait(ctx, sum); !again {
			return result
		}
	}
}

// lead handles the first request of a flight: it claims the run record and dispatches the request, or returns the
// recorded outcome.
func (r *IdempotentRunner) lead(ctx context.Context, key flightKey, fl *flight, req *dispatch.Request) *dispatch.Result {
	claim := &apiv1.RunClaim{
		Organisation: key.organisation,
		Key:          key.key,
		Digest:       fl.digest,
		Node:         r.identity.Node,
		Incarnation:  r.identity.Incarnation,
		Number:       r.sequence.Add(1),
		Address:      r.address,
		TimeoutNs:    int64(req.Origin.Deadline.Sub(r.clock.Now())),
	}
	record, refusal := r.awaitClaim(ctx, claim)
	if refusal == nil && record.GetState() == apiv1.RunState_RUN_STATE_CLAIMED {
		return r.run(ctx, key, fl, claim, req)
	}
	defer r.flights.complete(key, fl)
	if refusal != nil {
		return dispatch.RefusedResult(refusal)
	}
	if record.GetState() == apiv1.RunState_RUN_STATE_FINISHED {
		r.metrics.Replays.Add(1)
		fl.finish = record.GetFinish()
		return replay(fl.finish)
	}
	fl.refusal = stateRefusal(record.GetState())
	return dispatch.RefusedResult(fl.refusal)
}

// awaitClaim claims the run record. While another run holds the claim, it polls until that run ends.
func (r *IdempotentRunner) awaitClaim(ctx context.Context, claim *apiv1.RunClaim) (*apiv1.RunRecord, *outcome.Refusal) {
	wait := initialPollWait
	for {
		record, err := r.claim(ctx, claim)
		if err != nil {
			return nil, outcome.NotRun(outcome.RunRecordsUnavailable, time.Second, "the run record could not be claimed")
		}
		if record.GetState() != apiv1.RunState_RUN_STATE_RUNNING {
			return record, nil
		}
		r.declareLost(ctx, record.GetClaim())
		if !clock.Sleep(ctx, wait) {
			return nil, stillRunningRefusal()
		}
		wait = min(2*wait, maxPollWait)
	}
}

// declareLost marks a claim as lost if the process that holds it no longer exists. It can then no longer be determined
// whether the request was executed.
func (r *IdempotentRunner) declareLost(ctx context.Context, claim *apiv1.RunClaim) {
	ctx, cancel := context.WithTimeout(ctx, incarnationTimeout)
	defer cancel()
	incarnation, err := r.incarnationOf(ctx, claim)
	if err != nil || incarnation == claim.GetIncarnation() {
		return
	}
	if err := r.records.DeclareLost(ctx, claim); err != nil {
		r.log.Warn("cannot declare run lost", "organisation", claim.GetOrganisation(), "node", claim.GetNode(), "err", err)
	}
}

// incarnationOf returns the current incarnation of the node that holds a claim.
func (r *IdempotentRunner) incarnationOf(ctx context.Context, claim *apiv1.RunClaim) (uint64, error) {
	if claim.GetNode() == r.identity.Node {
		return r.identity.Incarnation, nil
	}
	return r.nodes.Incarnation(ctx, claim.GetAddress())
}

// stateRefusal returns the refusal for a record that neither grants the claim nor holds a response.
func stateRefusal(state apiv1.RunState) *outcome.Refusal {
	switch state {
	case apiv1.RunState_RUN_STATE_LOST:
		return &outcome.Refusal{Code: outcome.OutcomeUnknown, Ran: outcome.RanUnknown, Detail: "the answer of the earlier request with this Idempotency-Key is lost"}
	case apiv1.RunState_RUN_STATE_MISMATCH:
		return mismatchRefusal()
	case apiv1.RunState_RUN_STATE_FULL:
		return outcome.NotRun(outcome.RunRecordsFull, time.Second, "no room for another run record")
	default:
		return outcome.NotRun(outcome.RunRecordsUnavailable, time.Second, "run records can't be reached")
	}
}

// stillRunningRefusal returns the refusal of a request whose deadline passed, or whose caller left, before the run with
// its key ended.
func stillRunningRefusal() *outcome.Refusal {
	return &outcome.Refusal{
		Code:       outcome.DeadlineExceeded,
		Ran:        outcome.RanUnknown,
		RetryAfter: time.Second,
		Detail:     "an earlier request with this Idempotency-Key is still running",
	}
}

// wholeBody reads a request's body into memory.
func wholeBody(req *dispatch.Request) ([]byte, *outcome.Refusal) {
	body, err := req.Body.ReadAll(maxRunBodyBytes)
	if err == reqbody.ErrTooLong {
		return nil, outcome.NotRun(outcome.BodyTooLarge, 0, "the body of a request with Idempotency-Key exceeds %d bytes", maxRunBodyBytes)
	}
	if err != nil {
		return nil, bodyRefusal(err, maxRunBodyBytes)
	}
	return body, nil
}

// digest returns a hash of everything but the key that identifies a request: service, method, path and body.
func digest(req *dispatch.Request, body []byte) []byte {
	hash := sha256.New()
	io.WriteString(hash, req.Service+"\n"+req.Method+"\n"+req.Path+"\n")
	hash.Write(body)
	return hash.Sum(nil)
}

// claim makes one attempt to claim the run record.
func (r *IdempotentRunner) claim(ctx context.Context, claim *apiv1.RunClaim) (*apiv1.RunRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim.NowUnixNs = r.clock.Now().UnixNano()
	return r.records.Claim(ctx, claim)
}

// run dispatches a claimed request. The run continues if its caller leaves.
func (r *IdempotentRunner) run(ctx context.Context, key flightKey, fl *flight, claim *apiv1.RunClaim, req *dispatch.Request) *dispatch.Result {
	answers := make(chan *dispatch.Result)
	runCtx, cancel := context.WithDeadline(r.baseCtx, req.Origin.Deadline)
	r.background.Add(1)
	go func() {
		defer r.background.Done()
		defer cancel()
		result := r.dispatcher.Do(runCtx, req)
		streamed := r.capture(claim, fl, result)
		r.deliver(ctx, answers, result, streamed)
		finish := fl.finish
		r.flights.complete(key, fl)
		r.finish(finish)
	}()
	select {
	case result := <-answers:
		return result
	case <-ctx.Done():
		return dispatch.RefusedResult(stillRunningRefusal())
	}
}

// deliver passes the result to the request that leads the flight, if that request still waits. If the body is longer
// than a record holds, deliver blocks until the body is closed.
func (r *IdempotentRunner) deliver(ctx context.Context, answers chan<- *dispatch.Result, result *dispatch.Result, streamed *prefixedBody) {
	select {
	case answers <- result:
	case <-ctx.Done():
		if streamed != nil {
			_ = streamed.Close()
		}
		return
	}
	if streamed != nil {
		<-streamed.closed
	}
}

// capture reads the response body, up to the size that a record holds, and sets the outcome of the flight. If the body
// is longer, its content is not recorded, and capture returns the body for streaming.
func (r *IdempotentRunner) capture(claim *apiv1.RunClaim, fl *flight, result *dispatch.Result) *prefixedBody {
	fl.finish = newFinish(claim)
	if refusal := result.Refusal(); refusal != nil {
		fl.finish.Ran = refusal.Ran.Message()
		fl.refusal = refusal
		return nil
	}
	fl.finish.Ran = apiv1.Ran_RAN_YES
	start, err := io.ReadAll(io.LimitReader(result.Body, maxRecordedBytes+1))
	if err != nil {
		_ = result.Body.Close()
		fl.refusal = truncatedRefusal(err)
		*result = *dispatch.RefusedResult(fl.refusal)
		return nil
	}
	if len(start) > maxRecordedBytes {
		streamed := newPrefixedBody(start, result.Body)
		result.ReplaceBody(streamed)
		return streamed
	}
	_ = result.Body.Close()
	result.ReplaceBody(io.NopCloser(bytes.NewReader(start)))
	fl.finish.Status = result.Header.GetStatus()
	fl.finish.Headers = result.Header.GetHeaders()
	fl.finish.Body = start
	return nil
}

// prefixedBody is a response body whose start has already been read into memory.
type prefixedBody struct {
	io.Reader
	source io.Closer
	once   sync.Once
	closed chan struct{}
}

// newPrefixedBody returns a body that consists of start and the unread rest of source.
func newPrefixedBody(start []byte, source io.ReadCloser) *prefixedBody {
	return &prefixedBody{
		Reader: io.MultiReader(bytes.NewReader(start), source),
		source: source,
		closed: make(chan struct{}),
	}
}

// Close closes the source and signals closed; further calls have no effect.
func (b *prefixedBody) Close() error {
	var err error
	b.once.Do(func() {
		err = b.source.Close()
		close(b.closed)
	})
	return err
}

// newFinish returns the message that finishes the run of a claim; its outcome is not yet set.
func newFinish(claim *apiv1.RunClaim) *apiv1.RunFinish {
	return &apiv1.RunFinish{
		Organisation: claim.GetOrganisation(),
		Key:          claim.GetKey(),
		Node:         claim.GetNode(),
		Incarnation:  claim.GetIncarnation(),
		Number:       claim.GetNumber(),
	}
}

// finish records the outcome of a run. It makes up to finishAttempts attempts, with backoff, until a quorum responds.
func (r *IdempotentRunner) finish(f *apiv1.RunFinish) {
	for attempt := range finishAttempts {
		f.NowUnixNs = r.clock.Now().UnixNano()
		ctx, cancel := context.WithTimeout(r.baseCtx, finishTimeout)
		err := r.records.Finish(ctx, f)
		cancel()
		if err == nil {
			return
		}
		r.log.Warn("cannot finish run record", "organisation", f.GetOrganisation(), "attempt", attempt, "err", err)
		if !clock.Sleep(r.baseCtx, min(initialPollWait<<attempt, time.Second)) {
			return
		}
	}
}

// replay returns the recorded response of an earlier request. A record without a status belongs to a request that was
// executed and whose response was not recorded.
func replay(f *apiv1.RunFinish) *dispatch.Result {
	if f.GetStatus() == 0 {
		return dispatch.RefusedResult(&outcome.Refusal{Code: outcome.AnswerTooLarge, Ran: outcome.RanYes, Detail: "the earlier request with this Idempotency-Key was executed; its answer was not recorded"})
	}
	return dispatch.RecordedResult(f.GetStatus(), f.GetHeaders(), f.GetBody())
}
