package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/memnet"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/vfs"
)

// cluster runs complete replicas over an in-memory network in virtual time.
type cluster struct {
	t   *testing.T
	net *memnet.Network
	// origin is the time at which the drifting clocks of the hosts agree.
	origin          time.Time
	names           []string
	hosts           map[string]*testHost
	nextIncarnation uint64
	// voters is the fixed number of voters; 0 lets every replica vote.
	voters int
	// centres maps hosts to data centres; nil gives each host its own.
	centres func(name string) string
}

func (c *cluster) dataCentre(name string) string {
	if c.centres == nil {
		return "dc-" + name
	}
	return c.centres(name)
}

// testHost is one host: its disk outlives its processes.
type testHost struct {
	name    string
	drift   int64 // parts per million
	fs      *vfs.Mem
	replica *Replica
	pool    *peer.Pool
	cancel  context.CancelFunc
	stopped chan error
	// seeds are the addresses at which this host joins the running cluster; nil for an initial one.
	seeds []string
}

// runWithCluster runs a test with a new cluster of n replicas.
func runWithCluster(t *testing.T, n int, fn func(c *cluster)) {
	runWithVoters(t, n, 0, fn)
}

// runWithVoters is runWithCluster with a fixed number of voters.
func runWithVoters(t *testing.T, n, voters int, fn func(c *cluster)) {
	runWithCentres(t, n, voters, nil, fn)
}

// runWithCentres is runWithVoters with the data centre of each host.
func runWithCentres(t *testing.T, n, voters int, centres func(name string) string, fn func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, net: memnet.New(1), hosts: map[string]*testHost{}, origin: time.Now(), voters: voters, centres: centres}
		c.net.SetLatency(func(string, string) memnet.Latency {
			return memnet.Latency{Delay: time.Millisecond, Jitter: time.Millisecond}
		})
		for i := range n {
			name := fmt.Sprintf("host-%d", i+1)
			c.names = append(c.names, name)
			c.hosts[name] = &testHost{name: name, drift: int64(i-1) * 900, fs: vfs.NewMem()}
		}
		defer c.close()
		for _, name := range c.names {
			c.start(name)
		}
		c.eventually(10*time.Second, func() bool { return c.settled(n) })
		fn(c)
	})
}

// add starts a host that joins the running cluster with all known hosts as its seeds.
func (c *cluster) add() string {
	return c.addAt(slices.Clone(c.names))
}

// addAt starts a host that joins the running cluster with the given hosts as its seeds.
func (c *cluster) addAt(seeds []string) string {
	name := fmt.Sprintf("host-%d", len(c.names)+1)
	c.hosts[name] = &testHost{name: name, fs: vfs.NewMem(), seeds: seeds}
	c.start(name)
	c.names = append(c.names, name)
	return name
}

// close stops all hosts and the network, also after a failed check.
func (c *cluster) close() {
	for _, name := range c.names {
		c.stop(name)
	}
	c.net.Close()
}

// start starts a new process on a host.
func (c *cluster) start(name string) {
	h := c.hosts[name]
	c.nextIncarnation++
	id := peer.Identity{Node: name, Incarnation: c.nextIncarnation}
	transport := c.net.Host(name)
	h.pool = peer.NewPool(id, transport, peer.PoolOptions{Seed: c.nextIncarnation})
	server := peer.NewServer(id, peer.ServerOptions{})
	initial := c.names
	if h.seeds != nil {
		initial = nil
	}
	replica, err := Open(Options{
		DataFolder:      "data",
		FS:              h.fs,
		Identity:        id,
		Address:         name,
		DataCentre:      c.dataCentre(name),
		InitialReplicas: initial,
		Seeds:           h.seeds,
		Voters:          c.voters,
		Pool:            h.pool,
		Server:          server,
		Check:           func([]*apiv1.Resource) []string { return nil },
		RateShards:      4,
		RunShards:       3,
		Seed:            c.nextIncarnation,
		Clock:           clock.Drifting{Origin: c.origin, PPM: h.drift},
	})
	require.NoError(c.t, err)
	// Small thresholds, so that snapshots, their transfer and log rewrites occur.
	replica.engine.thresholds = compactionThresholds{rewriteBytes: 64 << 10, snapshotBytes: 1 << 20, snapshotEntries: 100, keepEntries: 20, keepBytes: 1 << 20}
	replica.engine.rewriteAt = replica.engine.thresholds.rewriteBytes
	listener, err := transport.Listen(name)
	require.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	h.replica, h.cancel, h.stopped = replica, cancel, make(chan error, 1)
	go func() { _ = server.Serve(listener) }()
	go func() {
		err := replica.Serve(ctx)
		server.Close()
		h.pool.Close()
		h.stopped <- err
	}()
}

// stop stops the process on a host in an orderly way.
func (c *cluster) stop(name string) {
	h := c.hosts[name]
	if h.cancel == nil {
		return
	}
	h.cancel()
	<-h.stopped
	h.cancel = nil
}

// crash ends the process on a host; what was not synced is lost.
func (c *cluster) crash(name string) {
	h := c.hosts[name]
	h.fs.Crash()
	c.net.Crash(name)
	c.stop(name)
	h.fs.Restart(rand.New(rand.NewPCG(c.nextIncarnation, 7)))
}

// eventually waits until a condition is met, fails the test if that takes longer than the limit, and
// returns the time it took.
func (c *cluster) eventually(limit time.Duration, condition func() bool) time.Duration {
	c.t.Helper()
	started := time.Now()
	if !c.within(limit, condition) {
		c.t.Fatalf("condition not met within %v", limit)
	}
	return time.Since(started)
}

// within waits until a condition is met, and reports whether it was met in time.
func (c *cluster) within(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// settled reports whether all groups have a leader and n voters according to every running replica,
// and a quorum confirms the state of each.
func (c *cluster) settled(n int) bool {
	for _, h := range c.hosts {
		if h.cancel == nil {
			continue
		}
		status, err := h.replica.Status(context.Background())
		if err != nil || !status.Vouched {
			return false
		}
		for _, g := range status.Groups {
			voters := 0
			for _, r := range g.Replicas {
				if !r.Replica.Learner {
					voters++
				}
			}
			if g.Leader == 0 || voters != n {
				return false
			}
		}
	}
	return true
}

// leader returns the host that leads group 0.
func (c *cluster) leader() string {
	for name, h := range c.hosts {
		if h.cancel != nil && h.replica.view.Load().leads(0) {
			return name
		}
	}
	return ""
}

// other returns a running host other than the given ones.
func (c *cluster) other(not ...string) string {
	for _, name := range c.names {
		taken := false
		for _, n := range not {
			taken = taken || n == name
		}
		if !taken && c.hosts[name].cancel != nil {
			return name
		}
	}
	return ""
}

func (c *cluster) propose(name string, change *apiv1.Change) *apiv1.ChangeOutcome {
	response, err := c.hosts[name].replica.Propose(context.Background(), &apiv1.ProposeRequest{Change: change})
	require.NoError(c.t, err)
	return response.Outcome
}

// change returns a change that sets one organisation, whatever the revision.
func change(id string) *apiv1.Change {
	return &apiv1.Change{
		Id:          id,
		AnyRevision: true,
		Upserts:     []*apiv1.Resource{{Kind: organisationKind, Name: "org-" + id}},
	}
}

const organisationKind = "Organisation"
