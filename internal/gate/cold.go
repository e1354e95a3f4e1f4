package gate

import (
	"math"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/coldstart"
	"github.com/guavaford/guavaford/internal/registry"
)

// targetCold holds the cold time of one run of a target, and applies its rate to the admission of the target. It ends by itself.
type targetCold struct {
	gate *Gate

	mu      sync.Mutex
	tracker *coldstart.Tracker
	policy  coldstart.Policy
	// perSecond is the cold rate that applies; 0 while the target is warm.
	perSecond float64
	// end ends the cold time; nil while the target is warm.
	end *time.Timer
	// probing is set while the target is asked whether it is cold.
	probing atomic.Bool
}

// newCold returns the cold time of a target that is new to the gate, by the latest reading that is known of it.
func (g *Gate) newCold(t *registry.Target) *targetCold {
	c := &targetCold{gate: g, tracker: coldstart.NewTracker(t.Started)}
	if g.opts.ColdReading != nil {
		if r, ok := g.opts.ColdReading(t.Name, t.Started); ok {
			c.tracker.Observe(r)
		}
	}
	return c
}

// ObserveCold takes over what a target of the host, in the run that started at a time, says of its cold time.
func (g *Gate) ObserveCold(name string, started time.Time, r coldstart.Reading) {
	if e, ok := g.find(name); ok && e.target.Started.Equal(started) {
		e.observeCold(r, "report")
	}
}

// observeCold takes a reading over. The source is logged.
func (e *targetEntry) observeCold(r coldstart.Reading, source string) {
	c := e.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tracker.Observe(r) {
		c.apply(e, source)
	}
}

// setColdPolicy replaces the policy.
func (e *targetEntry) setColdPolicy(p coldstart.Policy) {
	c := e.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	c.policy = p
	c.apply(e, "policy")
}

// coldEnds is called when the cold time has run out, unless it was prolonged meanwhile.
func (e *targetEntry) coldEnds() {
	c := e.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(e, "time")
}

// apply applies the present cold time to the admission of the target. The caller holds mu.
func (c *targetCold) apply(e *targetEntry, source string) {
	left := c.tracker.Left(c.gate.opts.Clock.Now(), c.policy)
	if c.end != nil {
		c.end.Stop()
		c.end = nil
	}
	perSecond := 0.0
	if left > 0 {
		perSecond = c.policy.PerSecond
		c.end = time.AfterFunc(left, e.coldEnds)
	}
	was := c.perSecond
	if perSecond == was {
		return
	}
	c.perSecond = perSecond
	e.admission.SetColdRate(perSecond)
	if was > 0 && perSecond > 0 {
		return
	}
	message := "target is cold"
	if perSecond == 0 {
		message = "target is warm"
		e.meter.Warmed()
	} else {
		c.gate.opts.Metrics.ColdStarts.Add(1)
	}
	if leftOut, ok := c.gate.opts.LogLimiter.Allow(c.gate.opts.Clock.Now()); ok {
		c.gate.opts.Log.Info(message, "target", e.target.Name, "service", e.target.Service, "source", source, "left", left,
			"per_second", perSecond, "left_out", leftOut)
	}
}

// left returns the remaining cold time and the rate that applies; 0 while the target is warm.
func (c *targetCold) left(now time.Time) (left time.Duration, perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.perSecond == 0 {
		return 0, 0
	}
	// The timer that ends the cold time may be late; until then the rate applies.
	return max(c.tracker.Left(now, c.policy), time.Millisecond), c.perSecond
}

// reportCold adds the cold time to a load report.
func (c *targetCold) reportCold(now time.Time, m *apiv1.LoadReport) {
	if left, perSecond := c.left(now); perSecond > 0 {
		m.ColdLeftMs, m.ColdPerSecond = uint32(max(left.Milliseconds(), 1)), perSecond
	}
}

// observeColdField takes over the remaining cold time that a response tells; empty for none. The reading counts from when the request was
// sent, so that a late response to an earlier request does not replace a later reading.
func (x *execution) observeColdField(value string) {
	if value == "" {
		return
	}
	left, err := parseColdLeft(value)
	if err != nil {
		x.logNotice("notice of the target ignored", "err", err)
		return
	}
	x.entry.observeCold(coldstart.Reading{At: x.started, Left: left + x.gate.opts.Clock.Now().Sub(x.started)}, "response")
}

// observeColdNotice takes over the field of a response that tells the remaining cold time.
func (x *execution) observeColdNotice(header http.Header) {
	if name := x.gate.opts.HeaderNames.ColdMs; name != "" {
		x.observeColdField(header.Get(name))
	}
}

// parseColdLeft returns the remaining cold time in a field of a response, in milliseconds.
func parseColdLeft(value string) (time.Duration, error) {
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return 0, errors.Wrap(err, "cold time")
	}
	if math.IsNaN(ms) || ms < 0 {
		return 0, errors.Errorf("cold time: %q is not a number of milliseconds", value)
	}
	return time.Duration(min(ms, float64(coldstart.MaxLeft.Milliseconds())) * float64(time.Millisecond)), nil
}
