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

// Bounds from the design targets.
const (
	// catchUpBound is the time after which a new or returning host must be able to replace another one.
	catchUpBound = 4 * time.Second
	// acceptBound is the time within which a change is acknowledged while no more hosts are lost than the
	// cluster must tolerate.
	acceptBound = 4 * time.Second
	// recoveryBound is the time within which service returns after a failure of all hosts.
	recoveryBound = 15 * time.Second
)

// members returns the voters and the standbys as the leader of group 0 sees them.
func (c *cluster) members() (voters, standby []string) {
	leader := c.leader()
	if leader == "" {
		return nil, nil
	}
	return memberNodes(&apiv1.Membership{Replicas: c.hosts[leader].replica.view.Load().members})
}

func (c *cluster) isVoter(name string) bool {
	voters, _ := c.members()
	return slices.Contains(voters, name)
}

func (c *cluster) isStandby(name string) bool {
	_, standby := c.members()
	return slices.Contains(standby, name)
}

// wipe crashes the given hosts at the same moment and starts them again with empty disks.
func (c *cluster) wipe(names ...string) {
	for _, name := range names {
		c.crash(name)
		c.hosts[name].fs.Wipe()
	}
	for _, name := range names {
		c.start(name)
	}
}

// allConfirm reports whether every given host returns the revision as confirmed by a quorum.
func (c *cluster) allConfirm(revision uint64, names ...string) bool {
	for _, name := range names {
		response, err := c.hosts[name].replica.Sync(context.Background(), &apiv1.SyncRequest{Node: "reader", Incarnation: 1})
		if err != nil || !response.Vouched || response.VouchedRevision != revision {
			return false
		}
	}
	return true
}

// others returns all hosts but the given ones.
func (c *cluster) others(not ...string) []string {
	var names []string
	for _, name := range c.names {
		if !slices.Contains(not, name) {
			names = append(names, name)
		}
	}
	return names
}

// Guards against the loss of the configuration when an isolated voter is replaced while another host stops
// permanently. The isolated replica ended its process instead of voting again, so that after the loss of two
// disks only two voters of five were left.
func TestConfigurationSurvivesLossOfTwoDisksAfterVoterReplacement(t *testing.T) {
	runWithVoters(t, 5, 5, func(c *cluster) {
		successor := c.add()
		c.eventually(5*time.Second, func() bool { return c.isStandby(successor) })
		leader := c.leader()
		isolated := c.other(leader, successor)
		leaving := c.other(leader, successor, isolated)
		c.net.Partition([]string{isolated}, c.others(isolated))
		c.eventually(5*time.Second, func() bool { return c.isVoter(successor) })
		c.stop(leaving)
		time.Sleep(2 * time.Second)
		c.net.Heal()
		time.Sleep(catchUpBound)
		revision := c.mustAccept(c.leader(), change("last"))
		lost := []string{successor, c.other(leaving, isolated, successor)}
		c.wipe(lost...)
		c.eventually(recoveryBound, func() bool { return c.allConfirm(revision, c.others(leaving)...) })
	})
}

// Guards against a replica that ends its process because it was replaced while it was isolated: it must become
// a standby.
func TestReplacedReplicaBecomesStandbyWhenReconnected(t *testing.T) {
	runWithVoters(t, 3, 3, func(c *cluster) {
		standby := c.add()
		c.eventually(5*time.Second, func() bool { return c.isStandby(standby) })
		isolated := c.other(c.leader(), standby)
		id := c.hosts[isolated].replica.log.Identity().Replica
		c.net.Partition([]string{isolated}, c.others(isolated))
		c.eventually(5*time.Second, func() bool { return c.isVoter(standby) && !c.isVoter(isolated) })
		revision := c.mustAccept(c.leader(), change("while-cut-off"))
		c.net.Heal()
		c.eventually(catchUpBound, func() bool { return c.isStandby(isolated) && c.allConfirm(revision, isolated) })
		require.Equal(c.t, id, c.hosts[isolated].replica.log.Identity().Replica, "the replica keeps its data folder and its id")
		voters, _ := c.members()
		require.Len(c.t, voters, 3)
	})
}

// Guards against a time with one voter too few after a planned replacement: the successor was promoted only
// after the host that had announced its stop had been silent for two seconds.
func TestLeavingVoterIsReplacedByStandbyBeforeItStops(t *testing.T) {
	runWithVoters(t, 5, 5, func(c *cluster) {
		successor := c.add()
		c.eventually(5*time.Second, func() bool { return c.isStandby(successor) })
		leaving := c.other(c.leader(), successor)
		request := &apiv1.SyncRequest{Node: leaving, Incarnation: c.hosts[leaving].replica.o.Identity.Incarnation, Leaving: true}
		_, err := c.hosts[leaving].replica.Sync(context.Background(), request)
		require.NoError(c.t, err)
		c.eventually(2*time.Second, func() bool { return c.isVoter(successor) && c.isStandby(leaving) })
		require.True(c.t, c.allConfirm(0, leaving), "the leaving replica serves until it stops")
		revision := c.mustAccept(c.leader(), change("last"))
		c.stop(leaving)
		c.wipe(successor, c.other(successor, leaving))
		c.eventually(recoveryBound, func() bool { return c.allConfirm(revision, c.others(leaving)...) })
	})
}

// Guards against replacing a voter that is isolated for a short time while another one has been down for longer.
func TestStandbyReplacesTheVoterThatIsSilentLongest(t *testing.T) {
	runWithVoters(t, 5, 5, func(c *cluster) {
		voters, _ := c.members()
		voters = slices.DeleteFunc(voters, func(name string) bool { return name == c.leader() })
		stopped, isolated := voters[0], voters[len(voters)-1]
		c.stop(stopped)
		time.Sleep(time.Second)
		c.net.Partition([]string{isolated}, c.others(isolated))
		time.Sleep(3 * time.Second)
		standby := c.add()
		c.eventually(10*time.Second, func() bool {
			voters, _ := c.members()
			return c.isVoter(standby) && len(voters) == 5
		})
		require.False(c.t, c.isVoter(stopped))
		require.True(c.t, c.isVoter(isolated))
	})
}

// Guards against a membership that fills up with hosts that don't come back: a silent standby is removed, and
// admitted again when it returns.
func TestSilentStandbyIsRemovedUntilItReturns(t *testing.T) {
	runWithVoters(t, 3, 3, func(c *cluster) {
		standby := c.add()
		c.eventually(5*time.Second, func() bool { return c.isStandby(standby) })
		stopped := c.other(c.leader(), standby)
		c.stop(stopped)
		c.eventually(5*time.Second, func() bool { return c.isVoter(standby) && c.isStandby(stopped) })
		c.eventually(silentStandbyTimeout+time.Second, func() bool { return !c.isStandby(stopped) })
		c.start(stopped)
		c.eventually(catchUpBound, func() bool { return c.isStandby(stopped) })
	})
}

// Guards against the loss of the quorum during a replacement: two of five voters are isolated, and a third one,
// which is leaving, was demoted before its successor was promoted.
func TestReplacementWhileTwoAreCutOffKeepsTheQuorum(t *testing.T) {
	runWithVoters(t, 5, 5, func(c *cluster) {
		successor := c.add()
		c.eventually(5*time.Second, func() bool { return c.isStandby(successor) })
		leaving := c.other(c.leader(), successor)
		first := c.other(c.leader(), successor, leaving)
		second := c.other(c.leader(), successor, leaving, first)
		isolated := []string{first, second}
		c.net.Partition(isolated, c.others(isolated...))
		request := &apiv1.SyncRequest{Node: leaving, Incarnation: c.hosts[leaving].replica.o.Identity.Incarnation, Leaving: true}
		_, err := c.hosts[leaving].replica.Sync(context.Background(), request)
		require.NoError(c.t, err)
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			started := time.Now()
			c.mustAccept(successor, change(fmt.Sprint(started.UnixNano())))
			require.Less(c.t, time.Since(started), acceptBound)
		}
	})
}

// Guards against a new host that is refused because hosts that have left permanently fill the membership.
func TestNewHostIsAdmittedInPlaceOfASilentStandby(t *testing.T) {
	runWithFullCluster(t, func(c *cluster, stopped string) {
		added := c.addAt(c.others(stopped))
		c.eventually(catchUpBound, func() bool { return c.isStandby(added) && !c.isStandby(stopped) })
	})
}

// Guards against a new host that is admitted too late because one of its seeds is the host that has left.
func TestNewHostIsAdmittedInTimeDespiteUnreachableSeed(t *testing.T) {
	runWithFullCluster(t, func(c *cluster, stopped string) {
		added := c.add()
		c.eventually(catchUpBound, func() bool { return c.isStandby(added) && !c.isStandby(stopped) })
	})
}

// runWithFullCluster runs a test with MaxReplicas members, one of which is a standby that has stopped.
func runWithFullCluster(t *testing.T, fn func(c *cluster, stopped string)) {
	runWithVoters(t, 3, 3, func(c *cluster) {
		for len(c.names) < MaxReplicas {
			c.add()
		}
		c.eventually(5*time.Second, func() bool {
			voters, standby := c.members()
			return len(voters)+len(standby) == MaxReplicas
		})
		_, standby := c.members()
		c.stop(standby[0])
		time.Sleep(silentVoterTimeout)
		fn(c, standby[0])
	})
}

// Guards against a standby that keeps asking for admission after an operator has removed it: a standby sends no
// Raft messages of its own whose replies could tell it of its removal.
func TestRemovedStandbyStops(t *testing.T) {
	runWithVoters(t, 3, 3, func(c *cluster) {
		standby := c.add()
		c.eventually(5*time.Second, func() bool { return c.isStandby(standby) })
		id := c.hosts[standby].replica.log.Identity().Replica
		c.eventually(time.Second, func() bool {
			reply, err := c.hosts[c.leader()].replica.HandleMembership(context.Background(), &apiv1.ControlRequest{Remove: id})
			return err == nil && reply.Error == "" // another membership change may be pending
		})
		select {
		case err := <-c.hosts[standby].stopped:
			require.ErrorIs(c.t, err, ErrRemoved)
			c.hosts[standby].cancel = nil
		case <-time.After(catchUpBound):
			require.Fail(c.t, "the removed standby keeps running")
		}
	})
}

// Guards against the wrong membership step when voters are silent, leaving or missing.
func TestVoterReplacementSteps(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	voter := func(id uint64, silent time.Duration) replica.Peer {
		return replica.Peer{Replica: replicaInfo(id, false), LastReply: now.Add(-silent), CaughtUp: silent == 0}
	}
	learner := func(id uint64, silent time.Duration) replica.Peer {
		return replica.Peer{Replica: replicaInfo(id, true), LastReply: now.Add(-silent), CaughtUp: silent == 0}
	}
	for _, c := range []struct {
		name    string
		peers   []replica.Peer
		leaving string
		// voters and learners are those after the step; nil if none is due.
		voters, learners []string
	}{
		{name: "no replica is silent or leaving", peers: []replica.Peer{voter(1, 0), voter(2, 0), voter(3, 0), learner(4, 0)}},
		{name: "no standby", peers: []replica.Peer{voter(1, 0), voter(2, time.Minute), voter(3, 0)}, leaving: "n3"},
		{name: "a voter is missing", peers: []replica.Peer{voter(1, 0), voter(2, 0), learner(4, 0)},
			voters: []string{"n1", "n2", "n4"}},
		{name: "the standby is promoted before a silent voter is demoted",
			peers:  []replica.Peer{voter(1, 0), voter(2, 3*time.Second), voter(3, 0), learner(4, 0)},
			voters: []string{"n1", "n2", "n3", "n4"}},
		{name: "a silent voter is demoted", peers: []replica.Peer{voter(1, 0), voter(2, 3*time.Second), voter(3, 0), voter(4, 0)},
			voters: []string{"n1", "n3", "n4"}, learners: []string{"n2"}},
		{name: "a voter that is silent for less than the timeout stays", peers: []replica.Peer{voter(1, 0), voter(2, time.Second), voter(3, 0), learner(4, 0)}},
		{name: "a replaced voter is demoted although it is heard again", peers: []replica.Peer{voter(1, 0), voter(2, 20*time.Millisecond), voter(3, 0), voter(4, 0)},
			voters: []string{"n1", "n3", "n4"}, learners: []string{"n2"}},
		{name: "the voter that has been silent longest is demoted", peers: []replica.Peer{voter(1, 0), voter(2, 4*time.Second), voter(3, 3*time.Second), voter(4, 0)},
			voters: []string{"n1", "n3", "n4"}, learners: []string{"n2"}},
		{name: "the standby is promoted before a leaving voter is demoted",
			peers: []replica.Peer{voter(1, 0), voter(2, 0), voter(3, 0), learner(4, 0)}, leaving: "n3",
			voters: []string{"n1", "n2", "n3", "n4"}},
		{name: "a leaving voter is demoted before a silent one", peers: []replica.Peer{voter(1, 0), voter(2, 4*time.Second), voter(3, 0), voter(4, 0)}, leaving: "n3",
			voters: []string{"n1", "n2", "n4"}, learners: []string{"n3"}},
		{name: "a leaving standby is not promoted", peers: []replica.Peer{voter(1, 0), voter(2, 4*time.Second), learner(4, 0)}, leaving: "n4"},
		{name: "a standby that has not caught up is not promoted", peers: []replica.Peer{voter(1, 0), voter(2, 4*time.Second), voter(3, 0), learner(4, time.Second)}},
		{name: "a silent standby is removed", peers: []replica.Peer{voter(1, 0), voter(2, 0), voter(3, 0), learner(4, time.Minute)},
			voters: []string{"n1", "n2", "n3"}},
		{name: "a silent standby is removed and another one stays", peers: []replica.Peer{voter(1, 0), voter(2, 0), voter(3, 0), learner(4, time.Minute), learner(5, 0)},
			voters: []string{"n1", "n2", "n3"}, learners: []string{"n5"}},
		{name: "a standby that is silent for less than the timeout stays", peers: []replica.Peer{voter(1, 0), voter(2, 0), voter(3, 0), learner(4, time.Second)}},
	} {
		s := voterPolicy{voters: 3, self: 1, leaving: func(node string) bool { return node == c.leaving }}
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

// Guards against a group that loses a voter while it follows a change of group 0: the new voter is promoted before
// the old one is demoted.
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
	current = nextStepTowards(peers(current), target)
	voters, learners := memberNodes(current)
	require.Equal(t, []string{"n1", "n2", "n3", "n4"}, voters)
	require.Empty(t, learners)
	current = nextStepTowards(peers(current), target)
	voters, learners = memberNodes(current)
	require.Equal(t, []string{"n1", "n3", "n4"}, voters)
	require.Equal(t, []string{"n2"}, learners)
	require.Nil(t, nextStepTowards(peers(current), target))
}
