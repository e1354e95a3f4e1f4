package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/guavaford/guavaford/internal/board"
	"github.com/guavaford/guavaford/internal/callctx"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/control"
	"github.com/guavaford/guavaford/internal/dispatch"
	"github.com/guavaford/guavaford/internal/feature"
	"github.com/guavaford/guavaford/internal/follow"
	"github.com/guavaford/guavaford/internal/gate"
	"github.com/guavaford/guavaford/internal/gateway"
	"github.com/guavaford/guavaford/internal/headers"
	"github.com/guavaford/guavaford/internal/homeregion"
	"github.com/guavaford/guavaford/internal/http1"
	"github.com/guavaford/guavaford/internal/operator"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/policy"
	"github.com/guavaford/guavaford/internal/quarantine"
	"github.com/guavaford/guavaford/internal/rate"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/runrecord"
	"github.com/guavaford/guavaford/internal/settings"
	"github.com/guavaford/guavaford/internal/shed"
	"github.com/guavaford/guavaford/internal/telemetry"
	"github.com/guavaford/guavaford/internal/upstream"
	"github.com/guavaford/guavaford/internal/vfs"
)

// Limits of the HTTP servers and of the connections to targets.
const (
	maxHeaderBytes     = 64 << 10
	readHeaderTimeout  = 10 * time.Second
	callersIdleTimeout = 2 * time.Minute
	targetDialTimeout  = time.Second
	targetKeepAlive    = 5 * time.Second
	callersKeepAlive   = 15 * time.Second
	targetIdleTimeout  = 30 * time.Second
	targetIdleConns    = 256
)

// maxRequestLinesPerSecond bounds the log lines about single requests, in lines per second. At about 300 bytes a line
// that is 15 KB per second.
const maxRequestLinesPerSecond = 50

// Dependencies are the clock, files and networks that a process uses. Fields that are not set default to
// those of the operating system; tests replace them.
type Dependencies struct {
	Clock clock.Clock
	Log   telemetry.Logger
	// FS holds everything under the data folder.
	FS vfs.FS
	// Transport carries the connections between nodes; nil stands for yamux, authenticated by the fleet secret.
	Transport peer.Transport
	// TargetTransport is the HTTP client side towards the targets of this host.
	TargetTransport http.RoundTripper
	// ListenHTTP listens for HTTP connections at an address.
	ListenHTTP func(address string) (net.Listener, error)
	// HeaderNames are the names of the header fields that the direct entry and targets use; nil stands for those of
	// Guavaford.
	HeaderNames *headers.Names
}

// withDefaults sets each dependency that is missing to that of the operating system.
func (d Dependencies) withDefaults() Dependencies {
	if d.Clock == nil {
		d.Clock = clock.System{}
	}
	if d.Log == nil {
		d.Log = telemetry.Discard()
	}
	if d.FS == nil {
		d.FS = vfs.OS{}
	}
	if d.TargetTransport == nil && d.HeaderNames != nil {
		d.TargetTransport = &upstream.Transport{Dial: targetDialer().DialContext, IDField: d.HeaderNames.RequestID}
	}
	if d.TargetTransport == nil {
		d.TargetTransport = targetTransport()
	}
	if d.ListenHTTP == nil {
		listener := net.ListenConfig{KeepAlive: callersKeepAlive, Control: limitUnacknowledged}
		d.ListenHTTP = func(address string) (net.Listener, error) {
			return listener.Listen(context.Background(), "tcp", address)
		}
	}
	return d
}

// environment holds what all components of a process share.
type environment struct {
	Dependencies
	settings *settings.Node
	identity peer.Identity
	metrics  *telemetry.Metrics
	features feature.Set
}

// Process is one node.
type Process struct {
	env       environment
	transport peer.Transport
	pool      *peer.Pool
	peers     *peer.Server
	traffic   *peer.Traffic
	linkStats *peer.LinkStats
	local     *registry.Local
	directory *registry.Directory
	board     *board.Board
	replica   *control.Replica
	service   control.Service
	// fleetSize is nil unless the host has a control replica and the settings give a node timeout.
	fleetSize     *fleetSize
	keyChecker    *gateway.KeyChecker
	gate          *gate.Gate
	dispatcher    *dispatch.Dispatcher
	rates         *rate.Client
	runs          *gateway.IdempotentRunner
	loop          *follow.Loop
	operatorToken string

	callers   *http.Server
	targets   *http.Server
	operators *http.Server
	// direct is nil unless the settings name its address.
	direct     *http1.Server
	departures *departures
	// quarantine holds the requests that crash targets; quarantineExchange shares it with other nodes.
	quarantine         *quarantine.Table
	quarantineExchange *quarantineExchange
	// loadTracker holds the loads of services that this node knows; nil without a direct entry.
	loadTracker *shed.LoadTracker
	// drainedTargets is the number of known targets in drained data centres.
	drainedTargets atomic.Int64
	// callIndex finds the calls that run at this host's targets by their request ids; nil without a direct entry.
	callIndex *callctx.CallIndex
	// logLimit bounds the log lines about single requests, for all components together.
	logLimit *telemetry.LogLimiter

	requests callerRequests
	cancel   context.CancelFunc
	running  sync.WaitGroup
	// noCalls is set once Close waits for running; see goCall.
	callsMu sync.Mutex
	noCalls bool
	// failed receives the errors of components that must not fail; the first one stops the process.
	failed chan error
}

// New builds all components of a node and starts none. The caller must have run s.Check before.
func New(s *settings.Node, d Dependencies) (*Process, error) {
	d = d.withDefaults()
	p := &Process{
		env: environment{
			Dependencies: d,
			settings:     s,
			metrics:      telemetry.NewMetrics(),
		},
		failed:   make(chan error, 8),
		logLimit: telemetry.NewLogLimiter(maxRequestLinesPerSecond),
	}
	var err error
	if p.env.features, err = feature.Parse(s.Disable); err != nil {
		return nil, err
	}
	secrets, err := loadSecrets(d.FS, s)
	if err != nil {
		return nil, err
	}
	if s.DirectAddress != "" {
		p.loadTracker = shed.NewLoadTracker()
		p.callIndex = callctx.NewCallIndex()
	}
	incarnation, err := nextIncarnation(d.FS, s.DataFolder, d.Clock.Now())
	if err != nil {
		return nil, err
	}
	p.env.identity = peer.Identity{Node: s.Name, Incarnation: incarnation, DataCentre: s.DataCentre}
	p.traffic = peer.NewTraffic(s.DataCentre)
	p.operatorToken = secrets.operatorToken
	p.linkStats = &peer.LinkStats{}
	links := []peer.YamuxOption{peer.WithLinkStats(p.linkStats)}
	if !p.env.features.On(feature.LinkSharing) {
		links = append(links, peer.WithoutLinkSharing())
	}
	if p.transport = d.Transport; p.transport == nil && s.TrustedNetwork {
		p.transport = peer.NewPlaintextYamux(links...)
	}
	if p.transport == nil {
		if p.transport, err = peer.NewYamux(secrets.fleet, links...); err != nil {
			return nil, err
		}
	}
	p.pool = peer.NewPool(p.env.identity, p.transport, peer.PoolOptions{
		Traffic: p.traffic, SendLateBodies: !p.env.features.On(feature.LateBodies),
		AnswerMemory: int64(streamMemoryShare * float64(s.MemoryLimit)),
	})
	p.peers = peer.NewServer(p.env.identity, peer.ServerOptions{Traffic: p.traffic})
	p.local = registry.NewLocal(registry.LocalOptions{
		Node:        s.Name,
		NodeAddress: s.PeerAddress,
		DataCentre:  s.DataCentre,
		Incarnation: p.env.identity.Incarnation,
		TTL:         s.AnnouncementTTL,
		// Only with a direct entry do targets number their reports; others announce themselves.
		AwaitRestore: s.DirectAddress != "",
	})
	p.departures = newDepartures(p)
	p.directory = registry.NewDirectory()
	if p.board, err = board.New(p.directory.Section()); err != nil {
		return nil, err
	}
	if err := p.buildControl(); err != nil {
		return nil, err
	}
	p.buildRequestPath()
	return p, p.buildHeartbeats()
}

// buildRequestPath builds the components that a request passes through.
func (p *Process) buildRequestPath() {
	s := p.env.settings
	handles := callctx.NewHandles()
	p.keyChecker = gateway.NewKeyChecker(p.board, p.env.Clock, s.FreshnessLimit)
	if p.env.features.On(feature.CrashQuarantine) {
		p.quarantine = quarantine.NewTable()
		p.quarantineExchange = newQuarantineExchange(p)
	}
	p.gate = gate.New(gate.Options{
		KeyChecker: p.keyChecker,
		Policies: policy.AdmissionResolver{Configuration: p.board.Configuration, EntryShedding: p.loadTracker != nil,
			ColdExcess: s.ColdExcess, ColdSlack: s.ColdSlack, LearnLimit: p.learnsCapacity()},
		Handles:     handles,
		CallIndex:   p.callIndex,
		Clock:       p.env.Clock,
		Metrics:     p.env.metrics,
		Log:         p.env.Log,
		LogLimiter:  p.logLimit,
		Transport:   p.env.TargetTransport,
		HeaderNames: p.env.HeaderNames,
		LoadTracker: p.loadTracker,
		ColdReading: p.local.ColdReading,

		CountNestedQueueing: !p.env.features.On(feature.NestedQueueing),

		OnLeaving:  func(t *registry.Target) { p.local.MarkLeaving(p.env.Clock.Now(), t.Name, t.Started) },
		Quarantine: p.quarantine,
		Targets:    p.effectiveTargetsOf,
		OnQuarantine: func() {
			p.quarantineExchange.notify()
		},
		RepeatLimit: gate.RepeatLimit{Ratio: s.RepeatRatio, Reserve: s.RepeatReserve, Window: s.RepeatWindow, Targets: p.countTargets},
	})
	p.local.OnColdReading(p.gate.ObserveCold)
	registerGate(p.peers, p.env.identity, p.gate)
	if p.loadTracker != nil || p.quarantineExchange != nil {
		registerLoads(p.peers, p.loadTracker, p.quarantineExchange, p.env.Clock)
	}
	p.dispatcher = dispatch.New(dispatch.Options{
		Identity:    p.env.identity,
		DataCentre:  s.DataCentre,
		Gate:        p.gate,
		Sender:      sender{pool: p.pool},
		Directory:   p.directory,
		Board:       p.board,
		Clock:       p.env.Clock,
		Metrics:     p.env.metrics,
		Log:         p.env.Log,
		LogLimiter:  p.logLimit,
		LoadTracker: p.loadTracker,
		Regions:     homeregion.Map(s.Regions).With(s.DataCentre, s.Region),
		Route:       p.routeConfig(),
	})
	identity := rate.Identity{Node: p.env.identity.Node, Incarnation: p.env.identity.Incarnation}
	p.rates = rate.NewClient(identity, p.leaseSender(identity), p.board.Placement, p.env.Clock, rate.Config{})
	if s.DirectAddress != "" && p.env.features.On(feature.SilentOwnerShares) {
		p.rates.SetSilentOwnerShare(p.rateShare)
	}
	records := runrecord.NewClient(p.service, func() uint32 { return p.board.Placement.Load().GetRunShards() })
	p.runs = gateway.NewIdempotentRunner(gateway.IdempotentRunnerOptions{
		Identity:   p.env.identity,
		Address:    s.PeerAddress,
		Records:    records,
		Nodes:      sender{pool: p.pool},
		Dispatcher: p.dispatcher,
		Clock:      p.env.Clock,
		Metrics:    p.env.metrics,
		Log:        p.env.Log,
	})
	entry := gateway.NewForwarder(gateway.Options{
		Board:            p.board,
		KeyChecker:       p.keyChecker,
		Dispatcher:       p.dispatcher,
		RateLimiter:      p.rates,
		IdempotentRunner: p.runs,
		Handles:          handles,
		Clock:            p.env.Clock,
		Metrics:          p.env.metrics,
		Log:              p.env.Log,
	})
	p.buildDirect()
	if s.TrustedNetwork {
		return
	}
	p.callers = httpServer(p.requests.track(gateway.NewCallers(entry)))
	p.targets = httpServer(gateway.NewTargets(entry, p.local))
	p.operators = operator.NewServer(operator.NewHandler(p.service, p.operatorToken, p.env.Log, p))
}

// buildHeartbeats builds the loop that sends heartbeats to control replicas.
func (p *Process) buildHeartbeats() error {
	loop, err := follow.New(follow.Options{
		Identity:   p.env.identity,
		Address:    p.env.settings.PeerAddress,
		DataCentre: p.env.settings.DataCentre,
		Syncer:     p.service,
		Board:      p.board,
		Local:      p.local,
		Directory:  p.directory,
		DataDir:    p.env.settings.DataFolder,

		AnnounceEarly: p.env.settings.DirectAddress != "",
		FS:            p.env.FS,
		Clock:         p.env.Clock,
		Log:           p.env.Log,
	})
	p.loop = loop
	return err
}

// targetDialer opens connections to targets.
func targetDialer() *net.Dialer {
	return &net.Dialer{Timeout: targetDialTimeout, KeepAlive: targetKeepAlive, Control: limitUnacknowledged}
}

// targetTransport returns the HTTP client side towards targets.
func targetTransport() http.RoundTripper {
	return probingTransport{&http.Transport{
		DialContext:            upstream.Dialer(targetDialer().DialContext),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    targetIdleConns,
		IdleConnTimeout:        targetIdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// httpServer returns a server for HTTP/1.1 and HTTP/2 without TLS.
func httpServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         protocols,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callersIdleTimeout,
	}
}

// Start listens at all addresses of the node and starts its controllers.
func (p *Process) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	if err := p.listen(); err != nil {
		return err
	}
	if p.replica != nil {
		p.goRun("control", func() error { return p.replica.Serve(ctx) })
	}
	if p.fleetSize != nil {
		p.goRun("fleet size", func() error { p.fleetSize.run(ctx); return nil })
	}
	p.goRun("heartbeats", func() error { p.loop.Run(ctx); return nil })
	p.goRun("dispatch", func() error { p.dispatcher.Run(ctx); return nil })
	p.goRun("rate", func() error { p.rates.Run(ctx); return nil })
	p.goRun("targets", func() error { p.refreshTargets(ctx); return nil })
	p.goRun("drained data centres", func() error { p.followDrains(ctx); return nil })
	p.goRun("departures", func() error { p.departures.restore(ctx); return nil })
	if p.env.features.On(feature.ColdProbes) {
		p.goRun("cold probes", func() error { p.gate.ProbeColdTargets(ctx, targetTransport()); return nil })
	}
	if p.quarantineExchange != nil {
		p.goRun("quarantine exchange", func() error { p.quarantineExchange.run(ctx); return nil })
	}
	if p.direct != nil {
		p.goRun("loads", func() error { p.logLoads(ctx); return nil })
		if p.learnsCapacity() {
			p.goRun("capacities", func() error { p.logCapacities(ctx); return nil })
		}
		if p.env.features.On(feature.LoadExchange) {
			p.goRun("load exchange", func() error { p.exchangeLoads(ctx); return nil })
		}
	}
	p.publishMetrics()
	p.logSettings()
	return nil
}

// goRun runs one component in a goroutine; its error stops the process.
func (p *Process) goRun(name string, run func() error) {
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		if err := run(); err != nil {
			p.failed <- errors.Wrap(err, name)
		}
	}()
}

// expiryInterval is the time between two checks for targets that no longer renew their announcement.
const expiryInterval = 250 * time.Millisecond

// refreshTargets passes the local targets to the gate, anew whenever they or the configuration change.
func (p *Process) refreshTargets(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		local, localChanged := p.local.Section().Watch()
		_, configurationChanged := p.board.Configuration.Watch()
		targets := make([]*registry.Target, 0, len(local.Targets))
		for _, t := range local.Targets {
			targets = append(targets, &t.Target)
			if p.quarantineExchange != nil {
				p.quarantineExchange.awaitSync(ctx, t.Service)
			}
		}
		p.gate.SetTargets(targets)
		if !p.awaitTargetChange(ctx, ticker, localChanged, configurationChanged) {
			return
		}
	}
}

// awaitTargetChange waits until one of the channels is closed, and meanwhile expires targets. It returns false
// when ctx ends.
func (p *Process) awaitTargetChange(ctx context.Context, ticker *time.Ticker, a, b <-chan struct{}) bool {
	for {
		select {
		case <-a:
			return true
		case <-b:
			return true
		case <-ctx.Done():
			return false
		case <-ticker.C:
			for _, t := range p.local.Expire(p.env.Clock.Now()) {
				p.env.Log.Warn("target not renewed", "target", t.Name, "service", t.Service)
			}
		}
	}
}
