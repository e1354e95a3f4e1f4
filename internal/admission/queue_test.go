package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var queueEpoch = time.Unix(1000, 0)

// drawWaiter returns a random request that is queued as the n-th.
func drawWaiter(t *rapid.T, n int) *Waiter {
	return &Waiter{
		Request: Request{
			Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
			Weight:       rapid.SampledFrom([]float64{0, 1, 4}).Draw(t, "weight"),
			Priority:     rapid.IntRange(0, 3).Draw(t, "priority"),
			Depth:        rapid.IntRange(0, 3).Draw(t, "depth"),
			Deadline:     queueEpoch.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "deadline")) * time.Millisecond),
		},
		queuedAt: queueEpoch.Add(time.Duration(n)),
	}
}

// mustPrecede reports whether a must leave the queue before b. Between organisations of one class and depth the
// order depends on their shares, so neither must.
func mustPrecede(a, b *Waiter) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.Depth != b.Depth {
		return a.Depth > b.Depth
	}
	return a.Organisation == b.Organisation && a.Deadline.Before(b.Deadline)
}

// TestQueueOrder guards against requests that leave or are evicted out of order, and against wrong counts.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &queue{}
		held := map[*Waiter]bool{}
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				w := q.pop()
				for other := range held {
					require.False(t, other != w && mustPrecede(other, w))
				}
				delete(held, w)
			case 1:
				w := q.leastImportant()
				for other := range held {
					require.False(t, other != w && mustPrecede(w, other))
				}
				require.Equal(t, w != nil, w != nil && q.remove(w))
				delete(held, w)
			default:
				w := drawWaiter(t, n)
				q.push(w)
				held[w] = true
			}
			require.Equal(t, len(held), q.length)
			require.Equal(t, q.length, q.ahead(MaxPriority))
		}
		for len(held) > 0 {
			delete(held, q.pop())
		}
		require.Nil(t, q.pop())
	})
}

// TestQueueSharesByWeight guards against shares that don't follow the weights of the organisations.
func TestQueueSharesByWeight(t *testing.T) {
	q := &queue{}
	for n := range 400 {
		for name, weight := range map[string]float64{"large": 3, "small": 1} {
			q.push(&Waiter{Request: Request{Organisation: name, Weight: weight}, queuedAt: queueEpoch.Add(time.Duration(n))})
		}
	}
	served := map[string]int{}
	for range 400 {
		served[q.pop().Organisation]++
	}
	require.InDelta(t, 300, served["large"], 2)
}

// TestQueueGivesLateArrivalItsShareAtOnce guards against an organisation that waits behind the whole backlog of
// another one that queued earlier.
func TestQueueGivesLateArrivalItsShareAtOnce(t *testing.T) {
	q := &queue{}
	for range 100 {
		q.push(&Waiter{Request: Request{Organisation: "flood"}})
	}
	for range 50 {
		q.pop()
	}
	q.push(&Waiter{Request: Request{Organisation: "late"}})
	next := []string{q.pop().Organisation, q.pop().Organisation}
	require.Contains(t, next, "late")
}
