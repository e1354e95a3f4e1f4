package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFixedLimitStaysBelowAnnouncedSlots guards against a fixed limit that fills every announced slot: a target
// that slows down when it is nearly full finishes more with one request less in flight.
func TestFixedLimitStaysBelowAnnouncedSlots(t *testing.T) {
	const slots = 19
	c := NewStateMachine(Config{Slots: slots, FixedLimit: true, NoShedding: true})
	now := time.Unix(1, 0)
	started := 0
	for range 2 * slots {
		if c.Arrive(now, &Waiter{Request: Request{Deadline: now.Add(time.Second)}}).Verdict == Started {
			started++
		}
	}
	require.Less(t, float64(started), 0.95*slots+0.001)
	require.GreaterOrEqual(t, started, slots-1)
}

// TestRejectionsByTheTargetDoNotLowerAFixedLimit guards against starving a target that rejects part of its
// requests at any load: it must still get the others.
func TestRejectionsByTheTargetDoNotLowerAFixedLimit(t *testing.T) {
	c := NewStateMachine(Config{Slots: 20, FixedLimit: true, NoShedding: true})
	now := time.Unix(1, 0)
	for range 2000 {
		now = now.Add(5 * time.Millisecond)
		c.Arrive(now, &Waiter{Request: Request{Deadline: now.Add(time.Second)}})
		c.Finish(now, now.Add(-time.Millisecond), Result{Kind: Rejected})
	}
	require.Equal(t, 19, c.Load(now, "").Limit)
}

// TestRequestIsRefusedAtOnceIfTheQueueIsTooLong guards against a request that waits in vain: when the expected
// queueing time exceeds its MaxWait it is refused at once, so that its caller has time for a retry.
func TestRequestIsRefusedAtOnceIfTheQueueIsTooLong(t *testing.T) {
	c := NewStateMachine(Config{Slots: 2, FixedLimit: true, NoShedding: true})
	now := time.Unix(1, 0)
	arrive := func(depth int, wait time.Duration) Decision {
		return c.Arrive(now, &Waiter{Request: Request{Depth: depth, Deadline: now.Add(5 * time.Second), MaxWait: wait}})
	}
	arrive(0, time.Second)
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		c.Finish(now, now.Add(-100*time.Millisecond), Result{Kind: Success})
		arrive(0, time.Second)
	}
	for range 4 {
		require.Equal(t, Queued, arrive(1, 3*time.Second).Verdict)
	}
	require.Equal(t, Refused, arrive(0, 50*time.Millisecond).Verdict)
}
