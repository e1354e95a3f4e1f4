package lab

import (
	"container/heap"
	"time"
)

// Sim runs events in virtual time. It implements clock.Clock.
type Sim struct {
	now        time.Time
	events     eventHeap
	lastNumber uint64
}

// event is a function to call at a given time; events of equal times run in the order of their numbers.
type event struct {
	at     time.Time
	number uint64
	fn     func()
}

// NewSim returns a simulation without events.
func NewSim() *Sim {
	return &Sim{now: time.Unix(1_000_000, 0)}
}

// Now returns the virtual time.
func (s *Sim) Now() time.Time {
	return s.now
}

// After schedules fn to run when d has passed in virtual time.
func (s *Sim) After(d time.Duration, fn func()) {
	s.lastNumber++
	heap.Push(&s.events, event{at: s.now.Add(d), number: s.lastNumber, fn: fn})
}

// Run executes the events of the next d and advances the virtual time by d.
func (s *Sim) Run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.fn()
	}
	s.now = end
}

// eventHeap implements heap.Interface, earliest event first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].number < h[j].number
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}
