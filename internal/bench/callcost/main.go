// Command callcost measures the overhead of the proxy: the latency, processor time
// and allocations that a call from caller through two nodes to target has, over
// loopback, beyond the same call made directly in the same run. The two ways are
// measured alternately, and the medians over the rounds are printed.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"runtime/pprof"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/guavaford/guavaford/internal/bench"
)

const configuration = `
kind: Organisation
name: bench
---
kind: Rate
name: bench
spec: {selector: "", perSecond: 1000000, burst: 1000000}
---
kind: Class
name: standard
spec: {selector: "", priority: 5}
---
kind: Route
name: echo
spec: {pathPrefix: /echo, service: echo, timeout: 30s, maxBody: 8MiB}
`

const (
	smallBody = 128
	largeBody = 1 << 20
	// maxAddedLatency is the required bound on the latency added at p99 at half load.
	maxAddedLatency = 630 * time.Microsecond
	targetSlots     = 4096
)

// scenario is one row of the report.
type scenario struct {
	name       string
	bytes      int
	concurrent int
	calls      int
}

var scenarios = []scenario{
	{"128 B, 1 at a time", smallBody, 1, 400},
	{"128 B, 64 at a time", smallBody, 64, 6000},
	{"128 B, 1,000 at a time", smallBody, 1000, 6000},
	{"1 MiB, 1 at a time", largeBody, 1, 30},
	{"1 MiB, 64 at a time", largeBody, 64, 192},
}

// path is where calls of one of the two ways that are compared go, and with which API key.
type path struct {
	url, key string
}

func main() {
	rounds := flag.Int("rounds", 5, "number of measurements of each scenario")
	profile := flag.String("cpuprofile", "", "file for a CPU profile")
	only := flag.String("only", "", "measure only scenarios whose name contains this")
	flag.Parse()
	if err := withCPUProfile(*profile, func() error { return run(context.Background(), *rounds, *only) }); err != nil {
		fmt.Fprintln(os.Stderr, "callcost:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, rounds int, only string) error {
	fleet, err := bench.Start(ctx, bench.Options{Nodes: 2, Replicas: 1})
	if err != nil {
		return err
	}
	defer fleet.Stop()
	direct, viaNodes, err := prepare(ctx, fleet)
	if err != nil {
		return err
	}
	fmt.Println("| calls | way | p50 ms | p99 ms | calls/s | processor us/call | allocations/call | kB/call | failed |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	var peak float64
	for _, s := range scenarios {
		if !strings.Contains(s.name, only) {
			continue
		}
		load := bench.Load{Client: bench.NewClient(s.concurrent), Body: make([]byte, s.bytes), Calls: s.calls, Concurrency: s.concurrent}
		_, t := compare(ctx, s.name, load, direct, viaNodes, rounds)
		if s.bytes == smallBody {
			peak = max(peak, t.throughput)
		}
	}
	if only != "" {
		return nil
	}
	return measureHalfLoad(ctx, peak, direct, viaNodes, rounds)
}

// withCPUProfile runs f, and writes a CPU profile if a file is named.
func withCPUProfile(file string, f func() error) error {
	if file == "" {
		return f()
	}
	out, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "create the CPU profile")
	}
	defer func() { _ = out.Close() }()
	if err := pprof.StartCPUProfile(out); err != nil {
		return errors.Wrap(err, "start the CPU profile")
	}
	defer pprof.StopCPUProfile()
	return f()
}

// prepare configures the fleet and waits until a call through it succeeds.
func prepare(ctx context.Context, fleet *bench.Fleet) (direct, viaNodes path, err error) {
	if err := fleet.Apply(ctx, "bench.yaml", []byte(configuration)); err != nil {
		return direct, viaNodes, err
	}
	target, err := fleet.AddTarget(ctx, 1, "echo-1", "echo", targetSlots, http.HandlerFunc(bench.Echo))
	if err != nil {
		return direct, viaNodes, err
	}
	key, err := fleet.IssueKey(ctx, "bench")
	if err != nil {
		return direct, viaNodes, err
	}
	direct = path{url: target.URL() + "/echo"}
	viaNodes = path{url: fleet.CallersURL(0) + "/echo", key: key}
	probe := bench.Load{Client: bench.NewClient(1), URL: viaNodes.url, APIKey: key, Calls: 1, Concurrency: 1}
	var last *bench.Result
	for range 100 {
		if last = probe.Run(ctx); len(last.Failed) == 0 {
			return direct, viaNodes, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return direct, viaNodes, errors.Errorf("no call through the nodes succeeded: %v", last.Failed)
}

// measureHalfLoad measures and prints the latency added at half of the highest throughput that was measured.
func measureHalfLoad(ctx context.Context, peak float64, direct, viaNodes path, rounds int) error {
	rate := peak / 2
	load := bench.Load{Client: bench.NewClient(256), Body: make([]byte, smallBody), Calls: int(2 * rate), Concurrency: 256, Rate: rate}
	name := fmt.Sprintf("128 B, %.0f/s (half load)", rate)
	d, t := compare(ctx, name, load, direct, viaNodes, rounds)
	added := t.p99 - d.p99
	verdict := "met"
	if added > maxAddedLatency {
		verdict = "missed"
	}
	fmt.Printf("\nAdded at p99 at half load: %s ms; target %s ms: %s\n", ms(added), ms(maxAddedLatency), verdict)
	return nil
}

// medians holds the median figures of several rounds.
type medians struct {
	p50, p99    time.Duration
	throughput  float64
	processor   time.Duration
	allocations float64
	bytes       float64
	failed      map[string]int
}

// compare measures both ways alternately and prints a row for each and for their difference.
func compare(ctx context.Context, name string, load bench.Load, direct, viaNodes path, rounds int) (d, t medians) {
	var directResults, viaNodesResults []*bench.Result
	for range rounds {
		directResults = append(directResults, runOn(ctx, load, direct))
		viaNodesResults = append(viaNodesResults, runOn(ctx, load, viaNodes))
	}
	d, t = summarise(directResults, load.Calls), summarise(viaNodesResults, load.Calls)
	d.print(name, "direct")
	t.print(name, "two nodes")
	fmt.Printf("| %s | added | %s | %s | x %.2f | %d | %.0f | %.1f | |\n", name, ms(t.p50-d.p50), ms(t.p99-d.p99),
		t.throughput/d.throughput, (t.processor - d.processor).Microseconds(), t.allocations-d.allocations, (t.bytes-d.bytes)/1e3)
	return d, t
}

// runOn runs a load on one of the two ways.
func runOn(ctx context.Context, load bench.Load, p path) *bench.Result {
	load.URL, load.APIKey = p.url, p.key
	return load.Run(ctx)
}

func summarise(results []*bench.Result, calls int) medians {
	f := medians{failed: make(map[string]int)}
	f.p50 = median(results, func(r *bench.Result) time.Duration { return r.Quantile(50) })
	f.p99 = median(results, func(r *bench.Result) time.Duration { return r.Quantile(99) })
	f.throughput = median(results, (*bench.Result).Throughput)
	f.processor = median(results, func(r *bench.Result) time.Duration { return r.Used.Processor / time.Duration(calls) })
	f.allocations = median(results, func(r *bench.Result) float64 { return float64(r.Used.Allocations) / float64(calls) })
	f.bytes = median(results, func(r *bench.Result) float64 { return float64(r.Used.Bytes) / float64(calls) })
	for _, r := range results {
		for reason, n := range r.Failed {
			f.failed[reason] += n
		}
	}
	return f
}

func median[T int64 | float64 | time.Duration](results []*bench.Result, value func(*bench.Result) T) T {
	values := make([]T, 0, len(results))
	for _, r := range results {
		values = append(values, value(r))
	}
	slices.Sort(values)
	return values[len(values)/2]
}

func (f medians) print(name, way string) {
	var failed []string
	for reason, n := range f.failed {
		failed = append(failed, fmt.Sprintf("%d %s", n, reason))
	}
	slices.Sort(failed)
	fmt.Printf("| %s | %s | %s | %s | %.0f | %d | %.0f | %.1f | %s |\n", name, way, ms(f.p50), ms(f.p99),
		f.throughput, f.processor.Microseconds(), f.allocations, f.bytes/1e3, strings.Join(failed, ", "))
}

func ms(d time.Duration) string {
	return fmt.Sprintf("%.3f", float64(d)/float64(time.Millisecond))
}
