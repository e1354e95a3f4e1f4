package telemetry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and resolution of latency histograms.
const (
	histogramMin    = int64(time.Microsecond)
	histogramMax    = int64(2 * time.Minute)
	histogramDigits = 2
)

// MaxSeries is the largest number of histograms, the shared one included. Pairs of organisation and class beyond it
// share one histogram under OtherSeries.
const MaxSeries = 256

// OtherSeries is the organisation and class name of the shared histogram.
const OtherSeries = "other"

// Series identifies one histogram by organisation and class.
type Series struct {
	Organisation string
	Class        string
}

// Summary holds the count and percentiles of one histogram. Times are in microseconds.
type Summary struct {
	Organisation string  `json:"organisation"`
	Class        string  `json:"class"`
	Count        int64   `json:"count"`
	P50          float64 `json:"p50_us"`
	P90          float64 `json:"p90_us"`
	P99          float64 `json:"p99_us"`
	P999         float64 `json:"p999_us"`
	Max          float64 `json:"max_us"`
}

// Histograms records durations by organisation and class. It is safe for concurrent use.
type Histograms struct {
	mu     sync.RWMutex
	series map[Series]*histogram
}

// histogram is one HdrHistogram and its lock.
type histogram struct {
	mu  sync.Mutex
	hdr *hdrhistogram.Histogram
}

// NewHistograms returns a set without histograms.
func NewHistograms() *Histograms {
	return &Histograms{series: make(map[Series]*histogram)}
}

// Record adds one duration to the histogram of a series. Durations outside the range are clamped to it.
func (h *Histograms) Record(s Series, d time.Duration) {
	hist := h.find(s)
	value := min(max(int64(d), histogramMin), histogramMax)
	hist.mu.Lock()
	defer hist.mu.Unlock()
	// The value is clamped to the range, so recording can't fail.
	_ = hist.hdr.RecordValue(value)
}

// find returns the histogram of a series and creates it if needed, or the shared one if there are too many.
func (h *Histograms) find(s Series) *histogram {
	h.mu.RLock()
	hist, ok := h.series[s]
	h.mu.RUnlock()
	if ok {
		return hist
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if hist, ok = h.series[s]; ok {
		return hist
	}
	if len(h.series) >= MaxSeries-1 {
		s = Series{Organisation: OtherSeries, Class: OtherSeries}
	}
	if hist, ok = h.series[s]; ok {
		return hist
	}
	hist = &histogram{hdr: hdrhistogram.New(histogramMin, histogramMax, histogramDigits)}
	h.series[s] = hist
	return hist
}

// Summaries returns a summary of every histogram.
func (h *Histograms) Summaries() []Summary {
	h.mu.RLock()
	defer h.mu.RUnlock()
	out := make([]Summary, 0, len(h.series))
	for s, hist := range h.series {
		out = append(out, hist.summary(s))
	}
	return out
}

// summary returns the count and percentiles of one histogram.
func (h *histogram) summary(s Series) Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	micros := func(q float64) float64 {
		return float64(h.hdr.ValueAtQuantile(q)) / float64(time.Microsecond)
	}
	return Summary{
		Organisation: s.Organisation,
		Class:        s.Class,
		Count:        h.hdr.TotalCount(),
		P50:          micros(50),
		P90:          micros(90),
		P99:          micros(99),
		P999:         micros(99.9),
		Max:          float64(h.hdr.Max()) / float64(time.Microsecond),
	}
}
