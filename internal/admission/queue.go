package admission

import (
	"container/heap"
	"math/bits"
	"time"
)

// maxDepthBand is the depth in the call tree from which the queue treats requests as equally deep.
const maxDepthBand = 7

// Waiter is a request that may queue. Its owner may reuse it once it has left the queue.
type Waiter struct {
	Request
	// QueueDeadline is when the request is refused if it is still queued.
	QueueDeadline time.Time
	queuedAt      time.Time
	// flow is the flow that holds the request, nil when it is not queued; index is its place in the flow's heap.
	flow  *flow
	index int
	// decided carries the decision to the goroutine that waits for it; nil when the owner
	// calls StateMachine.TakeDecisions itself.
	decided chan Decision
}

// flow is the heap of the queued requests of one organisation in a band, ordered by deadline.
type flow struct {
	organisation string
	weight       float64
	// virtualStart is the virtual time at which the next request of the flow is due.
	virtualStart float64
	waiters      []*Waiter
}

// Len, Less, Swap, Push and Pop implement heap.Interface, earliest deadline first.
func (f *flow) Len() int { return len(f.waiters) }

func (f *flow) Less(i, j int) bool {
	a, b := f.waiters[i], f.waiters[j]
	if a.Deadline.Equal(b.Deadline) {
		return a.queuedAt.Before(b.queuedAt)
	}
	return !a.Deadline.IsZero() && (b.Deadline.IsZero() || a.Deadline.Before(b.Deadline))
}

func (f *flow) Swap(i, j int) {
	f.waiters[i], f.waiters[j] = f.waiters[j], f.waiters[i]
	f.waiters[i].index = i
	f.waiters[j].index = j
}

func (f *flow) Push(x any) {
	w := x.(*Waiter)
	w.index = len(f.waiters)
	f.waiters = append(f.waiters, w)
}

func (f *flow) Pop() any {
	last := len(f.waiters) - 1
	w := f.waiters[last]
	f.waiters[last] = nil
	f.waiters = f.waiters[:last]
	return w
}

// latest returns the waiter with the latest deadline.
func (f *flow) latest() *Waiter {
	last := 0
	for i := range f.waiters {
		if f.Less(last, i) {
			last = i
		}
	}
	return f.waiters[last]
}

// band holds the queued requests of one class and depth. Organisations share it by
// start-time fair queueing: the flow with the earliest virtual start is next.
type band struct {
	// virtualTime is the virtual start of the request that was popped last.
	virtualTime float64
	flows       []*flow
	length      int
}

// flowOf returns the flow of an organisation, and creates it if it is missing.
func (b *band) flowOf(organisation string, weight float64) *flow {
	for _, f := range b.flows {
		if f.organisation == organisation {
			f.weight = weight
			return f
		}
	}
	f := &flow{organisation: organisation, weight: weight, virtualStart: b.virtualTime}
	b.flows = append(b.flows, f)
	return f
}

// push queues a request in the flow of its organisation.
func (b *band) push(w *Waiter) {
	f := b.flowOf(w.Organisation, w.weight())
	if len(f.waiters) == 0 {
		f.virtualStart = max(f.virtualStart, b.virtualTime)
	}
	w.flow = f
	heap.Push(f, w)
	b.length++
}

// pop removes and returns the next request. It drops empty flows that are not ahead of the
// virtual time, since a new flow would start at the same place.
func (b *band) pop() *Waiter {
	var next *flow
	kept := b.flows[:0]
	for _, f := range b.flows {
		if len(f.waiters) == 0 && f.virtualStart <= b.virtualTime {
			continue
		}
		kept = append(kept, f)
		if len(f.waiters) > 0 && (next == nil || f.virtualStart < next.virtualStart) {
			next = f
		}
	}
	clear(b.flows[len(kept):])
	b.flows = kept
	b.virtualTime = next.virtualStart
	next.virtualStart += 1 / next.weight
	b.length--
	return heap.Pop(next).(*Waiter)
}

// leastImportant returns the request to evict first: the one with the latest deadline of the
// organisation whose queue is the longest in relation to its weight.
func (b *band) leastImportant() *Waiter {
	var longest *flow
	for _, f := range b.flows {
		if longest == nil || float64(len(f.waiters))/f.weight > float64(len(longest.waiters))/longest.weight {
			longest = f
		}
	}
	return longest.latest()
}

// queue orders requests by class, depth, organisation and deadline.
type queue struct {
	bands [MaxPriority + 1][maxDepthBand + 1]band
	// classBits and depthBits have a bit set for each class, and for each depth of it, with
	// queued requests.
	classBits   uint16
	depthBits   [MaxPriority + 1]uint8
	classLength [MaxPriority + 1]int
	length      int
}

// bandOf returns the class and the depth of the band of a request.
func bandOf(r *Request) (priority, depth int) {
	return clampPriority(r.Priority), min(max(r.Depth, 0), maxDepthBand)
}

// push queues a request.
func (q *queue) push(w *Waiter) {
	priority, depth := bandOf(&w.Request)
	q.bands[priority][depth].push(w)
	q.classBits |= 1 << priority
	q.depthBits[priority] |= 1 << depth
	q.classLength[priority]++
	q.length++
}

// pop removes and returns the next request; nil when the queue is empty.
func (q *queue) pop() *Waiter {
	if q.length == 0 {
		return nil
	}
	priority := bits.TrailingZeros16(q.classBits)
	depth := bits.Len8(q.depthBits[priority]) - 1
	w := q.bands[priority][depth].pop()
	q.removed(w, priority, depth)
	return w
}

// leastImportant returns the request to evict first; nil when the queue is empty.
func (q *queue) leastImportant() *Waiter {
	if q.length == 0 {
		return nil
	}
	priority := bits.Len16(q.classBits) - 1
	depth := bits.TrailingZeros8(q.depthBits[priority])
	return q.bands[priority][depth].leastImportant()
}

// remove takes a request out of the queue. It returns false when it is no longer queued.
func (q *queue) remove(w *Waiter) bool {
	if w.flow == nil {
		return false
	}
	priority, depth := bandOf(&w.Request)
	heap.Remove(w.flow, w.index)
	q.bands[priority][depth].length--
	q.removed(w, priority, depth)
	return true
}

// removed updates the counts and bits after a request has left its band.
func (q *queue) removed(w *Waiter, priority, depth int) {
	w.flow = nil
	q.classLength[priority]--
	q.length--
	if q.bands[priority][depth].length == 0 {
		q.depthBits[priority] &^= 1 << depth
	}
	if q.classLength[priority] == 0 {
		q.classBits &^= 1 << priority
	}
}

// ahead returns the number of queued requests in the given class and all more important ones.
func (q *queue) ahead(priority int) int {
	n := 0
	for p := range clampPriority(priority) + 1 {
		n += q.classLength[p]
	}
	return n
}
