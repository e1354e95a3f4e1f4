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

// tickingClock is a clock that moves when told.
type tickingClock struct{ now time.Time }

func (c *tickingClock) Now() time.Time { return c.now }

// slowService is a service of which some targets are slow, called by one node.
type slowService struct {
	clock  *tickingClock
	picker *Picker
	// slow tells how many times as long as the others a target takes.
	slow map[string]float64
	rnd  *rand.Rand
	open []openCall
}

// openCall is a call under way and how it will end.
type openCall struct {
	choice Choice
	ends   time.Time
	o      Observation
}

func newSlowService(targets []*registry.Target, slow map[string]float64) *slowService {
	s := &slowService{clock: &tickingClock{time.Unix(1000, 0)}, slow: slow, rnd: rand.New(rand.NewPCG(1, 2))}
	config := DefaultConfig()
	config.SlowPace, config.LookAround = 2.5, true
	s.picker = NewPicker(config, "kl", s.clock, 1)
	s.picker.Update(targets)
	return s
}

// routes are two routes to the service: calls of targets, with little time, and requests of callers.
var routes = map[string]struct{ work, limit time.Duration }{
	"short": {68 * time.Millisecond, 700 * time.Millisecond},
	"long":  {1100 * time.Millisecond, 12 * time.Second},
}

// run makes calls at a rate, each an exponential time around its work, and counts them by node.
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
		o := Observation{Kind: Success, Latency: took}
		if took > routes[route].limit {
			o, took = Observation{Kind: TimedOut, Latency: routes[route].limit}, routes[route].limit
			late++
		}
		s.open = append(s.open, openCall{choice, s.clock.now.Add(took), o})
	}
	return counts, late
}

// TestTargetsThatTurnSlowAreLeft is the pattern of the second day with trouble of each site: two fifths of the targets of the
// last service take twelve times as long for nine seconds, more than the calls to it may last. A request needs several
// of these calls, so each call that goes there costs a request.
func TestTargetsThatTurnSlowAreLeft(t *testing.T) {
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
	require.Less(t, late, total/100, "of %d", total)

	clear(slow)
	s.run(10*time.Second, 180)
	counts, _ = s.run(5*time.Second, 180)
	for _, name := range []string{"near-1", "near-3"} {
		require.Greater(t, counts[name], 60, "%s works as before again", name)
	}
}

// TestOnlyTargetOfADataCentreTurnsSlow: small sites have one target of a service in each data centre. Its callers go elsewhere
// before it is full.
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

// TestRoutesThatAreGoneAreForgotten: the configuration changes hundreds of times a day, and routes get new names.
func TestRoutesThatAreGoneAreForgotten(t *testing.T) {
	s := newSlowService([]*registry.Target{target("a", "kl"), target("b", "kl")}, nil)
	for i := range 3 * maxPacedRoutes {
		c, refusal := s.picker.Pick(Query{Route: fmt.Sprint("route-", i)})
		require.Nil(t, refusal)
		c.Done(Observation{Kind: Success, Latency: time.Millisecond})
	}
	for _, m := range s.picker.members {
		require.LessOrEqual(t, len(*m.paces.byRoute.Load()), maxPacedRoutes)
	}
	kept := 0
	s.picker.pace.byRoute.Range(func(any, any) bool { kept++; return true })
	require.LessOrEqual(t, kept, maxPacedRoutes)
}
