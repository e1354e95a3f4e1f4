package control

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/config"
)

// drain gives an order to one replica and waits for its result at most as long as an operator does.
func (c *cluster) drain(name string, drained bool) (changed bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
	defer cancel()
	_, changed, err = c.hosts[name].replica.DrainDataCentre(ctx, "kl", drained)
	return changed, err
}

// isDrained reports whether a replica's configuration has the drain.
func (c *cluster) isDrained(name string) bool {
	r, _ := c.hosts[name].replica.store.Resource(config.KindDataCentre, "kl")
	return r != nil
}

// TestDrainOfADataCentreGivesTheSameAnswerEverywhere guards against an order whose answer was lost: resent to another
// replica, at which it is already in force, it must not fail, and after the loss of the leader neither.
func TestDrainOfADataCentreGivesTheSameAnswerEverywhere(t *testing.T) {
	runWithCluster(t, 3, func(c *cluster) {
		_, err := c.drain(c.names[0], true)
		require.ErrorIs(t, err, ErrNoConfiguration)
		require.Equal(t, apiv1.ChangeResult_CHANGE_RESULT_ACCEPTED, c.propose(c.names[0], change("first")).Result)
		for _, drained := range []bool{true, false} {
			changes := 0
			for _, name := range c.names {
				changed, err := c.drain(name, drained)
				require.NoError(t, err)
				if changed {
					changes++
				}
				require.Equal(t, drained, c.isDrained(name), "confirmed by a replica that does not have it")
			}
			require.LessOrEqual(t, changes, 1)
		}
		leader := c.leader()
		c.crash(leader)
		c.eventually(4*time.Second, func() bool {
			_, err := c.drain(c.other(leader), true)
			return err == nil
		})
		for _, name := range c.names {
			if name != leader {
				c.crash(name)
			}
		}
		for _, name := range c.names {
			c.start(name)
		}
		c.eventually(10*time.Second, func() bool { return c.settled(3) })
		for _, name := range c.names {
			require.True(t, c.isDrained(name), "a confirmed drain is lost with the power of all hosts")
		}
	})
}

// TestDrainOfADataCentreNeedsAQuorum guards against a confirmation by replicas that others may have overruled, also of an
// order that their own state already follows.
func TestDrainOfADataCentreNeedsAQuorum(t *testing.T) {
	runWithCluster(t, 3, func(c *cluster) {
		c.propose(c.names[0], change("first"))
		_, err := c.drain(c.names[0], true)
		require.NoError(t, err)
		alone := c.leader()
		for _, name := range c.names {
			if name != alone {
				c.stop(name)
			}
		}
		for _, drained := range []bool{true, false} {
			began := time.Now()
			_, err = c.drain(alone, drained)
			require.Error(t, err)
			require.Less(t, time.Since(began), time.Second)
		}
	})
}

// TestDelayedDrainDoesNotUndoALaterOrder guards against an order that is held up on its way to the leader and arrives
// after the data centre was taken back.
func TestDelayedDrainDoesNotUndoALaterOrder(t *testing.T) {
	runWithCluster(t, 3, func(c *cluster) {
		leader := c.leader()
		c.propose(leader, change("first"))
		follower := c.other(leader)
		c.eventually(time.Second, func() bool {
			_, err := c.drain(follower, false)
			return err == nil
		})
		// The order is read and compared at this revision, and proposed only after the others.
		_, expected := c.hosts[follower].replica.store.Resource(config.KindDataCentre, "kl")
		for _, drained := range []bool{true, false} {
			_, err := c.drain(leader, drained)
			require.NoError(t, err)
		}
		late := &apiv1.Change{Id: newDrainID(), ExpectedRevision: expected, Upserts: []*apiv1.Resource{{Kind: config.KindDataCentre, Name: "kl"}}}
		require.Equal(t, apiv1.ChangeResult_CHANGE_RESULT_CONFLICT, c.propose(follower, late).Result)
		require.False(t, c.isDrained(leader))
	})
}
