package node

import (
	"path/filepath"

	"github.com/guavaford/guavaford/internal/control"
	"github.com/guavaford/guavaford/internal/rate"
)

// Shards of control duties in a new fleet.
const (
	rateShards = 64
	runShards  = 4
)

// controlFolder holds the replica's files under the data folder.
const controlFolder = "control"

// buildControl opens the replica of this host, or reaches those of others.
func (p *Process) buildControl() error {
	s := p.o.settings
	if s.NoControl {
		p.service = control.NewClient(p.pool, s.Control, control.ClientOptions{DataCentre: s.DataCentre})
		return nil
	}
	replica, err := control.Open(control.Options{
		DataFolder:      filepath.Join(s.DataFolder, controlFolder),
		FS:              p.o.FS,
		Identity:        p.o.identity,
		Address:         s.PeerAddress,
		DataCentre:      s.DataCentre,
		InitialReplicas: s.InitialReplicas,
		Seeds:           s.Control,
		Pool:            p.pool,
		Server:          p.peers,
		RateShards:      rateShards,
		RunShards:       runShards,
		Clock:           p.o.Clock,
		Log:             p.o.Log,
	})
	if err != nil {
		return err
	}
	p.replica = replica
	p.service = replica
	return nil
}

// leaseSender returns the sender of lease requests.
func (p *Process) leaseSender() rate.Sender {
	sender := leaseSender{pool: p.pool, own: p.o.settings.PeerAddress}
	if p.replica != nil {
		sender.local = p.replica
	}
	return sender
}
