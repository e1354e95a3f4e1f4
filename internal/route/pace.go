package route

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// A target that has become slow still answers, and holds its slots for longer, so at first it looks neither broken nor
// full. Calls with short deadlines fail there nevertheless. The latencies of targets are compared for each route, since
// the routes to one service may differ by an order of magnitude.

const (
	// slowDecay is the idle time after which a latency counts as half as far from the reference as measured, so that a
	// target that was slow is probed.
	slowDecay = 2 * time.Second
	// referenceQuantile is the quantile of the targets' latencies that serves as the reference. Up to three quarters of
	// the targets may be slow.
	referenceQuantile = 0.25
	// referenceInterval is the time for which a reference is used before it is computed again.
	referenceInterval = 100 * time.Millisecond
	// maxTrackedRoutes bounds the routes with latencies. Changes of the configuration add and remove routes: when there
	// are more, all latencies are dropped, and those of routes in use are measured again.
	maxTrackedRoutes = 256
)

// routeLatencies holds the smoothed latency of one target for each route. It is safe for concurrent use.
type routeLatencies struct {
	byRoute atomic.Pointer[map[string]*routeLatency]
	mu      sync.Mutex
}

// routeLatency is a smoothed latency in nanoseconds with the time of its last sample, and the calls in flight.
type routeLatency struct {
	ns        atomic.Int64
	sampledNs atomic.Int64
	// inFlight is the number of calls in flight. lastProgressNs is when a call last ended, or began while no other was
	// in flight.
	inFlight       atomic.Int64
	lastProgressNs atomic.Int64
	// expectedNs is the time for which calls hold a slot, as the gate beside the target last reported, and expectedAt
	// is when it did.
	expectedNs atomic.Int64
	expectedAt atomic.Int64
}

// begin records that a call starts.
func (l *routeLatency) begin(now int64) {
	if l.inFlight.Add(1) == 1 {
		l.lastProgressNs.Store(now)
	}
}

// end records that a call has ended, and the time that the gate beside the target reported; 0 if it reported none.
func (l *routeLatency) end(now, expectedNs int64) {
	l.inFlight.Add(-1)
	l.lastProgressNs.Store(now)
	if expectedNs > 0 {
		l.expectedNs.Store(expectedNs)
		l.expectedAt.Store(now)
	}
}

// unansweredFor returns the nanoseconds for which calls have been in flight and none has ended; 0 without calls.
func (l *routeLatency) unansweredFor(now int64) int64 {
	if l.inFlight.Load() == 0 {
		return 0
	}
	return now - l.lastProgressNs.Load()
}

// find returns the latency for a route; nil while there is none.
func (p *routeLatencies) find(route string) *routeLatency {
	known := p.byRoute.Load()
	if known == nil {
		return nil
	}
	return (*known)[route]
}

// add returns the latency for a route, created if missing.
func (p *routeLatencies) add(route string) *routeLatency {
	if found := p.find(route); found != nil {
		return found
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	grown := make(map[string]*routeLatency)
	if known := p.byRoute.Load(); known != nil {
		if found := (*known)[route]; found != nil {
			return found
		}
		if len(*known) < maxTrackedRoutes {
			maps.Copy(grown, *known)
		}
	}
	added := &routeLatency{}
	grown[route] = added
	p.byRoute.Store(&grown)
	return added
}

// observe adds a sample to the smoothed latency. Concurrent updates may lose one. When a target that was slow answers
// within slowThreshold, the sample replaces the smoothed latency and recovered is true: a slow target gets so few calls
// that smoothing would take a minute.
func (p *routeLatencies) observe(now int64, route string, sample time.Duration, slowThreshold int64) (recovered bool) {
	l := p.add(route)
	old := l.ns.Load()
	recovered = slowThreshold > 0 && old > slowThreshold && int64(sample) <= slowThreshold
	if old != 0 && !recovered {
		sample = time.Duration(old + int64(latencyGain*float64(int64(sample)-old)))
	}
	l.ns.Store(max(int64(sample), int64(minLatency)))
	l.sampledNs.Store(now)
	return recovered
}

// observeAtLeast adds the time after which a call timed out. The call would have taken longer, so the sample doesn't
// lower the smoothed latency.
func (p *routeLatencies) observeAtLeast(now int64, route string, sample time.Duration, slowThreshold int64) {
	if l := p.find(route); l != nil {
		sample = max(sample, time.Duration(l.ns.Load()))
	}
	p.observe(now, route, sample, slowThreshold)
}

// slow reports whether a target takes more than ratio times the reference for a route, by its smoothed latency or by
// the time for which its calls have been unanswered.
func (p *routeLatencies) slow(now int64, route string, ratio float64, reference int64) bool {
	if reference == 0 {
		return false
	}
	l := p.find(route)
	if l == nil {
		return false
	}
	threshold := ratio * float64(reference)
	return float64(l.ns.Load()) > threshold || float64(l.unansweredFor(now)) > threshold
}

// claimProbe reports whether the caller should probe a slow target with its call: the measured latency has decayed
// below the threshold. Only one of several concurrent callers gets true, and none until it has decayed again.
func (p *routeLatencies) claimProbe(now int64, route string, ratio float64, reference int64) bool {
	if reference == 0 {
		return false
	}
	l := p.find(route)
	if l == nil {
		return false
	}
	ns, sampled := l.ns.Load(), l.sampledNs.Load()
	threshold := ratio * float64(reference)
	if float64(ns) <= threshold {
		return false
	}
	idle := max(now-sampled, 0)
	keep := float64(slowDecay) / float64(int64(slowDecay)+idle)
	return float64(reference)+keep*float64(ns-reference) <= threshold && l.sampledNs.CompareAndSwap(sampled, now)
}

// referenceLatencies holds a latency for each route that stands for the faster targets. It is safe for concurrent use.
type referenceLatencies struct {
	byRoute sync.Map // string to *referenceLatency
	routes  atomic.Int64
}

// referenceLatency is a latency in nanoseconds and the time at which it was computed.
type referenceLatency struct {
	ns atomic.Int64
	at atomic.Int64
}

// cached returns the reference for a route as it was last computed; 0 if there is none.
func (r *referenceLatencies) cached(route string) int64 {
	found, ok := r.byRoute.Load(route)
	if !ok {
		return 0
	}
	return found.(*referenceLatency).ns.Load()
}

// get returns the reference for a route, computed again when it is too old; 0 while fewer than two targets have a
// latency for the route.
func (r *referenceLatencies) get(now int64, route string, t *table) int64 {
	found, ok := r.byRoute.Load(route)
	if !ok {
		if r.routes.Add(1) > maxTrackedRoutes {
			r.byRoute.Clear()
			r.routes.Store(1)
		}
		found, _ = r.byRoute.LoadOrStore(route, &referenceLatency{})
	}
	ref := found.(*referenceLatency)
	at := ref.at.Load()
	if at != 0 && now-at < int64(referenceInterval) {
		return ref.ns.Load()
	}
	if !ref.at.CompareAndSwap(at, max(now, 1)) {
		return ref.ns.Load()
	}
	var known []int64
	for _, entries := range [][]entry{t.local, t.remote} {
		for i := range entries {
			if l := entries[i].routeLatencies.find(route); l != nil && l.ns.Load() > 0 {
				known = append(known, l.ns.Load())
			}
		}
	}
	ref.ns.Store(0)
	if len(known) > 1 {
		slices.Sort(known)
		ref.ns.Store(known[int(referenceQuantile*float64(len(known)-1))])
	}
	return ref.ns.Load()
}
