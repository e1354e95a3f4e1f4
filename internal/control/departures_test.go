package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/memnet"
	"github.com/guavaford/guavaford/internal/vfs"
)

// departureNode is the node whose targets leave in these tests.
const departureNode = "sidecar-1"

// departureOf returns the departure of a run of a target.
func departureOf(target string) *apiv1.TargetRecord {
	return &apiv1.TargetRecord{Node: departureNode, Name: target, State: apiv1.TargetState_TARGET_STATE_GONE, Incarnation: 1, Version: 1, StartedUnixNs: 1, Departed: true}
}

// storeDeparture sends a departure to the replica of a host, as a node does.
func (c *cluster) storeDeparture(name, target string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
	defer cancel()
	_, err := c.hosts[name].replica.Departures(ctx, &apiv1.DepartureRequest{Node: departureNode, Departed: []*apiv1.TargetRecord{departureOf(target)}})
	return err
}

// mustStore stores a departure at several hosts.
func (c *cluster) mustStore(target string, names ...string) {
	c.t.Helper()
	for _, name := range names {
		require.NoError(c.t, c.storeDeparture(name, target), name)
	}
}

// holds asks a replica as a node does that has just started. answers is false if the node must not count the replica.
func (c *cluster) holds(name, target string) (answers, holds bool) {
	h := c.hosts[name]
	if h.cancel == nil {
		return false, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
	defer cancel()
	response, err := h.replica.Departures(ctx, &apiv1.DepartureRequest{Node: departureNode})
	for _, r := range response.GetRecords() {
		holds = holds || (r.Name == target && r.Departed)
	}
	return err == nil, holds
}

// answers returns how many replicas a node that has started may count, and how many of them hold a departure.
func (c *cluster) answers(target string) (answering, holding int) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, name := range c.names {
		calls.Go(func() {
			answers, holds := c.holds(name, target)
			mu.Lock()
			defer mu.Unlock()
			if answers {
				answering++
			}
			if answers && holds {
				holding++
			}
		})
	}
	calls.Wait()
	return answering, holding
}

// loseAllPower ends all processes at once. Unsynced writes are kept, lost or torn each on its own.
func (c *cluster) loseAllPower() {
	c.losePower(c.names...)
}

func (c *cluster) losePower(names ...string) {
	for _, name := range names {
		c.hosts[name].fs.Crash()
		c.net.Crash(name)
	}
	for _, name := range names {
		c.stop(name)
		c.hosts[name].fs.RestartTorn(rand.New(rand.NewPCG(c.nextIncarnation, 9)))
	}
}

func (c *cluster) startAll() {
	for _, name := range c.names {
		if c.hosts[name].cancel == nil {
			c.start(name)
		}
	}
}

// everyMajorityKnows checks for some seconds that a node which counts a majority of the voters always finds a departure, whichever replicas answer it
// first, and then that all replicas answer and that so many of them hold it that each majority has one.
func (c *cluster) everyMajorityKnows(target string, voters int) {
	c.t.Helper()
	majority := voters/2 + 1
	for range 400 {
		answering, holding := c.answers(target)
		require.Less(c.t, answering-holding, majority, "a majority answers and does not know the departure")
		time.Sleep(10 * time.Millisecond)
	}
	c.eventually(10*time.Second, func() bool {
		answering, holding := c.answers(target)
		return answering == voters && answering-holding < majority
	})
}

// TestDepartureOutlivesAllReplicas guards against a departure that was confirmed being unknown after all processes have ended: restarted replicas
// answered that they knew of none.
func TestDepartureOutlivesAllReplicas(t *testing.T) {
	runWithCluster(t, 5, func(c *cluster) {
		for round := range 3 {
			target := fmt.Sprint("target-", round)
			c.eventually(5*time.Second, func() bool { answering, _ := c.answers(target); return answering == 5 })
			c.mustStore(target, c.names[round%3:round%3+3]...)
			c.loseAllPower()
			c.startAll()
			for earlier := range round + 1 {
				c.everyMajorityKnows(fmt.Sprint("target-", earlier), 5)
			}
		}
	})
}

// TestWipedReplicasDoNotCount guards against replicas that have lost their disks answering a restarted node as if they had known of no departure: with
// one that never knew it they would be a majority.
func TestWipedReplicasDoNotCount(t *testing.T) {
	runWithCluster(t, 5, func(c *cluster) {
		c.eventually(5*time.Second, func() bool { answering, _ := c.answers("a"); return answering == 5 })
		c.mustStore("a", c.names[:3]...)
		c.loseAllPower()
		c.hosts[c.names[1]].fs.Wipe()
		c.hosts[c.names[2]].fs.Wipe()
		c.startAll()
		c.everyMajorityKnows("a", 5)
		_, holding := c.answers("a")
		require.Equal(t, 3, holding, "the wiped replicas have fetched the departure")
		// The same for records that a replica holds only since it has fetched them.
		c.losePower(c.names[0], c.names[3])
		c.hosts[c.names[0]].fs.Wipe()
		c.hosts[c.names[3]].fs.Wipe()
		c.startAll()
		c.everyMajorityKnows("a", 5)
	})
}

// TestLossOfTheRecordsOfAMajority guards against replicas that wait for ever for records that nobody has any more, so that no node could restore its
// departures.
func TestLossOfTheRecordsOfAMajority(t *testing.T) {
	runWithCluster(t, 5, func(c *cluster) {
		c.eventually(5*time.Second, func() bool { answering, _ := c.answers("a"); return answering == 5 })
		c.mustStore("a", c.names[:3]...)
		c.mustStore("b", c.names[2:]...)
		c.loseAllPower()
		for _, name := range c.names[:4] {
			require.NoError(t, c.hosts[name].fs.Remove("data/departures"))
		}
		c.startAll()
		c.eventually(5*time.Second, func() bool { answering, _ := c.answers("b"); return answering == 5 })
		_, holding := c.answers("b")
		require.Equal(t, 5, holding, "what one replica still held is known to all")
		c.mustStore("c", c.names...)
	})
}

// TestFoundingAfterTheLossOfAllDisks guards against a cluster that is founded anew on empty disks and never confirms a departure.
func TestFoundingAfterTheLossOfAllDisks(t *testing.T) {
	runWithCluster(t, 3, func(c *cluster) {
		c.loseAllPower()
		for _, name := range c.names {
			c.hosts[name].fs.Wipe()
		}
		c.startAll()
		c.eventually(10*time.Second, func() bool { answering, _ := c.answers("a"); return answering == 3 })
		c.mustStore("a", c.names...)
	})
}

// TestNewVoterFetchesDepartures guards against a standby that takes the place of a voter and answers for departures that were confirmed while it did
// not vote.
func TestNewVoterFetchesDepartures(t *testing.T) {
	runWithVoters(t, 3, 3, func(c *cluster) {
		standby := c.add()
		c.eventually(10*time.Second, func() bool { return len(c.hosts[standby].replica.view.Load().members) == 4 })
		require.ErrorIs(t, c.storeDeparture(standby, "a"), ErrNotVoter)
		answers, _ := c.holds(standby, "a")
		require.False(t, answers, "a replica that does not vote does not count")
		c.mustStore("a", c.names[:2]...)
		// One of the two that hold it is replaced.
		c.losePower(c.names[0])
		for range 1000 {
			answering, holding := c.answers("a")
			require.Less(t, answering-holding, 2, "a majority of the voters answers and does not know the departure")
			time.Sleep(10 * time.Millisecond)
		}
		answers, holds := c.holds(standby, "a")
		require.True(t, answers && holds)
		// The former voter takes itself for one when it returns, and its file says that it is complete. It must not count.
		c.mustStore("b", c.names[1], standby)
		c.start(c.names[0])
		for range 300 {
			require.Error(t, c.storeDeparture(c.names[0], "c"))
			answers, _ = c.holds(c.names[0], "b")
			require.False(t, answers, "a replica that was replaced answers")
			time.Sleep(10 * time.Millisecond)
		}
		// It votes again in place of another one, and its process ends at once.
		c.losePower(c.names[1])
		c.eventually(10*time.Second, func() bool { return c.hosts[c.names[0]].replica.view.Load().votes() })
		c.losePower(c.names[0])
		c.start(c.names[0])
		c.eventually(10*time.Second, func() bool {
			answers, holds := c.holds(c.names[0], "b")
			require.Equal(t, answers, holds, "it answers without the departure that it missed")
			return answers
		})
	})
}

// TestReplicaThatWasDownDoesNotHideADeparture guards against the answer of a replica that missed a departure making up for one that knows it.
func TestReplicaThatWasDownDoesNotHideADeparture(t *testing.T) {
	runWithCluster(t, 3, func(c *cluster) {
		c.eventually(5*time.Second, func() bool { answering, _ := c.answers("a"); return answering == 3 })
		c.losePower(c.names[2])
		c.mustStore("a", c.names[:2]...)
		c.losePower(c.names[:2]...)
		c.startAll()
		c.everyMajorityKnows("a", 3)
	})
}

// TestDepartureWhileTheLeaderIsLost guards against departures that are not confirmed in time since the replicas have no leader for a moment.
func TestDepartureWhileTheLeaderIsLost(t *testing.T) {
	runWithCluster(t, 5, func(c *cluster) {
		for round := range 5 {
			c.eventually(5*time.Second, func() bool { answering, _ := c.answers("a"); return answering == 5 })
			leader := c.leader()
			c.losePower(leader)
			for i := range 48 {
				target := fmt.Sprintf("target-%d-%d", round, i)
				var stored atomic.Int32
				var calls sync.WaitGroup
				for _, name := range c.names {
					if name != leader {
						calls.Go(func() {
							if c.storeDeparture(name, target) == nil {
								stored.Add(1)
							}
						})
					}
				}
				calls.Wait()
				require.GreaterOrEqual(t, stored.Load(), int32(3), "%s, round %d", target, round)
				time.Sleep(60 * time.Millisecond)
			}
			c.startAll()
		}
	})
}

// TestDepartureOnAFullDisk guards against a replica that acknowledges a departure which its full disk has not stored, and against one that takes
// none any more once there is room.
func TestDepartureOnAFullDisk(t *testing.T) {
	runWithCluster(t, 3, func(c *cluster) {
		c.eventually(5*time.Second, func() bool { answering, _ := c.answers("a"); return answering == 3 })
		c.mustStore("a", c.names...)
		full := c.names[0]
		c.hosts[full].fs.SetFaults(vfs.Faults{Capacity: 1})
		require.Error(t, c.storeDeparture(full, "b"))
		answers, holds := c.holds(full, "a")
		require.True(t, answers && holds, "what it holds it answers all the same")
		c.mustStore("b", c.names[1:]...)
		c.hosts[full].fs.SetFaults(vfs.Faults{})
		c.mustStore("b", full)
		c.loseAllPower()
		c.startAll()
		c.eventually(5*time.Second, func() bool { _, holding := c.answers("b"); return holding == 3 })
	})
}

// TestNoConfirmationWhileTheClusterIsFounded guards against a departure that the first voters of a cluster confirm: a majority of one voter is no
// majority of those with which the cluster is being founded.
func TestNoConfirmationWhileTheClusterIsFounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, net: memnet.New(1), hosts: map[string]*testHost{}, origin: time.Now()}
		c.net.SetLatency(func(string, string) memnet.Latency { return memnet.Latency{Delay: 20 * time.Millisecond} })
		for i := range 5 {
			name := fmt.Sprintf("host-%d", i+1)
			c.names = append(c.names, name)
			c.hosts[name] = &testHost{name: name, fs: vfs.NewMem()}
		}
		defer c.close()
		votersOf := func(name string) []string {
			voters, _ := memberNodes(&apiv1.Membership{Replicas: c.hosts[name].replica.view.Load().members})
			return voters
		}
		for _, name := range c.names {
			c.start(name)
		}
		early := -1
		for began := time.Now(); early < 0 && time.Since(began) < 20*time.Second; time.Sleep(time.Millisecond) {
			early = slices.IndexFunc(c.names, func(name string) bool { return len(votersOf(name)) == 1 })
		}
		require.GreaterOrEqual(t, early, 0, "no replica was the only voter")
		require.Error(t, c.storeDeparture(c.names[early], "early"), "the only voter takes a departure")
		c.eventually(20*time.Second, func() bool {
			taken := 0
			for i, name := range c.names {
				err := c.storeDeparture(name, fmt.Sprint("target-", i))
				answers, _ := c.holds(name, "none")
				// Voters may have joined during the calls.
				if voters := votersOf(name); len(voters) < 3 {
					require.Error(t, err, "%s takes a departure as one of %v", name, voters)
					require.False(t, answers)
				}
				if err == nil && answers {
					taken++
				}
			}
			return taken == 5
		})
	})
}
