package faultsoak

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/guavaford/guavaford/internal/clock"
)

// Times of evacuations.
const (
	// shortEvacuation is the longest time after which the first evacuation is taken back.
	shortEvacuation = 1500 * time.Millisecond
	// evacuationRest is how long the second one lasts beyond the faults, so that the bound is checked after them.
	evacuationRest = 6 * time.Second
	// orderTimeout bounds one order, orderWait all resends of it.
	orderTimeout = 4 * time.Second
	orderWait    = 20 * time.Second
)

// Evacuation is one evacuation of a plan, counted from the start of the plan.
type Evacuation struct {
	Start, End time.Duration
	// DataCentre is the index of the data centre.
	DataCentre int
}

// NewEvacuations returns the evacuations for a seed: a short one, and one that begins amid the faults and ends after them.
func NewEvacuations(seed uint64, length time.Duration, dataCentres int) []Evacuation {
	rnd := rand.New(rand.NewPCG(seed, 1))
	between := func(from, to float64) time.Duration {
		return time.Duration((from + (to-from)*rnd.Float64()) * float64(length))
	}
	first := Evacuation{Start: between(0, 0.2), DataCentre: rnd.IntN(dataCentres)}
	first.End = first.Start + time.Duration(rnd.Int64N(int64(shortEvacuation)))
	return []Evacuation{first, {Start: between(0.3, 0.5), End: length + evacuationRest, DataCentre: rnd.IntN(dataCentres)}}
}

// evacuated knows which data centres are evacuated, as the confirmations of orders say.
type evacuated struct {
	mu sync.Mutex
	// since has the time of the confirmation.
	since map[string]time.Time
}

// set records a confirmed evacuation.
func (e *evacuated) set(dataCentre string, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.since[dataCentre] = at
}

// end records that an evacuation is about to be taken back.
func (e *evacuated) end(dataCentre string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.since, dataCentre)
}

// overdue returns for how long a data centre has been evacuated, if that is longer than evacuationBound.
func (e *evacuated) overdue(dataCentre string, now time.Time) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	since, ok := e.since[dataCentre]
	return now.Sub(since), ok && now.Sub(since) > evacuationBound
}

// evacuate plays the evacuations of a plan that began at a time.
func (r *run) evacuate(ctx context.Context, began time.Time, plan []Evacuation) {
	for _, e := range plan {
		name := dataCentre(e.DataCentre)
		if !clock.Sleep(ctx, max(e.Start-time.Since(began), 0)) || !r.order(ctx, "drain", name) {
			return
		}
		r.evacuated.set(name, time.Now())
		r.recorder.RecordEvacuation()
		// The order sent again gets the same answer, or none.
		_, _ = r.fleet.operatorCommand("drain", "data-centre", name, "--timeout", orderTimeout.String())
		if !clock.Sleep(ctx, max(e.End-time.Since(began), 0)) {
			return
		}
		r.checkDrained(name, true)
		r.evacuated.end(name)
		if !r.order(ctx, "undrain", name) {
			return
		}
		r.checkDrained(name, false)
	}
}

// order sends an order until it is confirmed. It reports a failure, and returns false, if that takes longer than orderWait.
func (r *run) order(ctx context.Context, verb, name string) bool {
	deadline := time.Now().Add(orderWait)
	for {
		_, err := r.fleet.operatorCommand(verb, "data-centre", name, "--timeout", orderTimeout.String())
		if err == nil || ctx.Err() != nil {
			return ctx.Err() == nil
		}
		if time.Now().After(deadline) {
			r.addFailure(errors.Wrapf(err, "%s of %s was not confirmed within %v", verb, name, orderWait))
			return false
		}
	}
}

// checkDrained checks that the confirmed state of a data centre is what the operator reads.
func (r *run) checkDrained(name string, want bool) {
	var out string
	err := eventually(func() error {
		var err error
		out, err = r.fleet.operatorCommand("get", "DataCentre")
		return err
	})
	if err != nil {
		r.addFailure(err)
		return
	}
	if drained := strings.Contains(out, name); drained != want {
		r.recorder.RecordLostEvacuation(name, drained)
	}
}
