package servicerate_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/servicerate"
)

// server is a target with a queue that never empties, in steps of a millisecond.
type server struct {
	e   *servicerate.Estimator
	now time.Time
	rnd *rand.Rand
	// running holds the requests that run.
	running []runningRequest
}

type runningRequest struct {
	ticket        servicerate.Ticket
	started, ends time.Time
}

func newServer() *server {
	return &server{e: servicerate.New(), now: time.Unix(1000, 0), rnd: rand.New(rand.NewPCG(1, 1))}
}

// run keeps about inFlight of slots requests running, each of which takes what work says on average, exponentially
// distributed.
func (s *server) run(length time.Duration, slots int, inFlight func() int, work func(running int) time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(time.Millisecond) {
		left := s.running[:0]
		for _, r := range s.running {
			if s.now.Before(r.ends) {
				left = append(left, r)
			} else {
				s.e.Finished(s.now, r.ticket, "r", s.now.Sub(r.started))
			}
		}
		s.running = left
		for n := inFlight(); len(s.running) < n; {
			running := len(s.running) + 1
			took := time.Duration(s.rnd.ExpFloat64() * float64(work(running)))
			s.running = append(s.running, runningRequest{s.e.Started(s.now, running, slots), s.now, s.now.Add(took)})
		}
	}
}

// around returns a number that varies around a mean.
func (s *server) around(mean, by int) func() int {
	return func() int { return mean - by + s.rnd.IntN(2*by+1) }
}

// takes returns the same work whatever runs.
func takes(work time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return work }
}

// TestExpectedTimeFollowsStalls guards against a stall that callers hear of too late, and against a route with few
// requests whose time stays that of before the stall.
func TestExpectedTimeFollowsStalls(t *testing.T) {
	s := newServer()
	s.run(5*time.Second, 40, s.around(20, 4), takes(20*time.Millisecond))
	s.e.Finished(s.now, 0, "rare", 100*time.Millisecond)
	require.InDelta(t, 20, s.e.ExpectedTime(s.now, "r").Milliseconds(), 6)
	s.run(300*time.Millisecond, 40, s.around(20, 4), takes(60*time.Millisecond))
	require.Greater(t, s.e.Slowdown(s.now), 2.0)
	require.Greater(t, s.e.ExpectedTime(s.now, "rare"), 200*time.Millisecond)
	s.run(300*time.Millisecond, 40, s.around(20, 4), takes(20*time.Millisecond))
	require.Less(t, s.e.Slowdown(s.now), 1.5)
	require.Zero(t, s.e.ExpectedTime(s.now, "unknown"))
}

// TestSlowdownEndsWithoutRequests guards against a target that gets no calls any more since it was slow at its last ones.
func TestSlowdownEndsWithoutRequests(t *testing.T) {
	s := newServer()
	s.run(5*time.Second, 40, s.around(20, 4), takes(20*time.Millisecond))
	s.run(200*time.Millisecond, 40, s.around(20, 4), takes(100*time.Millisecond))
	require.Greater(t, s.e.Slowdown(s.now), 2.0)
	require.Less(t, s.e.Slowdown(s.now.Add(4*time.Second)), 1.1)
}

// TestKneeIsFoundAndForgotten guards against a knee that is missed, at targets with many slots and few, and against a
// limit that stays after the knee has gone.
func TestKneeIsFoundAndForgotten(t *testing.T) {
	for _, slots := range []int{15, 23, 177} {
		t.Run(fmt.Sprint(slots), func(t *testing.T) {
			s := newServer()
			knee := slots * 7 / 10
			s.run(20*time.Second, slots, s.around(knee, max(slots/10, 2)), func(running int) time.Duration {
				if running > knee {
					return 60 * time.Millisecond
				}
				return 20 * time.Millisecond
			})
			require.InDelta(t, knee, s.e.Limit(s.now, slots-1, slots), 0.06*float64(slots)+1)
			require.Equal(t, slots-1, s.e.Limit(s.now.Add(2*time.Minute), slots-1, slots))
		})
	}
}

// TestChangesOfSpeedAreNoKnee guards against a limit that is lowered because a target has become slower, which costs
// throughput as well: the more it is behind, the more requests are in flight.
func TestChangesOfSpeedAreNoKnee(t *testing.T) {
	for _, slots := range []int{23, 177} {
		s := newServer()
		for range 60 {
			s.run(400*time.Millisecond, slots, s.around(slots*6/10, slots/10), takes(20*time.Millisecond))
			s.run(200*time.Millisecond, slots, s.around(slots*8/10, slots/10), takes(50*time.Millisecond))
			require.Equal(t, slots-1, s.e.Limit(s.now, slots-1, slots))
		}
	}
}

// TestRoutesAreBounded guards against memory that grows with the names of routes.
func TestRoutesAreBounded(t *testing.T) {
	s := newServer()
	for i := range 10000 {
		s.e.Finished(s.now, 0, fmt.Sprint(i), time.Millisecond)
	}
	known := 0
	for i := range 10000 {
		if s.e.ExpectedTime(s.now, fmt.Sprint(i)) > 0 {
			known++
		}
	}
	require.LessOrEqual(t, known, 256)
}

// BenchmarkEstimator measures what one request costs.
func BenchmarkEstimator(b *testing.B) {
	e, now := servicerate.New(), time.Unix(1000, 0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		ticket := e.Started(now, 80+i%16, 177)
		e.Finished(now, ticket, "r", 20*time.Millisecond)
		_ = e.ExpectedTime(now, "r")
		_ = e.Limit(now, 168, 177)
	}
}
