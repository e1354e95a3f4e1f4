package telemetry

import (
	"expvar"
	"sync"
	"sync/atomic"

	"github.com/guavaford/guavaford/internal/outcome"
)

// Metrics holds the counters, gauges and histograms of one node.
type Metrics struct {
	// Calls counts requests of callers that were taken up.
	Calls atomic.Int64
	// SubCalls counts calls that targets made through this node.
	SubCalls atomic.Int64
	// Attempts counts dispatches to a target, first ones included.
	Attempts atomic.Int64
	// ExtraAttempts counts dispatches after the first of a call.
	ExtraAttempts atomic.Int64
	// Executions counts requests handed to a target of this host.
	Executions atomic.Int64
	// Fences counts promises that a call was not started and never will be.
	Fences atomic.Int64
	// Attaches counts answers fetched over another connection.
	Attaches atomic.Int64
	// Replays counts answers taken from a run record.
	Replays atomic.Int64
	// InFlight is the number of requests that run at targets of this host.
	InFlight atomic.Int64

	// Latency is the time from arrival to the end of the answer at the entry.
	Latency *Histograms
	// QueueWait is the time that a request waits at the node beside its target.
	QueueWait *Histograms

	refusals map[outcome.Code]*atomic.Int64
	gauges   sync.Map // string to func() float64
	traffic  atomic.Pointer[func() []TrafficRow]
}

// TrafficRow counts the exchanges of one kind with other nodes.
type TrafficRow struct {
	Kind string `json:"kind"`
	// Distance is near for the own data centre and far for others.
	Distance  string `json:"distance"`
	Exchanges int64  `json:"exchanges"`
	Sent      int64  `json:"sent_bytes"`
	Received  int64  `json:"received_bytes"`
}

// NewMetrics returns metrics that all stand at zero.
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

// Refused counts one refusal under its code.
func (m *Metrics) Refused(code outcome.Code) {
	if counter, ok := m.refusals[code]; ok {
		counter.Add(1)
	}
}

// SetGauge registers a gauge that is read at each export.
func (m *Metrics) SetGauge(name string, read func() float64) {
	m.gauges.Store(name, read)
}

// SetTraffic registers what is read at each export for the traffic with other nodes.
func (m *Metrics) SetTraffic(read func() []TrafficRow) {
	m.traffic.Store(&read)
}

// Export is the exported form of Metrics.
type Export struct {
	Counters  map[string]int64   `json:"counters"`
	Refusals  map[string]int64   `json:"refusals"`
	Gauges    map[string]float64 `json:"gauges"`
	Latency   []Summary          `json:"latency"`
	QueueWait []Summary          `json:"queue_wait"`
	Traffic   []TrafficRow       `json:"traffic"`
}

// Export reads every metric.
func (m *Metrics) Export() Export {
	e := Export{
		Counters: map[string]int64{
			"calls":          m.Calls.Load(),
			"sub_calls":      m.SubCalls.Load(),
			"attempts":       m.Attempts.Load(),
			"extra_attempts": m.ExtraAttempts.Load(),
			"executions":     m.Executions.Load(),
			"fences":         m.Fences.Load(),
			"attaches":       m.Attaches.Load(),
			"replays":        m.Replays.Load(),
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

// published is the node whose metrics expvar shows. A process runs one node;
// a test that runs several shows the last.
var published atomic.Pointer[Metrics]

var publishOnce sync.Once

// Publish shows the metrics under the expvar name "guavaford".
func (m *Metrics) Publish() {
	published.Store(m)
	publishOnce.Do(func() {
		expvar.Publish("guavaford", expvar.Func(func() any { return published.Load().Export() }))
	})
}
