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
	claimTimeout       = 2 * time.Second
	incarnationTimeout = 500 * time.Millisecond
	finishTimeout      = 2 * time.Second
	finishAttempts     = 10
	joinFirstWait      = 20 * time.Millisecond
	joinMaxWait        = 250 * time.Millisecond
)

// RunRecords claims and finishes runs in a quorum of control replicas.
type RunRecords interface {
	Claim(ctx context.Context, c *apiv1.RunClaim) (*apiv1.RunRecord, error)
	Finish(ctx context.Context, f *apiv1.RunFinish) error
	// DeclareLost records that the answer of a claim's attempt can't be had any more.
	DeclareLost(ctx context.Context, c *apiv1.RunClaim) error
	// Wait returns when nothing that the records do by themselves is under way.
	Wait()
	// Close ends what the records do by themselves.
	Close()
}

// Incarnations asks nodes for their incarnation.
type Incarnations interface {
	Incarnation(ctx context.Context, address string) (uint64, error)
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
	nodes      Incarnations
	dispatcher Dispatcher
	clock      clock.Clock
	metrics    *telemetry.Metrics
	log        telemetry.Logger
	sequence   atomic.Uint64
	flights    *flights
	// background counts the runs and finishes that are under way.
	background sync.WaitGroup
	// life ends when the process ends without waiting for runs.
	life context.Context
	end  context.CancelFunc
}

// RunsOptions are the parts that Runs works with.
type RunsOptions struct {
	Identity peer.Identity
	// Address is the peer address of this node.
	Address    string
	Records    RunRecords
	Nodes      Incarnations
	Dispatcher Dispatcher
	Clock      clock.Clock
	Metrics    *telemetry.Metrics
	Log        telemetry.Logger
}

// NewRuns returns Runs that work with o.
func NewRuns(o RunsOptions) *Runs {
	life, end := context.WithCancel(context.Background())
	return &Runs{
		life:       life,
		end:        end,
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

// Wait returns when no run and no finish is under way.
func (r *Runs) Wait() {
	r.background.Wait()
	r.records.Wait()
}

// Close ends every run and finish that is under way.
func (r *Runs) Close() {
	r.end()
	r.records.Close()
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
	sum := digest(req, body)
	flightKey := flightKey{req.Origin.Organisation, key}
	for {
		one, leads := r.flights.join(flightKey, sum)
		if leads {
			return r.lead(ctx, flightKey, one, req)
		}
		if result, again := one.wait(ctx, sum); !again {
			return result
		}
	}
}

// lead claims the run record and acts on its state.
func (r *Runs) lead(ctx context.Context, key flightKey, one *flight, req *dispatch.Request) *dispatch.Result {
	claim := &apiv1.RunClaim{
		Organisation: key.organisation,
		Key:          key.key,
		Digest:       one.digest,
		Node:         r.identity.Node,
		Incarnation:  r.identity.Incarnation,
		Number:       r.sequence.Add(1),
		Address:      r.address,
		TimeoutNs:    int64(req.Origin.Deadline.Sub(r.clock.Now())),
	}
	record, refusal := r.await(ctx, claim)
	if refusal == nil && record.GetState() == apiv1.RunState_RUN_STATE_CLAIMED {
		return r.run(ctx, key, one, claim, req)
	}
	defer r.flights.complete(key, one)
	if refusal != nil {
		return dispatch.Refused(refusal)
	}
	if record.GetState() == apiv1.RunState_RUN_STATE_FINISHED {
		r.metrics.Replays.Add(1)
		one.finish = record.GetFinish()
		return replay(one.finish)
	}
	one.refusal = unusable(record.GetState())
	return dispatch.Refused(one.refusal)
}

// await claims the run record, waiting while another attempt runs.
func (r *Runs) await(ctx context.Context, claim *apiv1.RunClaim) (*apiv1.RunRecord, *outcome.Refusal) {
	wait := joinFirstWait
	for {
		record, err := r.claim(ctx, claim)
		if err != nil {
			return nil, outcome.NotRun(outcome.RunRecordsAway, time.Second, "the run could not be claimed")
		}
		if record.GetState() != apiv1.RunState_RUN_STATE_RUNNING {
			return record, nil
		}
		r.declareLost(ctx, record.GetClaim())
		if !clock.Sleep(ctx, wait) {
			return nil, stillRunning()
		}
		wait = min(2*wait, joinMaxWait)
	}
}

// declareLost ends the claim of a process that no longer runs. Nobody can say any more
// whether its run happened.
func (r *Runs) declareLost(ctx context.Context, claim *apiv1.RunClaim) {
	ctx, cancel := context.WithTimeout(ctx, incarnationTimeout)
	defer cancel()
	incarnation, err := r.incarnationOf(ctx, claim)
	if err != nil || incarnation == claim.GetIncarnation() {
		return
	}
	if err := r.records.DeclareLost(ctx, claim); err != nil {
		r.log.Warn("run not declared lost", "organisation", claim.GetOrganisation(), "node", claim.GetNode(), "err", err)
	}
}

// incarnationOf returns the current incarnation of the node that holds a claim.
func (r *Runs) incarnationOf(ctx context.Context, claim *apiv1.RunClaim) (uint64, error) {
	if claim.GetNode() == r.identity.Node {
		return r.identity.Incarnation, nil
	}
	return r.nodes.Incarnation(ctx, claim.GetAddress())
}

// unusable returns the refusal for a record that neither lets run nor holds an answer.
func unusable(state apiv1.RunState) *outcome.Refusal {
	switch state {
	case apiv1.RunState_RUN_STATE_LOST:
		return &outcome.Refusal{Code: outcome.OutcomeUnknown, Ran: outcome.RanUnknown, Detail: "the answer of the earlier request with this Idempotency-Key is lost"}
	case apiv1.RunState_RUN_STATE_MISMATCH:
		return mismatch()
	case apiv1.RunState_RUN_STATE_FULL:
		return outcome.NotRun(outcome.RunRecordsFull, time.Second, "no room for another run record")
	default:
		return outcome.NotRun(outcome.RunRecordsAway, time.Second, "run records can't be reached")
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

// run dispatches a claimed request. The run goes on when its caller leaves.
func (r *Runs) run(ctx context.Context, key flightKey, one *flight, claim *apiv1.RunClaim, req *dispatch.Request) *dispatch.Result {
	answers := make(chan *dispatch.Result)
	runCtx, cancel := context.WithDeadline(r.life, req.Origin.Deadline)
	r.background.Add(1)
	go func() {
		defer r.background.Done()
		defer cancel()
		result := r.dispatcher.Do(runCtx, req)
		rest := r.capture(claim, one, result)
		r.deliver(ctx, answers, result, rest)
		finish := one.finish
		r.flights.complete(key, one)
		r.finish(finish)
	}()
	select {
	case result := <-answers:
		return result
	case <-ctx.Done():
		return dispatch.Refused(stillRunning())
	}
}

// deliver hands the answer to the request that led the run, if it still waits, and stays
// until a body that is longer than what is captured has been read.
func (r *Runs) deliver(ctx context.Context, answers chan<- *dispatch.Result, result *dispatch.Result, rest *restBody) {
	select {
	case answers <- result:
	case <-ctx.Done():
		if rest != nil {
			_ = rest.Close()
		}
		return
	}
	if rest != nil {
		<-rest.closed
	}
}

// capture reads the answer into memory, as far as a record keeps it, and sets the outcome
// of the flight. It returns the unread rest of a longer answer.
func (r *Runs) capture(claim *apiv1.RunClaim, one *flight, result *dispatch.Result) *restBody {
	one.finish = finishOf(claim)
	if refusal := result.Refusal(); refusal != nil {
		one.finish.Ran = refusal.Ran.Message()
		one.refusal = refusal
		return nil
	}
	one.finish.Ran = apiv1.Ran_RAN_YES
	start, err := io.ReadAll(io.LimitReader(result.Body, maxRecordedBytes+1))
	if err != nil {
		_ = result.Body.Close()
		one.refusal = cutOff(err)
		*result = *dispatch.Refused(one.refusal)
		return nil
	}
	if len(start) > maxRecordedBytes {
		rest := newRestBody(start, result.Body)
		result.ReplaceBody(rest)
		return rest
	}
	_ = result.Body.Close()
	result.ReplaceBody(io.NopCloser(bytes.NewReader(start)))
	one.finish.Status = result.Header.GetStatus()
	one.finish.Headers = result.Header.GetHeaders()
	one.finish.Body = start
	return nil
}

// restBody is an answer body whose start was read already.
type restBody struct {
	io.Reader
	source io.Closer
	once   sync.Once
	closed chan struct{}
}

// newRestBody returns a body of the start and what is left of the source.
func newRestBody(start []byte, source io.ReadCloser) *restBody {
	return &restBody{
		Reader: io.MultiReader(bytes.NewReader(start), source),
		source: source,
		closed: make(chan struct{}),
	}
}

// Close closes the source.
func (b *restBody) Close() error {
	var err error
	b.once.Do(func() {
		err = b.source.Close()
		close(b.closed)
	})
	return err
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
		ctx, cancel := context.WithTimeout(r.life, finishTimeout)
		err := r.records.Finish(ctx, f)
		cancel()
		if err == nil {
			return
		}
		r.log.Warn("run record not finished", "organisation", f.GetOrganisation(), "attempt", attempt, "err", err)
		if !clock.Sleep(r.life, min(joinFirstWait<<attempt, time.Second)) {
			return
		}
	}
}

// replay returns the recorded answer of an earlier request.
func replay(f *apiv1.RunFinish) *dispatch.Result {
	if f.GetStatus() == 0 {
		return dispatch.Refused(&outcome.Refusal{Code: outcome.AnswerTooLarge, Ran: outcome.RanYes, Detail: "the earlier request with this Idempotency-Key ran; its answer was not recorded"})
	}
	return dispatch.Recorded(f.GetStatus(), f.GetHeaders(), f.GetBody())
}
