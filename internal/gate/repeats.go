package gate

import (
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/outcome"
)

// RepeatLimit bounds the repeats of a service: attempts of requests that have reached one of its targets before. The
// bound holds for the whole fleet in any window, since every attempt passes the gate of its target, each request earns
// repeats at the gate that it passes, and the gates of a service divide the fixed number among them.
type RepeatLimit struct {
	// Ratio is the number of repeats allowed for each request of a caller; 0 turns the bound off.
	Ratio float64
	// Reserve is the number of further repeats allowed in a window at all targets of the service together.
	Reserve float64
	Window  time.Duration
	// Targets returns the number of targets among which the reserve of a service is divided; 0 if it is not known.
	Targets func(service string) int
}

const (
	// reserveShare is the share of the reserve that the known targets divide among them. The rest is for targets that this
	// node does not know yet.
	reserveShare = 0.8
	// burstShare is the fraction of its reserve that a gate may keep for a burst; time earns the rest within a window.
	burstShare = 0.5
)

// isolatedDivisor divides the share of a node that may have left the registry of others, which then divide the whole reserve among
// themselves. With it all nodes but one may be isolated at the same time, and what they keep stays within the part of the reserve
// that is not divided.
const isolatedDivisor = 8

// DivideAmong returns the number of targets among which the reserve of a service is divided, by the number in the registry.
func DivideAmong(listed int, isolated bool) int {
	if isolated {
		return isolatedDivisor * listed
	}
	return listed
}

// share returns the repeats that one of a number of targets may keep, and those that time earns in a second.
func (l RepeatLimit) share(targets int) (capacity, perSecond float64) {
	if targets <= 0 {
		return 0, 0
	}
	reserve := reserveShare * l.Reserve / float64(targets)
	return burstShare * reserve, (1 - burstShare) * reserve / l.Window.Seconds()
}

// admitRepeat counts first attempts, and counts or refuses repeats by the bound of the service.
func (g *Gate) admitRepeat(e *targetEntry, h *apiv1.CallHeader) *outcome.Refusal {
	if e.repeats == nil {
		return nil
	}
	now := g.opts.Clock.Now()
	targets := g.opts.RepeatLimit.Targets(e.target.Service)
	capacity, perSecond := g.opts.RepeatLimit.share(targets)
	e.repeats.SetShare(now, capacity, perSecond)
	if h.GetRepeat() == apiv1.Repeat_REPEAT_NONE {
		if h.GetDepth() == 0 && h.GetAttempt() == 0 {
			e.repeats.CountRequest(now)
		}
		return nil
	}
	if h.GetRepeat() == apiv1.Repeat_REPEAT_MAY_HAVE_RUN && g.opts.LoadTracker.MakesCalls(now, workOf(h)) {
		// If the request has run, another run would repeat all of its sub-calls as well.
		return outcome.NotRun(outcome.RepeatRefused, 0, "the request may have run, and its target calls others")
	}
	granted := e.repeats.Take(now)
	g.logRepeat(now, e, h, granted, targets)
	if !granted {
		return outcome.NotRun(outcome.RepeatRefused, 0, "the repeats of the service are used up")
	}
	return nil
}

// logRepeat logs whether a repeat was granted, and the state of the bucket by which that was decided.
func (g *Gate) logRepeat(now time.Time, e *targetEntry, h *apiv1.CallHeader, granted bool, targets int) {
	leftOut, ok := g.opts.LogLimiter.Allow(now)
	if !ok {
		return
	}
	message := "repeat refused"
	if granted {
		message = "repeat granted"
	}
	tokens, capacity := e.repeats.Tokens(now)
	g.opts.Log.Info(message, "request", h.GetRequestId(), "service", e.target.Service, "target", e.target.Name,
		"tokens", tokens, "capacity", capacity, "targets", targets, "left_out", leftOut)
}
