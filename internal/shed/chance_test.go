package shed

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// The tests below use one failure: the last service of a call chain refuses half of its calls for some
// seconds although it has capacity. A request makes several calls to it, so that hardly any finishes.

// lossyChain simulates an entry, a service a whose requests call b twice, and a service b whose requests
// call c four times in sequence. One load tracker stands for all nodes of a service.
type lossyChain struct {
	rnd                *rand.Rand
	now                time.Time
	entry, a, b        *LoadTracker
	shedder            *Shedder
	refusalRate        float64
	admitted, finished int
	losses             []bool
}

func newLossyChain() *lossyChain {
	c := &lossyChain{rnd: rand.New(rand.NewPCG(3, 4)), now: time.Unix(1000, 0), entry: NewLoadTracker(), a: NewLoadTracker(), b: NewLoadTracker()}
	c.shedder = NewShedder(c.entry, Options{OnLossChange: func(l LossChange) { c.losses = append(c.losses, l.Losing) }})
	return c
}

var (
	workA = ServiceRoute{Service: "a", Route: "orders"}
	workB = ServiceRoute{Service: "b", Route: "ledger"}
	workC = ServiceRoute{Service: "c", Route: "registry"}
)

// runB makes the calls of one request at b until one is lost.
func (c *lossyChain) runB() bool {
	c.b.RequestStarted(c.now, workB)
	for range 4 {
		c.b.CallStarted(c.now, workB, workC)
		lost := c.rnd.Float64() < c.refusalRate
		c.b.CallEnded(c.now, "c", lost)
		c.b.Learn(c.now, workC, "c1", []*apiv1.Pressure{{Service: "c", LoadPermille: 500, CallsPermille: permille}})
		if lost {
			return false
		}
	}
	return true
}

// runA makes the calls of one request at a.
func (c *lossyChain) runA() bool {
	c.a.RequestStarted(c.now, workA)
	finished := true
	for range 2 {
		c.a.CallStarted(c.now, workA, workB)
		finished = c.runB() && finished
		c.a.CallEnded(c.now, "b", false)
		c.a.Learn(c.now, workB, "b1", c.b.Report(c.now, workB))
	}
	return finished
}

// offer sends new requests for a time, at 100 per second, and returns the shares that were admitted and
// that finished.
func (c *lossyChain) offer(length time.Duration, repeatable bool) (admitted, finished float64) {
	c.admitted, c.finished = 0, 0
	offered := 0
	for end := c.now.Add(length); c.now.Before(end); c.now = c.now.Add(10 * time.Millisecond) {
		offered++
		// Requests that callers send to c directly report its load to the entry, but no lost calls.
		for _, target := range []string{"c1", "c2", "c3", "c4"} {
			c.entry.LearnAtEntry(c.now, workC, target, []*apiv1.Pressure{{Service: "c", LoadPermille: 500, CallsPermille: permille}})
		}
		if !c.shedder.Admit(c.now, Request{ServiceRoute: workA, Repeatable: repeatable, Random: c.rnd.Float64()}).Admitted {
			continue
		}
		c.admitted++
		if c.runA() {
			c.finished++
		}
		c.entry.LearnAtEntry(c.now, workA, "a1", c.a.Report(c.now, workA))
	}
	return float64(c.admitted) / float64(offered), float64(c.finished) / float64(offered)
}

// TestRequestsUnlikelyToFinishAreRefused guards against admitting requests that fail after much work
// because a downstream service refuses half of its calls, and against refusing them before or after that
// time.
func TestRequestsUnlikelyToFinishAreRefused(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		c := newLossyChain()
		_, finished := c.offer(3*time.Second, repeatable)
		require.Equal(t, 1.0, finished, "all requests must finish before calls are refused")
		c.refusalRate = 0.55
		c.offer(time.Second, repeatable)
		admitted, finished := c.offer(7*time.Second, repeatable)
		t.Logf("repeatable %v: %.3f admitted, %.3f finished", repeatable, admitted, finished)
		require.Less(t, admitted-finished, 0.25*(1-finished), "most requests that do not finish must be refused at the entry")
		c.refusalRate = 0
		c.offer(time.Second, repeatable)
		_, finished = c.offer(time.Second, repeatable)
		require.Greater(t, finished, 0.95, "all requests must be admitted again one second after the service has recovered")
		require.Equal(t, []bool{true, false}, c.losses, "loss must be reported once at its start and once at its end")
	}
}

// TestModerateLossAdmitsMostRequests guards against refusing too much when a tenth of the calls is lost.
// Most requests then still finish, and those that may be sent again are worth an attempt.
func TestModerateLossAdmitsMostRequests(t *testing.T) {
	c := newLossyChain()
	c.offer(3*time.Second, true)
	c.refusalRate = 0.1
	c.offer(time.Second, true)
	admitted, _ := c.offer(5*time.Second, true)
	require.Greater(t, admitted, 0.99)
	once, _ := c.offer(5*time.Second, false)
	require.Greater(t, once, 0.9)
}
