package gate

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/coldstart"
)

// A target reports its cold time every one or two seconds, and one that becomes cold in between would get the load of a warm target until then. So
// warm targets with a cold rate are asked more often, at the health path that their policy names. A cold target is not asked: its time
// ends by itself, and a health probe counts against its rate.

const (
	// coldProbeInterval is the time between two health probes of a target.
	coldProbeInterval = 250 * time.Millisecond
	// coldProbeTimeout bounds one probe; the next follows after it.
	coldProbeTimeout = 500 * time.Millisecond
	// maxProbeBody is how much of the body of a response is read, so that the connection can be used again.
	maxProbeBody = 4 << 10
)

// ProbeColdTargets asks the targets of the host whether they have become cold, until ctx ends.
func (g *Gate) ProbeColdTargets(ctx context.Context, transport http.RoundTripper) {
	for {
		g.mu.RLock()
		for _, e := range g.targets {
			if path := e.probePath(); path != "" && e.cold.probing.CompareAndSwap(false, true) {
				go g.probe(ctx, transport, e, path)
			}
		}
		g.mu.RUnlock()
		if !clock.Sleep(ctx, coldProbeInterval) {
			return
		}
	}
}

// probePath returns the path at which to ask the target; empty if it is not to be asked now: it is cold and has said so, leaves, or has no
// cold rate.
func (e *targetEntry) probePath() string {
	if e.admission.Load().Draining {
		return ""
	}
	c := e.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.policy.PerSecond <= 0 || c.perSecond > 0 && c.tracker.Known() {
		return ""
	}
	return c.policy.HealthPath
}

// probe asks a target once. A failure says nothing: the target may just be busy.
func (g *Gate) probe(ctx context.Context, transport http.RoundTripper, e *targetEntry, path string) {
	defer e.cold.probing.Store(false)
	ctx, cancel := context.WithTimeout(ctx, coldProbeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.target.Address+path, nil)
	if err != nil {
		return
	}
	names := g.opts.HeaderNames
	if names.Target != "" {
		request.Header.Set(names.Target, e.target.Name)
	}
	sent := g.opts.Clock.Now()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, response.Body, maxProbeBody)
	_ = response.Body.Close()
	value := response.Header.Get(names.ColdMs)
	if value == "" || response.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	if left, err := parseColdLeft(value); err == nil {
		e.observeCold(coldstart.Reading{At: sent, Left: left + g.opts.Clock.Now().Sub(sent)}, "probe")
	}
}
