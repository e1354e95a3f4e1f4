package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/outcome"
)

// TestColdRateBoundsStartsInEverySecond guards against a cold target that gets more than its rate allows in some second, whatever arrives and
// ends, and when it becomes cold and warm: with requests queued, running, and permitted but not sent yet.
func TestColdRateBoundsStartsInEverySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const perSecond = 13.0
		now := time.Unix(1000, 0)
		c := NewStateMachine(Config{Slots: 50, FixedLimit: true, NoShedding: true})
		cold := false
		var sent []time.Time // while cold
		var unsent []Decision
		running := 0
		send := func() {
			for _, d := range unsent {
				if c.confirmStart(now, d.epoch) {
					running++
					if cold {
						sent = append(sent, now)
					}
				} else {
					c.Finish(now, now, Result{Kind: Cancelled})
				}
			}
			unsent = nil
		}
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "gap ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				if running > 0 {
					running--
					c.Finish(now, now.Add(-20*time.Millisecond), Result{Kind: Success})
				}
			case 1:
				c.Wake(now)
			case 2:
				send()
			case 3:
				// A target that becomes warm in between may get any number.
				cold, sent = !cold, nil
				c.SetColdRate(now, map[bool]float64{true: perSecond}[cold])
			default:
				if d := c.Arrive(now, &Waiter{Request: Request{MaxWait: time.Second}}); d.Verdict == Started {
					unsent = append(unsent, d)
				}
			}
			for _, d := range c.TakeDecisions() {
				if d.Verdict == Started {
					unsent = append(unsent, d.Decision)
				} else {
					require.Equal(t, outcome.RanNo, d.Refusal.Ran)
				}
			}
			if rapid.Bool().Draw(t, "at once") {
				send()
			}
		}
		for first, from := range sent {
			for last := first; last < len(sent) && sent[last].Sub(from) < time.Second; last++ {
				require.LessOrEqual(t, float64(last-first+1), 1.5*perSecond+8)
			}
		}
	})
}

// TestQueueOfATargetThatBecomesColdIsShort guards against queued requests that wait for a cold target while others have room.
func TestQueueOfATargetThatBecomesColdIsShort(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewStateMachine(Config{Slots: 2, FixedLimit: true, NoShedding: true})
	c.Arrive(now, &Waiter{})
	var queued []*Waiter
	for priority := range 5 {
		w := &Waiter{Request: Request{Priority: priority, MaxWait: time.Minute}}
		require.Equal(t, Queued, c.Arrive(now, w).Verdict)
		queued = append(queued, w)
	}
	c.SetColdRate(now, 10)
	decisions := c.TakeDecisions()
	require.Len(t, decisions, 3, "two fit the rate")
	for i, d := range decisions {
		require.Same(t, queued[4-i], d.Waiter, "the least important ones go")
		require.Equal(t, outcome.QueueFull, d.Refusal.Code, "so that callers try another target")
		require.Equal(t, outcome.RanNo, d.Refusal.Ran)
	}
	late := &Waiter{Request: Request{MaxWait: time.Minute, Priority: -1}}
	require.Equal(t, Queued, c.Arrive(now, late).Verdict)
	require.Equal(t, now.Add(coldQueueTime), late.QueueDeadline)
	c.TakeDecisions()
	c.Expire(now.Add(coldQueueTime), late)
	require.Equal(t, outcome.QueueFull, c.TakeDecisions()[0].Refusal.Code)
}

// TestColdTimeLeavesNoTraceInTheLimit guards against a target that is taken for slow or overloaded once it is warm, since it was slow and
// rejected requests while it was cold.
func TestColdTimeLeavesNoTraceInTheLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewStateMachine(Config{Slots: 50, NoShedding: true})
	run := func(n int, took time.Duration, kind ResultKind) {
		for range n {
			now = now.Add(took)
			require.Equal(t, Started, c.Arrive(now, &Waiter{}).Verdict)
			c.Finish(now.Add(took), now, Result{Kind: kind})
		}
	}
	run(100, 10*time.Millisecond, Success)
	warm := c.Load(now, "")
	c.SetColdRate(now, 13)
	run(60, 500*time.Millisecond, Rejected)
	run(60, 500*time.Millisecond, Success)
	require.Equal(t, 13.0, c.Load(now, "").ColdRate)
	require.Equal(t, 7, c.Load(now, "").Limit, "the number of requests that the cold rate keeps busy")
	started := now
	c.Arrive(now, &Waiter{})
	now = now.Add(time.Second)
	c.SetColdRate(now, 0)
	c.Finish(now.Add(time.Second), started, Result{Kind: Rejected})
	after := c.Load(now, "")
	require.Equal(t, warm.Limit, after.Limit)
	require.LessOrEqual(t, after.Latency, warm.Latency)
}

// TestPermitGivenBeforeTheTargetBecameCold guards against requests that were admitted to a warm target and reach it once it is cold.
func TestPermitGivenBeforeTheTargetBecameCold(t *testing.T) {
	g := NewController(Config{Slots: 50, FixedLimit: true, NoShedding: true}, clock.System{})
	var permits []Permit
	for range 30 {
		p, refusal := g.Acquire(t.Context(), Request{})
		require.Nil(t, refusal)
		permits = append(permits, p)
	}
	require.True(t, permits[0].Confirm())
	g.SetColdRate(13)
	confirmed := 0
	for i := range permits {
		p := &permits[i]
		if p.Confirm() {
			confirmed++
		}
		p.Release(Result{Kind: Cancelled})
	}
	require.LessOrEqual(t, confirmed, 2)
	g.SetColdRate(0)
	require.True(t, permits[0].Confirm(), "the target is warm")
}
