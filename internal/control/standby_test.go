package control

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/knownred"
)

// Bounds from the stated targets.
const (
	// catchUpBound is the time after which a host that is back, or new, counts as able to replace another.
	catchUpBound = 4 * time.Second
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
		replaced := c.within(2*time.Second, func() bool { return c.votes(successor) && !c.votes(leaving) })
		knownred.Check(c.t, replaced, "%s still votes", leaving)
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
		c.eventually(10*time.Second, func() bool { return c.votes(spare) })
		knownred.Check(c.t, !c.votes(gone) && c.votes(cut), "%s was replaced, not %s", cut, gone)
	})
}
