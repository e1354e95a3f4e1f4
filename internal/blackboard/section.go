// Package blackboard provides the sections through which the components of a process exchange state.
//
// A section holds one value of one type. It has one writer and any number of readers. The writer replaces the value as
// a whole; a published value is immutable. Readers load it through an atomic pointer and take no lock; components
// that react to changes wait on a channel for the next value.
package blackboard

import (
	"sync"
	"sync/atomic"
)

// Section holds the current value of one kind of state and counts the values published. It is safe for concurrent
// use.
type Section[T any] struct {
	current atomic.Pointer[versioned[T]]
	mu      sync.Mutex
}

// versioned is one published value, with a channel that is closed when the next one is published.
type versioned[T any] struct {
	value   *T
	version uint64
	changed chan struct{}
}

// NewSection returns a section that holds initial as version 0.
func NewSection[T any](initial *T) *Section[T] {
	s := &Section[T]{}
	s.current.Store(&versioned[T]{value: initial, changed: make(chan struct{})})
	return s
}

// Load returns the current value. The caller must not modify it.
func (s *Section[T]) Load() *T {
	return s.current.Load().value
}

// Version returns the number of values published so far.
func (s *Section[T]) Version() uint64 {
	return s.current.Load().version
}

// Publish replaces the value and closes the channels that Watch has returned.
func (s *Section[T]) Publish(value *T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Load()
	s.current.Store(&versioned[T]{value: value, version: old.version + 1, changed: make(chan struct{})})
	close(old.changed)
}

// Watch returns the current value and a channel that is closed when a newer one is published.
func (s *Section[T]) Watch() (*T, <-chan struct{}) {
	v := s.current.Load()
	return v.value, v.changed
}
