package node

import (
	"path/filepath"

	"github.com/guavaford/guavaford/internal/control"
	"github.com/guavaford/guavaford/internal/rate"
	"github.com/guavaford/guavaford/internal/registry"
)

// Numbers of shards into which rates and run records are divided in a new fleet.
const (
	rateShards = 64
	runShards  = 4
)

// controlFolder holds the replica's files under the data folder.
const controlFolder = "control"

// buildControl opens the control replica of this host, or a client of those on other hosts.
func (p *Process) buildControl() error {
	s := p.env.settings
	if s.NoControl {
		if s.DirectAddress != "" {
			p.registerLeaseRelay()
		}
		p.service = control.NewClient(p.pool, s.Control, control.ClientOptions{DataCentre: s.DataCentre})
		return nil
	}
	expected := loadFleetSize(p.env.FS, s.DataFolder, p.env.Log)
	relay := p.newRegistryRelay(expected)
	replica, err := control.Open(control.Options{
		DataFolder:      filepath.Join(s.DataFolder, controlFolder),
		FS:              p.env.FS,
		Identity:        p.env.identity,
		Address:         s.PeerAddress,
		DataCentre:      s.DataCentre,
		InitialReplicas: s.InitialReplicas,
		Seeds:           s.Control,
		Voters:          s.Voters,
		MinVoters:       s.MinVoters,
		Pool:            p.pool,
		Server:          p.peers,
		Registry:        relay,
		Rate:            rate.Config{StartCredit: s.RateStartCredit},
		RateShards:      rateShards,
		RunShards:       runShards,
		Clock:           p.env.Clock,
		Log:             p.env.Log,
	})
	if err != nil {
		return err
	}
	p.replica = replica
	p.service = replica
	if relay != nil {
		p.fleetSize = &fleetSize{fs: p.env.FS, folder: s.DataFolder, relay: relay, log: p.env.Log, stored: expected}
	}
	return nil
}

// newRegistryRelay returns the target registry of a control replica that starts out with an expected number of nodes; nil
// stands for the default registry.
func (p *Process) newRegistryRelay(expected int) *registry.Relay {
	s := p.env.settings
	if s.NodeTimeout == 0 {
		return nil
	}
	return registry.NewRelay(registry.RelayOptions{
		Node:          p.env.identity.Node,
		Incarnation:   p.env.identity.Incarnation,
		NodeTimeout:   s.NodeTimeout,
		ExpectedNodes: expected,
	})
}

// leaseSender returns the sender of this node's lease requests.
func (p *Process) leaseSender(identity rate.Identity) rate.Sender {
	sender := leaseSender{pool: p.pool, ownAddress: p.env.settings.PeerAddress, connection: identity, relays: &leaseRelays{}}
	if p.env.settings.DirectAddress != "" {
		sender.relays.pick = p.pickRelays
	}
	if p.replica != nil {
		sender.local = p.replica
	}
	return sender
}

// setControlGauges registers gauges for the metrics of this host's control replica, if it has one.
func (p *Process) setControlGauges() {
	if p.replica == nil {
		return
	}
	gauge := func(name string, read func(control.Metrics) uint64) {
		p.env.metrics.SetGauge("control_"+name, func() float64 { return float64(read(p.replica.Metrics())) })
	}
	gauge("events_waiting", func(m control.Metrics) uint64 { return uint64(m.QueuedEvents) })
	gauge("proposals", func(m control.Metrics) uint64 { return m.Proposals })
	gauge("applied", func(m control.Metrics) uint64 { return m.Applied })
	gauge("snapshots", func(m control.Metrics) uint64 { return m.Snapshots })
	gauge("snapshots_installed", func(m control.Metrics) uint64 { return m.SnapshotsInstalled })
	gauge("batches_sent", func(m control.Metrics) uint64 { return m.Batches })
	gauge("messages_sent", func(m control.Metrics) uint64 { return m.Messages })
	gauge("messages_dropped", func(m control.Metrics) uint64 { return m.Dropped })
	gauge("bytes_sent", func(m control.Metrics) uint64 { return m.Bytes })
	gauge("log_syncs", func(m control.Metrics) uint64 { return m.Log.Syncs })
	gauge("log_bytes", func(m control.Metrics) uint64 { return m.Log.Bytes })
	gauge("departures", func(m control.Metrics) uint64 { return uint64(m.Departures.Records) })
	gauge("departures_complete", func(m control.Metrics) uint64 {
		if m.Departures.Complete {
			return 1
		}
		return 0
	})
	gauge("departures_stored", func(m control.Metrics) uint64 { return m.Departures.Stored })
	gauge("departures_failed", func(m control.Metrics) uint64 { return m.Departures.Failed })
	gauge("departure_syncs", func(m control.Metrics) uint64 { return m.Departures.Syncs })
	gauge("departure_bytes", func(m control.Metrics) uint64 { return m.Departures.Bytes })
	gauge("departure_rewrites", func(m control.Metrics) uint64 { return m.Departures.Rewrites })
	gauge("log_rewrites", func(m control.Metrics) uint64 { return m.Log.Rewrites })
}
