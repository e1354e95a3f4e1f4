package shed

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// levels simulates a call chain of three services on many nodes. Each node is beside one target and is
// also an entry, so it receives readings of the last service both from the calls of its target and from
// the responses to the requests that enter at it.
type levels struct {
	now    time.Time
	rnd    *rand.Rand
	relays []*LoadTracker
	// first holds the index of the first node of each service.
	first []int
	load  float64
}

var levelNames = []string{"front", "middle", "back"}

func newLevels(targets ...int) *levels {
	l := &levels{now: time.Unix(1000, 0), rnd: rand.New(rand.NewPCG(5, 6)), first: []int{0}}
	for _, n := range targets {
		l.first = append(l.first, l.first[len(l.first)-1]+n)
	}
	for range l.first[len(targets)] {
		l.relays = append(l.relays, NewLoadTracker())
	}
	return l
}

// randomNode returns a random node beside a target of a level.
func (l *levels) randomNode(level int) int {
	return l.first[level] + l.rnd.IntN(l.first[level+1]-l.first[level])
}

// run sets the load of every target of the last service, and lets each node make calls and take requests.
func (l *levels) run(length time.Duration) {
	last := len(levelNames) - 1
	for range length / (20 * time.Millisecond) {
		l.now = l.now.Add(20 * time.Millisecond)
		for i := l.first[last]; i < l.first[last+1]; i++ {
			l.relays[i].Observe(l.now, levelNames[last], strconv.Itoa(i), l.load)
		}
		for node, relay := range l.relays {
			l.call(relay.LearnAtEntry, 0)
			for level := range last {
				if node >= l.first[level] && node < l.first[level+1] {
					work := ServiceRoute{Service: levelNames[level]}
					relay.RequestStarted(l.now, work)
					relay.CallStarted(l.now, work, ServiceRoute{Service: levelNames[level+1]})
					l.call(relay.Learn, level+1)
				}
			}
		}
	}
}

// call sends a call to a random target of a level and learns from the response.
func (l *levels) call(learn func(time.Time, ServiceRoute, string, []*apiv1.Pressure), level int) {
	target, work := l.randomNode(level), ServiceRoute{Service: levelNames[level]}
	learn(l.now, work, strconv.Itoa(target), l.relays[target].Report(l.now, work))
}

// TestRecoveryReachesAllNodesWithinASecond guards against stale overload readings that nodes of a large
// fleet keep forwarding to each other. A service is overloaded for some seconds and then recovers; the
// entries must see the recovery within a second.
func TestRecoveryReachesAllNodesWithinASecond(t *testing.T) {
	l := newLevels(40, 30, 20)
	l.load = 1.5
	l.run(3 * time.Second)
	for _, relay := range l.relays {
		load, _, ok := relay.Load(l.now, "back")
		require.True(t, ok)
		require.InDelta(t, 1.5, load, 0.05)
	}
	l.load = 0.5
	l.run(time.Second)
	mean := 0.0
	for _, relay := range l.relays {
		load, _, _ := relay.Load(l.now, "back")
		mean += load / float64(len(l.relays))
	}
	t.Logf("mean load seen by entries one second after recovery: %.2f", mean)
	require.Less(t, mean, 0.75, "the mean must have fallen three quarters of the way from 1.5 to 0.5")
}
