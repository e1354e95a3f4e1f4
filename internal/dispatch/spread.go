package dispatch

import (
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/route"
)

// logSpread logs that calls of a service have begun or ceased to leave the data centre to spread demand evenly, unless too
// many lines were logged.
func (d *Dispatcher) logSpread(service string, change route.SpreadChange) {
	leftOut, ok := d.o.LogLimiter.Allow(d.o.Clock.Now())
	if !ok {
		return
	}
	message := "calls stay in the data centre again"
	if change.Leaving {
		message = "calls leave the data centre"
	}
	d.o.Log.Info(message, "service", service, "data_centre", d.o.DataCentre, "share", change.Share, "local_use", change.LocalUse,
		"remote_use", change.RemoteUse, "left_out", leftOut)
}

// countCrossing counts an attempt at a target of another data centre.
func (d *Dispatcher) countCrossing(t *registry.Target) {
	if t.DataCentre != d.o.DataCentre {
		d.o.Metrics.CrossedAttempts.Add(1)
	}
}

// SpreadShare returns the largest share of the calls of a service that leaves the data centre to spread demand evenly.
func (d *Dispatcher) SpreadShare() float64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	largest := 0.0
	for _, s := range d.services {
		largest = max(largest, s.picker.SpreadShare())
	}
	return largest
}
