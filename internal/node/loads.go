package node

import (
	"context"
	"math/rand/v2"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/gate"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/shed"
)

const (
	// loadExchangeInterval is the time between two exchanges of a node. Entries update the share of requests that
	// they admit as often.
	loadExchangeInterval = 200 * time.Millisecond
	// loadExchangeTimeout bounds one exchange; an answer that comes later adds nothing to what the next exchanges bring.
	loadExchangeTimeout = 500 * time.Millisecond
	// minExchangedLoad is the load of a target of this host from which the node exchanges it with other nodes. Entries
	// start to use targets of other data centres at a slightly higher load.
	minExchangedLoad = 0.6
)

// registerLoads registers the handler that answers exchanges of loads and of quarantine records. The latter is nil if the node keeps none, the
// load tracker if it has no direct entry.
func registerLoads(s *peer.Server, relay *shed.LoadTracker, records *quarantineExchange, clk clock.Clock) {
	peer.HandleUnary(s, apiv1.Method_METHOD_LOADS,
		func() *apiv1.LoadExchange { return &apiv1.LoadExchange{} },
		func(_ context.Context, _ peer.Identity, r *apiv1.LoadExchange) (*apiv1.LoadExchange, error) {
			now, resp := clk.Now(), &apiv1.LoadExchange{Service: r.GetService()}
			if relay != nil && (len(r.GetReadings()) > 0 || len(r.GetQuarantine()) == 0 && !r.GetWantsQuarantine()) {
				resp.Readings = relay.Readings(now, r.GetService())
				relay.Merge(now, r.GetService(), r.GetReadings())
			}
			if records != nil {
				if r.GetWantsQuarantine() {
					resp.Quarantine = records.records(r.GetService())
				}
				records.merge(r.GetService(), r.GetQuarantine())
			}
			return resp, nil
		})
}

// exchangeLoads exchanges load readings with nodes that have other targets of this host's services, while the targets
// of this host are busy. So every gate can tell entries the load of its whole service. Each round picks another
// node at random, as in a gossip protocol: a reading reaches all nodes after a few rounds.
func (p *Process) exchangeLoads(ctx context.Context) {
	for clock.Sleep(ctx, loadExchangeInterval) {
		for _, t := range p.gate.Loads() {
			if t.Reading.Load < minExchangedLoad || p.isDrained(t.Target) {
				continue
			}
			if other := p.randomOtherTarget(t); other != nil {
				p.exchangeWith(ctx, t, other)
			}
		}
	}
}

// randomOtherTarget picks a random target of the same service at another node; nil if there is none.
func (p *Process) randomOtherTarget(t gate.TargetLoad) *registry.Target {
	var others []*registry.Target
	for _, o := range p.board.Registry.Load().Services[t.Target.Service] {
		if o.Node != t.Target.Node && !p.isDrained(o) {
			others = append(others, o)
		}
	}
	if len(others) == 0 {
		return nil
	}
	return others[rand.IntN(len(others))]
}

// exchangeWith exchanges load readings with the node of another target. After a failure the next round picks another
// node.
func (p *Process) exchangeWith(ctx context.Context, t gate.TargetLoad, other *registry.Target) {
	ctx, cancel := context.WithTimeout(ctx, loadExchangeTimeout)
	defer cancel()
	service, now := t.Target.Service, p.env.Clock.Now()
	p.loadTracker.ObserveTarget(now, service, t.Target.ID(), shed.TargetLoad{Load: t.Reading.Load, ColdLeft: t.ColdLeft})
	resp := &apiv1.LoadExchange{}
	err := peer.Unary(ctx, p.pool, other.NodeAddress, apiv1.Method_METHOD_LOADS,
		&apiv1.LoadExchange{Service: service, Readings: p.loadTracker.Readings(now, service)}, resp)
	if err != nil {
		p.env.Log.Debug("load exchange failed", "service", service, "node", other.Node, "err", err)
		return
	}
	p.loadTracker.Merge(p.env.Clock.Now(), service, resp.GetReadings())
}
