package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavaford/guavaford/internal/clock"
)

// TestRateLimitBoundsStartsInEverySpan guards against a target that gets more requests in some span than the limit that it names, and
// a tenth of a second's worth or one: whatever arrives, ends, and is set when.
func TestRateLimitBoundsStartsInEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.SampledFrom([]float64{0.5, 3, 38.4, 200}).Draw(t, "limit")
		now := time.Unix(1000, 0)
		c := NewStateMachine(Config{Slots: 50, FixedLimit: true, NoShedding: true})
		c.SetRateLimit(now, perSecond)
		var started []time.Time
		running := 0
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "gap ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				if running > 0 {
					running--
					c.Finish(now, now.Add(-20*time.Millisecond), Result{Kind: Success})
				}
			case 1:
				c.Wake(now)
			default:
				if c.Arrive(now, &Waiter{Request: Request{MaxWait: time.Second}}).Verdict == Started {
					started, running = append(started, now), running+1
				}
			}
			for _, d := range c.TakeDecisions() {
				if d.Verdict == Started {
					started, running = append(started, now), running+1
				}
			}
		}
		for first, from := range started {
			for last := first; last < len(started); last++ {
				span := started[last].Sub(from).Seconds()
				require.LessOrEqual(t, float64(last-first+1), perSecond*span+max(1, 0.1*perSecond)+1e-6)
			}
		}
	})
}

// TestRateLimitIsUsed guards against a target that gets much less than the limit that it names while requests wait for it.
func TestRateLimitIsUsed(t *testing.T) {
	const length = 20 * time.Second
	for _, perSecond := range []float64{2, 38.4, 200} {
		start := time.Unix(1000, 0)
		c := NewStateMachine(Config{Slots: 50, FixedLimit: true, NoShedding: true})
		c.SetRateLimit(start, perSecond)
		total := 0
		var ends []time.Time
		for now := start; now.Sub(start) < length; now = now.Add(time.Millisecond) {
			for len(ends) > 0 && !ends[0].After(now) {
				c.Finish(now, ends[0].Add(-100*time.Millisecond), Result{Kind: Success})
				ends = ends[1:]
			}
			// A caller asks each two milliseconds and waits for two seconds at most.
			if now.UnixMilli()%2 == 0 && c.Arrive(now, &Waiter{Request: Request{MaxWait: 2 * time.Second, Deadline: now.Add(5 * time.Second)}}).Verdict == Started {
				total++
				ends = append(ends, now.Add(100*time.Millisecond))
			}
			c.Wake(now)
			for _, d := range c.TakeDecisions() {
				if d.Verdict == Started {
					total++
					ends = append(ends, now.Add(100*time.Millisecond))
				}
			}
		}
		require.InDelta(t, perSecond*length.Seconds(), total, 0.05*perSecond*length.Seconds()+1, "limit %v", perSecond)
	}
}

// TestMoreImportantRequestsStartFirstAtARateLimit guards against a rate limit that is spent in the order of arrival.
func TestMoreImportantRequestsStartFirstAtARateLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewStateMachine(Config{Slots: 50, FixedLimit: true, NoShedding: true})
	c.SetRateLimit(now, 10)
	var waiters []*Waiter
	for _, priority := range []int{2, 2, 0, 1} {
		w := &Waiter{Request: Request{Priority: priority, MaxWait: time.Second}}
		waiters = append(waiters, w)
		require.Equal(t, Queued, c.Arrive(now, w).Verdict)
	}
	var order []int
	for range 4 {
		after, ok := c.NextWake(now)
		require.True(t, ok)
		require.InDelta(t, 100*time.Millisecond, after, float64(time.Millisecond))
		now = now.Add(after)
		c.Wake(now)
		for _, d := range c.TakeDecisions() {
			order = append(order, d.Waiter.Priority)
		}
	}
	require.Equal(t, []int{0, 1, 2, 2}, order)
	_, ok := c.NextWake(now)
	require.False(t, ok, "no request waits")
	require.Len(t, waiters, 4)
}

// TestLoadShowsTheRateLimit guards against entries that take a target for idle since its slots are free, while it accepts few
// requests.
func TestLoadShowsTheRateLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewStateMachine(Config{Slots: 50, FixedLimit: true, NoShedding: true})
	for range 20 {
		c.Arrive(now, &Waiter{})
		now = now.Add(100 * time.Millisecond)
		c.Finish(now, now.Add(-100*time.Millisecond), Result{Kind: Success})
	}
	require.Equal(t, 47, c.Load(now, "").Limit)
	c.SetRateLimit(now, 38.4)
	require.Equal(t, Load{Limit: 4, Latency: 100 * time.Millisecond, RateLimit: 38.4}, c.Load(now, ""))
	c.SetRateLimit(now, 0)
	require.Equal(t, 47, c.Load(now, "").Limit)
}

// TestQueuedRequestStartsAtTheNextToken guards against a request that waits for another event though the rate limit allows it.
func TestQueuedRequestStartsAtTheNextToken(t *testing.T) {
	g := NewController(Config{Slots: 50, FixedLimit: true, NoShedding: true}, clock.System{})
	g.SetRateLimit(20)
	start := time.Now()
	for range 3 {
		_, refusal := g.Acquire(t.Context(), Request{MaxWait: 10 * time.Second})
		require.Nil(t, refusal)
	}
	require.GreaterOrEqual(t, time.Since(start), 140*time.Millisecond)
	require.Less(t, time.Since(start), 5*time.Second)
}
