package callctx

import (
	"crypto/rand"
	"encoding/base64"
	"sync"
)

// handleBytes is the number of random bytes in a handle, before encoding.
const handleBytes = 18

// Handle is the token by which a target refers to a call that it executes. It is random, and valid only at the node
// that issued it and only while the call runs.
type Handle string

// Handles maps handles to running calls. It is safe for concurrent use.
type Handles struct {
	shards [handleShards]handleShard
}

// handleShards is the number of shards, each with its own lock, over which handles are distributed by their first byte.
const handleShards = 64

type handleShard struct {
	mu      sync.RWMutex
	running map[Handle]*RunningCall
}

// NewHandles returns an empty map.
func NewHandles() *Handles {
	h := &Handles{}
	for i := range h.shards {
		h.shards[i].running = make(map[Handle]*RunningCall)
	}
	return h
}

// Add registers a running call and returns its handle.
func (h *Handles) Add(r *RunningCall) Handle {
	var raw [handleBytes]byte
	// crypto/rand.Read never returns an error; it crashes the process if the system provides no randomness.
	_, _ = rand.Read(raw[:])
	handle := Handle(base64.RawURLEncoding.EncodeToString(raw[:]))
	shard := h.shard(handle)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.running[handle] = r
	return handle
}

// Find returns the running call of a handle, if there is one.
func (h *Handles) Find(handle Handle) (*RunningCall, bool) {
	if handle == "" {
		return nil, false
	}
	shard := h.shard(handle)
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	r, ok := shard.running[handle]
	return r, ok
}

// Remove invalidates a handle.
func (h *Handles) Remove(handle Handle) {
	shard := h.shard(handle)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.running, handle)
}

func (h *Handles) shard(handle Handle) *handleShard {
	return &h.shards[handle[0]%handleShards]
}
