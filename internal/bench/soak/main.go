// Command soak detects resource leaks. It runs three nodes with a configuration
// on this machine for a few minutes, with calls and configuration changes, and
// fails when the number of goroutines, the number of open file descriptors or the
// heap grows. At the end it shuts the fleet down in order and fails when a
// goroutine is left.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/pprof"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/guavaford/guavaford/internal/bench"
	"github.com/guavaford/guavaford/internal/config"
)

const (
	// nodes is the number of nodes; each runs a control replica, as on a small site.
	nodes = 3
	// targetsPerService is the number of targets of each service.
	targetsPerService = 2
	// sampleInterval is the time between two samples.
	sampleInterval = 10 * time.Second
	// warmUpDivisor sets the warm-up: the first 1/warmUpDivisor of the samples don't count for growth.
	warmUpDivisor = 3
	// allowedGrowth is the largest ratio of the mean of the last third to that of the first third of
	// the samples after the warm-up that counts as steady.
	allowedGrowth = 1.25
)

type options struct {
	file     string
	duration time.Duration
	rate     float64
	// heapProfile is the file for a profile of the heap at the end of the run.
	heapProfile string
}

func main() {
	var o options
	flag.StringVar(&o.file, "f", "examples/koperasi.yaml", "configuration file")
	flag.DurationVar(&o.duration, "duration", 3*time.Minute, "duration of the run")
	flag.Float64Var(&o.rate, "rate", 100, "calls a second")
	flag.StringVar(&o.heapProfile, "heapprofile", "", "file for a profile of the heap at the end")
	flag.Parse()
	before := goleak.IgnoreCurrent()
	steady, err := run(context.Background(), o)
	if err == nil {
		err = errors.Wrap(goleak.Find(before), "goroutines left after the fleet stopped")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
	if !steady {
		fmt.Fprintln(os.Stderr, "soak: resource usage grew; see above")
		os.Exit(1)
	}
	fmt.Println("soak: ok")
}

// run reports whether the resource usage of a fleet with the configuration file stayed steady.
func run(ctx context.Context, o options) (bool, error) {
	data, err := os.ReadFile(o.file)
	if err != nil {
		return false, errors.Wrap(err, "read the configuration")
	}
	resources, problems := config.Parse(o.file, data)
	if len(problems) > 0 {
		return false, errors.Errorf("%s: %v", o.file, problems)
	}
	snapshot, err := config.Compile(1, resources)
	if err != nil {
		return false, err
	}
	fleet, err := bench.Start(ctx, bench.Options{Nodes: nodes, Replicas: nodes})
	if err != nil {
		return false, err
	}
	defer fleet.Stop()
	if err := fleet.Apply(ctx, o.file, data); err != nil {
		return false, err
	}
	t, err := newTraffic(ctx, fleet, snapshot)
	if err != nil {
		return false, err
	}
	return soak(ctx, o, t)
}

// soak makes calls and changes for the duration of the run and samples the resource usage meanwhile.
func soak(ctx context.Context, o options, t *traffic) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, o.duration)
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { t.makeCalls(ctx, o.rate) })
	running.Go(func() { t.makeChanges(ctx) })
	var samples []sample
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	fmt.Println("| s | goroutines | descriptors | heap MB | allowed for records MB | calls answered | refused or failed | changes |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	start := time.Now()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			s, err := takeSample(t)
			if err != nil {
				return false, err
			}
			samples = append(samples, s)
			fmt.Printf("| %.0f | %d | %d | %.1f | %.1f | %d | %d | %d |\n", time.Since(start).Seconds(),
				s.goroutines, s.descriptors, s.heapMB, s.recordsMB, t.answered.Load(), t.failed.Load(), t.changed.Load())
		}
	}
	running.Wait()
	t.report()
	return steady(samples), writeHeapProfile(o.heapProfile)
}

func writeHeapProfile(file string) error {
	if file == "" {
		return nil
	}
	out, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "create the heap profile")
	}
	defer func() { _ = out.Close() }()
	return errors.Wrap(pprof.Lookup("heap").WriteTo(out, 0), "write the heap profile")
}
