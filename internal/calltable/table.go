// Package calltable records the non-idempotent calls that a node receives for the targets of its host, so that each is
// executed at most once.
//
// A call is identified by its key: dispatching node, incarnation of that node's process, and number. Its record holds
// its state: queued, running, finished or fenced. To fence a call is to guarantee that it was not started and never
// will be; the dispatching node may then safely send the request to another target.
//
// The response of a call is buffered in a ResponseBuffer while it is received. It is kept for AnswerRetention after the
// call has finished, so that the dispatching node can fetch it over a new connection if the first one fails. The state
// of the call is kept for KeyRetention, which exceeds the longest timeout of a request, so that a late request to fence
// a call that was started never gets a wrong guarantee.
package calltable

import (
	"sync"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
)

// Limits of the table.
const (
	// AnswerRetention is how long the response of a finished call can be fetched.
	AnswerRetention = 30 * time.Second
	// KeyRetention is how long the state of a call is kept after its end. It must exceed config.MaxTimeout.
	KeyRetention = 15 * time.Minute
	// MaxCalls bounds the number of calls in the table. New calls beyond it are refused.
	MaxCalls = 1 << 20
	// MaxKeptBytes bounds the total size of the responses that are received or kept. Beyond it those that were read are
	// dropped before AnswerRetention, the oldest first, and calls are refused before they start if there are none.
	MaxKeptBytes = 64 << 20
)

// Key identifies one attempt of one call.
type Key struct {
	Node        string
	Incarnation uint64
	Number      uint64
}

// KeyOf converts a key from its wire message.
func KeyOf(m *apiv1.CallKey) Key {
	return Key{Node: m.GetNode(), Incarnation: m.GetIncarnation(), Number: m.GetNumber()}
}

// Message converts the key to its wire message.
func (k Key) Message() *apiv1.CallKey {
	return &apiv1.CallKey{Node: k.Node, Incarnation: k.Incarnation, Number: k.Number}
}

// state is the state of a call.
type state int

const (
	queued state = iota
	running
	finished
	fenced
)

// Call is the record of one call.
type Call struct {
	Response *ResponseBuffer
	// route is the service and route of a call that was started.
	route string
	// cancelQueued cancels the call while it is queued.
	cancelQueued func()
	state        state
}

// BeginResult is the result of Table.Begin.
type BeginResult int

// The results of Begin.
const (
	// Begun means that the call is new and is now queued.
	Begun BeginResult = iota
	// Fenced means that the call is fenced: it must not be started.
	Fenced
	// Duplicate means that the table already holds the call.
	Duplicate
	// Full means that the table holds MaxCalls calls.
	Full
)

// Table holds the records of the calls of one node. It is safe for concurrent use.
type Table struct {
	clock clock.Clock
	mu    sync.Mutex
	calls map[Key]*Call
	// ends lists finished and fenced calls, in the order in which they ended.
	ends []endedCall
	room *room
}

type endedCall struct {
	key   Key
	ended time.Time
}

// New returns an empty table.
func New(c clock.Clock) *Table {
	return &Table{clock: c, calls: make(map[Key]*Call), room: newRoom()}
}

// Begin records a new call as queued for admission, unless the table holds it already or is full.
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
	call := &Call{Response: newResponseBuffer(t.clock, t.room), cancelQueued: cancelQueued}
	t.calls[key] = call
	return call, Begun
}

// StartResult is the result of Table.Start.
type StartResult int

// The results of Start.
const (
	// Started means that the call is running now.
	Started StartResult = iota
	// WasFenced means that the call was fenced in the meantime.
	WasFenced
	// NoRoom means that there is no room for the response of the call, which stays queued.
	NoRoom
)

// Start changes the state of a queued call to running, and takes room for its response as the route's responses need it. With NoRoom it
// returns the time after which there may be room.
func (t *Table) Start(call *Call, route string) (StartResult, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if call.state != queued {
		return WasFenced, 0
	}
	now := t.clock.Now()
	t.room.expire(now)
	bytes, retryAfter := t.room.take(now, route)
	if bytes == 0 {
		return NoRoom, retryAfter
	}
	call.Response.setRoom(bytes)
	call.route = route
	call.state = running
	return Started, 0
}

// FenceRefused fences a call that was refused while it was queued. It has no effect on a call in another state.
func (t *Table) FenceRefused(key Key, call *Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if call.state == queued {
		t.end(key, call, fenced)
	}
}

// Finish marks a running call as finished. Its response is in call.Response.
func (t *Table) Finish(key Key, call *Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end(key, call, finished)
}

// end records the final state of a call. The caller holds mu.
func (t *Table) end(key Key, call *Call, s state) {
	started := call.state == running
	call.state = s
	now := t.clock.Now()
	t.ends = append(t.ends, endedCall{key: key, ended: now})
	if started {
		t.room.keep(now, call.route, call.Response)
	}
	t.expire()
}

// Fence fences a call that was not started, even if the table doesn't hold it yet, and returns the state of the call.
// If that is not FENCED, there is no guarantee that the call was not started; UNSPECIFIED means that the table is full.
func (t *Table) Fence(key Key) apiv1.CallState {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	call, ok := t.calls[key]
	if !ok {
		if len(t.calls) >= MaxCalls {
			return apiv1.CallState_CALL_STATE_UNSPECIFIED
		}
		call = &Call{Response: newResponseBuffer(t.clock, t.room)}
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

// Find returns the record of a call that is not fenced, if the table holds it.
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

// KeptBytes returns the room that responses have, in bytes.
func (t *Table) KeptBytes() int {
	t.room.mu.Lock()
	defer t.room.mu.Unlock()
	return t.room.used
}

// expire removes calls past KeyRetention, and frees responses past AnswerRetention. The caller holds mu.
func (t *Table) expire() {
	now := t.clock.Now()
	for len(t.ends) > 0 && now.Sub(t.ends[0].ended) > KeyRetention {
		delete(t.calls, t.ends[0].key)
		t.ends = t.ends[1:]
	}
	t.room.expire(now)
}
