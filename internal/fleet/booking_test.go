package fleet

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/outcome"
)

// TestSilenceAtEachStepOfABooking guards against a booking that fails, runs twice or gets a wrong reply when the
// connections of its entry node stop delivering without a reset, at any moment and in one direction or both. A booking
// takes 10 ms at its target and is interrupted after 0 to 24 ms.
func TestSilenceAtEachStepOfABooking(t *testing.T) {
	stride := 2
	if testing.Short() {
		stride = 12
	}
	withFleet(t, 21, func(s *testFleet) {
		entry := s.Hosts[4]
		for direction := range 3 {
			for step := 0; step <= 24; step += stride {
				path := fmt.Sprintf("/silent-%d-%d", direction, step)
				time.AfterFunc(time.Duration(step)*time.Millisecond, func() { s.silence(entry, direction) })
				start := time.Now()
				reply := entry.Call(Request{Method: http.MethodPost, Path: "/bookings" + path, Key: s.key.Text, Body: path, Timeout: 5 * time.Second})
				runs := s.Executions.Count(ExecutionKey{"tempahan", "court", "/bookings" + path})
				assert.LessOrEqual(t, runs, 1, path)
				if reply.OK() {
					assert.Equal(t, 1, runs, path)
					assert.Equal(t, "tempahan /bookings"+path+" "+path, reply.Body)
				}
				if reply.Ran == outcome.RanNo {
					assert.Zero(t, runs, "%s: %+v", path, reply)
				}
				assert.True(t, reply.OK(), "%s was not served after %v: %+v", path, time.Since(start), reply)
				time.Sleep(3 * time.Second)
			}
		}
	})
}

// silence makes the open connections between a host and all others drop everything that is sent: from the host
// (direction 0), to the host (1), or both (2).
func (s *testFleet) silence(h *Host, direction int) {
	for _, other := range s.Hosts {
		if other == h {
			continue
		}
		if direction != 1 {
			s.Net.DropOpenSessions(h.Name, other.Name)
		}
		if direction != 0 {
			s.Net.DropOpenSessions(other.Name, h.Name)
		}
	}
}

// TestPlannedStopFailsNoRequest guards against requests that fail because a host is shut down gracefully. It stops and
// starts each host in turn while all others take bookings. Failures of a host that is starting are ignored until its
// first booking has succeeded.
func TestPlannedStopFailsNoRequest(t *testing.T) {
	skipIfShort(t)
	withFleet(t, 22, func(s *testFleet) {
		stop := make(chan struct{})
		var wg sync.WaitGroup
		var starting atomic.Pointer[Host]
		for i, h := range s.Hosts {
			wg.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
					}
					if reply := s.book(h, fmt.Sprintf("/stop-%d-%d", i, n)); !reply.Down && starting.Load() != h {
						assert.True(t, reply.OK(), "%s: %+v", h.Name, reply)
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		for _, h := range s.Hosts {
			require.NoError(t, h.Stop(30*time.Second), h.Name)
			time.Sleep(time.Second)
			starting.Store(h)
			require.NoError(t, h.Start())
			require.True(t, Eventually(settleTimeout, func() bool { return s.book(h, "/warm").OK() }))
			starting.Store(nil)
			time.Sleep(8 * time.Second)
		}
		close(stop)
		wg.Wait()
	})
}

// TestRestartAfterManyChanges guards against hosts that don't catch up after a restart. It makes 500 changes while a
// host with a replica and one without are down, restarts them, and then crashes and restarts all hosts at once.
func TestRestartAfterManyChanges(t *testing.T) {
	skipIfShort(t)
	withFleet(t, 23, func(s *testFleet) {
		s.Hosts[2].Crash()
		s.Hosts[5].Crash()
		for n := range 500 {
			doc := fmt.Sprintf("kind: Organisation\nname: many-%d\nlabels: {size: large}\n", n)
			require.NoError(t, s.Hosts[0].Apply(fmt.Sprintf("many-%d", n), doc, settleTimeout))
		}
		caughtUp := func() bool {
			for _, h := range s.Hosts {
				if h.Process() == nil || h.Process().Configuration().Snapshot.Organisations["many-499"] == nil {
					return false
				}
			}
			return true
		}
		require.NoError(t, s.Hosts[2].Start())
		require.NoError(t, s.Hosts[5].Start())
		start := time.Now()
		require.True(t, Eventually(settleTimeout, caughtUp))
		t.Logf("caught up after 500 changes in %v", time.Since(start))
		for _, h := range s.Hosts {
			h.Crash()
		}
		for _, h := range s.Hosts {
			require.NoError(t, h.Start())
		}
		start = time.Now()
		require.True(t, Eventually(settleTimeout, caughtUp))
		for _, h := range s.Hosts {
			require.True(t, Eventually(settleTimeout, func() bool { return s.book(h, "/warm").OK() }), h.Name)
		}
		t.Logf("every host serves again %v after all were restarted", time.Since(start))
	})
}

// TestRacingOperators guards against lost updates. In each round four operators propose different changes with the
// same expected revision, and each sends its change three times through different hosts. Exactly one change must be
// accepted; the others must get a conflict with the new revision.
func TestRacingOperators(t *testing.T) {
	withFleet(t, 24, func(s *testFleet) {
		for round := range 20 {
			revision := s.Hosts[0].Process().Configuration().Revision
			var mu sync.Mutex
			results := make(map[apiv1.ChangeResult]int)
			var wg sync.WaitGroup
			for i := range 4 {
				change := &apiv1.Change{
					Id:               fmt.Sprintf("race-%d-%d", round, i),
					ExpectedRevision: revision,
					Upserts:          []*apiv1.Resource{{Kind: "Organisation", Name: fmt.Sprintf("race-%d", i), Labels: map[string]string{"size": "large", "round": fmt.Sprint(round)}, Spec: []byte("{}")}},
				}
				for resend := range 3 {
					wg.Go(func() {
						got, err := s.Hosts[(i+resend)%len(s.Hosts)].Propose(change, settleTimeout)
						assert.NoError(t, err)
						mu.Lock()
						results[got.GetResult()]++
						mu.Unlock()
						assert.Equal(t, revision+1, got.GetRevision())
					})
				}
			}
			wg.Wait()
			require.Equal(t, map[apiv1.ChangeResult]int{apiv1.ChangeResult_CHANGE_RESULT_ACCEPTED: 3, apiv1.ChangeResult_CHANGE_RESULT_CONFLICT: 9}, results)
			require.True(t, Eventually(2*time.Second, func() bool { return s.Hosts[0].Process().Configuration().Revision == revision+1 }))
		}
	})
}

// TestLongIsolation guards against a host that trusts an outdated configuration. It cuts a host with a replica off from
// all others for two minutes, without resetting its connections. Requests with a key must be refused there as not run
// once the configuration is too old, while open routes don't get this refusal. After the partition the host must apply
// the withdrawal of a key that it missed.
func TestLongIsolation(t *testing.T) {
	skipIfShort(t)
	withFleet(t, 25, func(s *testFleet) {
		isolated := s.Hosts[1]
		var others []string
		for _, h := range s.Hosts {
			if h != isolated {
				others = append(others, h.Name)
			}
		}
		s.Net.Partition([]string{isolated.Name}, others)
		time.Sleep(freshnessLimit + time.Second)
		require.NoError(t, s.Hosts[0].WithdrawKey(s.key.Number, settleTimeout))
		reply := s.book(isolated, "/isolated")
		require.Equal(t, outcome.StaleConfiguration, reply.Code)
		require.Equal(t, outcome.RanNo, reply.Ran)
		open := isolated.Call(Request{Method: http.MethodGet, Path: "/open/hours", Timeout: time.Second})
		require.NotEqual(t, outcome.StaleConfiguration, open.Code, "%+v", open)
		time.Sleep(2 * time.Minute)
		s.Net.Heal()
		require.True(t, Eventually(settleTimeout, func() bool { return s.book(isolated, "/healed").Code == outcome.KeyWithdrawn }))
	})
}

// skipIfShort skips a test under -short; see shortSeeds.
func skipIfShort(t *testing.T) {
	if testing.Short() {
		t.Skip("skipped under -short, which is used with the race detector")
	}
}
