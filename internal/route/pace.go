package route

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// A target that has turned slow answers, late, and uses its slots for longer, so it looks neither broken nor full at
// first. Calls with short deadlines fail there all the same. Latencies are compared for each route, since routes to one service
// may differ by an order of magnitude.

const (
	// paceFade is the idle time in which half of what a latency differs from the reference is forgotten, so that a target
	// that was slow is tried again.
	paceFade = 2 * time.Second
	// referenceQuantile is the place of the reference among the latencies of the targets. Up to three quarters of them may be slow.
	referenceQuantile = 0.25
	// referenceInterval is the time for which a reference holds.
	referenceInterval = 100 * time.Millisecond
	// maxPacedRoutes bounds the routes that are kept. Routes come and go with changes of the configuration: when there are more, all
	// are forgotten, and those in use are learned again.
	maxPacedRoutes = 256
)

// paces is the smoothed latency of one target for each route. It is safe for concurrent use.
type paces struct {
	byRoute atomic.Pointer[map[string]*latency]
	mu      sync.Mutex
}

// latency is a smoothed latency in nanoseconds and the time of its last sample.
type latency struct {
	ns        atomic.Int64
	sampledNs atomic.Int64
	// open is the number of calls under way, quietFromNs when the last of them ended, or the first began.
	open        atomic.Int64
	quietFromNs atomic.Int64
}

// begin counts a call that starts.
func (l *latency) begin(now int64) {
	if l.open.Add(1) == 1 {
		l.quietFromNs.Store(now)
	}
}

// end counts a call that has ended.
func (l *latency) end(now int64) {
	l.open.Add(-1)
	l.quietFromNs.Store(now)
}

// quiet returns the time for which calls have been under way and none has ended.
func (l *latency) quiet(now int64) int64 {
	if l.open.Load() == 0 {
		return 0
	}
	return now - l.quietFromNs.Load()
}

// find returns the latency for a route; nil while there is none.
func (p *paces) find(route string) *latency {
	known := p.byRoute.Load()
	if known == nil {
		return nil
	}
	return (*known)[route]
}

// add returns the latency for a route and makes it if need be.
func (p *paces) add(route string) *latency {
	if found := p.find(route); found != nil {
		return found
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	grown := make(map[string]*latency)
	if known := p.byRoute.Load(); known != nil {
		if found := (*known)[route]; found != nil {
			return found
		}
		if len(*known) < maxPacedRoutes {
			maps.Copy(grown, *known)
		}
	}
	added := &latency{}
	grown[route] = added
	p.byRoute.Store(&grown)
	return added
}

// observe smooths a sample. Concurrent updates may lose one. A target that was slow and answered faster than slowFrom is no longer
// slow: it gets so few calls that smoothing would take a minute. That is returned.
func (p *paces) observe(now int64, route string, sample time.Duration, slowFrom int64) (recovered bool) {
	l := p.add(route)
	old := l.ns.Load()
	recovered = slowFrom > 0 && old > slowFrom && int64(sample) <= slowFrom
	if old != 0 && !recovered {
		sample = time.Duration(old + int64(latencyGain*float64(int64(sample)-old)))
	}
	l.ns.Store(max(int64(sample), int64(minLatency)))
	l.sampledNs.Store(now)
	return recovered
}

// observeAtLeast smooths the time after which a call was given up: it would have taken longer.
func (p *paces) observeAtLeast(now int64, route string, sample time.Duration, slowFrom int64) {
	if l := p.find(route); l != nil {
		sample = max(sample, time.Duration(l.ns.Load()))
	}
	p.observe(now, route, sample, slowFrom)
}

// slow reports whether a target takes ratio times the reference or more for a route, by its answers or by the lack of them.
func (p *paces) slow(now int64, route string, ratio float64, reference int64) bool {
	if reference == 0 {
		return false
	}
	l := p.find(route)
	if l == nil {
		return false
	}
	from := ratio * float64(reference)
	return float64(l.ns.Load()) > from || float64(l.quiet(now)) > from
}

// due reports whether a slow target is to be tried again, by one call: what was seen of it has faded, and nobody else
// tries it now.
func (p *paces) due(now int64, route string, ratio float64, reference int64) bool {
	if reference == 0 {
		return false
	}
	l := p.find(route)
	if l == nil {
		return false
	}
	ns, sampled := l.ns.Load(), l.sampledNs.Load()
	from := ratio * float64(reference)
	if float64(ns) <= from {
		return false
	}
	idle := max(now-sampled, 0)
	keep := float64(paceFade) / float64(int64(paceFade)+idle)
	return float64(reference)+keep*float64(ns-reference) <= from && l.sampledNs.CompareAndSwap(sampled, now)
}

// references holds the latency of the faster targets for each route. It is safe for concurrent use.
type references struct {
	byRoute sync.Map // string to *reference
	routes  atomic.Int64
}

// reference is a latency in nanoseconds and the time at which it was worked out.
type reference struct {
	ns atomic.Int64
	at atomic.Int64
}

// last returns the reference for a route as it was worked out last.
func (r *references) last(route string) int64 {
	found, ok := r.byRoute.Load(route)
	if !ok {
		return 0
	}
	return found.(*reference).ns.Load()
}

// of returns the reference for a route; 0 while less than two targets are known by it.
func (r *references) of(now int64, route string, t *table) int64 {
	found, ok := r.byRoute.Load(route)
	if !ok {
		if r.routes.Add(1) > maxPacedRoutes {
			r.byRoute.Clear()
			r.routes.Store(1)
		}
		found, _ = r.byRoute.LoadOrStore(route, &reference{})
	}
	ref := found.(*reference)
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
			if l := entries[i].paces.find(route); l != nil && l.ns.Load() > 0 {
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
