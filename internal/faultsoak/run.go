package faultsoak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/guavaford/guavaford/internal/clock"
)

// Options are the settings of a run.
type Options struct {
	Seed uint64
	// Length is the time within which all faults begin and end.
	Length time.Duration
	// Root is the root folder of this repository, Folder the one for the files of the run.
	Root, Folder string
	// Out receives one line for each fault.
	Out io.Writer
}

// Durations and timeouts of a run, apart from its faults.
const (
	startWait = 30 * time.Second
	warmUp    = 2 * time.Second
	// recovery is the time after the last fault within which the fleet must recover.
	recovery  = 12 * time.Second
	quietTime = 4 * time.Second
	// drainTime lets targets finish requests whose callers have timed out, so that their runs are counted.
	drainTime     = 3 * time.Second
	changePause   = 200 * time.Millisecond
	changeTimeout = 15 * time.Second
)

// limitedRate is the rate limit of organisation limited in configuration, which sends far more.
var limitedRate = RateLimit{PerSecond: 20, Burst: 10, MaxQueueTime: routeTimeout}

// configuration has one organisation that books and one that sends more than its rate limit allows.
const configuration = `
kind: Organisation
name: court
labels: {size: large}
---
kind: Organisation
name: limited
labels: {size: small}
---
kind: Rate
name: large
spec: {selector: size=large, perSecond: 2000, burst: 1000}
---
kind: Rate
name: small
spec: {selector: size=small, perSecond: 20, burst: 10}
---
kind: Class
name: standard
spec: {selector: class=standard, priority: 5}
---
kind: Route
name: book
labels: {class: standard}
spec: {pathPrefix: /book, methods: [POST], service: front, timeout: 2s}
---
kind: Route
name: look
labels: {class: standard}
spec: {pathPrefix: /look, methods: [GET], service: front, timeout: 2s}
---
kind: Route
name: limited
labels: {class: standard}
spec: {pathPrefix: /limited, methods: [GET], service: front, timeout: 2s}
---
kind: Route
name: upload
labels: {class: standard}
spec: {pathPrefix: /upload, methods: [POST], service: front, timeout: 2s}
---
kind: Route
name: home
labels: {class: standard}
spec: {pathPrefix: /home, methods: [GET], service: front, timeout: 2s, regions: [home]}
---
kind: Route
name: cold
labels: {class: standard}
spec: {pathPrefix: /cold, methods: [GET], service: cold, timeout: 2s}
---
kind: Target
name: cold
spec: {service: cold, coldStart: 3s, coldPerSecond: 13}
---
kind: Route
name: inner
labels: {class: standard}
spec: {pathPrefix: /inner, methods: [GET], service: back, timeout: 2s}
`

// Report is the result of a run.
type Report struct {
	Seed    uint64
	Plan    []Fault
	Summary Summary
	// Violations describes each guarantee that was violated, and each failure of a process.
	Violations []string
}

// run is one run: a fleet with its callers, targets and operator.
type run struct {
	Options
	fleet     *fleet
	recorder  *Recorder
	callers   *callers
	targets   []*target
	changes   sync.WaitGroup
	evacuated evacuated

	mu       sync.Mutex
	failures []string
}

// Run runs the plan of one seed. An error means that the run was not completed; violated guarantees are in the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	program, err := build(o.Root, o.Folder, "guavaford", "./cmd/guavaford")
	if err != nil {
		return nil, err
	}
	r := &run{Options: o, recorder: NewRecorder(limitedRate), evacuated: evacuated{since: map[string]time.Time{}}}
	if r.fleet, err = newFleet(o.Folder, program); err != nil {
		return nil, err
	}
	plan := NewPlan(o.Seed, o.Length, controlNodes, allNodes)
	err = r.play(ctx, plan)
	for _, name := range r.fleet.close() {
		r.addFailure(errors.Errorf("%s had to be killed at the end", name))
	}
	if err == nil {
		// An interrupted run proves nothing, so it has no report.
		err = ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	return &Report{Seed: o.Seed, Plan: plan, Summary: r.recorder.Summary(), Violations: append(r.recorder.Violations(), r.failures...)}, nil
}

// addFailure adds a failure of a process to the report.
func (r *run) addFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, err.Error())
}

// play goes through the sequence of a run that the package comment describes.
func (r *run) play(ctx context.Context, plan []Fault) error {
	targetsCtx, stopTargets := context.WithCancel(ctx)
	defer stopTargets()
	if err := r.setUp(targetsCtx); err != nil {
		return err
	}
	guard := newGuard(r.fleet)
	callersCtx, stop := context.WithCancel(ctx)
	r.callers.start(callersCtx)
	r.changes.Go(func() { r.applyChanges(callersCtx) })
	r.changes.Go(func() { r.coolTargets(callersCtx) })
	clock.Sleep(ctx, warmUp)
	r.changes.Go(func() { r.evacuate(callersCtx, time.Now(), NewEvacuations(r.Seed, r.Length, controlNodes)) })
	if err := r.injectFaults(ctx, guard, plan); err != nil {
		stop()
		return err
	}
	clock.Sleep(ctx, recovery)
	r.callers.quiet.Store(true)
	r.targets[0].leave(ctx)
	clock.Sleep(ctx, quietTime)
	r.callers.quiet.Store(false)
	stop()
	r.callers.running.Wait()
	r.changes.Wait()
	clock.Sleep(ctx, drainTime)
	return r.readBack()
}

// setUp starts the node processes and targets, configures the fleet and waits until requests are served.
func (r *run) setUp(ctx context.Context) error {
	if err := r.fleet.start(); err != nil {
		return err
	}
	file := filepath.Join(r.Folder, "configuration.yaml")
	if err := os.WriteFile(file, []byte(configuration), 0o600); err != nil {
		return errors.Wrap(err, "configuration")
	}
	if err := eventually(func() error {
		_, err := r.fleet.operatorCommand("apply", "-f", file, "--change-id", "setup", "--any-revision")
		return err
	}); err != nil {
		return err
	}
	r.callers = &callers{fleet: r.fleet, recorder: r.recorder}
	for organisation, key := range map[string]*string{"court": &r.callers.key, "limited": &r.callers.limitedKey} {
		out, err := r.fleet.operatorCommand("keys", "issue", organisation)
		if err != nil {
			return err
		}
		lines := strings.Split(strings.TrimSpace(out), "\n")
		*key = lines[len(lines)-1]
	}
	for i, n := range r.fleet.nodes {
		service := frontService
		if i%2 == 1 {
			service = backService
		}
		t, err := startTarget(ctx, fmt.Sprintf("%s-%d", service, i+1), service, n, r.recorder, &r.evacuated)
		if err != nil {
			return err
		}
		r.targets = append(r.targets, t)
		if i < controlNodes {
			continue
		}
		if n.coldTarget, err = startTarget(ctx, fmt.Sprintf("%s-%d", coldService, i+1), coldService, n, r.recorder, &r.evacuated); err != nil {
			return err
		}
	}
	return eventually(func() error {
		// Probes have a recorder of their own, so that they don't count in the report.
		probe := &callers{fleet: r.fleet, recorder: NewRecorder(limitedRate), key: r.callers.key}
		for range 2 * allNodes {
			if verdict, _, _ := probe.send(newProbeClient(), "GET", "look", "start", r.callers.key, nil); verdict != Served {
				return errors.Errorf("a first request was not served: %s", verdict)
			}
		}
		return nil
	})
}

// eventually calls do until it succeeds or startWait has passed, and returns its last error.
func eventually(do func() error) error {
	deadline := time.Now().Add(startWait)
	for {
		err := do()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(changePause)
	}
}

// injectFaults injects the faults of the plan and waits until all have ended. It fails if the processes exceed the
// limits of the guard.
func (r *run) injectFaults(ctx context.Context, guard *guard, plan []Fault) error {
	began := time.Now()
	var ended sync.WaitGroup
	defer ended.Wait()
	for _, f := range plan {
		if !clock.Sleep(ctx, max(f.Start-time.Since(began), 0)) {
			return ctx.Err()
		}
		if err := guard.check(); err != nil {
			return err
		}
		fmt.Fprintln(r.Out, f)
		r.fleet.inject(f, &ended, r.addFailure)
	}
	clock.Sleep(ctx, max(r.Length-time.Since(began), 0))
	return nil
}

// applyChanges applies one change after the other and records which were accepted.
func (r *run) applyChanges(ctx context.Context) {
	for n := 0; clock.Sleep(ctx, changePause); n++ {
		name := fmt.Sprintf("org-%d", n)
		file := filepath.Join(r.Folder, "change.yaml")
		text := fmt.Sprintf("kind: Organisation\nname: %s\nlabels: {size: large}\n", name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			r.addFailure(errors.Wrap(err, "change"))
			return
		}
		_, err := r.fleet.operatorCommand("apply", "-f", file, "--change-id", "change-"+name, "--any-revision", "--timeout", changeTimeout.String())
		if err == nil {
			r.recorder.ChangeAccepted(name)
		}
	}
}

// readBack reads the configuration at the end of the run, to check that it contains every accepted change.
func (r *run) readBack() error {
	var out string
	err := eventually(func() error {
		var err error
		out, err = r.fleet.operatorCommand("get", "Organisation")
		return err
	})
	if err != nil {
		return err
	}
	for _, name := range strings.Fields(out) {
		r.recorder.ChangePresent(name)
	}
	return nil
}
