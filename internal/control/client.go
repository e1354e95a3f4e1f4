package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/peer"
)

// Timeouts and intervals of a client.
const (
	// attemptTimeout bounds one attempt at one replica, in addition to the time that the replica may
	// hold the request.
	attemptTimeout = 1500 * time.Millisecond
	// avoidPeriod is how long a replica that failed is tried last.
	avoidPeriod = 2 * time.Second
	// maxRetryDelay is the longest delay before the next replica is tried. The delays are random, so
	// that the nodes of a failed replica don't move to another one all at once.
	maxRetryDelay = 50 * time.Millisecond
	// localRetryInterval is how often a client tries to return to a replica in its own data centre.
	localRetryInterval = 30 * time.Second
	// maxReturnTime is how long a client goes on trying one replica in its own data centre first while its calls are
	// cancelled before the replica has answered.
	maxReturnTime = 500 * time.Millisecond
)

// ErrNoReplica is returned when no replica answered.
var ErrNoReplica = errors.New("no control replica answered")

// ClientOptions configures a Client.
type ClientOptions struct {
	DataCentre string
	// Seed makes the order of replicas repeatable in tests; 0 picks a random one.
	Seed uint64
}

// Client calls the control replicas. It prefers a live replica in its own data centre and stays
// with it until it fails. It is safe for concurrent use.
type Client struct {
	pool  *peer.Pool
	o     ClientOptions
	seeds []string

	mu       sync.Mutex
	rnd      *rand.Rand
	replicas []*apiv1.ReplicaInfo
	owners   []*apiv1.ShardOwner
	// current is the replica that answered last; empty after it has failed.
	current string
	// returning is the replica in the own data centre that is tried before current, until it has answered or failed,
	// or returnUntil is over.
	returning      string
	returnUntil    time.Time
	avoidUntil     map[string]time.Time
	nextLocalCheck time.Time
	// localAvailable is set while a replica in the own data centre is known to have its state
	// confirmed by a quorum. localTried is set once the client has switched to that data centre
	// for this reason, ahead of the interval.
	localAvailable bool
	localTried     bool
}

// NewClient returns a client. seeds are the addresses of some replicas, which it contacts first.
func NewClient(pool *peer.Pool, seeds []string, o ClientOptions) *Client {
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	return &Client{
		pool:       pool,
		o:          o,
		seeds:      seeds,
		rnd:        rand.New(rand.NewPCG(o.Seed, 0)),
		avoidUntil: map[string]time.Time{},
	}
}

// SetSeeds replaces the addresses of the replicas that the client contacts first.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// UpdatePlacement updates the known replicas and owners of rate shards from a placement.
func (c *Client) UpdatePlacement(placement *apiv1.Placement) {
	if placement == nil || len(placement.Replicas) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replicas = placement.Replicas
	c.owners = placement.RateOwners
}

// setLocalAvailable records whether a replica in the own data centre has its state confirmed by a
// quorum, according to the replica that answered last.
func (c *Client) setLocalAvailable(available bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.localAvailable = available
}

// candidates lists the addresses to try: a replica to return to, if it is time, the current one, those in the
// own data centre, the others, and last the replicas that failed recently. Each part is in random order.
func (c *Client) candidates(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var local, remote, failed []string
	for _, replica := range c.shuffled() {
		switch {
		case now.Before(c.avoidUntil[replica.Address]):
			failed = append(failed, replica.Address)
		case replica.DataCentre == c.o.DataCentre:
			local = append(local, replica.Address)
		default:
			remote = append(remote, replica.Address)
		}
	}
	if c.shouldTryLocal(now) && len(local) > 0 {
		c.nextLocalCheck = now.Add(localRetryInterval)
		if !slices.Contains(local, c.current) {
			c.returning, c.returnUntil = local[0], now.Add(maxReturnTime)
		}
	}
	if now.After(c.returnUntil) {
		c.returning = ""
	}
	list := moveToFront(slices.Concat(local, remote, failed), c.current)
	return moveToFront(list, c.returning)
}

// moveToFront moves an address to the front of a list that contains it.
func moveToFront(list []string, address string) []string {
	i := slices.Index(list, address)
	if i <= 0 {
		return list
	}
	return slices.Concat([]string{address}, list[:i], list[i+1:])
}

// answeredLast reports whether a replica is the one that answered last.
func (c *Client) answeredLast(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return address == c.current
}

// shouldTryLocal reports whether it is time to switch to a replica in the own data centre: at
// intervals, and once as soon as one is known to have its state confirmed by a quorum. The caller
// holds mu.
func (c *Client) shouldTryLocal(now time.Time) bool {
	if c.nextLocalCheck.IsZero() {
		c.nextLocalCheck = now.Add(localRetryInterval)
	}
	if c.localAvailable && !c.localTried {
		c.localTried = true
		return true
	}
	return now.After(c.nextLocalCheck)
}

// shuffled returns all known replicas in random order. The caller holds mu.
func (c *Client) shuffled() []*apiv1.ReplicaInfo {
	list := slices.Clone(c.replicas)
	for _, seed := range c.seeds {
		if !slices.ContainsFunc(list, func(r *apiv1.ReplicaInfo) bool { return r.Address == seed }) {
			list = append(list, &apiv1.ReplicaInfo{Address: seed})
		}
	}
	c.rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// recordAttempt records whether an attempt at a replica succeeded.
func (c *Client) recordAttempt(address string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.returning == address {
		c.returning = ""
	}
	if ok {
		c.current = address
		delete(c.avoidUntil, address)
		return
	}
	c.avoidUntil[address] = time.Now().Add(avoidPeriod)
	if c.current == address {
		c.current = ""
	}
}

func (c *Client) retryDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.rnd.Int64N(int64(maxRetryDelay)))
}

// Propose submits a change. Trying several replicas is safe because the change id makes the request
// idempotent.
func (c *Client) Propose(ctx context.Context, r *apiv1.ProposeRequest) (*apiv1.ProposeResponse, error) {
	unknown := false
	result, err := callReplicas(ctx, c, clientCall[*apiv1.ProposeResponse]{
		method:     apiv1.Method_METHOD_PROPOSE,
		request:    r,
		timeout:    proposeTimeout + attemptTimeout,
		hedgeDelay: requestHedgeDelay,
		accept: func(p *apiv1.ProposeResponse) bool {
			unknown = unknown || p.GetOutcome().GetResult() == apiv1.ChangeResult_CHANGE_RESULT_UNKNOWN
			return isFinal(p)
		},
	})
	if err == nil && !result.accepted && (unknown || result.uncertain) {
		return proposeResult(apiv1.ChangeResult_CHANGE_RESULT_UNKNOWN), nil
	}
	return result.response, err
}

// isFinal reports whether the outcome of a change is final.
func isFinal(p *apiv1.ProposeResponse) bool {
	switch p.GetOutcome().GetResult() {
	case apiv1.ChangeResult_CHANGE_RESULT_UNKNOWN,
		apiv1.ChangeResult_CHANGE_RESULT_UNAVAILABLE,
		apiv1.ChangeResult_CHANGE_RESULT_UNSPECIFIED:
		return false
	default:
		return true
	}
}

// Sync sends a heartbeat. A replica whose revision no quorum confirms counts as failed, unless it has changes that the
// node lacks; its response then has an error beside them. Only the replica that answered
// last may hold its response back; from another one, the client wants to know first that it answers.
func (c *Client) Sync(ctx context.Context, r *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
	result, err := callReplicas(ctx, c, syncCall(r))
	if err == nil {
		unpackOwners(result.response)
		c.UpdatePlacement(result.response.Placement)
		c.setLocalAvailable(result.response.GetNearer())
	}
	return result.response, err
}

// syncCall returns how a heartbeat is sent to the replicas.
func syncCall(r *apiv1.SyncRequest) clientCall[*apiv1.SyncResponse] {
	call := clientCall[*apiv1.SyncResponse]{
		method:     apiv1.Method_METHOD_SYNC,
		request:    r,
		timeout:    time.Duration(r.WaitNs) + attemptTimeout,
		hedgeDelay: syncHedgeDelay,
		accept:     func(s *apiv1.SyncResponse) bool { return s.Vouched || hasNewConfiguration(r, s) },
	}
	if r.WaitNs > 0 {
		prompt := proto.CloneOf(r)
		prompt.WaitNs = 0
		call.request, call.held, call.holdTime = prompt, r, time.Duration(r.WaitNs)
	}
	if r.PlacementVersion == 0 {
		// The deadline of a heartbeat would halve the delay, and nodes would fetch all that changes from distant replicas meanwhile.
		call.hedgeDelay, call.leastDelay = firstSyncHedgeDelay, firstSyncHedgeDelay
	}
	return call
}

// hasNewConfiguration reports whether a response brings a node that is in touch changes of its configuration.
func hasNewConfiguration(r *apiv1.SyncRequest, s *apiv1.SyncResponse) bool {
	return r.Revision != 0 && r.PlacementVersion != 0 && (len(s.Deltas) > 0 || s.Snapshot != nil)
}

// Lease requests tokens from the owner of the shard according to the latest placement.
func (c *Client) Lease(ctx context.Context, r *apiv1.LeaseRequest) (*apiv1.LeaseResponse, error) {
	address := c.ownerOf(r.Shard)
	if address == "" {
		return &apiv1.LeaseResponse{Sequence: r.Sequence, NotOwner: true}, nil
	}
	return c.LeaseAt(ctx, address, r)
}

func (c *Client) ownerOf(shard uint32) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if int(shard) >= len(c.owners) {
		return ""
	}
	return c.owners[shard].Address
}

// LeaseAt requests tokens from the replica at an address.
func (c *Client) LeaseAt(ctx context.Context, address string, r *apiv1.LeaseRequest) (*apiv1.LeaseResponse, error) {
	response := &apiv1.LeaseResponse{}
	return response, peer.Unary(ctx, c.pool, address, apiv1.Method_METHOD_LEASE, r, response)
}

// UpdateRunRecord claims or finishes a run record. Trying several replicas is safe: a claim belongs to one
// attempt of one call. It returns RUN_STATE_UNAVAILABLE only if no attempt can have taken effect.
func (c *Client) UpdateRunRecord(ctx context.Context, r *apiv1.RunRequest) (*apiv1.RunResponse, error) {
	result, err := callReplicas(ctx, c, clientCall[*apiv1.RunResponse]{
		method:     apiv1.Method_METHOD_RUN,
		request:    r,
		timeout:    runTimeout,
		hedgeDelay: requestHedgeDelay,
		accept: func(p *apiv1.RunResponse) bool {
			return p.GetRecord().GetState() != apiv1.RunState_RUN_STATE_UNAVAILABLE
		},
	})
	if err == nil && !result.accepted && result.uncertain {
		return nil, errors.Wrap(ErrNoReplica, "outcome of the run record is unknown")
	}
	return result.response, err
}

// Status describes the control plane as the first replica that answers sees it.
func (c *Client) Status(ctx context.Context) (*apiv1.ControlStatus, error) {
	result, err := callReplicas(ctx, c, clientCall[*apiv1.ControlStatus]{
		method:     apiv1.Method_METHOD_STATUS,
		request:    &apiv1.StatusRequest{},
		timeout:    attemptTimeout,
		hedgeDelay: requestHedgeDelay,
		accept:     func(*apiv1.ControlStatus) bool { return true },
	})
	return result.response, err
}
