package lab

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// seed is the fixed seed of all runs, which makes them repeat exactly.
const seed = 1

// parallelRuns is how many runs are simulated at a time; each run is sequential.
const parallelRuns = 3

// Select returns the scenarios whose name begins with a prefix.
func Select(l Durations, prefix string) []*Scenario {
	var selected []*Scenario
	for _, s := range Scenarios(l) {
		if strings.HasPrefix(s.Name, prefix) {
			selected = append(selected, s)
		}
	}
	return selected
}

// MeasureAll simulates, under each policy, the scenarios of a deployment whose names begin with only.
func MeasureAll(d func() *Deployment, l Durations, policies []Policy, only string) []Result {
	scenarios := len(Select(l, only))
	results := make([]Result, scenarios*len(policies))
	slots := make(chan struct{}, parallelRuns)
	var all sync.WaitGroup
	for i := range scenarios {
		for j, p := range policies {
			slots <- struct{}{}
			all.Go(func() {
				results[i*len(policies)+j] = Measure(d(), Select(l, only)[i], p, seed)
				<-slots
			})
		}
	}
	all.Wait()
	return results
}

// WriteReasons prints why caller attempts failed: code@depth=count, the most frequent first.
func WriteReasons(w io.Writer, results []Result) {
	for _, r := range results {
		keys := slices.SortedFunc(maps.Keys(r.Reasons), func(a, b Reason) int {
			return r.Reasons[b] - r.Reasons[a]
		})
		fmt.Fprintf(w, "%s %s %s:", r.Deployment, r.Scenario, r.Policy)
		for _, k := range keys {
			fmt.Fprintf(w, " %s@%d=%d", k.Code, k.Depth, r.Reasons[k])
		}
		fmt.Fprintln(w)
	}
}

// WriteTable prints results as a Markdown table.
func WriteTable(w io.Writer, results []Result) {
	fmt.Fprintln(w, "| Scenario | Policy | Goodput % | Recovery s | Wasted % | Extra mean | Extra max | Worst organisation % | Refused within share % | Class 0 / 1 / 2 % | Not done | Leaver starts |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range results {
		fmt.Fprintf(w, "| %s | %s | %.1f | %s | %.2f | %.3f | %d | %.1f | %.2f | %.1f / %.1f / %.1f | %d | %d |\n",
			r.Scenario, r.Policy, 100*r.Goodput, seconds(r.Recovery), 100*r.Wasted, r.ExtraAttemptsMean, r.ExtraAttemptsMax,
			100*r.WorstTenantRatio, 100*r.FailedWithinShare, 100*r.Classes[0], 100*r.Classes[1], 100*r.Classes[2], r.NotCompleted, r.StartsAfterLeaving)
	}
}

// seconds formats a recovery time.
func seconds(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1f", d.Seconds())
}
