package dispatch

import (
	"time"

	"github.com/guavaford/guavaford/internal/gate"
	"github.com/guavaford/guavaford/internal/outcome"
)

// maxColdRefusals is how many attempts of a call the gates of cold targets may refuse beside those that count: a node that has not heard
// that a target is cold sends it a call that another target has room for.
const maxColdRefusals = 2

// refusedByCold reports whether the gate of a cold target has refused an attempt before it reached the target. The next one follows at once and
// takes nothing from the allowance.
func (c *call) refusedByCold(answer *gate.Answer, r *outcome.Refusal) bool {
	if r == nil || r.Ran != outcome.RanNo || r.Reached || c.coldRefusals >= maxColdRefusals || !c.request.Body.Replayable() {
		return false
	}
	if answer.Header.GetLoad().GetColdLeftMs() == 0 {
		return false
	}
	switch r.Code {
	case outcome.QueueFull, outcome.Evicted, outcome.Overloaded:
		c.coldRefusals++
		return true
	default:
		return false
	}
}

// markCold marks a result that was refused because all targets of the service are cold. Its caller may retry once the first is warm.
func (c *call) markCold(r *Result) *Result {
	refusal := r.Refusal()
	if refusal == nil || refusal.Ran != outcome.RanNo {
		return r
	}
	switch refusal.Code {
	case outcome.QueueFull, outcome.Evicted, outcome.Overloaded, outcome.DeadlineTooShort:
	default:
		return r
	}
	if left := c.service.picker.WarmIn(); left > 0 {
		r.Answer.Header.Refusal.RetryAfterNs = int64(left)
		r.Cold = true
	}
	return r
}

// WarmIn returns the time until the first target of a service is warm; 0 if there is a warm one, or the node does not use the service.
func (d *Dispatcher) WarmIn(name string) time.Duration {
	d.mu.RLock()
	s, ok := d.services[name]
	d.mu.RUnlock()
	if !ok {
		return 0
	}
	return s.picker.WarmIn()
}
