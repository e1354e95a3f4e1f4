package rate

import (
	"container/heap"
	"time"
)

// turns orders the leases whose nodes wait, the one served longest ago first, so that a node
// with little demand is not crowded out by those that ask all the time.
type turns []*lease

// Len implements heap.Interface.
func (t turns) Len() int { return len(t) }

// Less implements heap.Interface.
func (t turns) Less(i, j int) bool { return t[i].served.Before(t[j].served) }

// Swap implements heap.Interface.
func (t turns) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].turn = i
	t[j].turn = j
}

// Push implements heap.Interface.
func (t *turns) Push(x any) {
	l := x.(*lease)
	l.turn = len(*t)
	*t = append(*t, l)
}

// Pop implements heap.Interface.
func (t *turns) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	return last
}

// join adds a lease that is not in the order yet.
func (t *turns) join(l *lease) {
	heap.Push(t, l)
}

// leave takes a lease out of the order.
func (t *turns) leave(l *lease) {
	heap.Remove(t, l.turn)
}

// first reports whether it is the lease's turn.
func (t turns) first(l *lease) bool {
	return len(t) > 0 && t[0] == l
}

// rank estimates how many leases come before one, as if the times at which they were served
// lay evenly between the first one's and now.
func (t turns) rank(l *lease, now time.Time) float64 {
	if t.first(l) {
		return 0
	}
	span := now.Sub(t[0].served)
	if span <= 0 {
		return float64(len(t)) / 2
	}
	return float64(len(t)) * float64(l.served.Sub(t[0].served)) / float64(span)
}
