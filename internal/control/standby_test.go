package control

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/replica"
)

// Bounds from the stated targets.
const (
	// catchUpBound is the time after which a host that is back, or new, counts as able to replace another.
	catchUpBound = 4 * time.Second
	// acceptBound is the time within which a change is acknowledged while no more hosts are lost than may be.
	acceptBound = 4 * time.Second
	// recoveryBound is the time within which service returns after a fault of the whole fleet.
	recoveryBound = 15 * time.Second
)

// members returns the hosts that vote, and those that stand by, as the leader of group 0 sees them.
func (c *cluster) members() (voters, standby []string) {
	leader := c.leader()
	if leader == "" {
		return nil, nil
	}
	return memberNodes(&apiv1.Membership{Replicas: c.hosts[leader].replica.view.Load().members})
}

func (c *cluster) votes(name string) bool {
	voters, _ := c.members()
	return slices.Contains(voters, name)
}

func (c *cluster) standsBy(name string) bool {
	_, standby := c.members()
	return slices.Contains(standby, name)
}

// wipe crashes hosts at the same moment and starts them again with empty disks.
func (c *cluster) wipe(names ...string) {
	for _, name := range names {
		c.crash(name)
		c.hosts[name].fs.Wipe()
	}
	for _, name := range names {
		c.start(name)
	}
}

// confirms reports whether every host given answers with the revision, confirmed by a quorum.
func (c *cluster) confirms(revision uint64, names ...string) bool {
	for _, name := range names {
		response, err := c.hosts[name].replica.Sync(context.Background(), &apiv1.SyncRequest{Node: "reader", Incarnation: 1})
		if err != nil || !response.Vouched || response.VouchedRevision != revision {
			return false
		}
	}
	return true
}

// others returns hosts that are none of those named.
func (c *cluster) others(not ...string) []string {
	var names []string
	for _, name := range c.names {
		if !slices.Contains(not, name) {
			names = append(names, name)
		}
	}
	return names
}

// Guards against the loss of the configuration when a voter that was cut off is replaced while another host leaves for good:
// the live one came to an end instead of voting again, and two lost disks then left two voters of five.
func TestConfigurationOutlivesTwoDisksAfterACutVoterWasReplaced(t *testing.T) {
	inClusterOf(t, 5, 5, func(c *cluster) {
		successor := c.add()
		c.eventually(5*time.Second, func() bool { return c.standsBy(successor) })
		leader := c.leader()
		cut := c.other(leader, successor)
		leaving := c.other(leader, successor, cut)
		c.net.Partition([]string{cut}, c.others(cut))
		c.eventually(5*time.Second, func() bool { return c.votes(successor) })
		c.stop(leaving)
		time.Sleep(2 * time.Second)
		c.net.Heal()
		time.Sleep(catchUpBound)
		revision := c.accept(c.leader(), change("last"))
		lost := []string{successor, c.other(leaving, cut, successor)}
		c.wipe(lost...)
		c.eventually(recoveryBound, func() bool { return c.confirms(revision, c.others(leaving)...) })
	})
}

// Guards against the end of a process whose replica was replaced while it was cut off: it has to stand by.
func TestReplicaThatWasReplacedWhileCutOffStandsBy(t *testing.T) {
	inClusterOf(t, 3, 3, func(c *cluster) {
		spare := c.add()
		c.eventually(5*time.Second, func() bool { return c.standsBy(spare) })
		cut := c.other(c.leader(), spare)
		id := c.hosts[cut].replica.log.Identity().Replica
		c.net.Partition([]string{cut}, c.others(cut))
		c.eventually(5*time.Second, func() bool { return c.votes(spare) && !c.votes(cut) })
		revision := c.accept(c.leader(), change("while-cut-off"))
		c.net.Heal()
		c.eventually(catchUpBound, func() bool { return c.standsBy(cut) && c.confirms(revision, cut) })
		require.Equal(c.t, id, c.hosts[cut].replica.log.Identity().Replica, "its data folder is whole")
		voters, _ := c.members()
		require.Len(c.t, voters, 3)
	})
}

// Guards against a window without a spare after a planned replacement: the successor voted only once the host that
// had said that it was stopping had been silent for two seconds.
func TestLeavingVoterGivesWayToAStandbyBeforeItStops(t *testing.T) {
	inClusterOf(t, 5, 5, func(c *cluster) {
		successor := c.add()
		c.eventually(5*time.Second, func() bool { return c.standsBy(successor) })
		leaving := c.other(c.leader(), successor)
		request := &apiv1.SyncRequest{Node: leaving, Incarnation: c.hosts[leaving].replica.o.Identity.Incarnation, Leaving: true}
		_, err := c.hosts[leaving].replica.Sync(context.Background(), request)
		require.NoError(c.t, err)
		c.eventually(2*time.Second, func() bool { return c.votes(successor) && c.standsBy(leaving) })
		require.True(c.t, c.confirms(0, leaving), "it serves until it stops")
		revision := c.accept(c.leader(), change("last"))
		c.stop(leaving)
		c.wipe(successor, c.other(successor, leaving))
		c.eventually(recoveryBound, func() bool { return c.confirms(revision, c.others(leaving)...) })
	})
}

// Guards against replacing a voter that is cut off for a moment while another one has been gone for long.
func TestStandbyReplacesTheVoterThatIsSilentLongest(t *testing.T) {
	inClusterOf(t, 5, 5, func(c *cluster) {
		voters, _ := c.members()
		voters = slices.DeleteFunc(voters, func(name string) bool { return name == c.leader() })
		gone, cut := voters[0], voters[len(voters)-1]
		c.stop(gone)
		time.Sleep(time.Second)
		c.net.Partition([]string{cut}, c.others(cut))
		time.Sleep(3 * time.Second)
		spare := c.add()
		c.eventually(10*time.Second, func() bool {
			voters, _ := c.members()
			return c.votes(spare) && len(voters) == 5
		})
		require.False(c.t, c.votes(gone))
		require.True(c.t, c.votes(cut))
	})
}

// Guards against members that pile up: a host that does not come back is forgotten, and one that does is admitted again.
func TestSilentStandbyIsForgottenUntilItReturns(t *testing.T) {
	inClusterOf(t, 3, 3, func(c *cluster) {
		spare := c.add()
		c.eventually(5*time.Second, func() bool { return c.standsBy(spare) })
		away := c.other(c.leader(), spare)
		c.stop(away)
		c.eventually(5*time.Second, func() bool { return c.votes(spare) && c.standsBy(away) })
		c.eventually(silentStandby+time.Second, func() bool { return !c.standsBy(away) })
		c.start(away)
		c.eventually(catchUpBound, func() bool { return c.standsBy(away) })
	})
}

// Guards against a replacement that stops the quorum: of five voters two are cut off, and one of the others, which leaves,
// stood by before its successor voted.
func TestReplacementWhileTwoAreCutOffKeepsTheQuorum(t *testing.T) {
	inClusterOf(t, 5, 5, func(c *cluster) {
		successor := c.add()
		c.eventually(5*time.Second, func() bool { return c.standsBy(successor) })
		leaving := c.other(c.leader(), successor)
		first := c.other(c.leader(), successor, leaving)
		second := c.other(c.leader(), successor, leaving, first)
		cut := []string{first, second}
		c.net.Partition(cut, c.others(cut...))
		request := &apiv1.SyncRequest{Node: leaving, Incarnation: c.hosts[leaving].replica.o.Identity.Incarnation, Leaving: true}
		_, err := c.hosts[leaving].replica.Sync(context.Background(), request)
		require.NoError(c.t, err)
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			started := time.Now()
			c.accept(successor, change(fmt.Sprint(started.UnixNano())))
			require.Less(c.t, time.Since(started), acceptBound)
		}
	})
}

// Guards against a new host that is refused while hosts that have left for good fill the membership.
func TestNewHostIsAdmittedInPlaceOfASilentStandby(t *testing.T) {
	inFullCluster(t, func(c *cluster, gone string) {
		added := c.addAt(c.others(gone))
		c.eventually(catchUpBound, func() bool { return c.standsBy(added) && !c.standsBy(gone) })
	})
}

// The same for a host one of whose seeds is the one that has left.
func TestNewHostIsAdmittedInTimeAtADarkSeed(t *testing.T) {
	inFullCluster(t, func(c *cluster, gone string) {
		added := c.add()
		c.eventually(catchUpBound, func() bool { return c.standsBy(added) && !c.standsBy(gone) })
	})
}

// inFullCluster runs a test with as many replicas as there may be, one of which stood by and has gone.
func inFullCluster(t *testing.T, fn func(c *cluster, gone string)) {
	inClusterOf(t, 3, 3, func(c *cluster) {
		for len(c.names) < MaxReplicas {
			c.add()
		}
		c.eventually(5*time.Second, func() bool {
			voters, standby := c.members()
			return len(voters)+len(standby) == MaxReplicas
		})
		_, standby := c.members()
		c.stop(standby[0])
		time.Sleep(silentVoter)
		fn(c, standby[0])
	})
}

// Guards against a replica that goes on asking for admission after an operator has removed it: one that stands by
// sends nothing to which the others could answer that it was removed.
func TestRemovedStandbyStops(t *testing.T) {
	inClusterOf(t, 3, 3, func(c *cluster) {
		spare := c.add()
		c.eventually(5*time.Second, func() bool { return c.standsBy(spare) })
		id := c.hosts[spare].replica.log.Identity().Replica
		c.eventually(time.Second, func() bool {
			reply, err := c.hosts[c.leader()].replica.Control(context.Background(), &apiv1.ControlRequest{Remove: id})
			return err == nil && reply.Error == "" // another change of the members may be under way
		})
		select {
		case err := <-c.hosts[spare].stopped:
			require.ErrorIs(c.t, err, ErrRemoved)
			c.hosts[spare].cancel = nil
		case <-time.After(catchUpBound):
			require.Fail(c.t, "it goes on asking for admission")
		}
	})
}

func TestSuccessionOfVoters(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	voter := func(id uint64, silent time.Duration) replica.Peer {
		return replica.Peer{Replica: replicaInfo(id, false), Heard: now.Add(-silent), CaughtUp: silent == 0}
	}
	learner := func(id uint64, silent time.Duration) replica.Peer {
		return replica.Peer{Replica: replicaInfo(id, true), Heard: now.Add(-silent), CaughtUp: silent == 0}
	}
	for _, c := range []struct {
		name    string
		peers   []replica.Peer
		leaving string
		// voters and learners after the step; empty if none is due.
		voters, learners []string
	}{
		{name: "all well", peers: []replica.Peer{voter(1, 0), voter(2, 0), voter(3, 0), learner(4, 0)}},
		{name: "no standby", peers: []replica.Peer{voter(1, 0), voter(2, time.Minute), voter(3, 0)}, leaving: "n3"},
		{name: "a voter is missing", peers: []replica.Peer{voter(1, 0), voter(2, 0), learner(4, 0)},
			voters: []string{"n1", "n2", "n4"}},
		{name: "the standby votes before a silent one stands by",
			peers:  []replica.Peer{voter(1, 0), voter(2, 3*time.Second), voter(3, 0), learner(4, 0)},
			voters: []string{"n1", "n2", "n3", "n4"}},
		{name: "silent", peers: []replica.Peer{voter(1, 0), voter(2, 3*time.Second), voter(3, 0), voter(4, 0)},
			voters: []string{"n1", "n3", "n4"}, learners: []string{"n2"}},
		{name: "silent for a moment", peers: []replica.Peer{voter(1, 0), voter(2, time.Second), voter(3, 0), learner(4, 0)}},
		{name: "heard again before it stands by", peers: []replica.Peer{voter(1, 0), voter(2, 20*time.Millisecond), voter(3, 0), voter(4, 0)},
			voters: []string{"n1", "n3", "n4"}, learners: []string{"n2"}},
		{name: "longest silent", peers: []replica.Peer{voter(1, 0), voter(2, 4*time.Second), voter(3, 3*time.Second), voter(4, 0)},
			voters: []string{"n1", "n3", "n4"}, learners: []string{"n2"}},
		{name: "the standby votes before a leaving one stands by",
			peers: []replica.Peer{voter(1, 0), voter(2, 0), voter(3, 0), learner(4, 0)}, leaving: "n3",
			voters: []string{"n1", "n2", "n3", "n4"}},
		{name: "leaving before silent", peers: []replica.Peer{voter(1, 0), voter(2, 4*time.Second), voter(3, 0), voter(4, 0)}, leaving: "n3",
			voters: []string{"n1", "n2", "n4"}, learners: []string{"n3"}},
		{name: "a leaving standby takes no place", peers: []replica.Peer{voter(1, 0), voter(2, 4*time.Second), learner(4, 0)}, leaving: "n4"},
		{name: "a standby that lags takes no place", peers: []replica.Peer{voter(1, 0), voter(2, 4*time.Second), voter(3, 0), learner(4, time.Second)}},
		{name: "silent standby", peers: []replica.Peer{voter(1, 0), voter(2, 0), voter(3, 0), learner(4, time.Minute)},
			voters: []string{"n1", "n2", "n3"}},
		{name: "silent standby beside another", peers: []replica.Peer{voter(1, 0), voter(2, 0), voter(3, 0), learner(4, time.Minute), learner(5, 0)},
			voters: []string{"n1", "n2", "n3"}, learners: []string{"n5"}},
		{name: "a replica that joins is given time", peers: []replica.Peer{voter(1, 0), voter(2, 0), voter(3, 0), learner(4, time.Second)}},
	} {
		s := succession{voters: 3, self: 1, leaving: func(node string) bool { return node == c.leaving }}
		next, _, _ := s.next(now, c.peers)
		if c.voters == nil {
			require.Nil(t, next, c.name)
			continue
		}
		require.NotNil(t, next, c.name)
		voters, learners := memberNodes(next)
		require.Equal(t, c.voters, voters, c.name)
		require.Equal(t, c.learners, learners, c.name)
	}
}

// A group keeps its number of voters while it follows: the new one votes before the old one stands by.
func TestGroupsFollowAChangeOfVoters(t *testing.T) {
	members := func(r ...*apiv1.ReplicaInfo) *apiv1.Membership { return &apiv1.Membership{Replicas: r} }
	peers := func(m *apiv1.Membership) []replica.Peer {
		var list []replica.Peer
		for _, r := range m.Replicas {
			list = append(list, replica.Peer{Replica: r, CaughtUp: true})
		}
		return list
	}
	current := members(replicaInfo(1, false), replicaInfo(2, false), replicaInfo(3, false), replicaInfo(4, true))
	target := members(replicaInfo(1, false), replicaInfo(2, true), replicaInfo(3, false), replicaInfo(4, false))
	current = convergence(peers(current), target)
	voters, learners := memberNodes(current)
	require.Equal(t, []string{"n1", "n2", "n3", "n4"}, voters)
	require.Empty(t, learners)
	current = convergence(peers(current), target)
	voters, learners = memberNodes(current)
	require.Equal(t, []string{"n1", "n3", "n4"}, voters)
	require.Equal(t, []string{"n2"}, learners)
	require.Nil(t, convergence(peers(current), target))
}
