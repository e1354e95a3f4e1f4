package shed

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// nestedChain is a service whose requests hold a slot while they make calls to a deep service with a queue. The entries
// see the loads of both.
type nestedChain struct {
	rnd     *rand.Rand
	now     time.Time
	relay   *LoadTracker
	shedder *Shedder
	middle  *Meter
	deep    *Meter
	running []runningRequest
	queued  float64
	// countQueueing makes the time that calls queue at the deep service count as work of the middle one.
	countQueueing bool
	served        int
	offered       int
}

// runningRequest is a request that holds a slot of the middle service.
type runningRequest struct {
	ends         time.Time
	held, queued time.Duration
}

const (
	nestedCalls    = 4
	nestedCallTime = 50 * time.Millisecond
	middleTime     = 50 * time.Millisecond
	middleSlots    = 400
	deepSlots      = 200
	// deepCapacity is the number of calls per second that the deep service can do.
	deepCapacity = float64(deepSlots) / 0.05
	// nestedStep is the resolution of the model.
	nestedStep = 10 * time.Millisecond
)

func newNestedChain(countQueueing bool) *nestedChain {
	relay := NewLoadTracker()
	return &nestedChain{rnd: rand.New(rand.NewPCG(3, 4)), now: time.Unix(1000, 0), relay: relay, shedder: NewShedder(relay, Options{}),
		middle: NewMeter(), deep: NewMeter(), countQueueing: countQueueing}
}

// run offers requests at a rate for a time.
func (c *nestedChain) run(length time.Duration, perSecond float64) {
	for range length / nestedStep {
		c.now = c.now.Add(nestedStep)
		c.finish()
		for range int(perSecond*nestedStep.Seconds() + c.rnd.Float64()) {
			c.offered++
			if c.shedder.Admit(c.now, Request{ServiceRoute: ServiceRoute{Service: "middle"}, Random: c.rnd.Float64()}).Admitted {
				c.start()
			}
		}
		c.queued = max(c.queued-deepCapacity*nestedStep.Seconds(), 0)
		c.report()
	}
}

// start lets a request run, if the middle service has a free slot: its calls queue behind those of the requests before.
func (c *nestedChain) start() {
	c.middle.Arrived(c.now)
	if len(c.running) >= middleSlots {
		return
	}
	wait := time.Duration(c.queued / deepCapacity * float64(time.Second))
	c.queued += nestedCalls
	for range nestedCalls {
		c.deep.Arrived(c.now)
		c.deep.Finished(c.now, nestedCallTime)
	}
	held := middleTime + nestedCalls*(nestedCallTime+wait)
	c.running = append(c.running, runningRequest{ends: c.now.Add(held), held: held, queued: nestedCalls * wait})
}

// finish ends the requests whose time has come.
func (c *nestedChain) finish() {
	still := c.running[:0]
	for _, r := range c.running {
		if r.ends.After(c.now) {
			still = append(still, r)
			continue
		}
		c.served++
		if !c.countQueueing {
			r.held -= r.queued
		}
		c.middle.Finished(c.now, r.held)
	}
	c.running = still
}

// report tells the entry the loads, as the answers of the middle service do.
func (c *nestedChain) report() {
	c.relay.LearnAtEntry(c.now, ServiceRoute{Service: "middle"}, "m-1", []*apiv1.Pressure{
		{Service: "middle", CallsPermille: permille, LoadPermille: uint32(c.middle.Load(c.now, Capacity{Slots: middleSlots}) * permille)},
		{Service: "deep", CallsPermille: nestedCalls * permille, LoadPermille: uint32(c.deep.Load(c.now, Capacity{Slots: deepSlots}) * permille)},
	})
}

// afterBurst offers twice of what the deep service can do for a time, and then 0.8 of it, and returns the share of the
// latter that is served in the two seconds that follow, one after the other.
func (c *nestedChain) afterBurst(length time.Duration) (first, second float64) {
	c.run(2*time.Second, 0.6*deepCapacity/nestedCalls)
	c.run(length, 2*deepCapacity/nestedCalls)
	share := func() float64 {
		c.served, c.offered = 0, 0
		c.run(time.Second, 0.8*deepCapacity/nestedCalls)
		return float64(c.served) / float64(c.offered)
	}
	first = share()
	return first, share()
}

// TestServiceWhoseCallsWaitBelowIsNotOverloaded guards against requests that are refused for seconds after a burst that
// was too much for the last service of a chain. Requests of the service above held their slots while their calls waited,
// so that it seemed overloaded several times over, and the share that entries admit to it fell to almost nothing.
func TestServiceWhoseCallsWaitBelowIsNotOverloaded(t *testing.T) {
	for _, length := range []time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second, 3 * time.Second} {
		first, second := newNestedChain(false).afterBurst(length)
		require.Greater(t, first, 0.95, "first second after a burst of %v", length)
		require.Greater(t, second, 0.95, "second after a burst of %v", length)
	}
}

// TestServiceWithoutFreeSlotsIsOverloaded guards against a service that counts as idle since its requests make slow calls:
// their service time below holds its slots, and only waiting is left out.
func TestServiceWithoutFreeSlotsIsOverloaded(t *testing.T) {
	m, now := NewMeter(), time.Unix(1, 0)
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		m.Arrived(now)
		m.Finished(now, time.Second)
	}
	require.Greater(t, m.Load(now, Capacity{Slots: 50}), 1.5)
}
