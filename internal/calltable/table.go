// Package calltable records the non-idempotent calls of one node beside its targets.
//
// A call is identified by its key (dispatching node, incarnation, number). The record
// says how far the call has come: queued, running, finished, or fenced. Fencing is the
// promise that a call was not started and never will be; the dispatching node may then
// send the request elsewhere. The answer of a finished call stays for AnswerRetention,
// so that it can be fetched over another connection. The bare fact that a call was
// started stays for KeyRetention, which exceeds the longest deadline of a request, so
// that a late fence is never answered with a false promise.
package calltable

import (
	"sync"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
)

// Limits of the table.
const (
	// AnswerRetention is how long the answer of a finished call can be fetched.
	AnswerRetention = 30 * time.Second
	// KeyRetention is how long the state of a call is known. It exceeds
	// config.MaxTimeout.
	KeyRetention = 15 * time.Minute
	// MaxCalls bounds the calls in the table; beyond it new ones are refused.
	MaxCalls = 1 << 20
	// MaxKeptBytes bounds the kept answers; beyond it the oldest are dropped early.
	MaxKeptBytes = 64 << 20
)

// Key identifies one attempt of one call.
type Key struct {
	Node        string
	Incarnation uint64
	Number      uint64
}

// KeyOf returns the key that a message carries.
func KeyOf(m *apiv1.CallKey) Key {
	return Key{Node: m.GetNode(), Incarnation: m.GetIncarnation(), Number: m.GetNumber()}
}

// Message returns the key as it travels between nodes.
func (k Key) Message() *apiv1.CallKey {
	return &apiv1.CallKey{Node: k.Node, Incarnation: k.Incarnation, Number: k.Number}
}

// state is how far a call has come.
type state int

const (
	queued state = iota
	running
	finished
	fenced
)

// Call is the record of one call.
type Call struct {
	Spool *Spool
	// cancelQueued ends the wait of a call that is still queued.
	cancelQueued func()
	state        state
}

// BeginResult says whether a call may go on.
type BeginResult int

// The results of Begin.
const (
	// Begun: the call is new and queued.
	Begun BeginResult = iota
	// Fenced: the dispatching node was promised that the call never starts.
	Fenced
	// Duplicate: the call is already known.
	Duplicate
	// Full: the table has no room.
	Full
)

// Table holds the calls of one node. It is safe for concurrent use.
type Table struct {
	clock clock.Clock
	mu    sync.Mutex
	calls map[Key]*Call
	// ends lists finished and fenced calls in the order of their end.
	ends []endedCall
	// answers lists the kept answers in the order of their end.
	answers []keptAnswer
	// kept is the sum of the kept answers in bytes.
	kept int
}

type endedCall struct {
	key   Key
	ended time.Time
}

type keptAnswer struct {
	spool *Spool
	ended time.Time
	bytes int
}

// New returns an empty table.
func New(c clock.Clock) *Table {
	return &Table{clock: c, calls: make(map[Key]*Call)}
}

// Begin records a call that waits for admission.
func (t *Table) Begin(key Key, cancelQueued func()) (*Call, BeginResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	if call, ok := t.calls[key]; ok {
		if call.state == fenced {
			return nil, Fenced
		}
		return call, Duplicate
	}
	if len(t.calls) >= MaxCalls {
		return nil, Full
	}
	call := &Call{Spool: NewSpool(), cancelQueued: cancelQueued}
	t.calls[key] = call
	return call, Begun
}

// Start moves a queued call to running. It returns false when the call was fenced meanwhile.
func (t *Table) Start(call *Call) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if call.state != queued {
		return false
	}
	call.state = running
	return true
}

// Refuse ends a call that was not started and never will be.
func (t *Table) Refuse(key Key, call *Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if call.state == queued {
		t.end(key, call, fenced)
	}
}

// Finish ends a running call. Its answer is in the spool.
func (t *Table) Finish(key Key, call *Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end(key, call, finished)
}

// end records the final state of a call. The caller holds mu.
func (t *Table) end(key Key, call *Call, s state) {
	call.state = s
	now := t.clock.Now()
	t.ends = append(t.ends, endedCall{key: key, ended: now})
	if size := call.Spool.size(); size > 0 {
		t.kept += size
		t.answers = append(t.answers, keptAnswer{spool: call.Spool, ended: now, bytes: size})
	}
	t.expire()
}

// Fence promises that the call was not started and never will be, unless it was.
func (t *Table) Fence(key Key) apiv1.CallState {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	call, ok := t.calls[key]
	if !ok {
		if len(t.calls) >= MaxCalls {
			return apiv1.CallState_CALL_STATE_UNSPECIFIED
		}
		call = &Call{Spool: NewSpool()}
		t.calls[key] = call
		t.end(key, call, fenced)
		return apiv1.CallState_CALL_STATE_FENCED
	}
	switch call.state {
	case queued:
		t.end(key, call, fenced)
		call.cancelQueued()
		return apiv1.CallState_CALL_STATE_FENCED
	case fenced:
		return apiv1.CallState_CALL_STATE_FENCED
	case running:
		return apiv1.CallState_CALL_STATE_RUNNING
	default:
		return apiv1.CallState_CALL_STATE_FINISHED
	}
}

// Find returns the record of a call that was started.
func (t *Table) Find(key Key) (*Call, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	call, ok := t.calls[key]
	if !ok || call.state == fenced {
		return nil, false
	}
	return call, true
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.calls)
}

// expire forgets calls past KeyRetention and frees answers past AnswerRetention or
// beyond MaxKeptBytes. The caller holds mu.
func (t *Table) expire() {
	now := t.clock.Now()
	for len(t.ends) > 0 && now.Sub(t.ends[0].ended) > KeyRetention {
		delete(t.calls, t.ends[0].key)
		t.ends = t.ends[1:]
	}
	for len(t.answers) > 0 && (t.kept > MaxKeptBytes || now.Sub(t.answers[0].ended) > AnswerRetention) {
		t.kept -= t.answers[0].bytes
		t.answers[0].spool.discard()
		t.answers = t.answers[1:]
	}
}
