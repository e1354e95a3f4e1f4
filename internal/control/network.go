package control

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/rate"
)

// Limits for the messages to one replica.
const (
	sendersPerReplica = 2
	maxQueuedBytes    = 32 << 20
	maxBatchBytes     = 4 << 20
	batchTimeout      = 500 * time.Millisecond
)

// senders sends the messages of the groups to other replicas. A message that can't be delivered in
// time is dropped; Raft sends again what is still needed.
type senders struct {
	r   *Replica
	ctx atomic.Pointer[context.Context]

	mu     sync.Mutex
	queues map[string]*sendQueue

	batches  atomic.Uint64
	messages atomic.Uint64
	bytes    atomic.Uint64
	dropped  atomic.Uint64
}

// sendQueue holds the messages to one address.
type sendQueue struct {
	address string

	mu       sync.Mutex
	messages []*apiv1.RaftMessage
	bytes    int
	wake     chan struct{}
}

func newSenders(r *Replica) *senders {
	return &senders{r: r, queues: map[string]*sendQueue{}}
}

// push queues messages and never blocks.
func (s *senders) push(address string, messages []*apiv1.RaftMessage) {
	q := s.queue(address)
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, m := range messages {
		size := proto.Size(m)
		if q.bytes+size > maxQueuedBytes {
			s.dropped.Add(1)
			continue
		}
		q.messages = append(q.messages, m)
		q.bytes += size
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (s *senders) queue(address string) *sendQueue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queues[address]
	if q != nil {
		return q
	}
	q = &sendQueue{address: address, wake: make(chan struct{}, sendersPerReplica)}
	s.queues[address] = q
	ctx := *s.ctx.Load()
	for range sendersPerReplica {
		s.r.startWorker(func() { s.run(ctx, q) })
	}
	return q
}

func (s *senders) run(ctx context.Context, q *sendQueue) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		}
		for messages := q.takeBatch(); len(messages) > 0; messages = q.takeBatch() {
			s.send(ctx, q.address, messages)
		}
	}
}

// takeBatch removes the next messages from the queue, up to the size of a batch.
func (q *sendQueue) takeBatch() []*apiv1.RaftMessage {
	q.mu.Lock()
	defer q.mu.Unlock()
	n, size := 0, 0
	for n < len(q.messages) && (n == 0 || size < maxBatchBytes) {
		size += proto.Size(q.messages[n])
		n++
	}
	taken := q.messages[:n:n]
	q.messages = q.messages[n:]
	q.bytes -= size
	return taken
}

func (s *senders) send(ctx context.Context, address string, messages []*apiv1.RaftMessage) {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	identity := s.r.view.Load().identity
	batch := &apiv1.RaftBatch{
		Cluster:  identity.Cluster,
		From:     identity.Replica,
		To:       messages[0].To,
		Address:  s.r.o.Address,
		Messages: messages,
	}
	compactBatch(batch)
	s.batches.Add(1)
	s.messages.Add(uint64(len(messages)))
	s.bytes.Add(uint64(proto.Size(batch)))
	reply := &apiv1.RaftBatchReply{}
	if err := peer.Unary(ctx, s.r.o.Pool, address, apiv1.Method_METHOD_RAFT, batch, reply); err != nil {
		s.dropped.Add(uint64(len(messages)))
		return
	}
	if reply.Removed {
		s.r.post(func(time.Time) { s.r.fail(ErrRemoved) })
	}
}

// compactBatch clears the sender and receiver of messages that have those of the batch.
func compactBatch(b *apiv1.RaftBatch) {
	for _, m := range b.Messages {
		if m.From == b.From {
			m.From = 0
		}
		if m.To == b.To {
			m.To = 0
		}
	}
}

// expandBatch is the inverse of compactBatch.
func expandBatch(b *apiv1.RaftBatch) {
	for _, m := range b.Messages {
		if m.From == 0 {
			m.From = b.From
		}
		if m.To == 0 {
			m.To = b.To
		}
	}
}

// register sets the handlers of all methods that replicas and nodes call.
func (r *Replica) register() {
	s := r.o.Server
	if s == nil {
		return
	}
	peer.HandleUnary(s, apiv1.Method_METHOD_RAFT, newOf[apiv1.RaftBatch], r.handleRaft)
	peer.HandleUnary(s, apiv1.Method_METHOD_RELAY, newOf[apiv1.RelayMessage],
		func(_ context.Context, _ peer.Identity, m *apiv1.RelayMessage) (*apiv1.RelayMessage, error) {
			now := r.o.Clock.Now()
			reply := r.relay.Merge(now, m)
			reply.Vouches = r.recentlyConfirmed(now)
			return reply, nil
		})
	peer.HandleUnary(s, apiv1.Method_METHOD_CONTROL, newOf[apiv1.ControlRequest],
		func(ctx context.Context, _ peer.Identity, m *apiv1.ControlRequest) (*apiv1.ControlReply, error) {
			return r.HandleMembership(ctx, m)
		})
	peer.HandleUnary(s, apiv1.Method_METHOD_PROPOSE, newOf[apiv1.ProposeRequest],
		func(ctx context.Context, _ peer.Identity, m *apiv1.ProposeRequest) (*apiv1.ProposeResponse, error) {
			return r.Propose(ctx, m)
		})
	peer.HandleUnary(s, apiv1.Method_METHOD_DEPARTURES, newOf[apiv1.DepartureRequest],
		func(ctx context.Context, _ peer.Identity, m *apiv1.DepartureRequest) (*apiv1.DepartureResponse, error) {
			return r.Departures(ctx, m)
		})
	peer.HandleUnary(s, apiv1.Method_METHOD_SYNC, newOf[apiv1.SyncRequest],
		func(ctx context.Context, _ peer.Identity, m *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
			resp, err := r.Sync(ctx, m)
			return packOwners(resp), err
		})
	peer.HandleUnary(s, apiv1.Method_METHOD_LEASE, newOf[apiv1.LeaseRequest],
		func(ctx context.Context, from peer.Identity, m *apiv1.LeaseRequest) (*apiv1.LeaseResponse, error) {
			rate.FillIdentity(m, rate.Identity{Node: from.Node, Incarnation: from.Incarnation})
			return r.Lease(ctx, m)
		})
	peer.HandleUnary(s, apiv1.Method_METHOD_RUN, newOf[apiv1.RunRequest],
		func(ctx context.Context, _ peer.Identity, m *apiv1.RunRequest) (*apiv1.RunResponse, error) {
			return r.UpdateRunRecord(ctx, m)
		})
	peer.HandleUnary(s, apiv1.Method_METHOD_STATUS, newOf[apiv1.StatusRequest],
		func(ctx context.Context, _ peer.Identity, _ *apiv1.StatusRequest) (*apiv1.ControlStatus, error) {
			return r.Status(ctx)
		})
}

func newOf[T any]() *T {
	return new(T)
}

// handleRaft processes the messages of another replica.
func (r *Replica) handleRaft(_ context.Context, from peer.Identity, b *apiv1.RaftBatch) (*apiv1.RaftBatchReply, error) {
	v := r.view.Load()
	if v.identity.Cluster == 0 || b.Cluster != v.identity.Cluster {
		return nil, errors.Errorf("replica %x belongs to cluster %x, this one to %x", b.From, b.Cluster, v.identity.Cluster)
	}
	if slices.Contains(v.removed, b.From) {
		return &apiv1.RaftBatchReply{Removed: true}, nil
	}
	if v.knownNonMember(b.From) {
		return &apiv1.RaftBatchReply{}, nil
	}
	expandBatch(b)
	posted := r.post(func(now time.Time) {
		r.known[b.From] = knownReplica{address: b.Address, incarnation: from.Incarnation}
		for _, m := range b.Messages {
			// A host that lost its disk comes back as another replica at the same address. Messages to the
			// former one must not reach it.
			if m.From == b.From && m.To == v.identity.Replica {
				r.engine.step(now, m)
			}
		}
	})
	if !posted {
		return nil, ErrStopped
	}
	return &apiv1.RaftBatchReply{}, nil
}

// isFormerMember reports whether a replica is known not to be a member, so that it has to ask for
// admission. Only a settled leader of group 0 can tell.
func (v *view) knownNonMember(id uint64) bool {
	if len(v.groups) == 0 || !v.groups[0].settled {
		return false
	}
	for _, member := range v.members {
		if member.Id == id {
			return false
		}
	}
	return true
}
