package shed

import (
	"math"
	"sync"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

const (
	// readingSmoothing is the time constant of the moving average over each target's readings.
	readingSmoothing = 200 * time.Millisecond
	// readingTTL is the age at which a reading expires.
	readingTTL = 2 * time.Second
	// readingWeightDecay is the time constant with which a reading loses its weight in the mean of its
	// service, since a target that is no longer used sends no new readings.
	readingWeightDecay = 200 * time.Millisecond
	// maxReadingsPerExchange bounds the readings in one message, which makes 0.45 kB. A node sends and
	// receives five exchanges a second each: 9 kB/s of the 20 kB/s that a node may use for control
	// traffic. If there are more targets, each message holds a random subset.
	maxReadingsPerExchange = 16
	// meanCacheTTL is how long the mean of a service's readings is cached. It is short compared with
	// readingSmoothing.
	meanCacheTTL = 10 * time.Millisecond
	// callCountDecay is the time constant of the exponential decay of the counts of calls and requests,
	// whose ratio is the number of calls per request.
	callCountDecay = 5 * time.Second
	// permille is the unit of shares on the wire.
	permille = 1000
	// maxLoad caps reported loads.
	maxLoad = 20.0
)

// LoadTracker holds what a node knows about the load of services. It is safe for concurrent use.
type LoadTracker struct {
	mu       sync.Mutex
	services map[string]*serviceLoad
	// requests counts requests that began at targets of this host.
	requests map[ServiceRoute]*decayingCounter
	// calls counts the calls that targets of this host made for their requests.
	calls map[callEdge]*decayingCounter
	// downstream holds the calls to each service that one request makes, as reported in its responses.
	downstream map[ServiceRoute]map[string]float64
	// callResults counts the results of the calls that targets of this host made, by service.
	callResults map[string]*callResults
}

// ServiceRoute identifies the requests of one route at one service. An empty route stands for requests whose route
// is not known.
type ServiceRoute struct{ Service, Route string }

// callEdge is a pair of caller and callee.
type callEdge struct{ caller, callee ServiceRoute }

// reading is the load of a service as reported by one target, averaged over time.
type reading struct {
	load float64
	// lost is the share of the calls to the service that ended without its response. It is reported by
	// callers of the service; a target of the service itself has no such count.
	lost float64
	// fromCaller is true if a caller of the service reported the reading.
	fromCaller bool
	// coldUntil is when the first of the targets behind the reading is warm; zero unless all are cold. Until then the load compares
	// arrivals with their cold rates, after that it says nothing.
	coldUntil time.Time
	at        time.Time
	origin    origin
}

// origin is the source of a reading. Readings of every origin count the same for admission at a node: the
// forwarded ones lag behind, which keeps the admitted share from oscillating. To keep readings from
// circulating, responses carry only readings that came from downstream, and nodes beside targets of one
// service exchange only the readings of these targets.
type origin int

// The origins, from the least to the most direct.
const (
	// originEntry: a downstream service, reported in the response to a request that entered here.
	originEntry origin = iota
	// originForwarded: a downstream service, reported in the response to a call of this host's target.
	originForwarded
	// originDirect: reported by a target of the service itself, or by another node with such a target.
	originDirect
	// originLocal: a target of this host.
	originLocal
)

// serviceLoad holds the readings of one service. Its load is the mean over the targets with readings: one
// full target does not make the service full while others have capacity.
type serviceLoad struct {
	// byTarget holds readings by the ID of the target that answered.
	byTarget map[string]*reading
	// overall is the mean of all readings, forwardable the mean of those that may be forwarded.
	overall, forwardable meanReading
	// drained holds the IDs of the service's own targets that are no capacity, and increase what their load adds to
	// the others.
	drained  map[string]bool
	increase expectedIncrease
}

// meanReading is a mean of readings and the time at which it was computed.
type meanReading struct {
	reading
	computed time.Time
}

// observe adds a reading to the moving average of one target. The average is over time, so that a target
// that answers more often does not count more.
func (s *serviceLoad) observe(target string, reported reading) {
	reported.load = min(reported.load, maxLoad)
	known := s.byTarget[target]
	switch {
	case known == nil || reported.at.Sub(known.at) > readingTTL:
		s.byTarget[target] = &reported
		return
	case known.cold() != reported.cold():
		// Readings from before a target became cold or warm are of another capacity.
		if reported.at.After(known.at) {
			s.byTarget[target] = &reported
		}
		return
	}
	elapsed := max(reported.at.Sub(known.at), time.Millisecond)
	gain := 1 - math.Exp(-elapsed.Seconds()/readingSmoothing.Seconds())
	known.load += gain * (reported.load - known.load)
	known.lost += gain * (reported.lost - known.lost)
	known.coldUntil = reported.coldUntil
	known.origin = max(known.origin, reported.origin)
	if reported.at.After(known.at) {
		known.at = reported.at
	}
}

// load returns the mean of the valid readings with the time of the latest; ok is false if there is none.
func (s *serviceLoad) load(now time.Time) (reading, bool) {
	return s.cachedMean(now, &s.overall, originEntry)
}

// forwardableLoad is load without the readings of originEntry: they come from nodes that may have received
// them from this one.
func (s *serviceLoad) forwardableLoad(now time.Time) (reading, bool) {
	return s.cachedMean(now, &s.forwardable, originForwarded)
}

// cachedMean returns the mean of the readings whose origin is at least least, cached in kept for
// meanCacheTTL.
func (s *serviceLoad) cachedMean(now time.Time, kept *meanReading, least origin) (reading, bool) {
	if age := now.Sub(kept.computed); kept.computed.IsZero() || age >= meanCacheTTL || age < 0 {
		kept.reading, kept.computed = s.computeMean(now, least, kept == &s.overall), now
	}
	return kept.reading, !kept.at.IsZero()
}

// computeMean deletes expired readings and returns the mean of those whose origin is at least least. Readings of drained
// targets don't count. If expected is set, an expected increase adds to the readings of the service's own targets;
// callers of the service have added it to theirs.
func (s *serviceLoad) computeMean(now time.Time, least origin, expected bool) reading {
	var mean, cold reading
	total, above, coldTotal, increase := 0.0, 0.0, 0.0, 0.0
	if expected {
		increase = s.increase.remaining(now)
	}
	for from, r := range s.byTarget {
		if now.Sub(r.at) > readingTTL || r.cold() && !now.Before(r.coldUntil) {
			delete(s.byTarget, from)
			continue
		}
		if r.origin < least || !r.fromCaller && s.drained[from] {
			continue
		}
		load := r.load
		if !r.fromCaller {
			load += increase
		}
		weight := math.Exp(-now.Sub(r.at).Seconds() / readingWeightDecay.Seconds())
		if r.cold() {
			if cold.coldUntil.IsZero() || r.coldUntil.Before(cold.coldUntil) {
				cold.coldUntil = r.coldUntil
			}
			coldTotal += weight
			cold.load += weight / coldTotal * (r.load - cold.load)
		} else {
			total += weight
			mean.load += weight / total * (load - mean.load)
		}
		if r.fromCaller {
			above += weight
			mean.lost += weight / above * (r.lost - mean.lost)
		}
		if r.at.After(mean.at) {
			mean.at = r.at
		}
	}
	if coldTotal > 0 && total < minWarmWeight {
		mean.load, mean.coldUntil = cold.load, cold.coldUntil
	}
	return mean
}

// decayingCounter is a count with exponential decay.
type decayingCounter struct {
	count float64
	at    time.Time
}

func (c *decayingCounter) add(now time.Time) {
	c.decay(now)
	c.count++
}

func (c *decayingCounter) decay(now time.Time) {
	if elapsed := now.Sub(c.at); elapsed > 0 {
		c.count *= math.Exp(-elapsed.Seconds() / callCountDecay.Seconds())
		c.at = now
	}
}

// NewLoadTracker returns a tracker without readings.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{
		services:    map[string]*serviceLoad{},
		requests:    map[ServiceRoute]*decayingCounter{},
		calls:       map[callEdge]*decayingCounter{},
		downstream:  map[ServiceRoute]map[string]float64{},
		callResults: map[string]*callResults{},
	}
}

// RequestStarted counts a request that began at a target of this host.
func (r *LoadTracker) RequestStarted(now time.Time, w ServiceRoute) {
	r.mu.Lock()
	defer r.mu.Unlock()
	increment(r.requests, w, now)
}

// CallStarted counts a call that a target of this host made for one of its requests.
func (r *LoadTracker) CallStarted(now time.Time, from, to ServiceRoute) {
	r.mu.Lock()
	defer r.mu.Unlock()
	increment(r.calls, callEdge{from, to}, now)
}

// increment adds one to the counter of a key, which it creates if needed.
func increment[K comparable](counters map[K]*decayingCounter, key K, now time.Time) {
	c := counters[key]
	if c == nil {
		c = &decayingCounter{at: now}
		counters[key] = c
	}
	c.add(now)
}

// Observe records the load of a warm target of this host.
func (r *LoadTracker) Observe(now time.Time, service, target string, load float64) {
	r.ObserveTarget(now, service, target, TargetLoad{Load: load})
}

// serviceLoad returns the readings of a service, creating an empty set if needed. The caller holds mu.
func (r *LoadTracker) serviceLoad(service string) *serviceLoad {
	s := r.services[service]
	if s == nil {
		s = &serviceLoad{byTarget: map[string]*reading{}}
		r.services[service] = s
	}
	return s
}

// Learn records the loads in the response of a target to a call that a target of this host made.
func (r *LoadTracker) Learn(now time.Time, w ServiceRoute, target string, pressures []*apiv1.Pressure) {
	r.learn(now, w, target, pressures, originForwarded)
}

// LearnAtEntry records the loads in the response of a target to a request that entered at this node.
func (r *LoadTracker) LearnAtEntry(now time.Time, w ServiceRoute, target string, pressures []*apiv1.Pressure) {
	r.learn(now, w, target, pressures, originEntry)
}

// learn records the loads in a response; downstreamOrigin is the origin of the readings of services
// downstream of the responding one.
func (r *LoadTracker) learn(now time.Time, w ServiceRoute, target string, pressures []*apiv1.Pressure, downstreamOrigin origin) {
	if len(pressures) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	below := r.downstream[w]
	if below == nil {
		below = map[string]float64{}
		r.downstream[w] = below
	}
	for _, p := range pressures {
		reported := reading{
			load:       float64(p.GetLoadPermille()) / permille,
			lost:       float64(p.GetLostPermille()) / permille,
			fromCaller: p.GetService() != w.Service,
			coldUntil:  coldUntil(now, p.GetColdLeftMs()),
			at:         now.Add(-time.Duration(p.GetAgeMs()) * time.Millisecond),
			origin:     downstreamOrigin,
		}
		if !reported.fromCaller {
			reported.origin = originDirect
		}
		r.serviceLoad(p.GetService()).observe(target, reported)
		calls := float64(p.GetCallsPermille()) / permille
		if reported.lost > normalLossRate {
			// A request often stops at its first lost call, so the reported calls are fewer than it needs.
			calls = max(calls, below[p.GetService()])
		}
		below[p.GetService()] = calls
	}
}

// Readings returns the readings of the targets of a service, for another node with a target of that
// service. Go iterates over maps in random order, so beyond the limit each call returns a different
// subset.
func (r *LoadTracker) Readings(now time.Time, service string) []*apiv1.TargetReading {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*apiv1.TargetReading
	for target, known := range r.serviceLoad(service).byTarget {
		if len(out) == maxReadingsPerExchange {
			break
		}
		if age := now.Sub(known.at); age <= readingTTL && known.origin >= originDirect && !r.services[service].drained[target] {
			out = append(out, &apiv1.TargetReading{
				ColdLeftMs: coldLeftMs(now, known.coldUntil), Target: target, LoadPermille: uint32(known.load * permille), AgeMs: uint32(max(age, 0) / time.Millisecond)})
		}
	}
	return out
}

// Merge takes another node's readings of the targets of a service where they are newer, except for targets
// of this host. It returns the number of readings taken.
func (r *LoadTracker) Merge(now time.Time, service string, reported []*apiv1.TargetReading) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := 0
	from := r.serviceLoad(service).byTarget
	for _, t := range reported {
		at := now.Add(-time.Duration(t.GetAgeMs()) * time.Millisecond)
		known := from[t.GetTarget()]
		if now.Sub(at) > readingTTL || known != nil && (known.origin == originLocal || !at.After(known.at)) {
			continue
		}
		from[t.GetTarget()] = &reading{load: min(float64(t.GetLoadPermille())/permille, maxLoad), coldUntil: coldUntil(now, t.GetColdLeftMs()), at: at, origin: originDirect}
		taken++
	}
	return taken
}

// Report returns the load of the services that requests of one route at a service of this host need, the
// service itself included.
func (r *LoadTracker) Report(now time.Time, w ServiceRoute) []*apiv1.Pressure {
	r.mu.Lock()
	defer r.mu.Unlock()
	var report []*apiv1.Pressure
	for name, calls := range r.downstreamCalls(now, w) {
		s := r.services[name]
		if s == nil {
			continue
		}
		known, ok := s.forwardableLoad(now)
		if !ok {
			continue
		}
		if name != w.Service {
			known.load += s.increase.remaining(now)
		}
		report = append(report, &apiv1.Pressure{
			Service:       name,
			ColdLeftMs:    coldLeftMs(now, known.coldUntil),
			LoadPermille:  uint32(known.load * permille),
			CallsPermille: uint32(calls*permille + 0.5),
			LostPermille:  uint32(r.lossRate(now, name, known)*permille + 0.5),
			AgeMs:         uint32(max(now.Sub(known.at), 0) / time.Millisecond),
		})
	}
	return report
}

// downstreamCalls returns how many calls one request makes to each service, its own included. Calls
// without a known route are spread evenly over all requests of the service. The caller holds mu.
func (r *LoadTracker) downstreamCalls(now time.Time, w ServiceRoute) map[string]float64 {
	total := map[string]float64{w.Service: 1}
	own, all := r.requestCounts(now, w)
	for key, calls := range r.calls {
		if calls.decay(now); calls.count < minCallCount {
			delete(r.calls, key)
			continue
		}
		requests := 0.0
		switch key.caller {
		case w:
			requests = own
		case ServiceRoute{Service: w.Service}:
			requests = all
		}
		if requests < 1 {
			continue
		}
		for service, more := range r.downstream[key.callee] {
			total[service] += calls.count / requests * more
		}
	}
	return total
}

// requestCounts returns the decayed number of requests of one route and of all routes at its service. The
// caller holds mu.
func (r *LoadTracker) requestCounts(now time.Time, w ServiceRoute) (own, all float64) {
	for key, requests := range r.requests {
		if key.Service != w.Service {
			continue
		}
		requests.decay(now)
		all += requests.count
		if key == w {
			own = requests.count
		}
	}
	return own, all
}

// MakesCalls reports whether requests of one route at a service of this host make calls.
func (r *LoadTracker) MakesCalls(now time.Time, w ServiceRoute) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	own, all := r.requestCounts(now, w)
	for key, calls := range r.calls {
		requests := own
		switch key.caller {
		case w:
		case ServiceRoute{Service: w.Service}:
			requests = all
		default:
			continue
		}
		if calls.decay(now); calls.count > max(minCallCount, minCallsPerRequest*requests) {
			return true
		}
	}
	return false
}

// minCallCount is the decayed count below which calls are ignored.
const minCallCount = 0.01

// minCallsPerRequest is the number of calls below which a request does not need a service. A call whose
// request has just ended has no known route and counts for all routes of its service, so a route that
// calls nothing shows a few calls in a thousand requests.
const minCallsPerRequest = 0.05

// CallsPerRequest returns the services that a request calls, directly or through others, with the number of calls to
// each.
func (r *LoadTracker) CallsPerRequest(w ServiceRoute) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	needs := map[string]float64{w.Service: 1}
	for service, calls := range r.downstream[w] {
		if service != w.Service && calls > minCallsPerRequest {
			needs[service] = calls
		}
	}
	return needs
}

// Load returns the load of a service and the age of the reading; ok is false without a valid reading.
func (r *LoadTracker) Load(now time.Time, service string) (load float64, age time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.load(now, service)
	if !ok {
		return 0, 0, false
	}
	return known.load, now.Sub(known.at), true
}

// load returns the mean reading of a service. The caller holds mu.
func (r *LoadTracker) load(now time.Time, service string) (reading, bool) {
	s := r.services[service]
	if s == nil {
		return reading{}, false
	}
	return s.load(now)
}
