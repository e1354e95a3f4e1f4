package node

import (
	"context"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/control"
	"github.com/guavaford/guavaford/internal/rate"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/runrecord"
)

// Shards of control duties in a new fleet.
const (
	rateShards = 64
	runShards  = 4
)

// buildControl opens the replica of this host, or reaches those of others.
func (p *process) buildControl() error {
	s := p.o.settings
	replica, err := control.Open(control.Options{
		DataFolder:  s.DataFolder,
		Node:        p.o.identity.Node,
		Incarnation: p.o.identity.Incarnation,
		Address:     s.PeerAddress,
		DataCentre:  s.DataCentre,
		Check:       func(all []*apiv1.Resource) []string { return problems(config.Check(all)) },
		NewRunTable: func() control.RunTable { return runrecord.NewTable(runrecord.Config{}) },
		Registry:    relay{registry.NewRelay(registry.RelayOptions{Node: s.Name, Incarnation: p.o.identity.Incarnation})},
		RateShards:  rateShards,
		RunShards:   runShards,
		Clock:       p.o.clock,
		Log:         p.o.log,
	})
	if err != nil {
		return err
	}
	p.replica = replica
	p.service = &singleControl{Replica: replica, owner: rate.NewOwner(soleOwner{since: p.o.clock.Now()}, p, p.o.clock, rate.Config{})}
	return nil
}

// relay is the registry of a fleet whose only replica is this one.
type relay struct {
	*registry.Relay
}

// Merge takes news of another replica.
func (r relay) Merge(now time.Time, m *apiv1.RelayMessage) {
	r.Relay.Merge(now, m)
}

// Outgoing returns news for other replicas.
func (r relay) Outgoing(now time.Time) *apiv1.RelayMessage {
	return r.Relay.Outgoing(now, "")
}

// problems returns the text of each problem.
func problems(all config.Problems) []string {
	texts := make([]string, 0, len(all))
	for _, one := range all {
		texts = append(texts, one.String())
	}
	return texts
}

// Limits returns rate and burst of an organisation from the configuration in force.
func (p *process) Limits(organisation string) (perSecond, burst float64, ok bool) {
	o, ok := p.board.Configuration.Load().Snapshot.Organisations[organisation]
	if !ok {
		return 0, 0, false
	}
	return o.Rate, o.Burst, true
}

// singleControl serves a fleet whose only replica is this one.
type singleControl struct {
	*control.Replica
	owner *rate.Owner
}

// Lease serves token leases of every shard.
func (c *singleControl) Lease(ctx context.Context, r *apiv1.LeaseRequest) (*apiv1.LeaseResponse, error) {
	return c.owner.Lease(ctx, r)
}

// soleOwner owns every rate shard.
type soleOwner struct {
	since time.Time
}

// Owned returns the only epoch.
func (o soleOwner) Owned(uint32) (uint64, time.Time, bool) {
	return 1, o.since, true
}

// leaseSender returns the sender of lease requests.
func (p *process) leaseSender() rate.Sender {
	return leaseSender{pool: p.pool, own: p.o.settings.PeerAddress, local: p.service}
}
