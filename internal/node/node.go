// Package node assembles one process of the fleet from its components and runs it.
//
// A node accepts requests of callers (the entry), picks a target for each and sends it to the node beside
// that target. There the gate admits or refuses it on behalf of the target. Some nodes also run a
// control replica, which stores the configuration and the registry of targets.
//
// Components exchange state through the sections of package board. Controllers run as goroutines until
// the process stops:
//
//	follow.Loop         heartbeats to control replicas: configuration, freshness, registry, placement
//	dispatch.Dispatcher registry and configuration -> pickers
//	refreshTargets      local targets and configuration -> admission at the gate
//	rate.Client         leases of rate tokens
//	control.Replica     on hosts with a disk
//
// A planned stop cuts no request off: the node announces that it is leaving, waits until other nodes know,
// refuses new work, finishes the running requests and closes.
package node

import (
	"context"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/settings"
	"github.com/guavaford/guavaford/internal/telemetry"
)

// Run runs a node until ctx ends, then stops it as planned. The caller must have run s.Check before.
func Run(ctx context.Context, s *settings.Node) error {
	logger, err := telemetry.NewLogger(os.Stderr, s.LogLevel)
	if err != nil {
		return err
	}
	SetGCPercent(GCPercent)
	p, err := Open(ctx, s, Dependencies{Log: logger})
	if err != nil {
		return err
	}
	if err := p.Start(); err != nil {
		p.Close()
		return err
	}
	return p.RunUntil(ctx)
}

const (
	// fullDiskInterval is the time between two attempts to start on a full disk, fullDiskLogInterval that between two log lines about it.
	fullDiskInterval    = 100 * time.Millisecond
	fullDiskLogInterval = time.Second
)

// Open is like New, but waits while the disk has no room for what a start stores: the incarnation, and the identity of a new replica.
func Open(ctx context.Context, s *settings.Node, d Dependencies) (*Process, error) {
	d = d.withDefaults()
	var logged time.Time
	for {
		p, err := New(s, d)
		if !errors.Is(err, syscall.ENOSPC) {
			return p, err
		}
		if now := d.Clock.Now(); now.Sub(logged) >= fullDiskLogInterval {
			logged = now
			d.Log.Warn("disk full, start waits for room", "node", s.Name, "err", err)
		}
		if !clock.Sleep(ctx, fullDiskInterval) {
			return nil, err
		}
	}
}

// RunUntil waits until ctx ends, then stops the started process as planned. If a component fails, it closes
// the process and returns that component's error.
func (p *Process) RunUntil(ctx context.Context) error {
	select {
	case <-ctx.Done():
		p.env.Log.Info("planned stop", "reason", "signal")
	case err := <-p.failed:
		p.env.Log.Error("stopping", "err", err)
		p.Close()
		return err
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), p.env.settings.StopTimeout)
	defer cancel()
	return p.Stop(stopCtx)
}

// readinessDelay is how long callers may take to notice that the node is no longer ready. A node with a
// direct entry serves them as usual until then.
const readinessDelay = 2500 * time.Millisecond

// leaveAnnounceTime is how long a leaving node continues to accept requests, so that every other node
// learns first that it leaves.
const leaveAnnounceTime = 1500 * time.Millisecond

// closeTimeout is how long the components of a stopped process may take to end. Whatever has to be stored
// is stored by then; a disk that does not respond must not delay the end of the process.
const closeTimeout = 300 * time.Millisecond

// maxFinalAnswerTime and finalAnswerShare, a fraction of the longest stop, limit how long before the end of a planned stop callers of the direct
// entry are answered whose requests still run.
const (
	maxFinalAnswerTime = 250 * time.Millisecond
	finalAnswerShare   = 0.05
)

// closeWithin closes all components and waits for them, up to a limit.
func (p *Process) closeWithin(limit time.Duration) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.runs.Wait()
		p.Close()
	}()
	select {
	case <-done:
	case <-time.After(limit):
		p.env.Log.Warn("components did not end in time", "limit", limit)
	}
}

// transferTimeout bounds the transfer of leadership to other control replicas.
const transferTimeout = time.Second

// Stop ends the process without cutting off a request, unless ctx ends before the running ones finish.
func (p *Process) Stop(ctx context.Context) error {
	p.requests.stopping.Store(true)
	p.loop.AnnounceLeaving()
	if p.replica != nil {
		transfer, cancel := context.WithTimeout(ctx, transferTimeout)
		p.replica.TransferLeadership(transfer)
		cancel()
	}
	clock.Sleep(ctx, leaveAnnounceTime)
	p.gate.Close()
	if p.direct != nil {
		clock.Sleep(ctx, readinessDelay-leaveAnnounceTime)
	}
	if deadline, ok := ctx.Deadline(); ok && p.direct != nil {
		before := min(maxFinalAnswerTime, time.Duration(finalAnswerShare*float64(p.env.settings.StopTimeout)))
		timer := time.AfterFunc(time.Until(deadline)-before, p.direct.GiveUp)
		defer timer.Stop()
	}
	err := p.shutdownServers(ctx)
	p.closeWithin(closeTimeout)
	p.env.Log.Info("stopped", "clean", err == nil)
	return err
}
