package shed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// learnOverload reports to a load tracker that a service is overloaded and loses half of its calls.
func learnOverload(relay *LoadTracker, now time.Time) {
	relay.LearnAtEntry(now, workA, "a1", []*apiv1.Pressure{
		{Service: "c", LoadPermille: 5 * permille, CallsPermille: 8 * permille, LostPermille: permille / 2}})
}

// admitted returns how many of 100 requests are admitted after two seconds of overload.
func admitted(o Options) int {
	relay, now, n := NewLoadTracker(), time.Unix(1000, 0), 0
	g := NewShedder(relay, o)
	for range 20 {
		now = now.Add(adjustInterval / 2)
		learnOverload(relay, now)
		g.Admit(now, Request{ServiceRoute: workA, Repeatable: true})
	}
	for i := range 100 {
		if g.Admit(now, Request{ServiceRoute: workA, Repeatable: true, Random: float64(i) / 100}).Admitted {
			n++
		}
	}
	return n
}

// TestDisabledMechanismsRefuseNothing guards against an option that disables the other mechanism too, or
// not its own.
func TestDisabledMechanismsRefuseNothing(t *testing.T) {
	require.Less(t, admitted(Options{}), 50)
	require.Less(t, admitted(Options{AdmitAll: true}), 50, "the success probability must be checked without the load")
	require.Less(t, admitted(Options{IgnoreLoss: true}), 50, "the load must be checked without the success probability")
	require.Equal(t, 100, admitted(Options{AdmitAll: true, IgnoreLoss: true}))
}
