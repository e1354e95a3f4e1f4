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
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/peer"
)

// Times of a client.
const (
	// attemptTimeout bounds one try at one replica, beside the time that the replica may wait.
	attemptTimeout = 1500 * time.Millisecond
	// avoidTime is how long a replica that failed goes to the end of the list.
	avoidTime = 2 * time.Second
	// failoverPause is the longest pause before the next replica is tried; the pauses are random, so
	// that the nodes of a lost replica don't come at once.
	failoverPause = 50 * time.Millisecond
	// homeInterval is how often a client looks for a replica in its own data centre again.
	homeInterval = 30 * time.Second
)

// ErrNoReplica is returned when no replica answered.
var ErrNoReplica = errors.New("no control replica answered")

// ClientOptions of a client.
type ClientOptions struct {
	DataCentre string
	// Seed makes the order of replicas repeatable in tests; 0 draws one.
	Seed uint64
}

// Client finds a live control replica, in its own data centre if it can, and stays with it
// until it fails. It is safe for concurrent use.
type Client struct {
	pool  *peer.Pool
	o     ClientOptions
	seeds []string

	mu       sync.Mutex
	rnd      *rand.Rand
	replicas []*apiv1.ReplicaInfo
	owners   []*apiv1.ShardOwner
	current  string
	avoid    map[string]time.Time
	lookHome time.Time
	// nearer is set while a replica in the own data centre is known to vouch, wentEarly once the client went there for that.
	nearer    bool
	wentEarly bool
}

// NewClient returns a client that starts from the addresses of some replicas.
func NewClient(pool *peer.Pool, seeds []string, o ClientOptions) *Client {
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	return &Client{
		pool:  pool,
		o:     o,
		seeds: seeds,
		rnd:   rand.New(rand.NewPCG(o.Seed, 0)),
		avoid: map[string]time.Time{},
	}
}

// SetSeeds replaces the addresses that the client starts from.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// Learn takes over where control duties are.
func (c *Client) Learn(placement *apiv1.Placement) {
	if placement == nil || len(placement.Replicas) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replicas = placement.Replicas
	c.owners = placement.RateOwners
}

// setNearer notes whether a replica in the own data centre vouches, as the last one that answered knows.
func (c *Client) setNearer(nearer bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nearer = nearer
}

// candidates lists the addresses to try: the current one, those of the own data centre, the rest. Each
// part is shuffled; replicas that failed lately come last.
func (c *Client) candidates(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var home, away, failed []string
	for _, replica := range c.shuffled() {
		switch {
		case now.Before(c.avoid[replica.Address]):
			failed = append(failed, replica.Address)
		case replica.DataCentre == c.o.DataCentre:
			home = append(home, replica.Address)
		default:
			away = append(away, replica.Address)
		}
	}
	if c.goesHome(now) && len(home) > 0 {
		c.lookHome = now.Add(homeInterval)
		if !slices.Contains(home, c.current) {
			c.current = home[0]
		}
	}
	list := slices.Concat(home, away, failed)
	if i := slices.Index(list, c.current); i > 0 {
		list = slices.Concat([]string{c.current}, list[:i], list[i+1:])
	}
	return list
}

// goesHome reports whether it is time to look for a replica in the own data centre: at intervals, and once as soon as one is
// known to vouch. The caller holds mu.
func (c *Client) goesHome(now time.Time) bool {
	if c.lookHome.IsZero() {
		c.lookHome = now.Add(homeInterval)
	}
	if c.nearer && !c.wentEarly {
		c.wentEarly = true
		return true
	}
	return now.After(c.lookHome)
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

// note remembers how a replica answered.
func (c *Client) note(address string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ok {
		c.current = address
		delete(c.avoid, address)
		return
	}
	c.avoid[address] = time.Now().Add(avoidTime)
	if c.current == address {
		c.current = ""
	}
}

func (c *Client) jitter() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.rnd.Int64N(int64(failoverPause)))
}

// answer is what try got.
type answer[Resp proto.Message] struct {
	response Resp
	// accepted is false when no replica's answer was accepted; response is then the last one.
	accepted bool
	// uncertain is true when an attempt without an answer may have taken effect.
	uncertain bool
}

// attempts is a request with its ways to be tried.
type attempts[Resp proto.Message] struct {
	method  apiv1.Method
	request proto.Message
	timeout time.Duration
	accept  func(Resp) bool
}

// try calls the replicas in turn until an answer is accepted. It returns an error if none answered.
func try[T any, Resp interface {
	*T
	proto.Message
}](ctx context.Context, c *Client, a attempts[Resp]) (answer[Resp], error) {
	var result answer[Resp]
	answered := false
	cause := ErrNoReplica
	for i, address := range c.candidates(time.Now()) {
		if i > 0 && !clock.Sleep(ctx, c.jitter()) {
			break
		}
		response := Resp(new(T))
		attempt, cancel := context.WithTimeout(ctx, a.timeout)
		err := peer.Unary(attempt, c.pool, address, a.method, a.request, response)
		cancel()
		if err != nil {
			result.uncertain = result.uncertain || !provesUnsent(err)
			cause = err
			if ctx.Err() != nil {
				break
			}
			c.note(address, false)
			continue
		}
		answered = true
		result.response = response
		result.accepted = a.accept(response)
		c.note(address, result.accepted)
		if result.accepted {
			return result, nil
		}
	}
	if answered {
		return result, nil
	}
	return result, errors.Wrap(cause, "control")
}

// Propose submits a change. Trying it at several replicas is safe by its change id.
func (c *Client) Propose(ctx context.Context, r *apiv1.ProposeRequest) (*apiv1.ProposeResponse, error) {
	unknown := false
	got, err := try(ctx, c, attempts[*apiv1.ProposeResponse]{
		method:  apiv1.Method_METHOD_PROPOSE,
		request: r,
		timeout: proposeTimeout + attemptTimeout,
		accept: func(p *apiv1.ProposeResponse) bool {
			unknown = unknown || p.GetOutcome().GetResult() == apiv1.ChangeResult_CHANGE_RESULT_UNKNOWN
			return decided(p)
		},
	})
	if err == nil && !got.accepted && (unknown || got.uncertain) {
		return proposeResult(apiv1.ChangeResult_CHANGE_RESULT_UNKNOWN), nil
	}
	return got.response, err
}

// decided reports whether an outcome is final.
func decided(p *apiv1.ProposeResponse) bool {
	switch p.GetOutcome().GetResult() {
	case apiv1.ChangeResult_CHANGE_RESULT_UNKNOWN,
		apiv1.ChangeResult_CHANGE_RESULT_UNAVAILABLE,
		apiv1.ChangeResult_CHANGE_RESULT_UNSPECIFIED:
		return false
	default:
		return true
	}
}

// Sync sends a heartbeat. A replica that can't vouch for its revision counts as failed.
func (c *Client) Sync(ctx context.Context, r *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
	got, err := try(ctx, c, attempts[*apiv1.SyncResponse]{
		method:  apiv1.Method_METHOD_SYNC,
		request: r,
		timeout: time.Duration(r.WaitNs) + attemptTimeout,
		accept:  func(s *apiv1.SyncResponse) bool { return s.Vouched },
	})
	if err == nil {
		unpackOwners(got.response)
		c.Learn(got.response.Placement)
		c.setNearer(got.response.GetNearer())
	}
	return got.response, err
}

// Lease asks the owner of the shard as the latest placement names it.
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

// LeaseAt asks the replica at an address.
func (c *Client) LeaseAt(ctx context.Context, address string, r *apiv1.LeaseRequest) (*apiv1.LeaseResponse, error) {
	response := &apiv1.LeaseResponse{}
	return response, peer.Unary(ctx, c.pool, address, apiv1.Method_METHOD_LEASE, r, response)
}

// Run claims or finishes a run record. Trying it at several replicas is safe: a claim belongs to
// one attempt of one call. "Unavailable" is answered only if no attempt can have taken effect.
func (c *Client) Run(ctx context.Context, r *apiv1.RunRequest) (*apiv1.RunResponse, error) {
	got, err := try(ctx, c, attempts[*apiv1.RunResponse]{
		method:  apiv1.Method_METHOD_RUN,
		request: r,
		timeout: runTimeout,
		accept: func(p *apiv1.RunResponse) bool {
			return p.GetRecord().GetState() != apiv1.RunState_RUN_STATE_UNAVAILABLE
		},
	})
	if err == nil && !got.accepted && got.uncertain {
		return nil, errors.Wrap(ErrNoReplica, "the outcome of the run record is not known")
	}
	return got.response, err
}

// Status describes control as the first replica that answers sees it.
func (c *Client) Status(ctx context.Context) (*apiv1.ControlStatus, error) {
	got, err := try(ctx, c, attempts[*apiv1.ControlStatus]{
		method:  apiv1.Method_METHOD_STATUS,
		request: &apiv1.StatusRequest{},
		timeout: attemptTimeout,
		accept:  func(*apiv1.ControlStatus) bool { return true },
	})
	return got.response, err
}
