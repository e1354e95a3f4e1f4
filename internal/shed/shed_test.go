package shed

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/knownred"
)

// chain simulates services whose requests call a shared service, which has a fixed capacity of calls per
// second. Several entries admit requests by the load in the responses.
type chain struct {
	now      time.Time
	relays   []*LoadTracker
	shedders []*Shedder
	rnd      *rand.Rand
	// capacity is the number of calls per second that the shared service can do, calls the number of calls
	// that one request of each service makes.
	capacity float64
	calls    map[string]float64
	load     float64
	admitted map[string]int
	offered  map[string]int
}

func newChain(entries int, capacity float64, calls map[string]float64) *chain {
	c := &chain{now: time.Unix(1000, 0), rnd: rand.New(rand.NewPCG(1, 2)), capacity: capacity, calls: calls}
	for range entries {
		relay := NewLoadTracker()
		c.relays = append(c.relays, relay)
		c.shedders = append(c.shedders, NewShedder(relay, Options{}))
	}
	c.reset()
	return c
}

func (c *chain) reset() {
	c.admitted, c.offered = map[string]int{}, map[string]int{}
}

// requestKind is one kind of offered request.
type requestKind struct {
	service   string
	rank      Rank
	perSecond float64
}

// chainDelay is the time between the admission of a request and its call to the shared service.
const chainDelay = 200 * time.Millisecond

// run offers requests for a time. The load reported to the entries is delayed by chainDelay.
func (c *chain) run(length time.Duration, kinds ...requestKind) {
	const step = 20 * time.Millisecond
	var delayed []float64
	for range length / step {
		c.now = c.now.Add(step)
		offeredCalls := 0.0
		for _, k := range kinds {
			for range int(k.perSecond*step.Seconds() + c.rnd.Float64()) {
				entry := c.rnd.IntN(len(c.shedders))
				c.offered[k.service]++
				if c.shedders[entry].Admit(c.now, Request{ServiceRoute: ServiceRoute{Service: k.service}, Rank: k.rank, Random: c.rnd.Float64()}).Admitted {
					c.admitted[k.service]++
					offeredCalls += c.calls[k.service]
				}
			}
		}
		delayed = append(delayed, offeredCalls/step.Seconds()/c.capacity)
		c.load += 0.1 * (delayed[max(0, len(delayed)-1-int(chainDelay/step))] - c.load)
		for _, relay := range c.relays {
			for service, calls := range c.calls {
				relay.Learn(c.now, ServiceRoute{Service: service}, service+"-1", []*apiv1.Pressure{
					{Service: service, LoadPermille: 100, CallsPermille: permille},
					{Service: "shared", LoadPermille: uint32(c.load * permille), CallsPermille: uint32(calls * permille)},
				})
			}
		}
	}
}

func (c *chain) share(service string) float64 {
	return float64(c.admitted[service]) / float64(max(c.offered[service], 1))
}

// TestOverloadShedsLeastImportantFirst guards against a flooded or idle service, and against refusing
// important requests, when the demand for the last service of all chains is half more than its capacity.
func TestOverloadShedsLeastImportantFirst(t *testing.T) {
	c := newChain(13, 1000, map[string]float64{"lookup": 4, "booking": 8})
	lookups := requestKind{"lookup", Rank{Class: 2}, 225}
	bookings := requestKind{"booking", Rank{Class: 0}, 75}
	c.run(4*time.Second, lookups, bookings)
	c.reset()
	c.run(10*time.Second, lookups, bookings)
	calls := float64(c.admitted["lookup"])*4 + float64(c.admitted["booking"])*8
	require.InDelta(t, 0.9, calls/10/1000, 0.08, "the service must be busy but not overloaded")
	require.Greater(t, c.share("booking"), 0.97, "the most important requests must be shed last")
	require.Less(t, c.share("lookup"), 0.5)
}

// TestSheddingStopsAfterABurst guards against shedding that continues after the demand has fallen.
func TestSheddingStopsAfterABurst(t *testing.T) {
	c := newChain(13, 1000, map[string]float64{"lookup": 4})
	c.run(5*time.Second, requestKind{"lookup", Rank{}, 500})
	c.run(3*time.Second, requestKind{"lookup", Rank{}, 150})
	c.reset()
	c.run(5*time.Second, requestKind{"lookup", Rank{}, 150})
	require.Greater(t, c.share("lookup"), 0.99)
}

// TestDemandThatFallsSteadily guards against an idle service while demand falls: callers give up one after
// the other, as after a burst in which many were refused twice. The admitted share must rise as the demand
// falls, so that the service stays busy until everything fits.
func TestDemandThatFallsSteadily(t *testing.T) {
	const capacity = 4000.0
	c := newChain(91, capacity, map[string]float64{"lookup": 4})
	c.run(5*time.Second, requestKind{"lookup", Rank{}, 4 * capacity / 4})
	done, fits := 0.0, 0.0
	for demand := 4.0; demand > 0.8; demand *= 0.96 {
		c.reset()
		c.run(200*time.Millisecond, requestKind{"lookup", Rank{}, demand * capacity / 4})
		done += min(float64(c.admitted["lookup"])*4, 1.1*capacity/5)
		fits += min(demand, 1) * capacity / 5
	}
	knownred.Check(t, done/fits > 0.9, "admitted %.3f of the requests that fit the capacity", done/fits)
}

// TestOverloadIsReportedOnceAtStartAndEnd guards against repeated or missing log lines: each change
// between overloaded and recovered must be reported once.
func TestOverloadIsReportedOnceAtStartAndEnd(t *testing.T) {
	var changes []OverloadChange
	relay := NewLoadTracker()
	g := NewShedder(relay, Options{OnOverloadChange: func(c OverloadChange) { changes = append(changes, c) }})
	now := time.Unix(1000, 0)
	for i := range 300 {
		now = now.Add(20 * time.Millisecond)
		load := 2.0
		if i >= 100 {
			load = 0.2
		}
		relay.Observe(now, "s", "s-1", load)
		g.Admit(now, Request{ServiceRoute: ServiceRoute{Service: "s"}})
	}
	require.Len(t, changes, 2)
	require.True(t, changes[0].Overloaded)
	require.Greater(t, changes[0].Load, 1.0)
	require.False(t, changes[1].Overloaded)
}

// TestSheddingStopsAfterAllCallersReturnAtOnce guards against shedding that continues while the service
// has capacity. After an outage of the fleet all callers return at once, and are soon served.
func TestSheddingStopsAfterAllCallersReturnAtOnce(t *testing.T) {
	c := newChain(13, 1000, map[string]float64{"lookup": 4})
	c.run(time.Second, requestKind{"lookup", Rank{}, 800})
	c.run(time.Second, requestKind{"lookup", Rank{}, 120})
	c.reset()
	c.run(2*time.Second, requestKind{"lookup", Rank{}, 120})
	require.Greater(t, c.share("lookup"), 0.97)
}

// TestOrganisationPriorityOutranksClass guards against admitting a more urgent request of a less important
// organisation before a request of an important one.
func TestOrganisationPriorityOutranksClass(t *testing.T) {
	c := newChain(4, 1000, map[string]float64{"important": 5, "urgent": 5})
	kinds := []requestKind{{"important", Rank{Organisation: 0, Class: 2}, 150}, {"urgent", Rank{Organisation: 1, Class: 0}, 150}}
	c.run(4*time.Second, kinds...)
	c.reset()
	c.run(8*time.Second, kinds...)
	require.Greater(t, c.share("important"), 0.97)
	require.Less(t, c.share("urgent"), 0.5)
}

// TestRequestsThatDoNotCallTheOverloadedServiceAreAdmitted guards against shedding requests for a service
// that neither is overloaded nor calls one that is.
func TestRequestsThatDoNotCallTheOverloadedServiceAreAdmitted(t *testing.T) {
	c := newChain(4, 1000, map[string]float64{"lookup": 4, "download": 0})
	kinds := []requestKind{{"lookup", Rank{}, 500}, {"download", Rank{}, 100}}
	c.run(6*time.Second, kinds...)
	require.Equal(t, 1.0, c.share("download"))
}

// TestShareSettlesUnderSustainedOverload guards against a share that oscillates between everything and
// nothing.
func TestShareSettlesUnderSustainedOverload(t *testing.T) {
	c := newChain(13, 400, map[string]float64{"lookup": 4})
	c.run(5*time.Second, requestKind{"lookup", Rank{}, 500})
	for range 6 {
		c.reset()
		c.run(2*time.Second, requestKind{"lookup", Rank{}, 500})
		require.InDelta(t, 0.18, c.share("lookup"), 0.06)
	}
}

// TestMeterComparesOfferedWorkWithSlots guards against a load that ignores the service time or the number
// of slots, and against a load without samples.
func TestMeterComparesOfferedWorkWithSlots(t *testing.T) {
	m, now := NewMeter(), time.Unix(1, 0)
	for range 1000 {
		now = now.Add(time.Millisecond)
		m.Arrived(now)
		m.Finished(now, 20*time.Millisecond)
	}
	require.InDelta(t, 1.0, m.Load(now, Capacity{Slots: 20}), 0.1, "1000 requests per second of 20 ms each must fill 20 slots")
	require.InDelta(t, 0.5, m.Load(now, Capacity{Slots: 40}), 0.05)
	require.Zero(t, NewMeter().Load(now, Capacity{Slots: 20}))
}

// TestAbortedRequestsCountOnlyTheirOwnSlotTime guards against an overestimated load. A target refuses most
// requests, so that their callers fail and abort their other calls, while some long requests complete.
// Aborted requests must not count with the service time of the completed ones.
func TestAbortedRequestsCountOnlyTheirOwnSlotTime(t *testing.T) {
	m, now := NewMeter(), time.Unix(1, 0)
	for i := range 1000 {
		now = now.Add(time.Millisecond)
		m.Arrived(now)
		if i%10 == 0 {
			m.Finished(now, 100*time.Millisecond)
		} else {
			m.Aborted(now, 5*time.Millisecond)
		}
	}
	require.InDelta(t, 0.72, m.Load(now, Capacity{Slots: 20}), 0.1, "load of 100 requests per second of 100 ms and 900 of 5 ms on 20 slots")
}

// TestReportIncludesDownstreamServices guards against readings of downstream services that are lost or get
// a wrong number of calls on their way up, and against forwarding expired readings.
func TestReportIncludesDownstreamServices(t *testing.T) {
	r, now := NewLoadTracker(), time.Unix(1, 0)
	front, middle := ServiceRoute{"front", "search"}, ServiceRoute{"middle", "index"}
	for range 100 {
		r.RequestStarted(now, front)
		for range 2 {
			r.CallStarted(now, ServiceRoute{Service: "front"}, middle)
		}
	}
	r.Observe(now, "front", "front-1", 0.2)
	r.Learn(now, middle, "middle-1", []*apiv1.Pressure{
		{Service: "middle", LoadPermille: 300, CallsPermille: permille},
		{Service: "back", LoadPermille: 950, CallsPermille: 4 * permille},
	})
	found := map[string]*apiv1.Pressure{}
	for _, p := range r.Report(now, front) {
		found[p.GetService()] = p
	}
	require.Len(t, found, 3)
	require.EqualValues(t, 950, found["back"].GetLoadPermille())
	require.InDelta(t, 8000, found["back"].GetCallsPermille(), 100, "two calls that each make four")
	require.Empty(t, r.Report(now.Add(readingTTL+time.Second), front), "expired readings must not be forwarded")
}

// TestRouteWithoutCallsIsNotShedForCallsOfAnotherRoute guards against shedding per service instead of per
// route. One service serves downloads, which call nothing, and lookups, whose calls overload a downstream
// service. Only the lookups may be shed.
func TestRouteWithoutCallsIsNotShedForCallsOfAnotherRoute(t *testing.T) {
	r, now := NewLoadTracker(), time.Unix(1, 0)
	download, lookup, status := ServiceRoute{"archive", "download"}, ServiceRoute{"archive", "lookup"}, ServiceRoute{"short", "status"}
	r.Learn(now, status, "short-1", []*apiv1.Pressure{{Service: "short", LoadPermille: 2000, CallsPermille: permille}})
	r.Observe(now, "archive", "archive-1", 0.3)
	for range 100 {
		r.RequestStarted(now, lookup)
		r.RequestStarted(now, download)
		for range 4 {
			r.CallStarted(now, lookup, status)
		}
	}
	// The request of this call has ended, so its route is no longer known.
	r.CallStarted(now, ServiceRoute{Service: "archive"}, status)
	entry := NewLoadTracker()
	entry.Learn(now, download, "archive-1", r.Report(now, download))
	entry.Learn(now, lookup, "archive-1", r.Report(now, lookup))
	require.Equal(t, map[string]float64{"archive": 1}, entry.CallsPerRequest(download))
	require.InDelta(t, 4, entry.CallsPerRequest(lookup)["short"], 0.05)
	require.False(t, r.MakesCalls(now, download), "downloads make no calls, so one that may have run can be repeated")
	require.True(t, r.MakesCalls(now, lookup))

	g, refused := NewShedder(entry, Options{}), map[ServiceRoute]int{}
	for range 400 {
		now = now.Add(20 * time.Millisecond)
		entry.Observe(now, "short", "short-1", 2)
		for _, w := range []ServiceRoute{download, lookup} {
			if !g.Admit(now, Request{ServiceRoute: w, Random: 0.5}).Admitted {
				refused[w]++
			}
		}
	}
	require.Zero(t, refused[download])
	require.Greater(t, refused[lookup], 300)
}

// TestCallsWithoutARouteCountForAllRoutes guards against ignoring calls whose request is not known: they
// must be spread evenly over all routes.
func TestCallsWithoutARouteCountForAllRoutes(t *testing.T) {
	r, now := NewLoadTracker(), time.Unix(1, 0)
	r.Learn(now, ServiceRoute{"below", "b"}, "below-1", []*apiv1.Pressure{{Service: "below", LoadPermille: 500, CallsPermille: permille}})
	r.Observe(now, "front", "front-1", 0.1)
	for range 50 {
		r.RequestStarted(now, ServiceRoute{"front", "a"})
		r.RequestStarted(now, ServiceRoute{"front", "b"})
		r.CallStarted(now, ServiceRoute{Service: "front"}, ServiceRoute{"below", "b"})
	}
	for _, route := range []string{"a", "b"} {
		calls := 0.0
		for _, p := range r.Report(now, ServiceRoute{"front", route}) {
			if p.GetService() == "below" {
				calls = float64(p.GetCallsPermille()) / permille
			}
		}
		require.InDelta(t, 0.5, calls, 0.01)
		require.True(t, r.MakesCalls(now, ServiceRoute{"front", route}))
	}
}

// TestMeterShowsARateLimit guards against a target that looks idle since its slots are free, while it accepts few requests: the load is
// that of the scarcer of both.
func TestMeterShowsARateLimit(t *testing.T) {
	m, now := NewMeter(), time.Unix(1, 0)
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		m.Arrived(now)
		m.Finished(now, 20*time.Millisecond)
	}
	require.InDelta(t, 0.1, m.Load(now, Capacity{Slots: 20}), 0.02, "100 requests per second of 20 ms each")
	require.InDelta(t, 2, m.Load(now, Capacity{Slots: 20, PerSecond: 50}), 0.1)
	require.InDelta(t, 2, m.Load(now, Capacity{Slots: 1, PerSecond: 1000}), 0.2)
}
