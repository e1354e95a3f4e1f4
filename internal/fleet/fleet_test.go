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

// documents is the configuration of the fleet tests.
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

// settleTime bounds how long a new fleet may take until it serves.
const settleTime = 15 * time.Second

// logger returns a logger for a failing test under FLEET_LOG, and one that discards otherwise.
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

// site is a fleet of three replicas and three nodes that serves bookings.
type site struct {
	*Fleet
	t    *testing.T
	key  Key
	tgts map[string]*Target
}

// inSite runs a test in a bubble with a fleet that serves.
func inSite(t *testing.T, seed uint64, test func(s *site)) {
	synctest.Test(t, func(t *testing.T) {
		f, err := New(Options{
			Seed:        seed,
			Replicas:    3,
			Nodes:       3,
			DataCentres: []string{"kl", "shah-alam", "putrajaya"},
			Delay:       500 * time.Microsecond,
			Jitter:      200 * time.Microsecond,
			Log:         logger(),
		})
		require.NoError(t, err)
		defer f.Close()
		s := &site{Fleet: f, t: t, tgts: make(map[string]*Target)}
		s.populate()
		test(s)
	})
}

// populate configures the fleet and starts its targets.
func (s *site) populate() {
	require.NoError(s.t, s.Hosts[0].Apply("documents", documents, settleTime))
	for i, h := range s.Hosts[1:] {
		name, service := "premis-"+h.Name, "premis"
		t := &Target{Name: name, Service: service, Slots: 10, ServiceTime: 5 * time.Millisecond}
		if i%2 == 0 {
			t = &Target{Name: "tempahan-" + h.Name, Service: "tempahan", Slots: 20, ServiceTime: 10 * time.Millisecond, Calls: []string{"premis/rooms/1"}}
		}
		s.tgts[t.Name] = t
		h.Add(t)
	}
	key, err := s.Hosts[0].IssueKey("court", settleTime)
	require.NoError(s.t, err)
	s.key = key
	for _, h := range s.Hosts {
		require.True(s.t, Eventually(settleTime, func() bool { return s.book(h, "/warm").OK() }), "%s: %+v", h.Name, s.book(h, "/warm"))
	}
}

// book makes a booking without an Idempotency-Key.
func (s *site) book(h *Host, path string) Reply {
	return h.Call(Request{Method: http.MethodPost, Path: "/bookings" + path, Key: s.key.Text, Body: path, Timeout: 2 * time.Second})
}

func TestFleetServesFromEveryHost(t *testing.T) {
	inSite(t, 1, func(s *site) {
		for i, h := range s.Hosts {
			path := "/" + h.Name
			reply := s.book(h, path)
			require.Equal(t, "tempahan /bookings"+path+" "+path, reply.Body, i)
			require.Equal(t, 1, s.Ledger.Runs(Run{"tempahan", "court", "/bookings" + path}))
		}
	})
}
