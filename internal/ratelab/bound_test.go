package ratelab

import (
	"cmp"
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavaford/guavaford/internal/rate"
)

// admission is one admitted request. A refunded one was not run and does not count.
type admission struct {
	at       time.Duration
	refunded bool
}

// limitChange sets rate and burst from a time on.
type limitChange struct {
	at    time.Duration
	limit limit
}

// limitsInForce returns the greatest rate and burst that were in force at some time of
// [at-lag, at].
func limitsInForce(changes []limitChange, at, lag time.Duration) limit {
	var most limit
	for i, c := range changes {
		if c.at > at || (i+1 < len(changes) && changes[i+1].at <= at-lag) {
			continue
		}
		most = limit{max(most.perSecond, c.limit.perSecond), max(most.burst, c.limit.burst)}
	}
	return most
}

// overdraft returns by how many tokens the admissions exceed burst + rate*W in any window.
// A lowered limit counts only after lag, as tokens already on lease stay valid until then.
func overdraft(admissions []*admission, changes []limitChange, lag time.Duration) float64 {
	var steps []limitChange
	for _, c := range changes {
		steps = append(steps, limitChange{c.at, limitsInForce(changes, c.at, lag)})
		steps = append(steps, limitChange{c.at + lag, limitsInForce(changes, c.at+lag, lag)})
	}
	slices.SortStableFunc(steps, func(a, b limitChange) int { return cmp.Compare(a.at, b.at) })
	bucket := NewBucket(changes[0].limit.perSecond, changes[0].limit.burst)
	worst := 0.0
	for _, a := range admissions {
		for len(steps) > 0 && steps[0].at <= a.at {
			bucket.SetLimits(steps[0].at, steps[0].limit.perSecond, steps[0].limit.burst)
			steps = steps[1:]
		}
		if !a.refunded {
			worst = max(worst, bucket.TakeOverdrawn(a.at))
		}
	}
	return worst
}

// faultSimulation sends the requests of one organisation through a simulation with random failures.
type faultSimulation struct {
	t          *rapid.T
	world      *Simulation
	admissions []*admission
	changes    []limitChange
	length     time.Duration
	cfg        rate.Config
}

func newFaultSimulation(t *rapid.T, length time.Duration) *faultSimulation {
	cfg := rate.Config{}.WithDefaults()
	a := &faultSimulation{t: t, length: length, cfg: cfg}
	a.world = NewSimulation(cfg, rapid.Uint64().Draw(t, "seed"))
	a.world.Link = Link{
		Delay:     time.Duration(rapid.IntRange(0, 20).Draw(t, "delay ms")) * time.Millisecond,
		Jitter:    time.Duration(rapid.SampledFrom([]int{0, 5, 200, 1500}).Draw(t, "jitter ms")) * time.Millisecond,
		Loss:      rapid.SampledFrom([]float64{0, 0.05, 0.4}).Draw(t, "loss"),
		Duplicate: rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "duplicates"),
	}
	a.setLimits()
	a.world.AddOwner(a.drift("first owner"), 0)
	for range rapid.IntRange(1, 6).Draw(t, "nodes") {
		a.world.AddNode(0, a.drift("node"))
	}
	return a
}

// drift draws the drift of a clock within the stated bound.
func (a *faultSimulation) drift(label string) int64 {
	return rapid.Int64Range(-a.cfg.DriftPPM, a.cfg.DriftPPM).Draw(a.t, label+" ppm")
}

func (a *faultSimulation) setLimits() {
	l := limit{
		perSecond: rapid.SampledFrom([]float64{1, 10, 200, 1000}).Draw(a.t, "rate"),
		burst:     float64(rapid.SampledFrom([]int{1, 2, 7, 50, 300}).Draw(a.t, "burst")),
	}
	a.world.SetLimits("o", l.perSecond, l.burst)
	a.changes = append(a.changes, limitChange{a.world.Now(), l})
}

// request sends a request and later refunds a share of those that are admitted.
func (a *faultSimulation) request(refundShare float64) {
	w := a.world
	n := anyNode(w, 0)
	n.Request("o", 2*time.Second, func(o Outcome) {
		if !o.Admitted {
			return
		}
		entry := &admission{at: w.Now()}
		a.admissions = append(a.admissions, entry)
		if w.rnd.Float64() >= refundShare {
			return
		}
		entry.refunded = true
		w.After(time.Duration(w.rnd.IntN(600))*time.Millisecond, func() { n.Refund(o.Charge) })
	})
}

// generateRequests makes batches of requests arrive until the end.
func (a *faultSimulation) generateRequests() {
	refundShare := rapid.SampledFrom([]float64{0, 0.3}).Draw(a.t, "refunds")
	mean := rapid.SampledFrom([]time.Duration{3 * time.Millisecond, 30 * time.Millisecond}).Draw(a.t, "mean distance")
	size := rapid.SampledFrom([]int{1, 20}).Draw(a.t, "burst of requests")
	var next func()
	next = func() {
		for range 1 + a.world.rnd.IntN(size) {
			a.request(refundShare)
		}
		if a.world.Now() < a.length {
			a.world.After(time.Duration(a.world.rnd.ExpFloat64()*float64(size)*float64(mean)), next)
		}
	}
	a.world.At(0, next)
}

// scheduleFailure schedules one random failure.
func (a *faultSimulation) scheduleFailure() {
	w := a.world
	at := time.Duration(rapid.Int64Range(0, int64(a.length)).Draw(a.t, "failure at"))
	node := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(a.t, "failing node")]
	switch rapid.SampledFrom([]string{"restart", "cut", "owner", "limits"}).Draw(a.t, "failure") {
	case "restart":
		w.At(at, node.Restart)
	case "cut":
		w.At(at, func() { node.Disconnected = true })
		w.At(at+time.Duration(w.rnd.Int64N(int64(3*time.Second))), func() { node.Disconnected = false })
	case "owner":
		ppm := a.drift("new owner")
		w.At(at, func() { w.AddOwner(ppm, time.Duration(w.rnd.Int64N(int64(a.cfg.OwnerLease)))) })
		for _, n := range w.nodes {
			w.At(at+time.Duration(w.rnd.Int64N(int64(2*time.Second))), n.UseLatestOwner)
		}
	case "limits":
		w.At(at, a.setLimits)
	}
}

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20250211", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestNoExcessUnderFailures guards against more admissions than burst + rate*W when messages are lost, repeated or
// delayed, clocks drift, nodes restart or lose their connection, and owners or limits change.
func TestNoExcessUnderFailures(t *testing.T) {
	admitted := 0
	rapid.Check(t, func(t *rapid.T) {
		a := newFaultSimulation(t, 10*time.Second)
		a.generateRequests()
		for range rapid.IntRange(0, 5).Draw(t, "failures") {
			a.scheduleFailure()
		}
		a.world.Run(a.length)
		admitted += len(a.admissions)
		lag := a.cfg.LeaseTTL * 11 / 10
		if over := overdraft(a.admissions, a.changes, lag); over > roundingTolerance {
			t.Fatalf("excess of %g tokens in %d admissions", over, len(a.admissions))
		}
	})
	require.Positive(t, admitted)
}

// TestLeaseEndsAtNodeBeforeOwner guards against an owner that ends a lease before its node does. A disconnected node
// holds tokens to the end of its lease. All nodes stay idle until then, so that the bucket would be full if its owner
// had ended the lease earlier.
func TestLeaseEndsAtNodeBeforeOwner(t *testing.T) {
	late := 0
	ttl := rate.Config{}.WithDefaults().LeaseTTL
	for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
		for spendAt := ttl - 150*time.Millisecond; spendAt < ttl+100*time.Millisecond; spendAt += time.Millisecond {
			admissions, byDisconnected := takeAroundLeaseEnd(delay, spendAt)
			require.NotEmpty(t, admissions)
			late += byDisconnected
			changes := []limitChange{{0, limit{perSecond: 10_000, burst: 100}}}
			require.LessOrEqual(t, overdraft(admissions, changes, 0), roundingTolerance, "spent after %v", spendAt)
		}
	}
	require.Positive(t, late)
}

// takeAroundLeaseEnd disconnects a node that holds tokens, and makes all nodes take what they can after spendAt.
// byDisconnected is the number of tokens that the disconnected node took.
func takeAroundLeaseEnd(delay, spendAt time.Duration) (admissions []*admission, byDisconnected int) {
	cfg := rate.Config{PrefetchTime: 1000 * time.Second}.WithDefaults()
	w := NewSimulation(cfg, 1)
	w.Link = Link{Delay: delay}
	w.SetLimits("o", 10_000, 100)
	w.AddOwner(cfg.DriftPPM, 0)
	disconnected := w.AddNode(0, -cfg.DriftPPM)
	other := w.AddNode(0, 0)
	take := func(n *Node) {
		n.Request("o", 30*time.Millisecond, func(o Outcome) {
			if !o.Admitted {
				return
			}
			admissions = append(admissions, &admission{at: w.Now()})
			if disconnected.Disconnected && n == disconnected {
				byDisconnected++
			}
		})
	}
	const cutAt = 1500 * time.Millisecond
	for at := time.Second; at < cutAt; at += 20 * time.Millisecond {
		w.At(at, func() { take(disconnected) })
	}
	w.At(cutAt, func() {
		disconnected.Disconnected = true
		w.Link = Link{}
	})
	w.At(cutAt+spendAt, func() {
		for range 150 {
			take(disconnected)
			take(other)
		}
	})
	w.Run(4 * time.Second)
	return admissions, byDisconnected
}

// TestNodeStopsSendingAfterItsLeaseEnded guards against a node that repeats its last report for ever because the lease
// ended at the owner before the report arrived.
func TestNodeStopsSendingAfterItsLeaseEnded(t *testing.T) {
	w := NewSimulation(rate.Config{}, 1)
	w.SetLimits("o", 100, 50)
	w.AddOwner(0, 0)
	n := w.AddNode(0, 0)
	admitted := 0
	request := func() {
		n.Request("o", time.Second, func(o Outcome) {
			if o.Admitted {
				admitted++
			}
		})
	}
	for at := time.Second; at < 2*time.Second; at += 10 * time.Millisecond {
		w.At(at, request)
	}
	w.At(1950*time.Millisecond, func() { n.Disconnected = true })
	w.At(5*time.Second, func() { n.Disconnected = false })
	w.Run(6 * time.Second)
	require.Positive(t, admitted)
	before := w.Messages
	w.Run(30 * time.Second)
	require.LessOrEqual(t, w.Messages-before, 2)
}
