package rate

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/blackboard"
	"github.com/guavaford/guavaford/internal/clock"
)

// silentOwner answers no lease request.
type silentOwner struct{}

func (silentOwner) Lease(ctx context.Context, _ string, _ *apiv1.LeaseRequest) (*apiv1.LeaseResponse, error) {
	<-ctx.Done()
	return nil, errors.New("no answer")
}

// TestNodeSpendsItsShareWhileOwnerIsSilent guards against requests that wait for, or are refused because of, a
// lost replica that owns their organisation.
func TestNodeSpendsItsShareWhileOwnerIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placement := blackboard.NewSection(&apiv1.Placement{RateShards: 1, RateOwners: []*apiv1.ShardOwner{{Address: "gone"}}})
		c := NewClient(Identity{Node: "n", Incarnation: 1}, silentOwner{}, placement, clock.System{}, Config{})
		c.SetSilentOwnerShare(func(string) (float64, bool) { return 20, false })
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); c.Run(ctx) }()
		began := time.Now()
		granted, longest := 0, time.Duration(0)
		for range 400 {
			time.Sleep(10 * time.Millisecond)
			start := time.Now()
			if _, refusal := c.Take(ctx, "court"); refusal == nil {
				granted++
			}
			longest = max(longest, time.Since(start))
		}
		require.LessOrEqual(t, longest, silentAfter, "a request waits for a silent owner")
		// Requests that ask whether the owner is back take longer, so the bounds use the time that has passed.
		elapsed := time.Since(began).Seconds()
		require.GreaterOrEqual(t, float64(granted), elapsed*20*fallbackMinShare-1, "tokens spent at the node's share all the time")
		require.LessOrEqual(t, float64(granted), 20*(fallbackMinShare*elapsed+startBurstTime.Seconds())+fallbackBurstTokens)
		cancel()
		<-done
	})
}

// TestIsolatedNodesKeepFleetWithinRate guards against excess over the rate when a third of the nodes reach no replica:
// one organisation asks for many times its rate everywhere, and the other nodes get the whole rate and the burst.
func TestIsolatedNodesKeepFleetWithinRate(t *testing.T) {
	const (
		nodes     = 13
		isolated  = 4
		perSecond = 219.0
		burst     = perSecond
		window    = 5 * time.Second
		detected  = 1500 * time.Millisecond
		// excess and slack are what one window may exceed rate and burst by.
		excess, slack = 0.1, 20
	)
	start := time.Unix(100, 0)
	alone := false
	s := newFallbackLimiter(func(string) (float64, bool) { return perSecond / nodes, alone })
	now := start
	// The tokens a second that a node spends of an organisation at 62 in 100 of its rate.
	usual := 0.62 * perSecond / nodes
	for range int(5 * usual) {
		now = now.Add(time.Duration(float64(time.Second) / usual))
		s.recordSpent(now, "court", false)
	}
	spent := 0
	for cut := now; now.Sub(cut) < window; now = now.Add(time.Millisecond) {
		alone = now.Sub(cut) > detected
		if s.take(now, "court") {
			spent++
		}
	}
	connected := perSecond*window.Seconds() + burst
	allowed := connected*(1+excess) + slack
	require.LessOrEqual(t, connected+isolated*float64(spent), allowed)
	require.Positive(t, spent)
}

// fleetRestart starts all nodes of a fleet at once, without an owner for a second, and returns the tokens that an
// organisation got and asked for in that time. The requests held up by the stop arrive at once.
func fleetRestart(perSecond, asked float64) (got, wanted int) {
	const (
		nodes  = 13
		stop   = 1200 * time.Millisecond
		absent = time.Second
	)
	for range nodes {
		s := newFallbackLimiter(func(string) (float64, bool) { return perSecond / nodes, false })
		now := time.Unix(100, 0)
		backlog := asked / nodes * stop.Seconds()
		for begin := now; now.Sub(begin) < absent; now = now.Add(time.Millisecond) {
			for backlog += asked / nodes / 1000; backlog >= 1; backlog-- {
				wanted++
				if s.take(now, "court") {
					got++
				}
			}
		}
	}
	return got, wanted
}

// TestFleetRestartBeforeRateOwnersGrant guards against refusals of requests within the rate because all nodes
// and owners have just started. An organisation that asks for many times its rate must stay within what a window
// allows.
func TestFleetRestartBeforeRateOwnersGrant(t *testing.T) {
	const (
		perSecond = 170.0
		window    = 5
		// excess and slack are what one window may exceed rate and burst by; the burst itself is not used here.
		excess, slack = 0.1, 20
	)
	got, wanted := fleetRestart(perSecond, 0.62*perSecond)
	require.Greater(t, float64(got), 0.98*float64(wanted), "tokens of an organisation at 62 in 100 of its rate")
	got, _ = fleetRestart(perSecond, 8*perSecond)
	before := perSecond * (window - 2)
	require.LessOrEqual(t, before+float64(got), perSecond*window*(1+excess)+slack, "tokens after %v seconds at the full rate and a stop", window-2)
}

// returningOwner answers nothing until the time back.
type returningOwner struct {
	owner *Owner
	back  time.Time
}

func (o returningOwner) Lease(ctx context.Context, _ string, r *apiv1.LeaseRequest) (*apiv1.LeaseResponse, error) {
	if time.Now().Before(o.back) {
		<-ctx.Done()
		return nil, errors.New("no answer")
	}
	time.Sleep(time.Millisecond)
	return o.owner.Lease(ctx, r)
}

// TestRareRequestsDetectReturnedOwner guards against a node that keeps refusing after its owner answers again. Requests
// of an organisation are so rare that the node asks for no tokens ahead, so the next request must ask the owner.
func TestRareRequestsDetectReturnedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := NewOwner(alwaysOwner{since: time.Now()}, sameLimits{perSecond: 10, burst: 10}, clock.System{}, Config{})
		placement := blackboard.NewSection(&apiv1.Placement{RateShards: 1, RateOwners: []*apiv1.ShardOwner{{Epoch: firstEpoch}}})
		back := time.Now().Add(4 * time.Second)
		c := NewClient(Identity{Node: "n", Incarnation: 1}, returningOwner{owner, back}, placement, clock.System{}, Config{})
		c.SetSilentOwnerShare(func(string) (float64, bool) { return 0.01, false })
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); c.Run(ctx) }()
		refused := 0
		for time.Since(back) < 10*time.Second {
			time.Sleep(2500 * time.Millisecond)
			_, refusal := c.Take(ctx, "court")
			if refusal != nil && time.Now().After(back) {
				refused++
			}
		}
		require.Zero(t, refused, "requests refused although the owner answers and has tokens")
		cancel()
		<-done
	})
}
