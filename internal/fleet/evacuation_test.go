package fleet

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/outcome"
)

const (
	// confirmLimit is the time within which an operator must have a clear answer to an evacuation.
	confirmLimit = 4 * time.Second
	// evacuateLimit is the time after the confirmation from which no request may reach a drained target.
	evacuateLimit = 5 * time.Second
)

// drainDataCentre gives an order to the hosts with control in turn, as an operator does, until one answers, and returns when that was.
func (s *testFleet) drainDataCentre(name string, drain bool) time.Time {
	s.t.Helper()
	var last error
	for began, try := time.Now(), 0; time.Since(began) < confirmLimit; try++ {
		if p := s.Hosts[try%3].Process(); p != nil {
			ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
			_, _, last = p.Replica().DrainDataCentre(ctx, name, drain)
			cancel()
			if last == nil {
				return time.Now()
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	require.NoError(s.t, last, "drain of %s: %v", name, drain)
	return time.Time{}
}

// load is a stream of bookings through every host.
type load struct {
	s       *testFleet
	stop    chan struct{}
	callers sync.WaitGroup

	mu      sync.Mutex
	sent    map[string]time.Time
	replies map[string]Reply
}

// startLoad sends a booking through each host every 10 ms until end is called.
func (s *testFleet) startLoad(name string) *load {
	l := &load{s: s, stop: make(chan struct{}), sent: map[string]time.Time{}, replies: map[string]Reply{}}
	for _, h := range s.Hosts {
		l.callers.Go(func() {
			for n := 0; ; n++ {
				path := fmt.Sprintf("/%s-%s-%d", name, h.Name, n)
				l.callers.Go(func() { l.send(h, path) })
				select {
				case <-l.stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
			}
		})
	}
	return l
}

// send sends one booking and records its reply.
func (l *load) send(h *Host, path string) {
	sent := time.Now()
	reply := l.s.book(h, path)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[path], l.replies[path] = sent, reply
}

// end stops the load and returns the replies.
func (l *load) end() map[string]Reply {
	close(l.stop)
	l.callers.Wait()
	return l.replies
}

// requireServedOnce requires that every booking was served, by exactly one run.
func (s *testFleet) requireServedOnce(replies map[string]Reply) {
	s.t.Helper()
	require.NotEmpty(s.t, replies)
	for path, reply := range replies {
		require.True(s.t, reply.OK(), "%s: %+v", path, reply)
		require.Equal(s.t, 1, s.Executions.Count(ExecutionKey{"tempahan", "court", "/bookings" + path}), path)
	}
}

// targetsIn returns the targets of the hosts in a data centre.
func (s *testFleet) targetsIn(dataCentre string) []*Target {
	var found []*Target
	for _, t := range s.targets {
		if t.host.DataCentre == dataCentre {
			found = append(found, t)
		}
	}
	return found
}

// TestEvacuationAmidLoad guards against requests that reach the targets of a drained data centre, against bookings that
// are lost while it is drained or taken back, also those of callers in it, and against a data centre that gets no
// work again after it was taken back. A configuration change must not undo the drain.
func TestEvacuationAmidLoad(t *testing.T) {
	withFleet(t, 41, func(s *testFleet) {
		const dataCentre = "shah-alam"
		drained := s.targetsIn(dataCentre)
		require.Len(t, drained, 2, "a target of each service")
		load := s.startLoad("evacuated")
		time.Sleep(2 * time.Second)
		confirmed := s.drainDataCentre(dataCentre, true)
		require.NoError(t, s.Hosts[1].Apply("more", "kind: Class\nname: more\nspec: {selector: class=more, priority: 3, optional: true}\n", settleTimeout))
		time.Sleep(evacuateLimit + 3*time.Second)
		for _, target := range drained {
			assert.LessOrEqual(t, target.LastRequest().Sub(confirmed), evacuateLimit, "%s got a request", target.Name)
		}
		again := s.drainDataCentre(dataCentre, true)
		time.Sleep(time.Second)
		for _, target := range drained {
			require.True(t, target.LastRequest().Before(again), "a resent order lets requests in again")
		}
		back := s.drainDataCentre(dataCentre, false)
		time.Sleep(evacuateLimit)
		s.requireServedOnce(load.end())
		for _, target := range drained {
			require.True(t, target.LastRequest().After(back), "%s gets no requests again", target.Name)
		}
	})
}

// TestEvacuationSurvivesLossOfPower guards against a confirmed drain that is gone when all hosts lose their power at once,
// and against processes that serve by an older state until they hear of it.
func TestEvacuationSurvivesLossOfPower(t *testing.T) {
	withFleet(t, 42, func(s *testFleet) {
		const dataCentre = "putrajaya"
		load := s.startLoad("before")
		time.Sleep(time.Second)
		s.drainDataCentre(dataCentre, true)
		for _, h := range s.Hosts {
			h.Crash()
		}
		lost := time.Now()
		load.end()
		for _, h := range s.Hosts {
			require.NoError(t, h.Start())
		}
		after := s.startLoad("after")
		require.True(t, Eventually(settleTimeout, func() bool { return s.book(s.Hosts[2], "/again").OK() }), "the fleet serves again")
		time.Sleep(evacuateLimit)
		after.end()
		for _, target := range s.targetsIn(dataCentre) {
			require.True(t, target.LastRequest().Before(lost), "%s got a request %v after the loss", target.Name, target.LastRequest().Sub(lost))
		}
	})
}

// TestServiceWithoutADataCentreRefusesAsNotRun guards against bookings that wait or whose outcome is unknown while all
// data centres of their service are drained, and against a fleet that does not recover from it.
func TestServiceWithoutADataCentreRefusesAsNotRun(t *testing.T) {
	withFleet(t, 43, func(s *testFleet) {
		for _, dataCentre := range []string{"kl", "shah-alam", "putrajaya"} {
			s.drainDataCentre(dataCentre, true)
		}
		time.Sleep(time.Second)
		for i, h := range s.Hosts {
			path := fmt.Sprintf("/nowhere-%d", i)
			began := time.Now()
			reply := s.book(h, path)
			require.Equal(t, outcome.RanNo, reply.Ran, "%+v", reply)
			require.Equal(t, http.StatusServiceUnavailable, reply.Status)
			require.Less(t, time.Since(began), 2*time.Second)
			require.Zero(t, s.Executions.Count(ExecutionKey{"tempahan", "court", "/bookings" + path}))
		}
		s.drainDataCentre("kl", false)
		s.drainDataCentre("shah-alam", false)
		for _, h := range s.Hosts {
			require.True(t, Eventually(evacuateLimit, func() bool { return s.book(h, "/back").OK() }), "%s", h.Name)
		}
	})
}
