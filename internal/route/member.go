package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/spread"
)

const (
	// latencyGain is the weight of a new sample in the exponential moving average of latency.
	latencyGain = 0.1
	// latencyDecay is the idle time after which a target's latency counts as half as far from
	// the service's as measured, so that a target that was slow once is tried again.
	latencyDecay = 2 * time.Second
	// minLatency is the lowest latency in a score, which must stay positive.
	minLatency = 100 * time.Microsecond
	// reportTTL is how long a load report is used.
	reportTTL = time.Second
	// drainReportTTL is how long a target counts as draining after the last report that says so.
	// The registry lists it as leaving within about this time; a drain that has ended must not
	// have an effect for longer.
	drainReportTTL = time.Second
	// minSlowStartShare is the share of its full load that a target gets when slow start begins.
	minSlowStartShare = 0.1
)

// targetStats holds what this node has observed of one target. Pick reads the atomic fields; Done
// updates them, and the rest, under mu.
type targetStats struct {
	inFlight atomic.Int64
	// latencyNs is the smoothed latency; 0 while nothing is known.
	latencyNs atomic.Int64
	// sampledNs, reportedNs, drainingUntilNs, ejectedUntilNs and slowStartFromNs are times in
	// nanoseconds since the picker was created.
	sampledNs       atomic.Int64
	reportedNs      atomic.Int64
	drainingUntilNs atomic.Int64
	ejectedUntilNs  atomic.Int64
	slowStartFromNs atomic.Int64
	routeLatencies  routeLatencies
	// reportedLoad is the number of requests in flight and queued at the target, and
	// reportedLimit its limit of requests in flight, both by the last report.
	reportedLoad  atomic.Int64
	reportedLimit atomic.Int64
	// rateLimitBits holds the rate limit that the target last named, as the bits of a float64.
	rateLimitBits atomic.Uint64
	cold          coldStats
	// farUse is the average use of a target in another data centre.
	farUse spread.TargetUse

	mu     sync.Mutex
	health health
}

// never is a time long before the picker was created.
const never = int64(-1 << 62)

// newTargetStats returns the statistics of a new target. Its slow start begins at slowStartFrom.
func newTargetStats(slowStartFrom int64) *targetStats {
	m := &targetStats{}
	m.reportedNs.Store(never)
	m.drainingUntilNs.Store(never)
	m.ejectedUntilNs.Store(never)
	m.slowStartFromNs.Store(slowStartFrom)
	return m
}

// entry is one target of a table with its statistics.
type entry struct {
	target *registry.Target
	*targetStats
}

// takesWork reports whether the target accepts new calls by its state in the registry.
func takesWork(t *registry.Target) bool {
	return t.State == apiv1.TargetState_TARGET_STATE_READY || t.State == apiv1.TargetState_TARGET_STATE_COLD
}

// observeLatency adds a sample to the smoothed latency.
func (m *targetStats) observeLatency(now int64, sample time.Duration) {
	old := m.latencyNs.Load()
	if old == 0 {
		m.latencyNs.Store(int64(sample))
	} else {
		m.latencyNs.Store(old + int64(latencyGain*float64(int64(sample)-old)))
	}
	m.sampledNs.Store(now)
}

// observeLoad records a load report.
func (m *targetStats) observeLoad(now int64, r *apiv1.LoadReport) {
	m.reportedLoad.Store(int64(r.GetInFlight()) + int64(r.GetQueued()))
	m.reportedLimit.Store(int64(r.GetLimit()))
	if r.GetColdLeftMs() > 0 {
		// Once the target is warm, its limit is another.
		m.reportedNs.Store(never)
	} else {
		m.reportedNs.Store(now)
	}
	if r.GetDraining() {
		m.drainingUntilNs.Store(now + int64(drainReportTTL))
	} else {
		m.drainingUntilNs.Store(never)
	}
}

// rateLimit returns the rate limit that the target last named; 0 for none.
func (m *targetStats) rateLimit() float64 { return math.Float64frombits(m.rateLimitBits.Load()) }

func (m *targetStats) setRateLimit(perSecond float64) {
	m.rateLimitBits.Store(math.Float64bits(perSecond))
}

// latency returns the smoothed latency in nanoseconds. While the target is idle, it approaches
// the latency of the service.
func (m *targetStats) latency(now, service int64) float64 {
	own := m.latencyNs.Load()
	if own == 0 {
		return float64(max(service, int64(minLatency)))
	}
	idle := max(now-m.sampledNs.Load(), 0)
	keep := float64(latencyDecay) / float64(int64(latencyDecay)+idle)
	return max(float64(service)+keep*float64(own-service), float64(minLatency))
}

// slowStartShare returns the share of its full load that the target gets during slow start; 1 when that is over.
func (m *targetStats) slowStartShare(now int64, slowStart time.Duration) float64 {
	age := now - m.slowStartFromNs.Load()
	if slowStart <= 0 || age >= int64(slowStart) {
		return 1
	}
	return max(float64(age)/float64(slowStart), minSlowStartShare)
}

// reportFresh reports whether the last load report is recent enough to be used.
func (m *targetStats) reportFresh(now int64) bool {
	return now-m.reportedNs.Load() <= int64(reportTTL)
}

// load returns the number of requests at the target as far as this node knows, and the target's
// limit or 0 if unknown.
func (m *targetStats) load(now int64) (requests, limit int64) {
	requests = m.inFlight.Load()
	if !m.reportFresh(now) {
		return requests, 0
	}
	return max(requests, m.reportedLoad.Load()), m.reportedLimit.Load()
}

// full reports whether the requests at the target reach the given share of its limit.
func (m *targetStats) full(now int64, share float64) bool {
	requests, limit := m.load(now)
	return limit > 0 && float64(requests) >= share*float64(limit)
}
