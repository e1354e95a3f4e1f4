package servicerate_test

import (
	"fmt"
	"math"
	"slices"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/admission"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/route"
)

// The load of uneven demand: three data centres with two, three and four targets of unequal speed. The demand of each
// averages unevenUse of what its targets can do and swings by unevenSwing, a third of a period out of phase with the others.
// After unevenWaves periods demand is even. Callers know the load reports of the answers they get, and use them for a second;
// with reportEvery, what a report of another data centre says is up to another second old.
const (
	unevenUse    = 0.7
	unevenSwing  = 0.55
	unevenPeriod = 10 * time.Second
	unevenWaves  = 2
	// wavesEnd is when demand becomes even: after whole periods that are measured.
	wavesEnd = warmUp + unevenWaves*unevenPeriod
	// unevenFade is the time in which the waves end, and unevenSettle the time from then on after which crossing calls are counted as those
	// of even demand.
	unevenFade   = 2 * time.Second
	unevenSettle = 2 * time.Second
	unevenEven   = 8 * time.Second
	// useWindow and shareWindow are the times over which the use of a target and the share of crossing calls are averaged.
	// A change of the share by shareChange is above the noise of a window.
	useWindow, shareWindow = 100 * time.Millisecond, 500 * time.Millisecond
	shareChange            = 0.1
	// hearWithin is the time within which all hosts hear of a target that joins or leaves.
	hearWithin = time.Second
)

// unevenSpeeds are the speeds of the targets of each data centre.
var unevenSpeeds = [][]float64{{0.7, 1.3}, {0.5, 0.9, 1.6}, {0.6, 0.8, 1.2, 1.4}}

// unevenLoad returns the load with the given number of slots for each target. With equalDemand all data centres have the
// same demand, so that the smallest has more than it can serve on average; otherwise each has as its targets can do.
func unevenLoad(slots int, equalDemand bool) load {
	l := load{hosts: 88, dataCentres: 3, slots: slots, work: 60 * time.Millisecond, spread: 0.3, knee: 0.95, kneeFactor: 1.3, seed: 1,
		length: unevenWaves*unevenPeriod + unevenEven, peakDemand: 3}
	capacity, total := make([]float64, 3), 0.0
	for centre, speeds := range unevenSpeeds {
		for _, speed := range speeds {
			l.speeds, l.centres = append(l.speeds, speed), append(l.centres, centre)
			capacity[centre] += speed
			total += speed
		}
	}
	l.perSecond = unevenUse * total * float64(slots) / l.work.Seconds()
	l.demand = func(at time.Duration, centre int) float64 {
		share := capacity[centre] / total
		if equalDemand {
			share = 1.0 / 3
		}
		hosts := (l.hosts - centre + l.dataCentres - 1) / l.dataCentres
		demand := share * float64(l.hosts) / float64(hosts)
		swing := unevenSwing * min(max(1-(at-wavesEnd).Seconds()/unevenFade.Seconds(), 0), 1)
		return demand * (1 + swing*math.Sin(2*math.Pi*(at.Seconds()/unevenPeriod.Seconds()+float64(centre)/3)))
	}
	return l
}

// unevenResult is what is measured of uneven demand, after the warm-up.
type unevenResult struct {
	*result
	// refusedWithRoom counts the calls that were refused while a target had free slots.
	refusedWithRoom int
	// unevenFor is the longest time for which a target was above 0.95 of its slots while another was below 0.7.
	unevenFor time.Duration
	// crossedEven is the share of the calls that cross once demand is even.
	crossedEven float64
	// turns is how often the share of a data centre's calls that cross changes its direction in a period, on average, where
	// that is most often.
	turns float64
	// shares holds the share of crossing calls of each data centre in each window.
	shares [][]float64
	mean   time.Duration
}

func (r *unevenResult) String() string {
	return fmt.Sprintf("calls=%d refused=%d refused_with_room=%d uneven_for=%v crossed=%.1f%% crossed_even=%.2f%% turns=%.1f mean=%v p99=%v p99.9=%v late=%.2f%% moved=%.2f%%",
		r.calls, r.refused, r.refusedWithRoom, r.unevenFor, 100*float64(r.crossed)/float64(r.calls), 100*r.crossedEven, r.turns,
		r.mean.Round(100*time.Microsecond), r.quantile(0.99).Round(time.Millisecond), r.quantile(0.999).Round(time.Millisecond),
		100*float64(r.late)/float64(r.calls), 100*float64(r.moved)/float64(r.calls))
}

// unevenModel measures a model under uneven demand.
type unevenModel struct {
	*model
	r unevenResult
	// above is the time for which each target has been above 0.95 of its slots while another was below 0.7.
	above         []time.Duration
	used          []float64
	calls, across []int
	even, evenFar int
	records       []*registry.Target
}

func newUnevenModel(l load, admit admission.Config, choose route.Config) *unevenModel {
	u := &unevenModel{model: newModel(l, admit, choose), above: make([]time.Duration, len(l.speeds)), used: make([]float64, len(l.speeds)),
		calls: make([]int, l.dataCentres), across: make([]int, l.dataCentres)}
	u.r.shares = make([][]float64, l.dataCentres)
	for _, t := range u.targets {
		u.records = append(u.records, t.record)
	}
	u.refusedAt = func(*modelCall) {
		if slices.ContainsFunc(u.targets, func(t *modelTarget) bool { return !t.leaving && t.running < t.limit() }) {
			u.r.refusedWithRoom++
		}
	}
	u.chosen = u.count
	u.after(warmUp, u.sampleUse)
	u.after(warmUp, u.sampleShares)
	return u
}

// limit returns how many requests the gate beside the target lets run.
func (t *modelTarget) limit() int { return t.gate.Load(t.model.now, "").Limit }

// count counts an attempt, in its data centre and once demand is even.
func (u *unevenModel) count(c *modelCall) {
	if !u.warm() {
		return
	}
	centre, even := c.host%u.dataCentres, u.now.Sub(u.start) > wavesEnd+unevenFade+unevenSettle
	u.calls[centre]++
	if even {
		u.even++
	}
	if c.link == farLink {
		u.across[centre]++
		if even {
			u.evenFar++
		}
	}
}

// sampleUse averages the use of each target over a window, queued requests included.
func (u *unevenModel) sampleUse() {
	const steps = 10
	var step func(n int)
	step = func(n int) {
		for i, t := range u.targets {
			u.used[i] += float64(t.running+len(t.waiting)) / float64(u.slots) / steps
		}
		if n < steps {
			u.after(useWindow/steps, func() { step(n + 1) })
			return
		}
		u.compareUse()
		u.after(useWindow/steps, func() { step(1) })
	}
	step(1)
}

// compareUse measures for how long targets have been above 0.95 of their slots while another was below 0.7.
func (u *unevenModel) compareUse() {
	idle := false
	for i, t := range u.targets {
		idle = idle || !t.leaving && u.used[i] < 0.7
	}
	for i := range u.targets {
		if idle && u.used[i] > 0.95 {
			u.above[i] += useWindow
		} else {
			u.above[i] = 0
		}
		u.r.unevenFor = max(u.r.unevenFor, u.above[i])
		u.used[i] = 0
	}
}

// sampleShares takes the share of crossing calls of each data centre over a window.
func (u *unevenModel) sampleShares() {
	clear(u.calls)
	clear(u.across)
	u.after(shareWindow, func() {
		for centre := range u.calls {
			u.r.shares[centre] = append(u.r.shares[centre], float64(u.across[centre])/float64(max(u.calls[centre], 1)))
		}
		u.sampleShares()
	})
}

// turns returns how often a series changes direction. Differences below shareChange are none.
func turns(series []float64) int {
	n, direction, low, high := 0, 0, math.Inf(1), math.Inf(-1)
	for _, v := range series {
		low, high = min(low, v), max(high, v)
		switch {
		case direction <= 0 && v > low+shareChange:
			if direction < 0 {
				n++
			}
			direction, high = 1, v
		case direction >= 0 && v < high-shareChange:
			if direction > 0 {
				n++
			}
			direction, low = -1, v
		}
	}
	return n
}

// play runs the model and returns what was measured.
func (u *unevenModel) play() *unevenResult {
	u.r.result = u.run()
	u.r.crossedEven = float64(u.evenFar) / float64(max(u.even, 1))
	for _, shares := range u.r.shares {
		waves := shares[:min(len(shares), int((wavesEnd-warmUp)/shareWindow))]
		u.r.turns = max(u.r.turns, float64(turns(waves))/unevenWaves)
	}
	for _, latency := range u.r.latencies {
		u.r.mean += latency
	}
	u.r.mean /= time.Duration(max(len(u.r.latencies), 1))
	return &u.r
}

// leave makes a target leave: its gate refuses calls as not run, and all hosts hear of it within hearWithin.
func (u *unevenModel) leave(at time.Duration, target int) {
	u.after(at, func() {
		t := u.targets[target]
		left := *t.record
		left.State = apiv1.TargetState_TARGET_STATE_LEAVING
		t.leaving = true
		t.gate.SetDraining(true)
		t.decide()
		u.list(target, &left)
	})
}

// absent takes a target out until it joins, at a time.
func (u *unevenModel) absent(until time.Duration, target int) {
	t := u.targets[target]
	t.leaving = true
	for _, p := range u.pickers {
		p.Update(slices.Delete(slices.Clone(u.records), target, target+1))
	}
	u.after(until, func() {
		t.leaving = false
		u.list(target, t.record)
	})
}

// list lets all hosts know the record of a target, each at a time of its own.
func (u *unevenModel) list(target int, record *registry.Target) {
	u.records = slices.Clone(u.records)
	u.records[target] = record
	records := u.records
	for i, p := range u.pickers {
		u.after(hearWithin*time.Duration(i)/time.Duration(len(u.pickers)), func() { p.Update(records) })
	}
}

// peak returns when the demand of a data centre is highest, in the second period.
func peak(centre int) time.Duration {
	phase := math.Mod(0.25-float64(centre)/3+1, 1)
	return time.Duration((1 + phase) * float64(unevenPeriod))
}
