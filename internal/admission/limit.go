package admission

import (
	"math"
	"time"
)

// limitSample is what a limiter learns from one request.
type limitSample struct {
	now time.Time
	// own is the service time without the time spent on sub-calls.
	own time.Duration
	// inFlight is the concurrency when the request ended, itself included.
	inFlight int
	// slots is the announced bound at this time.
	slots int
	kind  Kind
}

const (
	// limitWindow and limitWindowSamples must both be reached before a limit changes.
	limitWindow        = 100 * time.Millisecond
	limitWindowSamples = 50
	// limitSlowdown is the ratio of latency to its baseline that counts as queueing.
	limitSlowdown = 1.5
	// limitRejectCut is the factor applied when the target itself rejects work.
	limitRejectCut = 0.9
	// limitGrowth is the share of the limit that is added in a window without queueing.
	limitGrowth = 0.1
	// limitBusy is the share of the limit in use from which a window tells anything.
	limitBusy = 0.8
)

// window collects the samples between two changes of a limit.
type window struct {
	start    time.Time
	samples  int
	sum      time.Duration
	rejects  int
	inFlight int
}

// add counts a sample and reports whether the window is complete.
func (w *window) add(s limitSample) bool {
	if w.start.IsZero() {
		w.start = s.now
	}
	switch s.kind {
	case Rejected:
		w.rejects++
	case Success, TimedOut:
		w.samples++
		w.sum += s.own
	}
	w.inFlight = max(w.inFlight, s.inFlight)
	return w.samples+w.rejects >= limitWindowSamples && s.now.Sub(w.start) >= limitWindow
}

// mean returns the mean latency of the window in seconds.
func (w *window) mean() float64 {
	if w.samples == 0 {
		return 0
	}
	return w.sum.Seconds() / float64(w.samples)
}

// throughput returns finished requests a second.
func (w *window) throughput(now time.Time) float64 {
	return float64(w.samples) / now.Sub(w.start).Seconds()
}

// clampLimit rounds a limit into [1, slots].
func clampLimit(limit float64, slots int) int {
	return max(min(int(math.Round(limit)), slots), 1)
}

// unlimited marks a limit that only the announced slots bound.
const unlimited = math.MaxInt32

// limiter adapts how many requests may run at once. It is pure: it changes only by sample.
//
// It cuts the limit when latency rises, and keeps the cut only if throughput
// held: a target with more requests inside than it can run serves as many with fewer, whereas
// one that merely became slower serves fewer. In the second case the old limit comes back and
// the new latency becomes the baseline.
type limiter struct {
	value    float64
	baseline float64
	window   window
	// before describes the window that led to the current cut; limit 0 when there is none.
	before trial
	// settle is set for the window right after a change, which mixes both limits.
	settle bool
}

// trial is the limit and throughput to compare a cut against.
type trial struct {
	limit, throughput float64
}

const (
	probeCut = 0.7
	// probeHeld is the ratio of throughput after and before a cut from which it held.
	probeHeld = 0.85
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
	if l.settle {
		l.settle = false
		return
	}
	mean := w.mean()
	if l.baseline == 0 || mean < l.baseline {
		l.baseline = mean
	}
	if w.rejects > 0 {
		l.change(l.value*limitRejectCut, trial{})
		return
	}
	if float64(w.inFlight) < l.value*limitBusy {
		l.before = trial{}
		return
	}
	throughput := w.throughput(s.now)
	switch {
	case l.before.limit > 0 && throughput < l.before.throughput*probeHeld:
		l.baseline = mean
		l.change(l.before.limit, trial{})
	case mean > l.baseline*limitSlowdown:
		l.change(l.value*probeCut, trial{limit: l.value, throughput: throughput})
	default:
		l.before = trial{}
		l.value += max(1, l.value*limitGrowth)
	}
}

// change sets a new limit and skips the window that still mixes it with the old one.
func (l *limiter) change(limit float64, before trial) {
	l.value = max(limit, 1)
	l.before = before
	l.settle = true
}
