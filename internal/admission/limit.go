package admission

import (
	"math"
	"time"
)

// limiter adapts how many requests may run at once. Implementations are pure: they change
// only by sample.
type limiter interface {
	// limit returns the current limit, at least 1 and at most slots.
	limit(slots int) int
	// sample takes the outcome of one request. inFlight includes the request itself.
	sample(s limitSample)
}

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

// Algorithm names a limiter.
type Algorithm int

// The limiters.
const (
	Probing Algorithm = iota
	AIMD
	Gradient
)

// newLimiter returns a limiter that starts at the announced slots.
func newLimiter(a Algorithm) limiter {
	switch a {
	case AIMD:
		return newAIMDLimiter()
	case Gradient:
		return newGradientLimiter()
	default:
		return newProbingLimiter()
	}
}

// Parameters shared by the limiters.
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

// aimdLimiter adds to the limit while latency stays near its baseline and multiplies it down
// when latency rises. The baseline follows the latency slowly, so a target that has become
// slower for good gets its limit back in time.
type aimdLimiter struct {
	value    float64
	baseline float64
	window   window
}

const (
	aimdCut = 0.9
	// aimdBaselineGain is the weight of a window in the baseline when it is slower.
	aimdBaselineGain = 0.02
)

func newAIMDLimiter() *aimdLimiter { return &aimdLimiter{value: unlimited} }

func (l *aimdLimiter) limit(slots int) int { return clampLimit(l.value, slots) }

func (l *aimdLimiter) sample(s limitSample) {
	if !l.window.add(s) {
		return
	}
	w := l.window
	l.window = window{}
	l.value = min(l.value, float64(s.slots))
	mean := w.mean()
	if l.baseline == 0 || mean < l.baseline {
		l.baseline = mean
	}
	switch {
	case w.rejects > 0:
		l.value *= limitRejectCut
	case mean > l.baseline*limitSlowdown:
		l.value *= aimdCut
	case float64(w.inFlight) >= l.value*limitBusy:
		l.value += max(1, l.value*limitGrowth)
	}
	l.baseline += aimdBaselineGain * (mean - l.baseline)
	l.value = max(l.value, 1)
}

// gradientLimiter multiplies the limit by the ratio of long-term to current latency and adds
// a small queue on top.
type gradientLimiter struct {
	value  float64
	long   float64
	window window
}

const (
	gradientLongGain = 0.02
	gradientMin      = 0.5
)

func newGradientLimiter() *gradientLimiter { return &gradientLimiter{value: unlimited} }

func (l *gradientLimiter) limit(slots int) int { return clampLimit(l.value, slots) }

func (l *gradientLimiter) sample(s limitSample) {
	if !l.window.add(s) {
		return
	}
	w := l.window
	l.window = window{}
	l.value = min(l.value, float64(s.slots))
	mean := w.mean()
	if l.long == 0 || mean < l.long {
		l.long = mean
	}
	l.long += gradientLongGain * (mean - l.long)
	if w.rejects > 0 {
		l.value = max(l.value*limitRejectCut, 1)
		return
	}
	if float64(w.inFlight) < l.value*limitBusy {
		return
	}
	gradient := 1.0
	if mean > 0 {
		gradient = min(max(l.long*limitSlowdown/mean, gradientMin), 1)
	}
	l.value = max(l.value*gradient+math.Sqrt(l.value), 1)
}

// probingLimiter cuts the limit when latency rises, and keeps the cut only if throughput
// held: a target with more requests inside than it can run serves as many with fewer, whereas
// one that merely became slower serves fewer. In the second case the old limit comes back and
// the new latency becomes the baseline.
type probingLimiter struct {
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

func newProbingLimiter() *probingLimiter { return &probingLimiter{value: unlimited} }

func (l *probingLimiter) limit(slots int) int { return clampLimit(l.value, slots) }

func (l *probingLimiter) sample(s limitSample) {
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
func (l *probingLimiter) change(limit float64, before trial) {
	l.value = max(limit, 1)
	l.before = before
	l.settle = true
}
