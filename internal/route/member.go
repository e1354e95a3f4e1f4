package route

import (
	"sync"
	"sync/atomic"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/registry"
)

const (
	// latencyGain is the weight of a new sample in the smoothed latency.
	latencyGain = 0.1
	// latencyFade is the idle time in which half of what a target's latency differs from
	// the service's is forgotten, so that a target that was slow once is tried again.
	latencyFade = 2 * time.Second
	// minLatency keeps scores positive.
	minLatency = 100 * time.Microsecond
	// reportLife is how long a load report counts.
	reportLife = time.Second
	// drainLife is how long a report of draining counts without another. The registry names
	// targets that leave within about this time; a drain that ended must not count for longer.
	drainLife = time.Second
	// coldWeight is the share of a warm target that slow start begins with.
	coldWeight = 0.1
)

// member is what this node knows of one target. Pick reads the atomic fields; Done updates
// them, and the rest, under the mutex of the target.
type member struct {
	inFlight atomic.Int64
	// latencyNs is the smoothed latency; 0 while nothing is known.
	latencyNs atomic.Int64
	// sampledNs, reportedNs, drainingUntilNs, ejectedUntilNs and rampFromNs are times in
	// nanoseconds since the picker was made.
	sampledNs       atomic.Int64
	reportedNs      atomic.Int64
	drainingUntilNs atomic.Int64
	ejectedUntilNs  atomic.Int64
	rampFromNs      atomic.Int64
	paces           paces
	// reportedLoad and reportedLimit are requests at the target by its last report.
	reportedLoad  atomic.Int64
	reportedLimit atomic.Int64

	mu     sync.Mutex
	health health
}

// never is a time before the picker was made.
const never = int64(-1 << 62)

// newMember returns a member about which nothing is known. rampFrom starts its slow start.
func newMember(rampFrom int64) *member {
	m := &member{}
	m.reportedNs.Store(never)
	m.drainingUntilNs.Store(never)
	m.ejectedUntilNs.Store(never)
	m.rampFromNs.Store(rampFrom)
	return m
}

// entry is one target of a table with its member.
type entry struct {
	target *registry.Target
	*member
}

// takesWork reports whether the registry lists the target as one for new work.
func takesWork(t *registry.Target) bool {
	return t.State == apiv1.TargetState_TARGET_STATE_READY || t.State == apiv1.TargetState_TARGET_STATE_COLD
}

// observeLatency smooths a latency sample.
func (m *member) observeLatency(now int64, sample time.Duration) {
	old := m.latencyNs.Load()
	if old == 0 {
		m.latencyNs.Store(int64(sample))
	} else {
		m.latencyNs.Store(old + int64(latencyGain*float64(int64(sample)-old)))
	}
	m.sampledNs.Store(now)
}

// observeLoad takes a load report.
func (m *member) observeLoad(now int64, r *apiv1.LoadReport) {
	m.reportedLoad.Store(int64(r.GetInFlight()) + int64(r.GetQueued()))
	m.reportedLimit.Store(int64(r.GetLimit()))
	m.reportedNs.Store(now)
	if r.GetDraining() {
		m.drainingUntilNs.Store(now + int64(drainLife))
	} else {
		m.drainingUntilNs.Store(never)
	}
}

// latency returns the smoothed latency in nanoseconds, drawn to that of the service while
// the target is idle.
func (m *member) latency(now, service int64) float64 {
	own := m.latencyNs.Load()
	if own == 0 {
		return float64(max(service, int64(minLatency)))
	}
	idle := max(now-m.sampledNs.Load(), 0)
	keep := float64(latencyFade) / float64(int64(latencyFade)+idle)
	return max(float64(service)+keep*float64(own-service), float64(minLatency))
}

// warmth returns the share of its full load that slow start grants.
func (m *member) warmth(now int64, slowStart time.Duration) float64 {
	age := now - m.rampFromNs.Load()
	if slowStart <= 0 || age >= int64(slowStart) {
		return 1
	}
	return max(float64(age)/float64(slowStart), coldWeight)
}

// fresh reports whether the last load report still counts.
func (m *member) fresh(now int64) bool {
	return now-m.reportedNs.Load() <= int64(reportLife)
}

// load returns the requests at the target as far as this node can tell, and the target's
// limit or 0 if unknown.
func (m *member) load(now int64) (requests, limit int64) {
	requests = m.inFlight.Load()
	if !m.fresh(now) {
		return requests, 0
	}
	return max(requests, m.reportedLoad.Load()), m.reportedLimit.Load()
}

// full reports whether the target uses that share of its limit.
func (m *member) full(now int64, share float64) bool {
	requests, limit := m.load(now)
	return limit > 0 && float64(requests) >= share*float64(limit)
}
