package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavaford/guavaford/internal/clock/clocktest"
)

// noLuck makes a Bucket that holds less than a token grant nothing.
func noLuck() float64 { return 1 }

// TestBucketsLimitRetriesInEverySpan guards against retries beyond the ratio of the requests in the same span and what the buckets hold
// and earn, whatever the order and times of events, and though buckets are replaced by new ones as those of restarted nodes are.
func TestBucketsLimitRetriesInEverySpan(t *testing.T) {
	const ratio, capacity, perSecond, nodes = 0.2, 3.0, 0.5, 2
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		buckets := make([]*Bucket, nodes)
		renew := func(n int) {
			buckets[n] = NewBucket(ratio, noLuck)
			buckets[n].SetShare(now, capacity, perSecond)
		}
		for n := range buckets {
			renew(n)
		}
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap ms")) * time.Millisecond)
			n := rapid.IntRange(0, nodes-1).Draw(t, "node")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				renew(n)
			case 1, 2, 3, 4:
				buckets[n].CountRequest(now)
				requests = append(requests, now)
			default:
				if buckets[n].Take(now) {
					retries = append(retries, now)
				}
			}
		}
		for first, from := range retries {
			for last := first; last < len(retries); last++ {
				until := retries[last]
				earned := 0.0
				for _, at := range requests {
					if !at.Before(from) && !at.After(until) {
						earned += ratio
					}
				}
				bound := earned + nodes*(capacity+perSecond*until.Sub(from).Seconds())
				require.LessOrEqual(t, float64(last-first+1), bound+1e-6)
			}
		}
	})
}

// TestBucketAllowsItsRatio guards against a bucket that allows fewer retries than the ratio while requests go on.
func TestBucketAllowsItsRatio(t *testing.T) {
	for _, capacity := range []float64{0.1, 0.6, 1, 5} {
		now, random := time.Unix(5, 0), rand.New(rand.NewPCG(1, 1))
		b := NewBucket(0.2, random.Float64)
		b.SetShare(now, capacity, 0)
		granted := 0
		for range 100_000 {
			b.CountRequest(now)
			if b.Take(now) {
				granted++
			}
		}
		// A bucket for less than one request's earnings loses what it can't hold.
		require.InDelta(t, min(0.2, capacity), float64(granted)/100_000, 0.005, "capacity %v", capacity)
	}
}

// TestBucketWithoutShareAllowsNothing guards against retries at a node that does not know its share, and against tokens of a
// share that was lowered.
func TestBucketWithoutShareAllowsNothing(t *testing.T) {
	now := time.Unix(5, 0)
	b := NewBucket(0.2, func() float64 { return 0 })
	for range 100 {
		b.CountRequest(now)
	}
	require.False(t, b.Take(now))
	b.SetShare(now, 8, 1)
	now = now.Add(time.Minute)
	b.SetShare(now, 2, 1)
	require.True(t, b.Take(now))
	require.True(t, b.Take(now))
	require.False(t, b.Take(now))
}

// TestBucketIgnoresSetClock guards against more retries than allowed when the clock of the host is set: time earns what has passed,
// whatever the time of day.
func TestBucketIgnoresSetClock(t *testing.T) {
	const length = 10 * time.Second
	start := time.Now()
	for _, step := range []time.Duration{2400 * time.Millisecond, -2400 * time.Millisecond, time.Hour, -time.Hour} {
		b := NewBucket(0.2, noLuck)
		b.SetShare(start, 10, 0.5)
		granted := 0
		for range 50 {
			b.CountRequest(start)
		}
		for at := time.Duration(0); at < length; at += 100 * time.Millisecond {
			now := start.Add(at)
			if at > 4*time.Second {
				now = clocktest.Set(now, step)
			}
			for b.Take(now) {
				granted++
			}
		}
		require.LessOrEqual(t, granted, 15, "step %v", step)
		require.GreaterOrEqual(t, granted, 14, "step %v", step)
	}
}

// TestOldRequestsAllowNoRetries guards against retries for requests that lie far back: what they earned is bounded by the
// capacity.
func TestOldRequestsAllowNoRetries(t *testing.T) {
	now := time.Unix(5, 0)
	b := NewBucket(1, noLuck)
	b.SetShare(now, 2, 0)
	for range 100 {
		b.CountRequest(now)
	}
	granted := 0
	for b.Take(now.Add(time.Second)) {
		granted++
	}
	require.Equal(t, 2, granted)
}
