package gateway

import (
	"math/rand/v2"
	"sync"

	"github.com/guavaford/guavaford/internal/config"
)

// routeSplitter distributes the requests of each route over its services by weight.
type routeSplitter struct {
	mu     sync.Mutex
	states map[string]*splitState
}

// splitState is the state of one route, for smooth weighted round-robin: with each request the credit of each service
// grows by its weight, and the service with the most credit gets the request and pays the sum of all weights.
type splitState struct {
	shares  []config.Share
	credits []float64
}

// pick returns the service that gets the next request of a route. Over many requests each service gets exactly its
// share.
func (s *routeSplitter) pick(r *config.Route) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.states[r.Name]
	if state == nil || !sameShares(state.shares, r.Split) {
		state = &splitState{shares: r.Split, credits: make([]float64, len(r.Split))}
		for i, part := range r.Split {
			// Random initial credits, so that nodes don't all send their first requests to the same service.
			state.credits[i] = rand.Float64() * part.Weight
		}
		s.states[r.Name] = state
	}
	sum, best := 0.0, 0
	for i, part := range state.shares {
		sum += part.Weight
		state.credits[i] += part.Weight
		if state.credits[i] > state.credits[best] {
			best = i
		}
	}
	state.credits[best] -= sum
	return state.shares[best].Service
}

func sameShares(a, b []config.Share) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
