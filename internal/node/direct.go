package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/control"
	"github.com/guavaford/guavaford/internal/feature"
	"github.com/guavaford/guavaford/internal/gate"
	"github.com/guavaford/guavaford/internal/gateway"
	"github.com/guavaford/guavaford/internal/headers"
	"github.com/guavaford/guavaford/internal/http1"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/route"
	"github.com/guavaford/guavaford/internal/shed"
)

// directSlowStart is the time over which a new target is brought to full load behind a direct entry.
// Its gate bounds the requests that it runs at once, so the ramp only covers the first seconds of a cold target.
const directSlowStart = 3 * time.Second

// directSpillLoad is the share of a target's limit in use from which targets of other data centres compete for
// its calls. It is well below the load at which entries refuse requests, so that free capacity elsewhere is used
// first.
const directSpillLoad = 0.85

// directFullSpillRatio is the ratio of scores from which a call goes to a target of another data centre that is full
// as well: a queue half as long is worth the longer way, a small difference is not.
const directFullSpillRatio = 0.5

// directSlowRatio is the ratio of latencies from which a target counts as slow. TestSlowTargetsGetNoCalls checks
// it with targets that take twelve times as long, while service times vary by 30%.
const directSlowRatio = 2.5

// learnedSlowRatio replaces directSlowRatio while calls are divided by learned capacity. Targets of one service differ
// by up to 3.2 in speed, and a target that stalls gets a smaller share, so only one that is slower than both can explain
// gets no calls.
const learnedSlowRatio = 5

// routeConfig returns the settings by which targets are picked; nil stands for the defaults.
func (p *Process) routeConfig() *route.Config {
	if p.env.settings.DirectAddress == "" {
		return nil
	}
	config := route.DefaultConfig()
	config.SlowStart = directSlowStart
	config.SpillLoad = directSpillLoad
	config.FullSpillRatio = directFullSpillRatio
	config.SlowRatio = directSlowRatio
	config.EvenSpread = p.env.settings.SpreadDemand && p.env.features.On(feature.EvenSpread)
	config.ScanAllTargets = p.env.features.On(feature.ScanAllTargets)
	if config.LearnedCapacity = p.learnsCapacity(); config.LearnedCapacity {
		config.SlowRatio = learnedSlowRatio
	}
	for name, off := range map[feature.Name]func(){
		feature.SlowStart:     func() { config.SlowStart = 0 },
		feature.SpillWhenFull: func() { config.FullSpillRatio = 0 },
		feature.SlowTargets:   func() { config.SlowRatio = 0 },
		feature.Ejection:      func() { config.MaxEjected = 0 },
	} {
		if !p.env.features.On(name) {
			off()
		}
	}
	return &config
}

// buildDirect builds the direct entry, if its address is set: one HTTP/1 address that both callers and the target
// of this host send their requests to.
func (p *Process) buildDirect() {
	s := p.env.settings
	if s.DirectAddress == "" {
		return
	}
	// The gate divides the retry limit of its service among all its targets, so it must know how many there are.
	p.directory.Subscribe(s.Service)
	names := headers.DefaultNames()
	if p.env.HeaderNames != nil {
		names = *p.env.HeaderNames
	}
	entry := gateway.NewCombinedHandler(gateway.CombinedOptions{
		Board:       p.board,
		Dispatcher:  p.dispatcher,
		RateLimiter: p.rates,
		Shedder: shed.NewShedder(p.loadTracker, shed.Options{
			OnOverloadChange: p.logOverload,
			OnLossChange:     p.logLoss,
			AdmitAll:         !p.env.features.On(feature.EntryShedding),
			IgnoreLoss:       !p.env.features.On(feature.SuccessProbability),
		}),
		LoadTracker: p.loadTracker,
		CallIndex:   p.callIndex,
		HeaderNames: names,
		Service:     s.Service,
		Clock:       p.env.Clock,
		Metrics:     p.env.metrics,
		Log:         p.env.Log,
		LogLimiter:  p.logLimit,
		WarmIn:      p.dispatcher.WarmIn,
	})
	limits := func() http1.Limits {
		l := p.board.Configuration.Load().Snapshot.CallerLimits
		return http1.Limits{MaxHeader: l.MaxHeader, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout, MaxConnections: p.env.settings.MaxConnections,
			MaxStreams: int(streamMemoryShare * float64(p.env.settings.MemoryLimit) / peer.StreamWindow)}
	}
	p.direct = http1.NewServer(http1.Options{Handler: entry, Limits: limits, OnAcceptError: p.logAcceptFailed, OnStreamEnded: p.logStreamEnded})
}

// streamMemoryShare is the fraction of the memory limit that streamed responses may hold; twice as much while all callers read.
const streamMemoryShare = 0.25

// logStreamEnded logs that a response was ended whose caller did not read it, or that one was replaced since there are too many.
func (p *Process) logStreamEnded(count int, blocked time.Duration) {
	if leftOut, ok := p.logLimit.Allow(p.env.Clock.Now()); ok {
		p.env.Log.Warn("too many streamed responses", "streamed", count, "blocked", blocked, "left_out", leftOut)
	}
}

// logAcceptFailed logs that a caller's connection could not be accepted yet: the process may be out of file
// descriptors.
func (p *Process) logAcceptFailed(err error) {
	if leftOut, ok := p.logLimit.Allow(p.env.Clock.Now()); ok {
		p.env.Log.Warn("a connection could not be accepted", "open", p.direct.OpenConnections(), "err", err, "left_out", leftOut)
	}
}

// logOverload logs that a service has become overloaded or is no longer so, by the loads that this entry knows.
func (p *Process) logOverload(c shed.OverloadChange) {
	message := "service has room again"
	if c.Overloaded {
		message = "service short of room"
	}
	p.env.Log.Info(message, "service", c.Service, "load", c.Load, "age", c.Age)
}

// logLoss logs that calls to a service get lost or no longer do, by the readings that this entry knows.
func (p *Process) logLoss(l shed.LossChange) {
	message := "calls to service are answered again"
	if l.Losing {
		message = "calls to service are lost"
	}
	p.env.Log.Info(message, "service", l.Service, "share", l.Share, "age", l.Age)
}

// countTargets returns the number of targets among which the repeats of a service are divided: those outside of drained
// data centres. After half of the time that an announcement
// lasts without contact to control, the node may have left the registry of others.
func (p *Process) countTargets(service string) int {
	silence, ok := p.board.Freshness.Load().SinceResponse(p.env.Clock.Now())
	return gate.DivideAmong(p.countUndrained(service), ok && silence > p.env.settings.AnnouncementTTL/2)
}

// listenDirect listens at the address of the direct entry, if there is one.
func (p *Process) listenDirect() error {
	if p.direct == nil {
		return nil
	}
	listener, err := p.env.ListenHTTP(p.env.settings.DirectAddress)
	if err != nil {
		return errors.Wrap(err, "direct")
	}
	p.goRun("direct", func() error { return p.direct.Serve(listener) })
	return nil
}

// Ready reports whether the node can serve requests: it has a confirmed configuration and is not
// about to stop.
func (p *Process) Ready() bool {
	if p.requests.stopping.Load() {
		return false
	}
	_, confirmed := p.board.Freshness.Load().Age(p.env.Clock.Now())
	return confirmed && p.board.Configuration.Load().Revision > 0
}

// Replica returns the control replica of this process; nil if it has none.
func (p *Process) Replica() *control.Replica { return p.replica }

// Local returns the targets announced on this host.
func (p *Process) Local() *registry.Local { return p.local }

// SetControl replaces the addresses at which the node looks for control replicas.
func (p *Process) SetControl(addresses []string) {
	if client, ok := p.service.(*control.Client); ok {
		client.SetSeeds(addresses)
	}
	if p.replica != nil {
		p.replica.SetSeeds(addresses)
	}
}

// minAssumedNodes is the least number of nodes among which a rate is divided. A replica that has just started knows
// few nodes, and shares computed from those would together exceed the rate.
const minAssumedNodes = 10

// isolatedAfter is the time since the last response to a heartbeat after which a node counts as isolated. A replica
// delays a response for up to a second.
const isolatedAfter = 1500 * time.Millisecond

// rateShare returns this node's share of an organisation's rate, in tokens per second, and whether the node
// is isolated from all control replicas.
func (p *Process) rateShare(organisation string) (share float64, isolated bool) {
	silence, ok := p.board.Freshness.Load().SinceResponse(p.env.Clock.Now())
	isolated = ok && silence > isolatedAfter
	o := p.board.Configuration.Load().Snapshot.Organisations[organisation]
	if o == nil {
		return 0, isolated
	}
	return o.Rate / float64(max(p.directory.LiveNodes(), minAssumedNodes)), isolated
}

const (
	// loadLogInterval is the time between two log lines on the load of a target.
	loadLogInterval = time.Second
	// minLoggedLoad is the load from which it is logged.
	minLoggedLoad = 0.7
)

// logLoads logs the load of each target of this host while it is high.
func (p *Process) logLoads(ctx context.Context) {
	for clock.Sleep(ctx, loadLogInterval) {
		for _, t := range p.gate.Loads() {
			if t.Reading.Load < minLoggedLoad {
				continue
			}
			p.env.Log.Info("target load", "target", t.Target.Name, "service", t.Target.Service, "load", t.Reading.Load,
				"arrivals_per_s", t.Reading.ArrivalsPerSecond, "held", t.Reading.MeanServiceTime,
				"in_flight", t.Load.InFlight, "queued", t.Load.Queued, "limit", t.Load.Limit, "rate_limit", t.Load.RateLimit, "cold_rate", t.Load.ColdRate)
		}
	}
}
