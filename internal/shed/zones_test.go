package shed

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/route"
)

// zoneSim simulates a service with one target in each of several data centres (zones). The entries choose
// targets with the product's picker and receive readings only of the targets that they use. Time advances
// in steps of one millisecond.
type zoneSim struct {
	now     time.Time
	rnd     *rand.Rand
	entries []*zoneEntry
	targets []*zoneTarget
	// exchanges is true if the nodes beside the targets exchange readings.
	exchanges bool
	// calls is the number of calls that a request makes.
	calls int
	// onTime counts the requests that were done within latencyGoal.
	onTime int
}

// zoneEntry is a node that admits requests of its data centre and sends them to targets.
type zoneEntry struct {
	zone              int
	relay             *LoadTracker
	shedder           *Shedder
	picker            *route.Picker
	offered, admitted int
}

// zoneTarget serves as many requests at a time as it has slots and queues the others.
type zoneTarget struct {
	record      *registry.Target
	relay       *LoadTracker
	serviceTime time.Duration
	meter       *Meter
	running     []*zoneRequest
	queue       []*zoneRequest
	done        int
}

// zoneRequest is one request, which makes its calls in sequence.
type zoneRequest struct {
	entry     *zoneEntry
	choice    route.Choice
	calls     int
	begun     time.Time
	sent, end time.Time
}

const (
	zoneSlots = 20
	// latencyGoal is the time within which a request should be done.
	latencyGoal  = 1200 * time.Millisecond
	maxQueueTime = 200 * time.Millisecond
	// entriesPerZone is the number of entries in each data centre.
	entriesPerZone = 4
)

// Now makes the simulation the clock of its pickers.
func (z *zoneSim) Now() time.Time { return z.now }

// newZoneSim makes one data centre for each service time of a target.
func newZoneSim(serviceTimes ...time.Duration) *zoneSim {
	z := &zoneSim{now: time.Unix(1000, 0), rnd: rand.New(rand.NewPCG(3, 4)), calls: 1, exchanges: true}
	var records []*registry.Target
	for i, h := range serviceTimes {
		zone := "zone-" + strconv.Itoa(i)
		record := &registry.Target{Service: "s", Name: "t" + strconv.Itoa(i), Node: zone, DataCentre: zone, Slots: zoneSlots, Started: z.now,
			State: apiv1.TargetState_TARGET_STATE_READY}
		records = append(records, record)
		z.targets = append(z.targets, &zoneTarget{record: record, relay: NewLoadTracker(), serviceTime: h, meter: NewMeter()})
	}
	config := route.DefaultConfig()
	config.SpillLoad = 0.6
	config.FullSpillRatio = 0.5
	config.EvenSpread = true
	for i := range entriesPerZone * len(serviceTimes) {
		zone := i % len(serviceTimes)
		relay := NewLoadTracker()
		e := &zoneEntry{zone: zone, relay: relay, shedder: NewShedder(relay, Options{}), picker: route.NewPicker(config, records[zone].DataCentre, z, uint64(i))}
		e.picker.Update(records)
		z.entries = append(z.entries, e)
	}
	return z
}

// run offers perSecond requests per second in each data centre.
func (z *zoneSim) run(length time.Duration, perSecond ...float64) {
	for range length / time.Millisecond {
		z.now = z.now.Add(time.Millisecond)
		if z.exchanges && z.now.UnixMilli()%200 == 0 {
			z.exchange()
		}
		for _, e := range z.entries {
			if z.rnd.Float64() < perSecond[e.zone]/entriesPerZone/1000 {
				z.arrive(e)
			}
		}
		for _, t := range z.targets {
			z.advance(t)
		}
	}
}

// arrive admits a request and sends it to a target.
func (z *zoneSim) arrive(e *zoneEntry) {
	e.offered++
	if !e.shedder.Admit(z.now, Request{ServiceRoute: ServiceRoute{Service: "s"}, Random: z.rnd.Float64()}).Admitted {
		return
	}
	e.admitted++
	z.send(&zoneRequest{entry: e, calls: z.calls, begun: z.now})
}

// send makes the next call of a request.
func (z *zoneSim) send(r *zoneRequest) {
	choice, refusal := r.entry.picker.Pick(route.Query{})
	if refusal != nil {
		return
	}
	r.choice, r.sent, r.calls = choice, z.now, r.calls-1
	for _, t := range z.targets {
		if t.record == choice.Target() {
			t.meter.Arrived(z.now)
			if len(t.queue) < t.queueLimit() {
				t.queue = append(t.queue, r)
				return
			}
			choice.Done(route.Observation{Outcome: route.Refused})
			z.reportLoad(t, r)
		}
	}
}

// advance finishes requests at a target and starts queued ones.
func (z *zoneSim) advance(t *zoneTarget) {
	still := t.running[:0]
	for _, r := range t.running {
		if r.end.After(z.now) {
			still = append(still, r)
			continue
		}
		t.done++
		t.meter.Finished(z.now, t.serviceTime)
		r.choice.Done(route.Observation{Outcome: route.Success, Latency: z.now.Sub(r.sent), Load: &apiv1.LoadReport{
			InFlight: uint32(len(t.running)), Queued: uint32(len(t.queue)), Limit: zoneSlots}})
		z.reportLoad(t, r)
		z.finish(r)
	}
	t.running = still
	for len(t.running) < zoneSlots && len(t.queue) > 0 {
		r := t.queue[0]
		t.queue = t.queue[1:]
		r.end = z.now.Add(time.Duration((0.5 + z.rnd.Float64()) * float64(t.serviceTime)))
		t.running = append(t.running, r)
	}
}

// queueLimit returns how many requests may queue at a target: as many as it serves in maxQueueTime.
func (t *zoneTarget) queueLimit() int { return int(zoneSlots * maxQueueTime / t.serviceTime) }

// reportLoad sends the load of a target with its response.
func (z *zoneSim) reportLoad(t *zoneTarget, r *zoneRequest) {
	t.relay.Observe(z.now, "s", t.record.ID(), t.meter.Load(z.now, Capacity{Slots: zoneSlots}))
	r.entry.relay.Learn(z.now, ServiceRoute{Service: "s"}, t.record.ID(), t.relay.Report(z.now, ServiceRoute{Service: "s"}))
}

// exchange lets the node beside each target exchange readings with a random other one.
func (z *zoneSim) exchange() {
	for i, t := range z.targets {
		other := z.targets[(i+1+z.rnd.IntN(len(z.targets)-1))%len(z.targets)].relay
		told := t.relay.Readings(z.now, "s")
		t.relay.Merge(z.now, "s", other.Readings(z.now, "s"))
		other.Merge(z.now, "s", told)
	}
}

// finish ends a call: the request makes its next one, or is done.
func (z *zoneSim) finish(r *zoneRequest) {
	if r.calls > 0 {
		z.send(r)
		return
	}
	if z.now.Sub(r.begun) <= latencyGoal {
		z.onTime++
	}
}

// reset clears all counts.
func (z *zoneSim) reset() {
	z.onTime = 0
	for _, e := range z.entries {
		e.offered, e.admitted = 0, 0
	}
	for _, t := range z.targets {
		t.done = 0
	}
}

// shares returns the share of each data centre's requests that was admitted, and the share of the slots
// that was used.
func (z *zoneSim) shares(length time.Duration) (admittedShares []float64, usedShare float64) {
	for i, t := range z.targets {
		offered, admitted := 0, 0
		for _, e := range z.entries {
			if e.zone == i {
				offered += e.offered
				admitted += e.admitted
			}
		}
		admittedShares = append(admittedShares, float64(admitted)/float64(max(offered, 1)))
		usedShare += float64(t.done) * t.serviceTime.Seconds() / zoneSlots / length.Seconds() / float64(len(z.targets))
	}
	return admittedShares, usedShare
}

// TestDataCentresWithUnequalCapacityAdmitEqualShares guards against shedding by the load of the local
// target alone. The total demand is a third above the capacity of the service, and one data centre has
// little capacity of its own. Its callers must not be refused while those of others are served.
func TestDataCentresWithUnequalCapacityAdmitEqualShares(t *testing.T) {
	const length = 20 * time.Second
	z := newZoneSim(60*time.Millisecond, 60*time.Millisecond, 110*time.Millisecond)
	z.run(5*time.Second, 420, 330, 330)
	z.reset()
	z.run(length, 420, 330, 330)
	admittedShares, usedShare := z.shares(length)
	t.Logf("admitted shares %.2f, slots used %.2f", admittedShares, usedShare)
	require.Greater(t, slices.Min(admittedShares), 0.75*slices.Max(admittedShares), "no data centre may be refused for the low capacity of its own target")
	require.Greater(t, usedShare, 0.88, "the service must be busy")
}

// TestSheddingStopsOnceColdTargetsAreWarm guards against shedding that outlasts a start of the whole
// fleet. All targets start cold with half of their capacity, while the callers offer what the warm targets
// can serve. Too many requests are admitted before the first reading; once that backlog is served, it must
// not cause further refusals.
func TestSheddingStopsOnceColdTargetsAreWarm(t *testing.T) {
	z := newZoneSim(30*time.Millisecond, 30*time.Millisecond, 30*time.Millisecond)
	z.calls = 4
	total := 0
	for second := range 8 {
		if second == 3 {
			for _, target := range z.targets {
				target.serviceTime /= 2
			}
		}
		z.reset()
		z.run(time.Second, 330, 300, 300)
		admittedShares, usedShare := z.shares(time.Second)
		total += z.onTime
		t.Logf("second %d: admitted shares %.2f, slots used %.2f, on time %d", second, admittedShares, usedShare, z.onTime)
	}
	t.Logf("on time in total: %d", total)
	// The targets can finish 500 requests per second while cold, and all offered requests later.
	require.Greater(t, total, 4*6150/5, "most requests that fit the capacity must be done on time")
}

// TestMergeKeepsNewerAndLocalReadings guards against another node's readings that replace newer ones or
// those of this host's targets.
func TestMergeKeepsNewerAndLocalReadings(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewLoadTracker()
	r.Observe(now, "s", "own", 0.5)
	r.Learn(now, ServiceRoute{Service: "s"}, "used", []*apiv1.Pressure{{Service: "s", LoadPermille: 700, CallsPermille: permille}})
	require.Equal(t, 1, r.Merge(now, "s", []*apiv1.TargetReading{
		{Target: "own", LoadPermille: 3000},
		{Target: "used", LoadPermille: 3000, AgeMs: 100},
		{Target: "other", LoadPermille: 900, AgeMs: 50},
		{Target: "old", LoadPermille: 3000, AgeMs: uint32(readingTTL/time.Millisecond) + 1},
	}))
	load, _, ok := r.Load(now, "s")
	require.True(t, ok)
	require.InDelta(t, 0.7, load, 0.02, "must be the mean of 0.5, 0.7 and 0.9")
	require.Len(t, r.Readings(now, "s"), 3)
}

// TestReadingsOfUnusedTargetsLoseWeight guards against refusals caused by the last readings of targets
// that an entry no longer uses. Entries return to the target of their own data centre once it has capacity
// again.
func TestReadingsOfUnusedTargetsLoseWeight(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewLoadTracker()
	learn := func(target string, load uint32) {
		r.Learn(now, ServiceRoute{Service: "s"}, target, []*apiv1.Pressure{{Service: "s", LoadPermille: load, CallsPermille: permille}})
	}
	learn("far-1", 2000)
	learn("far-2", 2000)
	for range 50 {
		now = now.Add(20 * time.Millisecond)
		learn("near", 300)
	}
	load, _, ok := r.Load(now, "s")
	require.True(t, ok)
	require.Less(t, load, 0.7, "one second after the last reading of the full targets")
}

// TestForwardedReadingsAreNotExchanged guards against readings that circulate between nodes: the nodes
// beside the targets of a service exchange readings of these targets only, not readings that came back
// through other services.
func TestForwardedReadingsAreNotExchanged(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewLoadTracker()
	r.Learn(now, ServiceRoute{Service: "front"}, "front-1", []*apiv1.Pressure{{Service: "s", LoadPermille: 1800, CallsPermille: permille}})
	load, _, ok := r.Load(now, "s")
	require.True(t, ok)
	require.InDelta(t, 1.8, load, 0.01)
	require.Empty(t, r.Readings(now, "s"))
	r.Learn(now, ServiceRoute{Service: "s"}, "s-1", []*apiv1.Pressure{{Service: "s", LoadPermille: 500, CallsPermille: permille}})
	r.Observe(now, "s", "s-2", 0.4)
	require.Len(t, r.Readings(now, "s"), 2)
	for i := range 2 * maxReadingsPerExchange {
		r.Observe(now, "s", "many-"+strconv.Itoa(i), 0.4)
	}
	require.Len(t, r.Readings(now, "s"), maxReadingsPerExchange)
}
