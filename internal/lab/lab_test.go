package lab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/knownred"
)

// Bounds that the product must meet.
const (
	minGoodput            = 0.95
	minTopClass           = 0.99
	maxRecovery           = 2 * time.Second
	maxWasted             = 0.03
	maxRefusedWithinShare = 0.001
)

// TestRunsRepeatExactly guards against runs with the same seed that differ, for example by the iteration order of a
// map: figures of two versions could then not be compared.
func TestRunsRepeatExactly(t *testing.T) {
	s := slowdown(ShortDurations())
	require.Equal(t, Measure(Verband(), s, Product(), seed), Measure(Verband(), s, Product(), seed))
}

// expectation is one bound that the result of a scenario must meet.
type expectation struct {
	name string
	met  func(Result) bool
}

// expectations returns the bounds of a scenario.
func expectations(scenario string) []expectation {
	list := []expectation{{"allowance", func(r Result) bool { return r.ExtraAttemptsMax <= retryAllowance }}}
	switch scenario[0] {
	case 'b', 'c':
		list = append(list,
			expectation{"goodput", func(r Result) bool { return r.Goodput >= minGoodput }},
			expectation{"top-class", func(r Result) bool { return r.Classes[0] >= minTopClass }},
			expectation{"recovery", func(r Result) bool { return r.Recovery >= 0 && r.Recovery <= maxRecovery }},
			expectation{"wasted", func(r Result) bool { return r.Wasted <= maxWasted }})
	case 'd':
		list = append(list, expectation{"within-share", func(r Result) bool { return r.FailedWithinShare <= maxRefusedWithinShare }})
	case 'f':
		list = append(list, expectation{"leaver", func(r Result) bool { return r.StartsAfterLeaving == 0 }})
		if scenario != "f goes silent" {
			list = append(list, expectation{"nothing-lost", func(r Result) bool { return r.NotCompleted == 0 }})
		}
	}
	return list
}

// TestBounds guards against a change that makes goodput, recovery, fairness or retries worse than required, in
// the short scenarios. A bound that is not met passes only while KNOWN-RED.txt lists its subtest, and the
// list may not name one that is met.
func TestBounds(t *testing.T) {
	for _, d := range []func() *Deployment{Koperasi, Verband} {
		for _, r := range MeasureAll(d, ShortDurations(), []Policy{Product()}, "") {
			for _, e := range expectations(r.Scenario) {
				t.Run(r.Deployment+"/"+r.Scenario+"/"+e.name, func(t *testing.T) {
					knownred.Check(t, e.met(r), "%+v", r)
				})
			}
		}
	}
}
