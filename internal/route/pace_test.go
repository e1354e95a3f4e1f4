package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/registry"
)

// manualClock is a clock that the test advances.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

// slowService simulates a service with some slow targets, called by one node.
type slowService struct {
	clock  *manualClock
	picker *Picker
	// slow holds by which factor calls to a target's node take longer than elsewhere; 0 counts as 1.
	slow map[string]float64
	rnd  *rand.Rand
	open []openCall
}

// openCall is a call in flight and how it will end.
type openCall struct {
	choice Choice
	ends   time.Time
	o      Observation
}

func newSlowService(targets []*registry.Target, slow map[string]float64) *slowService {
	s := &slowService{clock: &manualClock{time.Unix(1000, 0)}, slow: slow, rnd: rand.New(rand.NewPCG(1, 2))}
	config := DefaultConfig()
	config.SlowRatio, config.ScanAllTargets = 2.5, true
	s.picker = NewPicker(config, "kl", s.clock, 1)
	s.picker.Update(targets)
	return s
}

// routes holds the mean duration and the timeout of calls on two routes to the service: sub-calls of targets, which
// have little time, and requests of callers.
var routes = map[string]struct{ work, limit time.Duration }{
	"short": {68 * time.Millisecond, 700 * time.Millisecond},
	"long":  {1100 * time.Millisecond, 12 * time.Second},
}

// run makes calls at a rate, each of which takes 0.7 to 1.3 times its work, and counts them by node; late counts those
// that time out.
func (s *slowService) run(length time.Duration, perSecond float64) (counts map[string]int, late int) {
	counts = map[string]int{}
	end := s.clock.now.Add(length)
	for s.clock.now.Before(end) {
		s.clock.now = s.clock.now.Add(time.Millisecond)
		s.open = slices.DeleteFunc(s.open, func(c openCall) bool {
			if s.clock.now.Before(c.ends) {
				return false
			}
			c.choice.Done(c.o)
			return true
		})
		if s.rnd.Float64() > perSecond/1000 {
			continue
		}
		route := "short"
		if s.rnd.Float64() < 0.02 {
			route = "long"
		}
		choice, refusal := s.picker.Pick(Query{Route: route})
		if refusal != nil {
			continue
		}
		node := choice.Target().Node
		counts[node]++
		took := time.Duration(float64(routes[route].work) * max(s.slow[node], 1) * (0.7 + 0.6*s.rnd.Float64()))
		o := Observation{Outcome: Success, Latency: took}
		if took > routes[route].limit {
			o, took = Observation{Outcome: TimedOut, Latency: routes[route].limit}, routes[route].limit
			late++
		}
		s.open = append(s.open, openCall{choice, s.clock.now.Add(took), o})
	}
	return counts, late
}

// TestSlowTargetsGetNoCalls guards against calls that keep going to slow targets and time out: two fifths of the
// targets of the last service in a chain take twelve times as long for nine seconds, longer than the timeout of its
// calls. A request needs several of these calls, so each call to a slow target fails a request. Once the targets have
// recovered, they must get calls again.
func TestSlowTargetsGetNoCalls(t *testing.T) {
	var targets []*registry.Target
	slow := map[string]float64{}
	for i := range 5 {
		targets = append(targets, target(fmt.Sprintf("near-%d", i), "kl"))
		for zone := range 4 {
			targets = append(targets, target(fmt.Sprintf("far-%d-%d", zone, i), fmt.Sprint("zone-", zone)))
		}
	}
	s := newSlowService(targets, slow)
	_, late := s.run(5*time.Second, 180)
	require.Zero(t, late)
	for _, target := range targets {
		if strings.HasSuffix(target.Node, "1") || strings.HasSuffix(target.Node, "3") {
			slow[target.Node] = 12
		}
	}
	s.run(time.Second, 180)
	counts, late := s.run(8*time.Second, 180)
	total := 0
	for _, n := range counts {
		total += n
	}
	require.Less(t, late, total/100, "calls that timed out, of %d", total)

	clear(slow)
	s.run(10*time.Second, 180)
	counts, _ = s.run(5*time.Second, 180)
	for _, name := range []string{"near-1", "near-3"} {
		require.Greater(t, counts[name], 60, "calls to %s after it has recovered", name)
	}
}

// TestOnlyTargetOfADataCentreTurnsSlow guards against calls that stay at a slow target until it is full because it is
// the only one of the service in its data centre, as at small sites.
func TestOnlyTargetOfADataCentreTurnsSlow(t *testing.T) {
	slow := map[string]float64{}
	s := newSlowService([]*registry.Target{target("near", "kl"), target("far-1", "a"), target("far-2", "b"), target("far-3", "c")}, slow)
	counts, _ := s.run(5*time.Second, 60)
	require.Zero(t, counts["far-1"]+counts["far-2"]+counts["far-3"])
	slow["near"] = 12
	s.run(time.Second, 60)
	counts, late := s.run(6*time.Second, 60)
	require.Less(t, counts["near"], 20)
	require.Less(t, late, 10, "%v", counts)
}

// TestLatenciesOfRemovedRoutesAreDropped guards against unbounded memory: the configuration changes hundreds of times a
// day, and routes get new names.
func TestLatenciesOfRemovedRoutesAreDropped(t *testing.T) {
	s := newSlowService([]*registry.Target{target("a", "kl"), target("b", "kl")}, nil)
	for i := range 3 * maxTrackedRoutes {
		c, refusal := s.picker.Pick(Query{Route: fmt.Sprint("route-", i)})
		require.Nil(t, refusal)
		c.Done(Observation{Outcome: Success, Latency: time.Millisecond})
	}
	for _, m := range s.picker.tracked {
		require.LessOrEqual(t, len(*m.routeLatencies.byRoute.Load()), maxTrackedRoutes)
	}
	kept := 0
	s.picker.references.byRoute.Range(func(any, any) bool { kept++; return true })
	require.LessOrEqual(t, kept, maxTrackedRoutes)
}
