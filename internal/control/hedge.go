package control

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/peer"
)

// How long one replica may take before the next is tried beside it. With three silent replicas of seven, the fourth one
// is asked after three of these delays.
const (
	// syncHedgeDelay is for heartbeats of nodes that are in touch: their responses are small.
	syncHedgeDelay = 100 * time.Millisecond
	// firstSyncHedgeDelay is for heartbeats of nodes that fetch the whole configuration and registry. It is longer than
	// confirmTimeout, so that replicas that wait for a quorum, as while a fleet starts, cost each node no more requests.
	firstSyncHedgeDelay = time.Second
	// heldHedgeDelay is for a heartbeat whose response is held back, beyond the time that it may be held. Replicas that
	// fall silent are found earlier, by pings.
	heldHedgeDelay = 250 * time.Millisecond
	// requestHedgeDelay is for all other requests. It is several times the time that a change takes.
	requestHedgeDelay = 500 * time.Millisecond
	// minHedgeDelay is the least delay of a request whose deadline is near.
	minHedgeDelay = 50 * time.Millisecond
	// hedgesPerDeadline is how many delays fit into the time that is left for a request: enough for the first response
	// after three silent replicas of seven.
	hedgesPerDeadline = 4
)

// callResult is the result of callReplicas.
type callResult[Resp proto.Message] struct {
	response Resp
	// accepted is false if no replica's response was accepted; response is then the last one.
	accepted bool
	// uncertain is true if an attempt without a response may have taken effect.
	uncertain bool
}

// clientCall is a request with the timeout of each attempt and the condition for ending the
// attempts.
type clientCall[Resp proto.Message] struct {
	method  apiv1.Method
	request proto.Message
	// held replaces request, unless it is nil, for the first attempt if that is at the replica that answered last. The
	// replica may hold the response back for holdTime.
	held     proto.Message
	holdTime time.Duration
	timeout  time.Duration
	// hedgeDelay is how long an attempt may take before the next replica is tried as well.
	hedgeDelay time.Duration
	// leastDelay is the least hedgeDelay when the deadline is near, if it is more than minHedgeDelay.
	leastDelay time.Duration
	accept     func(Resp) bool
}

// attempt is an exchange with one replica that is in progress.
type attempt struct {
	address string
	// overdueAt is when the next replica is tried although this one has not failed.
	overdueAt time.Time
}

// attemptResult is the result of one attempt.
type attemptResult[Resp proto.Message] struct {
	attempt
	response Resp
	err      error
}

// replicaCall is the state of callReplicas.
type replicaCall[Resp proto.Message] struct {
	client *Client
	clientCall[Resp]
	untried []string
	pending map[string]attempt
	results chan attemptResult[Resp]
	timer   *time.Timer
	first   bool
}

// callReplicas calls the replicas in turn until a response is accepted. An attempt that fails is followed by the next at
// once, one that takes long is joined by it, so that a silent replica does not use up the time for the others. It returns
// an error if none answered.
func callReplicas[T any, Resp interface {
	*T
	proto.Message
}](ctx context.Context, c *Client, call clientCall[Resp]) (callResult[Resp], error) {
	attempts, cancel := context.WithCancel(ctx)
	defer cancel()
	list := c.candidates(time.Now())
	r := &replicaCall[Resp]{
		client: c, clientCall: call, untried: list, first: true,
		pending: make(map[string]attempt, len(list)), results: make(chan attemptResult[Resp], len(list)), timer: time.NewTimer(0),
	}
	defer r.timer.Stop()
	var result callResult[Resp]
	answered := false
	cause := ErrNoReplica
	ended := ctx.Done()
	for len(r.pending) > 0 || len(r.untried) > 0 {
		select {
		case <-r.timer.C:
			r.start(attempts, Resp(new(T)))
		case <-ended:
			// The attempts in progress end with ctx.
			r.untried, ended = nil, nil
		case one := <-r.results:
			delete(r.pending, one.address)
			if one.err == nil {
				answered = true
				result.response, result.accepted = one.response, call.accept(one.response)
				c.recordAttempt(one.address, result.accepted)
				if result.accepted {
					r.recordOverdue()
					return result, nil
				}
			} else {
				result.uncertain = result.uncertain || !notSent(one.err)
				cause = one.err
				// A caller that has cancelled the call says nothing about a replica that was not late.
				if ctx.Err() == nil || !time.Now().Before(one.overdueAt) {
					c.recordAttempt(one.address, false)
				}
			}
			r.timer.Reset(c.retryDelay())
		}
	}
	if answered {
		return result, nil
	}
	return result, errors.Wrap(cause, "call control replicas")
}

// start starts the attempt at the next replica, if there is one.
func (r *replicaCall[Resp]) start(ctx context.Context, response Resp) {
	if len(r.untried) == 0 {
		return
	}
	address := r.untried[0]
	r.untried = r.untried[1:]
	request, delay := r.request, r.delay(ctx)
	if r.first && r.held != nil && r.client.answeredLast(address) {
		request, delay = r.held, r.holdTime+heldHedgeDelay
	}
	r.first = false
	one := attempt{address: address, overdueAt: time.Now().Add(delay)}
	r.pending[address] = one
	r.timer.Reset(delay)
	go func() {
		attemptCtx, cancel := context.WithTimeout(ctx, r.timeout)
		defer cancel()
		err := peer.UnaryResponsive(attemptCtx, r.client.pool, address, r.method, request, response)
		r.results <- attemptResult[Resp]{attempt: one, response: response, err: err}
	}()
}

// delay returns the time after which the next replica is tried as well.
func (r *replicaCall[Resp]) delay(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return r.hedgeDelay
	}
	return min(r.hedgeDelay, max(time.Until(deadline)/hedgesPerDeadline, minHedgeDelay, r.leastDelay))
}

// recordOverdue records the attempts that are late as failed, once another replica has answered.
func (r *replicaCall[Resp]) recordOverdue() {
	now := time.Now()
	for address, one := range r.pending {
		if !now.Before(one.overdueAt) {
			r.client.recordAttempt(address, false)
		}
	}
}
