package spread

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// dataCentre models the nodes of a data centre, which all send the same share elsewhere.
type dataCentre struct {
	controller Controller
	// demand and inflow are the load of its own callers and of calls from elsewhere, in shares of its limits.
	demand, inflow float64
	// reports are the uses that will be reported, the next one first.
	reports []float64
	now     int64
}

// use returns the present use.
func (d *dataCentre) use() float64 { return d.demand*(1-d.controller.Value()) + d.inflow }

// run plays a time in which reports are late by a delay.
func (d *dataCentre) run(length, delay time.Duration, remoteUse float64) {
	for range length / Interval {
		d.reports = append(d.reports, d.use())
		late := max(len(d.reports)-1-int(delay/Interval), 0)
		d.now += int64(Interval)
		if elapsed, due := d.controller.Due(d.now); due {
			d.controller.Update(elapsed, Reading{Known: true, LocalUse: d.reports[late], RemoteUse: remoteUse, LocalSlots: 100})
		}
		d.reports = d.reports[late:]
	}
}

// TestUseSettlesAtTheGoal guards against a share that is too small, or swings, under steady demand above the limits and
// reports that are late.
func TestUseSettlesAtTheGoal(t *testing.T) {
	for _, delay := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond} {
		d := &dataCentre{demand: 1.3}
		d.run(5*time.Second, delay, 0)
		lowest, highest := math.Inf(1), 0.0
		for range 100 {
			d.run(Interval, delay, 0)
			lowest, highest = min(lowest, d.use()), max(highest, d.use())
		}
		require.InDelta(t, goalUse, highest, 0.06, "with a delay of %v", delay)
		require.Less(t, highest-lowest, 0.02, "with a delay of %v", delay)
	}
}

// TestNoCallsLeaveBelowTheGoal guards against calls that leave a data centre with room, also after a burst.
func TestNoCallsLeaveBelowTheGoal(t *testing.T) {
	d := &dataCentre{demand: 0.85}
	d.run(5*time.Second, 100*time.Millisecond, 0.2)
	require.Zero(t, d.controller.Value())
	d.demand = 1.5
	d.run(2*time.Second, 100*time.Millisecond, 0.2)
	require.Greater(t, d.controller.Value(), 0.3)
	d.demand = 0.7
	d.run(2*time.Second, 100*time.Millisecond, 0.2)
	require.Zero(t, d.controller.Value())
}

// TestCallsStayIfOthersAreFullToo guards against calls that leave for data centres without room, and calls that two data
// centres exchange.
func TestCallsStayIfOthersAreFullToo(t *testing.T) {
	d := &dataCentre{demand: 1.2}
	d.run(5*time.Second, 100*time.Millisecond, 1.2)
	require.Zero(t, d.controller.Value())

	a, b := &dataCentre{demand: 1.2}, &dataCentre{demand: 1.2}
	a.controller.share.set(0.5)
	b.controller.share.set(0.5)
	for range 500 {
		a.inflow, b.inflow = b.demand*b.controller.Value(), a.demand*a.controller.Value()
		ofA, ofB := a.use(), b.use()
		a.run(Interval, 100*time.Millisecond, ofB)
		b.run(Interval, 100*time.Millisecond, ofA)
	}
	require.Less(t, a.controller.Value(), 0.02)
	require.Less(t, b.controller.Value(), 0.02)
}

// TestShareFollowsTargetsThatLeave guards against queues that build up until reports show that a target has gone.
func TestShareFollowsTargetsThatLeave(t *testing.T) {
	d := &dataCentre{demand: 0.85}
	d.run(2*time.Second, 0, 0)
	d.controller.Update(Interval, Reading{Known: true, LocalUse: 0.85, LocalSlots: 50})
	require.InDelta(t, 1-goalUse/1.7, d.controller.Value(), 0.05)
}

// TestCallsReturnWithoutReports guards against a share that is kept for good when the targets nearby no longer report.
func TestCallsReturnWithoutReports(t *testing.T) {
	d := &dataCentre{demand: 2}
	d.run(2*time.Second, 0, 0)
	share := d.controller.Value()
	require.Greater(t, share, 0.4)
	for range 10 * time.Second / Interval {
		d.controller.Update(Interval, Reading{})
	}
	require.Less(t, d.controller.Value(), share/20)
}

// TestLongWaysAreTakenLater guards against calls that take twice as long elsewhere and leave while targets nearby have
// room.
func TestLongWaysAreTakenLater(t *testing.T) {
	for extra, leaves := range map[float64]bool{0: true, 1: false, 50: false} {
		var c Controller
		c.Due(1)
		for range 200 {
			c.Update(Interval, Reading{Known: true, LocalUse: goalUse + 0.04, LocalSlots: 1, ExtraTime: extra})
		}
		require.Equal(t, leaves, c.Value() > 0, "additional time %v", extra)
	}
}

// TestLargeBodiesStay guards against large bodies that are sent to other data centres while small ones could be, and
// against a change of the mean share.
func TestLargeBodiesStay(t *testing.T) {
	var c Controller
	c.share.set(0.3)
	require.Equal(t, 0.3, c.Share(-1), "a body of unknown size")
	sum, small, large := 0.0, 0.0, 0.0
	for range 1000 {
		small, large = c.Share(0), c.Share(360_000)
		sum += small + large
	}
	require.Greater(t, small, 2*large)
	require.InDelta(t, 0.3, sum/2000, 0.1)

	c = Controller{}
	c.share.set(0.3)
	for range 100 {
		require.InDelta(t, 0.3, c.Share(360_000), 1e-9, "bodies of one size")
	}
}

// TestOneUpdateIsDue guards against updates by several concurrent callers, and against an update for each call.
func TestOneUpdateIsDue(t *testing.T) {
	var c Controller
	_, due := c.Due(0)
	require.True(t, due)
	_, due = c.Due(int64(Interval) / 2)
	require.False(t, due)
	elapsed, due := c.Due(2 * int64(Interval))
	require.True(t, due)
	require.InDelta(t, 2*Interval, elapsed, 1)
}

// TestBeginAndEndAreReportedOnce guards against a log line for each update.
func TestBeginAndEndAreReportedOnce(t *testing.T) {
	d := &dataCentre{demand: 1.3}
	changes := 0
	for i := range 600 {
		if i == 300 {
			d.demand = 0.5
		}
		d.now += int64(Interval)
		elapsed, _ := d.controller.Due(d.now)
		if d.controller.Update(elapsed, Reading{Known: true, LocalUse: d.use(), LocalSlots: 1}) {
			changes++
		}
	}
	require.Equal(t, 2, changes)
	require.False(t, d.controller.Leaving())
}

// TestUseOfAnUnheardTarget guards against a target that counts as idle since it wasn't heard of, or as full for good.
func TestUseOfAnUnheardTarget(t *testing.T) {
	var u TargetUse
	require.Equal(t, AssumedUse, u.Value())
	for range 250 {
		u.Add(Interval, 1.5)
	}
	require.InDelta(t, 1.5, u.Value(), 0.01)
	require.Equal(t, minWeight, u.Weight())
	for range 1000 {
		u.AddUnheard(Interval)
	}
	require.InDelta(t, AssumedUse, u.Value(), 0.01)
}
