package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/peer"
)

// A node that can't reach the owner of a rate shard, but can reach other nodes, asks one of them to forward its lease
// requests. A request is forwarded once at most.

// relayCandidates is the number of randomly picked nodes that are tried in turn.
const relayCandidates = 2

// pickRelays returns the addresses of some other nodes, picked at random.
func (p *Process) pickRelays() []string {
	seen := map[string]bool{p.env.settings.PeerAddress: true}
	var all []string
	for _, targets := range p.board.Registry.Load().Services {
		for _, t := range targets {
			if !seen[t.NodeAddress] {
				seen[t.NodeAddress] = true
				all = append(all, t.NodeAddress)
			}
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), relayCandidates)]
}

// errRelayed refuses to forward a request that another node has forwarded already.
var errRelayed = errors.New("the lease request was forwarded before")

// registerLeaseRelay registers the handler that forwards lease requests of nodes that can't reach the owner. It is for
// nodes without a control replica; a replica answers such requests itself.
func (p *Process) registerLeaseRelay() {
	peer.HandleUnary(p.peers, apiv1.Method_METHOD_LEASE,
		func() *apiv1.LeaseRequest { return &apiv1.LeaseRequest{} },
		func(ctx context.Context, _ peer.Identity, r *apiv1.LeaseRequest) (*apiv1.LeaseResponse, error) {
			if r.GetRelayed() {
				return nil, errRelayed
			}
			return p.forwardLease(ctx, r)
		})
}

// forwardLease forwards another node's lease request to the owner that this node knows of.
func (p *Process) forwardLease(ctx context.Context, r *apiv1.LeaseRequest) (*apiv1.LeaseResponse, error) {
	for _, owner := range p.board.Placement.Load().GetRateOwners() {
		if owner.GetShard() != r.GetShard() {
			continue
		}
		forwarded := proto.CloneOf(r)
		forwarded.Relayed = true
		forwarded.Epoch = owner.GetEpoch()
		resp := &apiv1.LeaseResponse{}
		err := peer.Unary(ctx, p.pool, owner.GetAddress(), apiv1.Method_METHOD_LEASE, forwarded, resp)
		return resp, err
	}
	return &apiv1.LeaseResponse{Sequence: r.GetSequence(), NotOwner: true}, nil
}

// leaseRelays remembers which owners did not answer this node and which node forwarded requests to them.
type leaseRelays struct {
	// pick returns addresses of nodes that may forward; it is nil when requests are not forwarded.
	pick func() []string

	mu     sync.Mutex
	failed map[string]time.Time
	// lastRelay is the address of the node that forwarded the last request.
	lastRelay string
}

const (
	// ownerRetryDelay is how long requests go through another node after the owner did not answer.
	ownerRetryDelay = 2 * time.Second
	// leaseDirectTimeout bounds the wait for an owner. It is several times the round trip between data centres.
	leaseDirectTimeout = 150 * time.Millisecond
)

// failedLately reports whether an owner did not answer recently.
func (l *leaseRelays) failedLately(address string, now time.Time) bool {
	if l.pick == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.failed[address]
	return ok && now.Sub(at) < ownerRetryDelay
}

// recordResult remembers whether an owner answered.
func (l *leaseRelays) recordResult(address string, now time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok {
		delete(l.failed, address)
		return
	}
	if l.failed == nil {
		l.failed = map[string]time.Time{}
	}
	l.failed[address] = now
}

// candidates returns the nodes to try, the one that forwarded the last request first.
func (l *leaseRelays) candidates() []string {
	l.mu.Lock()
	last := l.lastRelay
	l.mu.Unlock()
	list := l.pick()
	if last != "" {
		list = append([]string{last}, list...)
	}
	return list
}

// setLastRelay remembers the node that forwarded the last request; empty forgets it.
func (l *leaseRelays) setLastRelay(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastRelay = address
}
