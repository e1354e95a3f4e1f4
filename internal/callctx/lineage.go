package callctx

import "sync"

// CallIndex maps request ids to running calls. It is for targets that send no handle with their sub-calls, but a
// request id that is derived from the id of the running call. A nil CallIndex is valid and always empty. It is safe for
// concurrent use.
type CallIndex struct {
	mu   sync.RWMutex
	byID map[string]*RunningCall
}

// NewCallIndex returns an empty index.
func NewCallIndex() *CallIndex { return &CallIndex{byID: map[string]*RunningCall{}} }

// Add registers a running call under its request id. A later call with the same id replaces an earlier one.
func (s *CallIndex) Add(r *RunningCall) {
	if s == nil || r.Origin.RequestID == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[r.Origin.RequestID] = r
}

// Find returns the running call with a request id, if there is one.
func (s *CallIndex) Find(requestID string) (*RunningCall, bool) {
	if s == nil || requestID == "" {
		return nil, false
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, ok := s.byID[requestID]
	return r, ok
}

// Remove removes a running call, unless a later call with the same request id has replaced it.
func (s *CallIndex) Remove(r *RunningCall) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID[r.Origin.RequestID] == r {
		delete(s.byID, r.Origin.RequestID)
	}
}
