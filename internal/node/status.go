package node

import (
	"cmp"
	"net/http"
	"slices"
	"sync/atomic"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/board"
	"github.com/guavaford/guavaford/internal/control"
	"github.com/guavaford/guavaford/internal/operator"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/telemetry"
)

// LocalStatus describes this node for operators.
func (p *Process) LocalStatus() operator.NodeStatus {
	s := operator.NodeStatus{
		Name:           p.env.identity.Node,
		DataCentre:     p.env.settings.DataCentre,
		Region:         p.env.settings.Region,
		Incarnation:    p.env.identity.Incarnation,
		Revision:       p.board.Configuration.Load().Revision,
		ConfirmedAgeMS: p.confirmedAge(),
		Stopping:       p.requests.stopping.Load(),
	}
	for _, t := range p.gate.Loads() {
		s.Targets = append(s.Targets, operator.LocalTarget{
			Service:  t.Target.Service,
			Name:     t.Target.Name,
			InFlight: t.Load.InFlight,
			Queued:   t.Load.Queued,
			Limit:    t.Load.Limit,
			Draining: t.Load.Draining,
		})
	}
	slices.SortFunc(s.Targets, func(a, b operator.LocalTarget) int { return cmp.Compare(a.Name, b.Name) })
	for _, h := range p.rates.HeldTokens() {
		s.Leases = append(s.Leases, operator.LocalLease{Organisation: h.Organisation, Tokens: h.Tokens, Waiting: h.Waiting})
	}
	return s
}

// confirmedAge returns the age of the last confirmation of the configuration in milliseconds; -1 before the first.
func (p *Process) confirmedAge() int64 {
	age, ok := p.board.Freshness.Load().Age(p.env.Clock.Now())
	if !ok {
		return -1
	}
	return age.Milliseconds()
}

// setLinkGauges registers the gauges of the links to other nodes.
func (p *Process) setLinkGauges() {
	s := p.linkStats
	for name, value := range map[string]*atomic.Int64{"link_body_chunks": &s.Chunks, "link_body_bytes": &s.ChunkBytes, "link_body_queued_bytes": &s.Queued,
		"link_body_waits": &s.Waits, "link_bodies_refused": &s.Refused} {
		p.env.metrics.SetGauge(name, func() float64 { return float64(value.Load()) })
	}
}

// publishMetrics registers the gauges and publishes all metrics through expvar.
func (p *Process) publishMetrics() {
	m := p.env.metrics
	m.SetGauge("entries_in_flight", func() float64 { return float64(p.requests.running.Load()) })
	m.SetGauge("revision", func() float64 { return float64(p.board.Configuration.Load().Revision) })
	m.SetGauge("confirmed_age_ms", func() float64 { return float64(p.confirmedAge()) })
	m.SetGauge("local_targets", func() float64 { return float64(len(p.gate.Loads())) })
	m.SetGauge("admission_limit", func() float64 { return p.sumTargets(func(t operator.LocalTarget) int { return t.Limit }) })
	m.SetGauge("leased_tokens", p.leasedTokens)
	m.SetGauge("cold_targets", func() float64 {
		cold := 0.0
		for _, t := range p.gate.Loads() {
			if t.Load.ColdRate > 0 {
				cold++
			}
		}
		return cold
	})
	m.SetGauge("queued", func() float64 { return p.sumTargets(func(t operator.LocalTarget) int { return t.Queued }) })
	m.SetGauge("drained_data_centres", func() float64 { return float64(len(p.board.Configuration.Load().Snapshot.DrainedDataCentres())) })
	m.SetGauge("drained_targets", func() float64 { return float64(p.drainedTargets.Load()) })
	m.SetGauge("spread_share", p.dispatcher.SpreadShare)
	m.SetGauge("learned_limit", p.learnedLimit)
	m.SetGauge("target_slowdown", p.maxSlowdown)
	p.setLinkGauges()
	p.setControlGauges()
	m.SetTraffic(p.Traffic)
	m.Publish()
}

// Traffic returns the exchanges and bytes between this node and others, by kind and distance.
func (p *Process) Traffic() []telemetry.TrafficRow {
	var rows []telemetry.TrafficRow
	p.traffic.Each(func(m apiv1.Method, d peer.Distance, c *peer.Counter) {
		rows = append(rows, telemetry.TrafficRow{
			Kind:      peer.MethodName(m),
			Distance:  d.String(),
			Exchanges: c.Exchanges.Load(),
			Sent:      c.Sent.Load(),
			Received:  c.Received.Load(),
		})
	})
	return rows
}

// sumTargets adds up one value over all local targets.
func (p *Process) sumTargets(value func(operator.LocalTarget) int) float64 {
	sum := 0
	for _, t := range p.LocalStatus().Targets {
		sum += value(t)
	}
	return float64(sum)
}

// logSettings logs the settings of the node. Secrets are only named by their files, so none is logged.
func (p *Process) logSettings() {
	s := p.env.settings
	p.env.Log.Info("node started",
		"node", s.Name,
		"data_centre", s.DataCentre,
		"region", s.Region,
		"regions", s.Regions,
		"callers_address", s.CallersAddress,
		"targets_address", s.TargetsAddress,
		"operator_address", s.OperatorAddress,
		"peer_address", s.PeerAddress,
		"data_folder", s.DataFolder,
		"no_control", s.NoControl,
		"control", s.Control,
		"initial_replicas", s.InitialReplicas,
		"fleet_secret_file", s.FleetSecretFile,
		"operator_token_file", s.OperatorTokenFile,
		"freshness_limit", s.FreshnessLimit,
		"announcement_ttl", s.AnnouncementTTL,
		"stop_timeout", s.StopTimeout,
		"log_level", s.LogLevel,
		"disabled", p.env.features.Off(),
	)
}

// Callers returns the handler of the callers' address.
func (p *Process) Callers() http.Handler { return p.callers.Handler }

// Targets returns the handler of the targets' address.
func (p *Process) Targets() http.Handler { return p.targets.Handler }

// Control returns the control service: the replica of this process, or a client of those on other hosts.
func (p *Process) Control() control.Service { return p.service }

// Metrics returns the metrics of the node.
func (p *Process) Metrics() *telemetry.Metrics { return p.env.metrics }

// Configuration returns the current configuration of the node.
func (p *Process) Configuration() *board.Configuration { return p.board.Configuration.Load() }

// leasedTokens returns the number of leased rate tokens that this node holds, summed over all organisations.
func (p *Process) leasedTokens() float64 {
	sum := 0.0
	for _, h := range p.rates.HeldTokens() {
		sum += float64(h.Tokens)
	}
	return sum
}
