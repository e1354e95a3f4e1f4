// Package node assembles one process from its parts.
//
// The parts meet on the blackboard (package board). Controllers run as goroutines until
// the process stops:
//
//	follow.Loop         heartbeats with control: configuration, freshness, registry, placement
//	dispatch.Dispatcher registry and configuration -> pickers
//	gate refresher      local targets and configuration -> admission
//	rate.Client         token leases
//	control.Replica     on hosts with a disk
//
// A planned stop runs in the order that cuts no request: say that the node is leaving,
// wait until others have heard it, refuse new work, finish what runs, close.
package node

import (
	"context"
	"os"
	"time"

	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/settings"
	"github.com/guavaford/guavaford/internal/telemetry"
)

// Run runs a node until ctx ends, then stops it as planned. Settings must be checked.
func Run(ctx context.Context, s *settings.Node) error {
	logger, err := telemetry.NewLogger(os.Stderr, s.LogLevel)
	if err != nil {
		return err
	}
	TuneCollector()
	p, err := New(s, Dependencies{Log: logger})
	if err != nil {
		return err
	}
	if err := p.Start(); err != nil {
		p.Close()
		return err
	}
	select {
	case <-ctx.Done():
		logger.Info("planned stop", "reason", "signal")
	case err := <-p.failed:
		logger.Error("stopping", "err", err)
		p.Close()
		return err
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), s.StopTimeout)
	defer cancel()
	return p.Stop(stopCtx)
}

// heardTime is how long a leaving node goes on taking requests, until every other node
// has heard that it leaves.
const heardTime = 1500 * time.Millisecond

// Stop ends the process without cutting a request.
func (p *Process) Stop(ctx context.Context) error {
	p.entries.stopping.Store(true)
	p.loop.Leave()
	if p.replica != nil {
		p.replica.TransferLeadership(ctx)
	}
	clock.Sleep(ctx, heardTime)
	p.gate.Close()
	err := p.shutdownServers(ctx)
	p.runs.Wait()
	p.Close()
	p.o.Log.Info("stopped", "clean", err == nil)
	return err
}
