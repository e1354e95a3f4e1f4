package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/board"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/follow"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/telemetry"
	"github.com/guavaford/guavaford/internal/vfs"
)

const (
	// learnBound is the time within which a node must learn of a change while any minority of the replicas is lost.
	learnBound = time.Second
	// lossBegins is when the minority is lost, counted from the start of the nodes, and lossTime how long it is lost.
	lossBegins = 3 * time.Second
	lossTime   = 4 * time.Second
	// The nodes try one after another, with this time between them, to return to their own data centre. The first one
	// does so just before the loss.
	returnInterval = 120 * time.Millisecond
	lossNodes      = 12
)

// losses are the ways in which replicas are lost to the others, to the nodes, or to both.
var losses = []struct {
	name  string
	apply func(c *cluster, lost, replicas, nodes []string)
}{
	{"frozen", func(c *cluster, lost, replicas, nodes []string) {
		c.net.Partition(lost, slices.Concat(replicas, nodes))
	}},
	{"connections silent", func(c *cluster, lost, replicas, nodes []string) {
		for _, l := range lost {
			for _, other := range slices.Concat(replicas, nodes) {
				c.net.DropOpenSessions(l, other)
				c.net.DropOpenSessions(other, l)
			}
		}
	}},
	{"sends nothing", func(c *cluster, lost, replicas, nodes []string) { c.blockAll(lost, slices.Concat(replicas, nodes)) }},
	{"receives nothing", func(c *cluster, lost, replicas, nodes []string) { c.blockAll(slices.Concat(replicas, nodes), lost) }},
	{"sends nothing to replicas", func(c *cluster, lost, replicas, _ []string) { c.blockAll(lost, replicas) }},
	{"receives nothing from replicas", func(c *cluster, lost, replicas, _ []string) { c.blockAll(replicas, lost) }},
	{"sends nothing to nodes", func(c *cluster, lost, _, nodes []string) { c.blockAll(lost, nodes) }},
	{"receives nothing from nodes", func(c *cluster, lost, _, nodes []string) { c.blockAll(nodes, lost) }},
	{"disk takes 200 ms", func(c *cluster, lost, _, _ []string) { c.slowDisks(lost, 200*time.Millisecond) }},
	{"disk takes 700 ms", func(c *cluster, lost, _, _ []string) { c.slowDisks(lost, 700*time.Millisecond) }},
	{"disk hangs", func(c *cluster, lost, _, _ []string) { c.slowDisks(lost, lossTime) }},
}

// slowDisks sets how long a sync takes at some hosts.
func (c *cluster) slowDisks(names []string, syncTime time.Duration) {
	for _, name := range names {
		c.hosts[name].fs.SetFaults(vfs.Faults{SyncTime: syncTime})
	}
}

// blockAll blocks the direction from each host of one side to each of the other.
func (c *cluster) blockAll(from, to []string) {
	for _, f := range from {
		for _, t := range to {
			c.net.Block(f, t)
		}
	}
}

// Guards against nodes that hear of a change late while a minority of the replicas is lost, also when one of these holds
// the node's heartbeat, and when the node tries just then to return to its own data centre. Before, such a node heard
// of no change for 4 s and more.
func TestNodesLearnOfChangesWhileMinorityIsLost(t *testing.T) {
	// quiet is the time without changes before the loss. It differs, so that heartbeats are lost at each moment of their wait.
	quiet := time.Duration(0)
	for _, replicas := range []int{5, 7} {
		for _, loss := range losses {
			for _, which := range []string{"own data centre", "with the leader", "without the leader"} {
				quiet = (quiet + 170*time.Millisecond) % time.Second
				t.Run(fmt.Sprintf("%d/%s/%s", replicas, loss.name, which), func(t *testing.T) {
					if testing.Short() && (replicas == 7 || which == "without the leader") {
						t.Skip("one cluster size and two minorities suffice for a short run")
					}
					runWithCentres(t, replicas, 0, minorityCentre(replicas), func(c *cluster) {
						lost := c.minority(which)
						nodes := startLossNodes(c)
						time.AfterFunc(lossBegins-time.Since(nodes.began), func() {
							loss.apply(c, lost, c.others(lost...), nodes.names)
						})
						time.AfterFunc(lossBegins+lossTime-time.Since(nodes.began), func() {
							c.net.Heal()
							c.slowDisks(lost, 0)
						})
						nodes.changeUntil(c, c.other(lost...), lossBegins-quiet)
						time.Sleep(time.Until(nodes.began.Add(lossBegins)))
						nodes.changeUntil(c, c.other(lost...), lossBegins+lossTime+2*time.Second)
						nodes.stopAndCheck(t)
					})
				})
			}
		}
	}
}

// minorityCentre returns the data centres of n replicas, of which dc-0 has as many as may be lost.
func minorityCentre(n int) func(name string) string {
	return func(name string) string {
		var number int
		_, _ = fmt.Sscanf(name, "host-%d", &number)
		return fmt.Sprintf("dc-%d", (number-1)/(n/2))
	}
}

// minority returns as many replicas as may be lost.
func (c *cluster) minority(which string) []string {
	n := len(c.names) / 2
	switch which {
	case "own data centre":
		return slices.Clone(c.names[:n])
	case "with the leader":
		return slices.Concat([]string{c.leader()}, c.others(c.leader())[:n-1])
	default:
		return c.others(c.leader())[1 : n+1]
	}
}

// lossFleet is a set of nodes that follow the configuration, as processes do.
type lossFleet struct {
	began    time.Time
	names    []string
	accepted map[uint64]time.Time
	mu       sync.Mutex
	arrivals []map[uint64]time.Time
	cancel   context.CancelFunc
	group    sync.WaitGroup
}

// startLossNodes starts nodes in all data centres. Each tries at another moment to return to its own data centre; every
// second one is connected to a replica elsewhere until then.
func startLossNodes(c *cluster) *lossFleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &lossFleet{began: time.Now(), accepted: map[uint64]time.Time{}, cancel: cancel}
	for i := range lossNodes {
		f.names = append(f.names, fmt.Sprintf("node-%d", i))
		f.arrivals = append(f.arrivals, map[uint64]time.Time{})
	}
	for i := range lossNodes {
		f.startNode(ctx, c, i)
	}
	return f
}

func (f *lossFleet) startNode(ctx context.Context, c *cluster, i int) {
	id := peer.Identity{Node: f.names[i], Incarnation: 1}
	pool := peer.NewPool(id, c.net.Host(id.Node), peer.PoolOptions{Seed: uint64(i + 1)})
	dataCentre := fmt.Sprintf("dc-%d", i%3)
	directory := registry.NewDirectory()
	b, err := board.New(directory.Section())
	require.NoError(c.t, err)
	client := NewClient(pool, c.names, ClientOptions{DataCentre: dataCentre, Seed: uint64(i + 1)})
	client.nextLocalCheck = f.began.Add(lossBegins + time.Duration(i-2)*returnInterval)
	client.localTried = i%2 == 1
	loop, err := follow.New(follow.Options{
		Identity: id, Address: id.Node, DataCentre: dataCentre, Board: b, Directory: directory, FS: vfs.NewMem(),
		Syncer: client,
		Local:  registry.NewLocal(registry.LocalOptions{Node: id.Node}), Clock: clock.System{}, Log: telemetry.Discard(),
	})
	require.NoError(c.t, err)
	f.group.Go(func() {
		defer pool.Close()
		loop.Run(ctx)
	})
	f.group.Go(func() {
		for {
			configuration, changed := b.Configuration.Watch()
			f.mu.Lock()
			f.arrivals[i][configuration.Revision] = time.Now()
			f.mu.Unlock()
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	})
}

// changeUntil makes a change each 50 ms or so, and notes when it was confirmed.
func (f *lossFleet) changeUntil(c *cluster, at string, end time.Duration) {
	for i := 0; time.Since(f.began) < end; i++ {
		resource, problems := config.NewResource(config.KindRate, fmt.Sprintf("rate-%d-%d", end.Milliseconds(), i), nil, &config.RateSpec{Unlimited: true, Optional: true})
		require.Empty(c.t, problems)
		outcome := c.propose(at, &apiv1.Change{Id: resource.Name, AnyRevision: true, Upserts: []*apiv1.Resource{resource}})
		if outcome.Result == apiv1.ChangeResult_CHANGE_RESULT_ACCEPTED {
			f.accepted[outcome.Revision] = time.Now()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// stopAndCheck checks that each node learned of each change in time.
func (f *lossFleet) stopAndCheck(t *testing.T) {
	time.Sleep(5 * learnBound)
	f.cancel()
	f.group.Wait()
	var longest time.Duration
	var at string
	for revision, accepted := range f.accepted {
		for i, arrivals := range f.arrivals {
			learned := 2*learnBound + time.Hour
			for r, arrived := range arrivals {
				if r >= revision {
					learned = min(learned, arrived.Sub(accepted))
				}
			}
			if learned > longest {
				longest, at = learned, fmt.Sprintf("revision %d, confirmed %v after the start, at %s", revision, accepted.Sub(f.began), f.names[i])
			}
		}
	}
	t.Logf("%d changes, learned of by all nodes within %v (%s)", len(f.accepted), longest, at)
	require.Greater(t, len(f.accepted), 50)
	require.LessOrEqual(t, longest, learnBound, at)
}

// Guards against requests that wait for a silent replica until their own time is over: changes, run records and the status
// must reach another replica, over connections that are open and over new ones, and the silent one must be tried last
// afterwards.
func TestRequestsReachAnotherReplicaWhileSomeAreSilent(t *testing.T) {
	const bound = 2 * time.Second
	requests := map[string]func(ctx context.Context, client *Client) error{
		"change": func(ctx context.Context, client *Client) error {
			response, err := client.Propose(ctx, &apiv1.ProposeRequest{Change: change("late")})
			if err == nil && response.Outcome.Result != apiv1.ChangeResult_CHANGE_RESULT_ACCEPTED {
				return fmt.Errorf("result %v", response.Outcome.Result)
			}
			return err
		},
		"run record": func(ctx context.Context, client *Client) error {
			claim := &apiv1.RunClaim{Organisation: "o", Key: "k", Node: "node", Incarnation: 1, Number: 1}
			response, err := client.UpdateRunRecord(ctx, &apiv1.RunRequest{Claim: claim})
			if err == nil && response.GetRecord().GetState() == apiv1.RunState_RUN_STATE_UNAVAILABLE {
				return ErrNoReplica
			}
			return err
		},
		"status": func(ctx context.Context, client *Client) error {
			_, err := client.Status(ctx)
			return err
		},
	}
	for name, send := range requests {
		for _, connected := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/connected %t", name, connected), func(t *testing.T) {
				runWithCluster(t, 5, func(c *cluster) {
					pool := peer.NewPool(peer.Identity{Node: "node", Incarnation: 1}, c.net.Host("node"), peer.PoolOptions{Seed: 1})
					defer pool.Close()
					client := NewClient(pool, c.names, ClientOptions{Seed: 1})
					lost := c.others(c.leader())[:2]
					if connected {
						for _, address := range lost {
							require.NoError(t, peer.Unary(context.Background(), pool, address, apiv1.Method_METHOD_STATUS, &apiv1.StatusRequest{}, &apiv1.ControlStatus{}))
						}
					}
					c.net.Partition(lost, append(c.others(lost...), "node"))
					client.recordAttempt(lost[0], true)
					ctx, cancel := context.WithTimeout(context.Background(), bound)
					defer cancel()
					require.NoError(t, send(ctx, client))
					require.NotEqual(t, lost[0], client.candidates(time.Now())[0], "the silent replica is not tried first again")
				})
			})
		}
	}
}

// Guards against a replica that is tried first with each heartbeat although it is silent, since the caller gives up before
// the attempt has failed.
func TestSilentReplicaIsRecordedWhenTheCallerGivesUp(t *testing.T) {
	runWithCluster(t, 5, func(c *cluster) {
		pool := peer.NewPool(peer.Identity{Node: "node", Incarnation: 1}, c.net.Host("node"), peer.PoolOptions{Seed: 1})
		defer pool.Close()
		client := NewClient(pool, c.names, ClientOptions{Seed: 1})
		lost := c.others(c.leader())[:1]
		c.net.Partition(lost, append(c.others(lost...), "node"))
		client.recordAttempt(lost[0], true)
		ctx, cancel := context.WithTimeout(context.Background(), 2*syncHedgeDelay)
		defer cancel()
		c.net.Partition([]string{"node"}, c.names)
		_, err := client.Status(ctx)
		require.Error(t, err)
		require.NotEqual(t, lost[0], client.candidates(time.Now())[0])
	})
}

// TestFirstHeartbeatWaitsForReplicasWithoutQuorum guards against nodes of a fleet that starts which fetch everything from distant
// replicas, since those in their own data centre wait for a quorum for longer than the next replica is held back.
func TestFirstHeartbeatWaitsForReplicasWithoutQuorum(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	first := replicaCall[*apiv1.SyncResponse]{clientCall: syncCall(&apiv1.SyncRequest{})}
	require.Greater(t, first.delay(ctx), confirmTimeout)
	inTouch := replicaCall[*apiv1.SyncResponse]{clientCall: syncCall(&apiv1.SyncRequest{PlacementVersion: 1})}
	require.Equal(t, syncHedgeDelay, inTouch.delay(ctx))
}
