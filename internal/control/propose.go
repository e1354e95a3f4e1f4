package control

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/runrecord"
)

// Limits for requests that need the leader.
const (
	// maxHops is how often a request is forwarded at most.
	maxHops = 2
	// proposeTimeout bounds a change, unless the caller's deadline is earlier.
	proposeTimeout    = 5 * time.Second
	runTimeout        = 2 * time.Second
	proposeRetryDelay = 50 * time.Millisecond
	// maxValidations bounds how often a change is validated again because another one was applied
	// first.
	maxValidations = 5
)

// Propose submits a change and returns its outcome. Requests from nodes and operators are retried
// until the outcome is known or the time is over, which the change id makes safe. Forwarded requests
// are tried once.
func (r *Replica) Propose(ctx context.Context, request *apiv1.ProposeRequest) (*apiv1.ProposeResponse, error) {
	if request.GetChange().GetId() == "" {
		return proposeResult(apiv1.ChangeResult_CHANGE_RESULT_INVALID, "the change has no id"), nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	mayBeWritten := false
	for {
		response := r.proposeOnce(ctx, request)
		switch response.Outcome.Result {
		case apiv1.ChangeResult_CHANGE_RESULT_UNKNOWN:
			mayBeWritten = true
		case apiv1.ChangeResult_CHANGE_RESULT_UNAVAILABLE:
		default:
			return response, nil
		}
		if request.Hops > 0 || !clock.Sleep(ctx, proposeRetryDelay) {
			if mayBeWritten {
				response = proposeResult(apiv1.ChangeResult_CHANGE_RESULT_UNKNOWN)
			}
			return response, nil
		}
	}
}

func proposeResult(result apiv1.ChangeResult, problems ...string) *apiv1.ProposeResponse {
	return &apiv1.ProposeResponse{Outcome: &apiv1.ChangeOutcome{Result: result, Problems: problems}}
}

// proposeOnce executes the change here if this replica leads, and forwards it otherwise.
func (r *Replica) proposeOnce(ctx context.Context, request *apiv1.ProposeRequest) *apiv1.ProposeResponse {
	v := r.view.Load()
	if v.leads(0) {
		return r.proposeAsLeader(ctx, request.Change)
	}
	address := v.leaderAddress(0)
	if address == "" || request.Hops >= maxHops {
		return proposeResult(apiv1.ChangeResult_CHANGE_RESULT_UNAVAILABLE)
	}
	forwarded := &apiv1.ProposeRequest{Change: request.Change, Hops: request.Hops + 1}
	response := &apiv1.ProposeResponse{}
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	if err := peer.Unary(ctx, r.o.Pool, address, apiv1.Method_METHOD_PROPOSE, forwarded, response); err != nil {
		if notSent(err) {
			return proposeResult(apiv1.ChangeResult_CHANGE_RESULT_UNAVAILABLE)
		}
		return proposeResult(apiv1.ChangeResult_CHANGE_RESULT_UNKNOWN)
	}
	if response.Outcome == nil {
		return proposeResult(apiv1.ChangeResult_CHANGE_RESULT_UNKNOWN)
	}
	return response
}

// notSent reports whether err proves that nothing of the request left this process.
func notSent(err error) bool {
	var call *peer.CallError
	return errors.As(err, &call) && !call.Sent
}

// proposeAsLeader validates the change and replicates it. It does so for one change at a time, since
// the result of a validation holds only for the revision that it was made against.
func (r *Replica) proposeAsLeader(ctx context.Context, change *apiv1.Change) *apiv1.ProposeResponse {
	select {
	case r.proposing <- struct{}{}:
		defer func() { <-r.proposing }()
	case <-ctx.Done():
		return proposeResult(apiv1.ChangeResult_CHANGE_RESULT_UNAVAILABLE)
	}
	if outcome := r.store.RecordedOutcome(change); outcome != nil {
		return &apiv1.ProposeResponse{Outcome: outcome}
	}
	if reason := r.insufficientVoters(); reason != "" {
		return proposeResult(apiv1.ChangeResult_CHANGE_RESULT_UNAVAILABLE, reason)
	}
	for range maxValidations {
		reply, state := r.submitStore(ctx, r.store.Validate(change))
		switch {
		case state == opUnknown:
			return proposeResult(apiv1.ChangeResult_CHANGE_RESULT_UNKNOWN)
		case state != opApplied:
			return proposeResult(apiv1.ChangeResult_CHANGE_RESULT_UNAVAILABLE)
		case !reply.StaleValidation:
			return &apiv1.ProposeResponse{Outcome: reply.Outcome}
		}
	}
	return proposeResult(apiv1.ChangeResult_CHANGE_RESULT_UNAVAILABLE)
}

// insufficientVoters says why no change is accepted yet in a cluster that is being created: the first
// replica is a quorum by itself until others become voters. It returns "" once MinVoters and a
// majority of the initial replicas vote.
func (r *Replica) insufficientVoters() string {
	voters := 0
	for _, member := range r.view.Load().members {
		if !member.Learner {
			voters++
		}
	}
	initial := len(r.o.InitialReplicas)
	if r.store.PublishedState().Load().Revision == 0 && voters < r.o.MinVoters {
		return fmt.Sprintf("%d replicas vote; %d must vote before the first change", voters, r.o.MinVoters)
	}
	if voters > initial/2 {
		return ""
	}
	return fmt.Sprintf("%d of %d initial replicas vote; a majority must vote, or the list of initial replicas in the settings must change", voters, initial)
}

// submitStore replicates a command of the configuration group and returns the reply of the store.
func (r *Replica) submitStore(ctx context.Context, command *apiv1.StoreCommand) (*apiv1.StoreReply, opState) {
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, opNotProposed
	}
	result := r.submit(ctx, 0, func(time.Time) []byte { return data })
	if result.state != opApplied {
		return nil, result.state
	}
	reply := &apiv1.StoreReply{}
	if err := proto.Unmarshal(result.reply, reply); err != nil {
		panic("control: decode reply of the store: " + err.Error())
	}
	return reply, opApplied
}

// submit replicates a command in a group that this replica leads. build is called on the loop.
func (r *Replica) submit(ctx context.Context, number uint32, build func(now time.Time) []byte) opResult {
	done := make(chan opResult, 1)
	posted := r.post(func(now time.Time) {
		if ctx.Err() != nil {
			done <- opResult{state: opNotProposed}
			return
		}
		r.engine.propose(now, number, build(now), func(result opResult) { done <- result })
	})
	if !posted {
		return opResult{state: opNotProposed}
	}
	select {
	case result := <-done:
		return result
	case <-ctx.Done():
	case <-r.stopped:
	}
	return opResult{state: opUnknown}
}

// termStamper assigns timestamps to the entries of a run-record shard during one term of leadership.
type termStamper struct {
	term    uint64
	stamper *runrecord.Stamper
}

// UpdateRunRecord claims or finishes a run record. It returns an error when the outcome is not known.
func (r *Replica) UpdateRunRecord(ctx context.Context, request *apiv1.RunRequest) (*apiv1.RunResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	v := r.view.Load()
	number := request.Shard + 1
	if int(number) >= len(v.groups) {
		if len(v.groups) == 0 {
			return runUnavailable(), nil
		}
		return nil, errors.Errorf("run-record shard %d does not exist", request.Shard)
	}
	if v.leads(number) {
		return r.runAsLeader(ctx, number, request)
	}
	address := v.leaderAddress(number)
	if address == "" || request.Hops >= maxHops {
		return runUnavailable(), nil
	}
	forwarded := proto.CloneOf(request)
	forwarded.Hops++
	response := &apiv1.RunResponse{}
	err := peer.Unary(ctx, r.o.Pool, address, apiv1.Method_METHOD_RUN, forwarded, response)
	if err != nil && notSent(err) {
		return runUnavailable(), nil
	}
	return response, err
}

func runUnavailable() *apiv1.RunResponse {
	return &apiv1.RunResponse{Record: &apiv1.RunRecord{State: apiv1.RunState_RUN_STATE_UNAVAILABLE}}
}

func (r *Replica) runAsLeader(ctx context.Context, number uint32, request *apiv1.RunRequest) (*apiv1.RunResponse, error) {
	stamped := proto.CloneOf(request)
	stamped.Hops = 0
	result := r.submit(ctx, number, func(time.Time) []byte {
		r.stamper(number).Stamp(stamped)
		data, err := proto.Marshal(stamped)
		if err != nil {
			panic("control: encode run request: " + err.Error())
		}
		return data
	})
	switch result.state {
	case opApplied:
		response := &apiv1.RunResponse{}
		return response, errors.WithStack(proto.Unmarshal(result.reply, response))
	case opUnknown:
		return nil, errors.New("outcome of the run record is unknown")
	default:
		return runUnavailable(), nil
	}
}

// stamper returns the timestamp source of a run-record group for the current term. It runs on the
// loop.
func (r *Replica) stamper(number uint32) *runrecord.Stamper {
	s := &r.termStampers[number]
	if term := r.engine.groups[number].core.Term(); s.stamper == nil || s.term != term {
		*s = termStamper{term: term, stamper: runrecord.NewStamper(r.o.Clock, r.tables[number-1].Now())}
	}
	return s.stamper
}
