package admission

import (
	"math"
	"time"
)

// limitSample describes one finished request for the limiter.
type limitSample struct {
	now time.Time
	// ownTime is the service time without the time spent on sub-calls.
	ownTime time.Duration
	// inFlight is the number of requests running when this one ended, itself included.
	inFlight int
	// slots is the highest limit at this time.
	slots int
	kind  ResultKind
}

const (
	// limitWindow is the shortest duration, and limitWindowSamples the smallest number of
	// samples, of a window. Both must be reached before the limit changes.
	limitWindow        = 100 * time.Millisecond
	limitWindowSamples = 50
	// limitSlowdown is the ratio of the latency to its baseline above which the target is taken to queue requests.
	limitSlowdown = 1.5
	// limitRejectFactor is the factor applied to the limit when the target itself rejects requests.
	limitRejectFactor = 0.9
	// limitGrowth is the share of the limit that is added after a window without queueing.
	limitGrowth = 0.1
	// limitMinUse is the share of the limit that must be in use for a window to count; with fewer
	// requests running it says nothing about the limit.
	limitMinUse = 0.8
)

// window accumulates the samples between two changes of the limit.
type window struct {
	start       time.Time
	samples     int
	sum         time.Duration
	rejects     int
	maxInFlight int
}

// add includes a sample and reports whether the window is complete.
func (w *window) add(s limitSample) bool {
	if w.start.IsZero() {
		w.start = s.now
	}
	switch s.kind {
	case Rejected:
		w.rejects++
	case Success, TimedOut:
		w.samples++
		w.sum += s.ownTime
	}
	w.maxInFlight = max(w.maxInFlight, s.inFlight)
	return w.samples+w.rejects >= limitWindowSamples && s.now.Sub(w.start) >= limitWindow
}

// mean returns the mean latency of the window in seconds.
func (w *window) mean() float64 {
	if w.samples == 0 {
		return 0
	}
	return w.sum.Seconds() / float64(w.samples)
}

// throughput returns the number of finished requests a second.
func (w *window) throughput(now time.Time) float64 {
	return float64(w.samples) / now.Sub(w.start).Seconds()
}

// clampLimit rounds a limit into [1, slots].
func clampLimit(limit float64, slots int) int {
	return max(min(int(math.Round(limit)), slots), 1)
}

// unlimited is the initial limit, which only the announced slots bound.
const unlimited = math.MaxInt32

// limiter adapts how many requests may run at once. Only sample changes its state, and it
// reads no clock.
//
// It cuts the limit when the latency rises, and keeps the cut only if the throughput did not
// drop: an overloaded target finishes as many requests with fewer of them in flight, whereas
// one that merely became slower finishes fewer. In the second case the limiter restores the
// old limit and takes the new latency as the baseline.
type limiter struct {
	value float64
	// baseline is the latency without queueing, in seconds.
	baseline float64
	window   window
	// beforeCut describes the window that led to the current cut; its limit is 0 when there is none.
	beforeCut operatingPoint
	// skipWindow is set for the window right after a change, which contains requests of both limits.
	skipWindow bool
}

// operatingPoint is a limit and the throughput reached with it.
type operatingPoint struct {
	limit, throughput float64
}

const (
	// probeFactor is the factor applied to the limit when the latency rises.
	probeFactor = 0.7
	// probeMinThroughput is the ratio of the throughput after a cut to that before it, under which
	// the cut is undone.
	probeMinThroughput = 0.85
)

func newLimiter() *limiter { return &limiter{value: unlimited} }

func (l *limiter) limit(slots int) int { return clampLimit(l.value, slots) }

func (l *limiter) sample(s limitSample) {
	if !l.window.add(s) {
		return
	}
	w := l.window
	l.window = window{}
	l.value = min(l.value, float64(s.slots))
	if l.skipWindow {
		l.skipWindow = false
		return
	}
	mean := w.mean()
	if l.baseline == 0 || mean < l.baseline {
		l.baseline = mean
	}
	if w.rejects > 0 {
		l.setLimit(l.value*limitRejectFactor, operatingPoint{})
		return
	}
	if float64(w.maxInFlight) < l.value*limitMinUse {
		l.beforeCut = operatingPoint{}
		return
	}
	throughput := w.throughput(s.now)
	switch {
	case l.beforeCut.limit > 0 && throughput < l.beforeCut.throughput*probeMinThroughput:
		l.baseline = mean
		l.setLimit(l.beforeCut.limit, operatingPoint{})
	case mean > l.baseline*limitSlowdown:
		l.setLimit(l.value*probeFactor, operatingPoint{limit: l.value, throughput: throughput})
	default:
		l.beforeCut = operatingPoint{}
		l.value += max(1, l.value*limitGrowth)
	}
}

// setLimit sets a new limit and skips the next window, which still contains requests of the old one.
func (l *limiter) setLimit(limit float64, beforeCut operatingPoint) {
	l.value = max(limit, 1)
	l.beforeCut = beforeCut
	l.skipWindow = true
}
