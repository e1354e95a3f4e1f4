package telemetry

import (
	"expvar"
	"sync"
	"sync/atomic"

	"github.com/guavaford/guavaford/internal/outcome"
)

// Metrics holds the counters, gauges and histograms of one node.
type Metrics struct {
	// Calls counts requests of callers that were accepted.
	Calls atomic.Int64
	// SubCalls counts calls that targets made to other services through this node.
	SubCalls atomic.Int64
	// Attempts counts attempts to send a call to a target, the first of each call included.
	Attempts atomic.Int64
	// ExtraAttempts counts attempts after the first of a call.
	ExtraAttempts atomic.Int64
	// MovedAttempts counts attempts that were sent on to another target since theirs drained before it got them.
	MovedAttempts atomic.Int64
	// Withdrawn counts requests that left a target of this host as it drained, before they were sent to it.
	Withdrawn atomic.Int64
	// InvalidAnswers counts answers of targets of this host that ended their exchange by an invalid status or field.
	InvalidAnswers atomic.Int64
	// MovedCalls counts calls that were sent to another target since the first had a queue while others had room.
	MovedCalls atomic.Int64
	// CrossedAttempts counts attempts that were sent to a target of another data centre.
	CrossedAttempts atomic.Int64
	// Executions counts requests that were sent to a target of this host.
	Executions atomic.Int64
	// Fences counts guarantees given to other nodes that a call was not started and never will be.
	Fences atomic.Int64
	// Attaches counts answers that were fetched over another connection than the call was made on.
	Attaches atomic.Int64
	// Replays counts answers that were returned from a run record instead of running the request again.
	Replays atomic.Int64
	// TargetCrashes counts crashes of targets of this host with requests in flight, Quarantined the requests that were quarantined at this
	// node.
	TargetCrashes atomic.Int64
	Quarantined   atomic.Int64
	// ColdStarts counts the times that a target of this host became cold.
	ColdStarts atomic.Int64
	// Trials counts runs of suspects on trial, QuarantineRefusals the calls refused since their request is quarantined.
	Trials             atomic.Int64
	QuarantineRefusals atomic.Int64
	// HomeRegionRefusals counts calls for which no target was left in the home regions of their request.
	HomeRegionRefusals atomic.Int64
	// InFlight is the number of requests running at targets of this host.
	InFlight atomic.Int64

	// Latency is the time from the arrival of a request at this node to the end of its answer.
	Latency *Histograms
	// QueueWait is the time that a request waits in the queue of its target, at the node of that target.
	QueueWait *Histograms

	refusals map[outcome.Code]*atomic.Int64
	gauges   sync.Map // string to func() float64
	traffic  atomic.Pointer[func() []TrafficRow]
}

// TrafficRow counts the exchanges and bytes of one kind and distance between this node and others.
type TrafficRow struct {
	Kind string `json:"kind"`
	// Distance is near for nodes of the same data centre and far for others.
	Distance  string `json:"distance"`
	Exchanges int64  `json:"exchanges"`
	Sent      int64  `json:"sent_bytes"`
	Received  int64  `json:"received_bytes"`
}

// NewMetrics returns metrics that are all zero.
func NewMetrics() *Metrics {
	m := &Metrics{
		Latency:   NewHistograms(),
		QueueWait: NewHistograms(),
		refusals:  make(map[outcome.Code]*atomic.Int64),
	}
	for _, code := range outcome.Codes() {
		m.refusals[code] = new(atomic.Int64)
	}
	return m
}

// CountRefusal counts one refusal by its code.
func (m *Metrics) CountRefusal(code outcome.Code) {
	if counter, ok := m.refusals[code]; ok {
		counter.Add(1)
	}
}

// SetGauge registers a function that returns the value of a gauge at each export.
func (m *Metrics) SetGauge(name string, read func() float64) {
	m.gauges.Store(name, read)
}

// SetTraffic registers a function that returns the traffic with other nodes at each export.
func (m *Metrics) SetTraffic(read func() []TrafficRow) {
	m.traffic.Store(&read)
}

// Export is the form in which Metrics are written as JSON.
type Export struct {
	Counters  map[string]int64   `json:"counters"`
	Refusals  map[string]int64   `json:"refusals"`
	Gauges    map[string]float64 `json:"gauges"`
	Latency   []Summary          `json:"latency"`
	QueueWait []Summary          `json:"queue_wait"`
	Traffic   []TrafficRow       `json:"traffic"`
}

// Export returns the current values of all metrics.
func (m *Metrics) Export() Export {
	e := Export{
		Counters: map[string]int64{
			"calls":           m.Calls.Load(),
			"sub_calls":       m.SubCalls.Load(),
			"attempts":        m.Attempts.Load(),
			"extra_attempts":  m.ExtraAttempts.Load(),
			"moved_attempts":  m.MovedAttempts.Load(),
			"withdrawn":       m.Withdrawn.Load(),
			"invalid_answers": m.InvalidAnswers.Load(),
			"moved_calls":     m.MovedCalls.Load(),
			"crossed":         m.CrossedAttempts.Load(),
			"executions":      m.Executions.Load(),
			"fences":          m.Fences.Load(),
			"attaches":        m.Attaches.Load(),
			"replays":         m.Replays.Load(),

			"target_crashes":      m.TargetCrashes.Load(),
			"quarantined":         m.Quarantined.Load(),
			"cold_starts":         m.ColdStarts.Load(),
			"suspect_trials":      m.Trials.Load(),
			"quarantine_refusals": m.QuarantineRefusals.Load(),

			"home_region_refusals": m.HomeRegionRefusals.Load(),
		},
		Refusals:  make(map[string]int64, len(m.refusals)),
		Gauges:    map[string]float64{"in_flight": float64(m.InFlight.Load())},
		Latency:   m.Latency.Summaries(),
		QueueWait: m.QueueWait.Summaries(),
	}
	for code, counter := range m.refusals {
		e.Refusals[string(code)] = counter.Load()
	}
	if read := m.traffic.Load(); read != nil {
		e.Traffic = (*read)()
	}
	m.gauges.Range(func(name, read any) bool {
		e.Gauges[name.(string)] = read.(func() float64)()
		return true
	})
	return e
}

// published holds the metrics that expvar shows. A process runs one node; in a test that runs several, those of the
// last one are shown.
var published atomic.Pointer[Metrics]

// publishOnce guards the registration with expvar, which panics if a name is registered twice.
var publishOnce sync.Once

// Publish makes the metrics available under the expvar name "guavaford", in place of those published before.
func (m *Metrics) Publish() {
	published.Store(m)
	publishOnce.Do(func() {
		expvar.Publish("guavaford", expvar.Func(func() any { return published.Load().Export() }))
	})
}
