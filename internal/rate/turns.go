package rate

import (
	"container/heap"
	"time"
)

// serviceOrder is a heap of the leases whose nodes wait, the one served longest ago first, so that a node
// with little demand is not starved by those that ask all the time.
type serviceOrder []*lease

// Len implements heap.Interface.
func (t serviceOrder) Len() int { return len(t) }

// Less implements heap.Interface.
func (t serviceOrder) Less(i, j int) bool { return t[i].lastServed.Before(t[j].lastServed) }

// Swap implements heap.Interface.
func (t serviceOrder) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].orderIndex = i
	t[j].orderIndex = j
}

// Push implements heap.Interface.
func (t *serviceOrder) Push(x any) {
	l := x.(*lease)
	l.orderIndex = len(*t)
	*t = append(*t, l)
}

// Pop implements heap.Interface.
func (t *serviceOrder) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	return last
}

// add inserts a lease that is not in the order yet.
func (t *serviceOrder) add(l *lease) {
	heap.Push(t, l)
}

// remove takes a lease out of the order.
func (t *serviceOrder) remove(l *lease) {
	heap.Remove(t, l.orderIndex)
}

// isFirst reports whether a lease is the next to be served.
func (t serviceOrder) isFirst(l *lease) bool {
	return len(t) > 0 && t[0] == l
}

// rank estimates how many leases are served before one. It assumes that the times at which they were
// last served are spread evenly between the first one's and now.
func (t serviceOrder) rank(l *lease, now time.Time) float64 {
	if t.isFirst(l) {
		return 0
	}
	span := now.Sub(t[0].lastServed)
	if span <= 0 {
		return float64(len(t)) / 2
	}
	return float64(len(t)) * float64(l.lastServed.Sub(t[0].lastServed)) / float64(span)
}
