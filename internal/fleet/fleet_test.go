package fleet

import (
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/telemetry"
)

// documents is the configuration of the fleet tests: organisation "court" books at service "tempahan", whose targets
// call service "premis".
const documents = `
kind: Organisation
name: court
labels: {size: large}
---
kind: Rate
name: large
spec: {selector: size=large, perSecond: 1000, burst: 200}
---
kind: Class
name: standard
spec: {selector: class=standard, priority: 5}
---
kind: Route
name: bookings
labels: {class: standard}
spec: {pathPrefix: /bookings, service: tempahan, timeout: 10s}
---
kind: Route
name: rooms
labels: {class: standard}
spec: {pathPrefix: /rooms, service: premis, internal: true}
---
kind: Route
name: open
labels: {class: standard}
spec: {pathPrefix: /open, service: premis, open: true, methods: [GET]}
`

// settleTimeout limits how long a fleet may take to serve, to apply a change or to catch up after a restart.
const settleTimeout = 15 * time.Second

// logger logs to standard error if the environment variable FLEET_LOG is set, to debug a failing test, and otherwise
// discards everything.
func logger() telemetry.Logger {
	if os.Getenv("FLEET_LOG") == "" {
		return telemetry.Discard()
	}
	l, err := telemetry.NewLogger(os.Stderr, "debug")
	if err != nil {
		panic(err)
	}
	return l
}

// testFleet is a fleet of three hosts with a control replica and three without, which serves bookings. Every host but
// the first has a target.
type testFleet struct {
	*Fleet
	t       *testing.T
	key     Key
	targets map[string]*Target
}

// withFleet runs a test in a synctest bubble, with a fleet that already serves requests.
func withFleet(t *testing.T, seed uint64, test func(s *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f, err := New(Options{
			Seed:        seed,
			Replicas:    3,
			Nodes:       3,
			DataCentres: []string{"kl", "shah-alam", "putrajaya"},
			Regions:     map[string]string{"kl": "west", "shah-alam": "west", "putrajaya": "east"},
			Delay:       500 * time.Microsecond,
			Jitter:      200 * time.Microsecond,
			Log:         logger(),
		})
		require.NoError(t, err)
		defer f.Close()
		s := &testFleet{Fleet: f, t: t, targets: make(map[string]*Target)}
		s.setUp()
		test(s)
	})
}

// setUp configures the fleet, starts its targets and waits until every host serves bookings.
func (s *testFleet) setUp() {
	require.NoError(s.t, s.Hosts[0].Apply("documents", documents, settleTimeout))
	for i, h := range s.Hosts[1:] {
		name, service := "premis-"+h.Name, "premis"
		t := &Target{Name: name, Service: service, Slots: 10, ServiceTime: 5 * time.Millisecond}
		if i%2 == 0 {
			t = &Target{Name: "tempahan-" + h.Name, Service: "tempahan", Slots: 20, ServiceTime: 10 * time.Millisecond, SubCalls: []string{"premis/rooms/1"}}
		}
		s.targets[t.Name] = t
		h.AddTarget(t)
	}
	key, err := s.Hosts[0].IssueKey("court", settleTimeout)
	require.NoError(s.t, err)
	s.key = key
	for _, h := range s.Hosts {
		require.True(s.t, Eventually(settleTimeout, func() bool { return s.book(h, "/warm").OK() }), "%s: %+v", h.Name, s.book(h, "/warm"))
	}
}

// book sends a booking without an Idempotency-Key through a host.
func (s *testFleet) book(h *Host, path string) Reply {
	return h.Call(Request{Method: http.MethodPost, Path: "/bookings" + path, Key: s.key.Text, Body: path, Timeout: 2 * time.Second})
}

// TestFleetServesFromEveryHost guards against a host that can't route a booking to a target, or that runs it twice.
func TestFleetServesFromEveryHost(t *testing.T) {
	withFleet(t, 1, func(s *testFleet) {
		for i, h := range s.Hosts {
			path := "/" + h.Name
			reply := s.book(h, path)
			require.Equal(t, "tempahan /bookings"+path+" "+path, reply.Body, i)
			require.Equal(t, 1, s.Executions.Count(ExecutionKey{"tempahan", "court", "/bookings" + path}))
		}
	})
}
