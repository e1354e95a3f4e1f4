package node

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/blackboard"
	"github.com/guavaford/guavaford/internal/board"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/memnet"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/settings"
	"github.com/guavaford/guavaford/internal/telemetry"
)

// leave makes a target leave that the node has not heard of.
func leave(p *Process, name string) {
	p.local.RemoveReported(time.Now(), name)
}

// TestConfirmationDuringAStop guards against a confirmation that adds goroutines to a WaitGroup that is already waited for: they run on after the process
// has closed, and the WaitGroup may panic.
func TestConfirmationDuringAStop(t *testing.T) {
	var logs lockedBuffer
	p := startNode(t, "127.0.0.1", "", nil, &logs)
	require.Eventually(t, func() bool { return len(p.board.Placement.Load().GetReplicas()) > 0 }, startLimit, 10*time.Millisecond)
	// Another replica, which does not answer: calls to it are logged when they fail.
	placement := &apiv1.Placement{Revision: 1, Replicas: []*apiv1.ReplicaInfo{{Id: 1, Node: "absent", Address: freeAddress(t, "127.0.0.2")}}}
	p.board.Placement.Publish(placement)
	leave(p, "before")
	require.ErrorIs(t, p.ConfirmDepartures(t.Context()), ErrNotStored)
	require.Contains(t, logs.String(), "departures not exchanged")

	var confirming sync.WaitGroup
	for range 8 {
		confirming.Go(func() {
			for i := range 50 {
				leave(p, "during")
				_ = p.ConfirmDepartures(t.Context())
				if i%10 == 0 {
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
	p.Close()
	confirming.Wait()
	before := strings.Count(logs.String(), "departures not exchanged")
	leave(p, "after")
	began := time.Now()
	require.ErrorIs(t, p.ConfirmDepartures(t.Context()), ErrNotStored)
	require.Less(t, time.Since(began), confirmTimeout)
	require.Equal(t, before, strings.Count(logs.String(), "departures not exchanged"), "a call was started after the process had closed")
}

// TestMajorityWhileTheClusterIsFounded guards against a node that takes the first voters of a cluster for all of them: the placement names one at first,
// and a node may hold an old placement after others have joined.
func TestMajorityWhileTheClusterIsFounded(t *testing.T) {
	replicas := func(n int) []*apiv1.ReplicaInfo {
		list := []*apiv1.ReplicaInfo{{Id: 99, Learner: true}}
		for i := range n {
			list = append(list, &apiv1.ReplicaInfo{Id: uint64(i + 1)})
		}
		return list
	}
	for _, c := range []struct {
		revision               uint64
		voters, founding, want int
	}{
		{0, 1, 5, 5},
		{0, 3, 5, 5},
		{0, 6, 5, 6},
		{0, 1, 0, 1},
		// A founded cluster may have fewer voters for a while.
		{1, 4, 5, 4},
	} {
		asked, voters := votersOf(&apiv1.Placement{Revision: c.revision, Replicas: replicas(c.voters)}, c.founding)
		require.Len(t, asked, c.voters, "learners don't count")
		require.Equal(t, c.want, voters, "%+v", c)
	}
	require.False(t, majority(2, 5))
	require.True(t, majority(3, 5))
}

// maxConfirmation is how long a target waits for the answer to a call.
const maxConfirmation = time.Second

// replicaStub stores departures in place of a control replica.
type replicaStub struct {
	// storeTime is how long it takes to store a departure.
	storeTime time.Duration
	// failsUntil is the time after the start of the test until which calls fail at once.
	failsUntil time.Duration
	// listensFrom is the time after the start of the test from which it accepts connections.
	listensFrom time.Duration
}

// confirmWithReplicas has a target leave at a node whose five voters are the stubs, and returns the result, how long it took and the log.
func confirmWithReplicas(t *testing.T, stubs []replicaStub) (took time.Duration, log string, err error) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(1)
		defer network.Close()
		began := time.Now()
		placement := &apiv1.Placement{Revision: 1}
		for i, stub := range stubs {
			name := "control-" + string(rune('1'+i))
			server := peer.NewServer(peer.Identity{Node: name, Incarnation: 1}, peer.ServerOptions{})
			defer server.Close()
			peer.HandleUnary(server, apiv1.Method_METHOD_DEPARTURES, func() *apiv1.DepartureRequest { return &apiv1.DepartureRequest{} },
				func(ctx context.Context, _ peer.Identity, _ *apiv1.DepartureRequest) (*apiv1.DepartureResponse, error) {
					if time.Since(began) < stub.failsUntil {
						return nil, errors.New("no quorum")
					}
					if !clock.Sleep(ctx, stub.storeTime) {
						return nil, ctx.Err()
					}
					return &apiv1.DepartureResponse{}, nil
				})
			placement.Replicas = append(placement.Replicas, &apiv1.ReplicaInfo{Id: uint64(i + 1), Node: name, Address: name})
			listen := func() {
				if listener, err := network.Host(name).Listen(name); err == nil {
					go func() { _ = server.Serve(listener) }()
				}
			}
			if stub.listensFrom == 0 {
				listen()
			} else {
				defer time.AfterFunc(stub.listensFrom, listen).Stop()
			}
		}
		var lines lockedBuffer
		logger, logErr := telemetry.NewLogger(&lines, "info")
		require.NoError(t, logErr)
		identity := peer.Identity{Node: "sidecar-1", Incarnation: 1}
		p := &Process{
			env:   environment{Dependencies: Dependencies{Log: logger}.withDefaults(), settings: settings.Default(), identity: identity},
			pool:  peer.NewPool(identity, network.Host(identity.Node), peer.PoolOptions{}),
			board: &board.Board{Placement: blackboard.NewSection(placement)},
			local: registry.NewLocal(registry.LocalOptions{}),
		}
		p.departures = newDepartures(p)
		defer p.running.Wait()
		defer p.pool.Close()
		leave(p, "target")
		start := time.Now()
		err = p.ConfirmDepartures(t.Context())
		took, log = time.Since(start), lines.String()
	})
	return took, log, err
}

// TestRefusedDepartureStatesWhy guards against a departure whose refusal can't be traced: the log named the number of replicas that had stored it, and
// not why the others had not.
func TestRefusedDepartureStatesWhy(t *testing.T) {
	stubs := []replicaStub{{failsUntil: time.Minute}, {storeTime: time.Minute}, {storeTime: time.Minute}, {}, {}}
	took, log, err := confirmWithReplicas(t, stubs)
	require.ErrorIs(t, err, ErrNotStored)
	require.Less(t, took, maxConfirmation, "the target must get its 503 while it waits")
	require.Contains(t, log, "departures not stored")
	require.Contains(t, log, "control-1: ")
	require.Contains(t, log, "no quorum")
	require.Contains(t, log, "control-2: ")
}

// TestDepartureIsConfirmedWhileItsTargetWaits guards against targets that get 503 for their departure although a majority of the replicas stores it while they
// wait: replicas with slow disks were given up too early, and replicas that failed at first, as when connections are lost, were not called again.
func TestDepartureIsConfirmedWhileItsTargetWaits(t *testing.T) {
	const voters = 5
	for _, c := range []struct {
		name   string
		stub   replicaStub
		number int
		within time.Duration
	}{
		{"a minority that never answers", replicaStub{storeTime: time.Minute}, 2, 100 * time.Millisecond},
		{"disks that take 200 ms", replicaStub{storeTime: 200 * time.Millisecond}, 3, 300 * time.Millisecond},
		{"disks that take 700 ms", replicaStub{storeTime: 700 * time.Millisecond}, 3, 800 * time.Millisecond},
		{"all disks take 700 ms", replicaStub{storeTime: 700 * time.Millisecond}, voters, 800 * time.Millisecond},
		{"calls that fail at first", replicaStub{failsUntil: 400 * time.Millisecond}, 3, 600 * time.Millisecond},
		{"all calls fail at first", replicaStub{failsUntil: 400 * time.Millisecond}, voters, 600 * time.Millisecond},
		{"replicas that start meanwhile", replicaStub{listensFrom: 300 * time.Millisecond}, 3, maxConfirmation},
		{"all replicas start meanwhile", replicaStub{listensFrom: 300 * time.Millisecond}, voters, maxConfirmation},
	} {
		t.Run(c.name, func(t *testing.T) {
			stubs := make([]replicaStub, voters)
			for i := range c.number {
				stubs[i] = c.stub
			}
			took, log, err := confirmWithReplicas(t, stubs)
			require.NoError(t, err, log)
			require.Less(t, took, c.within)
		})
	}
}
