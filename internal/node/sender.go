package node

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/gate"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/rate"
	"github.com/guavaford/guavaford/internal/reqbody"
)

// sender sends calls to the gates of other nodes.
type sender struct {
	pool *peer.Pool
}

// Call sends a call and waits for the header of its answer.
func (s sender) Call(ctx context.Context, address string, h *apiv1.CallHeader, body *reqbody.Lease) (*gate.Answer, error) {
	answer, err := s.pool.Call(ctx, address, h, body)
	if err != nil {
		return nil, err
	}
	return toGateAnswer(answer), nil
}

// Attach fetches the answer of a call that was started over another connection.
func (s sender) Attach(ctx context.Context, address string, key *apiv1.CallKey) (*gate.Answer, error) {
	answer, err := s.pool.Attach(ctx, address, key)
	if err != nil {
		return nil, err
	}
	return toGateAnswer(answer), nil
}

// Fence asks a gate to guarantee that a call was not started and never will be.
func (s sender) Fence(ctx context.Context, address string, r *apiv1.FenceRequest) (*apiv1.FenceResponse, error) {
	resp := &apiv1.FenceResponse{}
	err := peer.Unary(ctx, s.pool, address, apiv1.Method_METHOD_FENCE, r, resp)
	return resp, err
}

// Incarnation asks the node at an address for its incarnation.
func (s sender) Incarnation(ctx context.Context, address string) (uint64, error) {
	resp := &apiv1.Hello{}
	err := peer.Unary(ctx, s.pool, address, apiv1.Method_METHOD_PING, &apiv1.Hello{}, resp)
	return resp.GetIncarnation(), err
}

// toGateAnswer converts an answer received from another node. A refusal has no body; its stream is read to the end
// here, which delivers the unused part of the call's allowance.
func toGateAnswer(a *peer.Answer) *gate.Answer {
	if a.Header.GetRefusal() != nil {
		_, _ = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
		return &gate.Answer{Header: a.Header, AllowanceLeft: a.AllowanceLeft}
	}
	return &gate.Answer{Header: a.Header, Body: a.Body, AllowanceLeft: a.AllowanceLeft}
}

// leaseSender sends lease requests to the owners of rate shards.
type leaseSender struct {
	pool *peer.Pool
	// ownAddress is the peer address of this node, and local its control replica, if it has one.
	ownAddress string
	local      leaser
	// connection is the identity that connections of this node carry; requests over them omit it.
	connection rate.Identity
	// relays sends requests through other nodes while an owner does not answer.
	relays *leaseRelays
}

// leaser serves lease requests.
type leaser interface {
	Lease(ctx context.Context, r *apiv1.LeaseRequest) (*apiv1.LeaseResponse, error)
}

// Lease sends a lease request to the replica at an address.
func (s leaseSender) Lease(ctx context.Context, address string, r *apiv1.LeaseRequest) (*apiv1.LeaseResponse, error) {
	if address == s.ownAddress && s.local != nil {
		return s.local.Lease(ctx, r)
	}
	if !s.relays.failedLately(address, time.Now()) {
		resp, err := s.sendDirect(ctx, address, r)
		if err == nil || s.relays.pick == nil {
			return resp, err
		}
	}
	return s.sendViaRelay(ctx, r)
}

// sendDirect sends a request to the owner itself, which knows the identity of this node from the connection.
func (s leaseSender) sendDirect(ctx context.Context, address string, r *apiv1.LeaseRequest) (*apiv1.LeaseResponse, error) {
	if s.relays.pick != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, leaseDirectTimeout)
		defer cancel()
	}
	resp := &apiv1.LeaseResponse{}
	err := peer.Unary(ctx, s.pool, address, apiv1.Method_METHOD_LEASE, rate.OmitIdentity(r, s.connection), resp)
	s.relays.recordResult(address, time.Now(), err == nil)
	return resp, err
}

// sendViaRelay asks another node to forward the request. The counters of a lease are totals, so a request that
// reaches the owner twice does no harm.
func (s leaseSender) sendViaRelay(ctx context.Context, r *apiv1.LeaseRequest) (*apiv1.LeaseResponse, error) {
	err := errors.New("no other node is known")
	for _, address := range s.relays.candidates() {
		resp := &apiv1.LeaseResponse{}
		if err = peer.Unary(ctx, s.pool, address, apiv1.Method_METHOD_LEASE, r, resp); err == nil {
			s.relays.setLastRelay(address)
			return resp, nil
		}
		s.relays.setLastRelay("")
		if ctx.Err() != nil {
			break
		}
	}
	return nil, err
}
