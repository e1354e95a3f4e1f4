package node

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/operator"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/quarantine"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/upstream"
)

const (
	// quarantineTimeout bounds one exchange of quarantine records.
	quarantineTimeout = 300 * time.Millisecond
	// maxQuarantinePeers bounds the nodes that a change is sent to. With more targets of a service, the receivers pass it on.
	maxQuarantinePeers = 64
	// maxQuarantineRecords bounds the records in one message.
	maxQuarantineRecords = 256
	// quarantineSources is the number of nodes of a service, and of control hosts, that a node asks before its first target of the service takes
	// requests.
	quarantineSources = 3
	// maxQuarantineControls bounds the control hosts that a change is sent to.
	maxQuarantineControls = 8
	// quarantineSyncTimeout bounds the time for which a new target takes no requests meanwhile.
	quarantineSyncTimeout = time.Second
	// quarantineInterval is the time between two messages to a random node, which repair lost ones, and maxRepairRecords the
	// records in one.
	quarantineInterval = 2 * time.Second
	maxRepairRecords   = 32
)

// quarantineExchange exchanges records of requests that crash targets with the other nodes that have targets of the same services. Control hosts
// keep those of requests in several crashes, so that they are not lost when all these nodes restart at the same time.
type quarantineExchange struct {
	process *Process
	changed chan struct{}

	mu sync.Mutex
	// synced holds, for each service of this host, a channel that is closed once other nodes were asked for their records.
	synced map[string]chan struct{}
}

func newQuarantineExchange(p *Process) *quarantineExchange {
	return &quarantineExchange{process: p, changed: make(chan struct{}, 1), synced: make(map[string]chan struct{})}
}

// notify makes run send the latest changes.
func (q *quarantineExchange) notify() {
	select {
	case q.changed <- struct{}{}:
	default:
	}
}

// run sends changes to other nodes at once, the foremost records to each node that the registry lists newly, and from time to time to one of them.
func (q *quarantineExchange) run(ctx context.Context) {
	ticker := time.NewTicker(quarantineInterval)
	defer ticker.Stop()
	sent := make(map[string]uint64)
	known := make(map[string][]string)
	for {
		_, registryChanged := q.process.board.Registry.Watch()
		q.greet(ctx, known)
		select {
		case <-ctx.Done():
			return
		case <-registryChanged:
		case <-q.changed:
			q.sendChanges(ctx, sent)
		case <-ticker.C:
			q.repair(ctx)
		}
	}
}

// sendChanges sends the records that have changed since the versions in sent.
func (q *quarantineExchange) sendChanges(ctx context.Context, sent map[string]uint64) {
	for _, service := range q.services() {
		records, version := q.process.quarantine.Changes(service, sent[service])
		sent[service] = version
		if len(records) == 0 {
			continue
		}
		followCtx, cancel := context.WithTimeout(ctx, quarantineTimeout)
		q.follow(followCtx, service)
		cancel()
		q.send(ctx, service, records, q.peers(service, maxQuarantinePeers))
		q.send(ctx, service, q.process.quarantine.Repeated(records), q.controlHosts(maxQuarantineControls))
	}
}

// greet sends the foremost records of each service to those of its nodes that are not known yet: a node that asked others before it was listed
// has missed what changed in between.
func (q *quarantineExchange) greet(ctx context.Context, known map[string][]string) {
	for _, service := range q.services() {
		peers, before := q.peers(service, math.MaxInt), known[service]
		known[service] = peers
		records := q.process.quarantine.Foremost(q.process.env.Clock.Now(), service, maxRepairRecords)
		if len(records) == 0 {
			continue
		}
		listed := slices.DeleteFunc(slices.Clone(peers), func(a string) bool { return slices.Contains(before, a) })
		q.send(ctx, service, records, listed[:min(maxQuarantinePeers, len(listed))])
	}
}

// services returns the services that have targets on this host.
func (q *quarantineExchange) services() []string {
	var services []string
	seen := make(map[string]bool)
	for _, t := range q.process.local.Section().Load().Targets {
		if !seen[t.Service] {
			seen[t.Service] = true
			services = append(services, t.Service)
		}
	}
	return services
}

// peers returns the peer addresses of other nodes with targets of a service, at most n of them, in random order.
func (q *quarantineExchange) peers(service string, n int) []string {
	var addresses []string
	seen := make(map[string]bool)
	for _, t := range q.process.board.Registry.Load().Services[service] {
		if t.Node != q.process.env.identity.Node && !seen[t.NodeAddress] {
			seen[t.NodeAddress] = true
			addresses = append(addresses, t.NodeAddress)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}

// controlHosts returns the peer addresses of other hosts with a control replica, at most n of them, in random order.
func (q *quarantineExchange) controlHosts(n int) []string {
	p := q.process
	var addresses []string
	for _, r := range p.board.Placement.Load().GetReplicas() {
		addresses = append(addresses, r.GetAddress())
	}
	if len(addresses) == 0 {
		addresses = slices.Concat(p.env.settings.Control, p.env.settings.InitialReplicas)
	}
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == "" || a == p.env.settings.PeerAddress })
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}

// send sends records to nodes, to all at the same time.
func (q *quarantineExchange) send(ctx context.Context, service string, records []quarantine.Record, addresses []string) {
	for len(records) > 0 {
		part := records[:min(len(records), maxQuarantineRecords)]
		records = records[len(part):]
		m := &apiv1.LoadExchange{Service: service, Quarantine: quarantine.Messages(q.process.env.Clock.Now(), part)}
		for _, address := range addresses {
			q.process.running.Go(func() { q.exchange(ctx, address, m) })
		}
	}
}

// repair sends the records of each service that matter most to a random node or control host, if there are any.
func (q *quarantineExchange) repair(ctx context.Context) {
	for _, service := range q.services() {
		now := q.process.env.Clock.Now()
		records := q.process.quarantine.Foremost(now, service, maxRepairRecords)
		if len(records) == 0 {
			continue
		}
		m := &apiv1.LoadExchange{Service: service, Quarantine: quarantine.Messages(now, records)}
		addresses := append(q.peers(service, maxQuarantinePeers), q.controlHosts(1)...)
		if len(addresses) > 0 {
			q.exchange(ctx, addresses[rand.IntN(len(addresses))], m)
		}
	}
}

// exchange sends records to a node and merges those in its response. It reports whether the node responded.
func (q *quarantineExchange) exchange(ctx context.Context, address string, m *apiv1.LoadExchange) bool {
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	resp := &apiv1.LoadExchange{}
	if err := peer.Unary(ctx, q.process.pool, address, apiv1.Method_METHOD_LOADS, m, resp); err != nil {
		q.process.env.Log.Debug("quarantine exchange failed", "service", m.GetService(), "peer", address, "err", err)
		return false
	}
	q.merge(m.GetService(), resp.GetQuarantine())
	return true
}

// merge merges the records of another node and logs which requests they quarantine.
func (q *quarantineExchange) merge(service string, messages []*apiv1.QuarantineRecord) {
	if len(messages) == 0 {
		return
	}
	p := q.process
	now := p.env.Clock.Now()
	records := quarantine.FromMessages(now, messages)
	before := make(map[quarantine.Fingerprint]quarantine.Level, len(records))
	for _, r := range records {
		before[r.Fingerprint], _ = p.quarantine.Check(now, r.Fingerprint)
	}
	if !p.quarantine.Merge(now, records) {
		return
	}
	if slices.Contains(q.services(), service) {
		p.directory.Subscribe(service)
	}
	if len(p.board.Registry.Load().Services[service]) > maxQuarantinePeers {
		q.notify()
	}
	for _, r := range records {
		if level, known := p.quarantine.Check(now, r.Fingerprint); level == quarantine.Quarantined && before[r.Fingerprint] != level {
			p.env.Log.Warn("request quarantined by another node", "fingerprint", r.Fingerprint, "organisation", r.Organisation, "service", service,
				"crashes", len(known.Crashes), "last", now.Sub(known.Crashes[len(known.Crashes)-1].At))
		}
	}
}

// records returns all records of a service for a node that asks.
func (q *quarantineExchange) records(service string) []*apiv1.QuarantineRecord {
	records, _ := q.process.quarantine.Changes(service, 0)
	return quarantine.Messages(q.process.env.Clock.Now(), records[max(0, len(records)-maxQuarantineRecords):])
}

// awaitSync returns once other nodes with targets of a service were asked for their records, so that a node that has just started knows what
// they know before its target takes requests.
func (q *quarantineExchange) awaitSync(ctx context.Context, service string) {
	q.mu.Lock()
	done := q.synced[service]
	if done == nil {
		done = make(chan struct{})
		q.synced[service] = done
		q.process.goRun("quarantine sync", func() error { defer close(done); q.sync(ctx, service); return nil })
	}
	q.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// sync asks some control hosts for their records of a service, and some nodes of the service if the registry lists them here or there are records. A
// node does not follow its own service otherwise: that would double the updates that it gets.
func (q *quarantineExchange) sync(ctx context.Context, service string) {
	p := q.process
	ctx, cancel := context.WithTimeout(ctx, quarantineSyncTimeout)
	defer cancel()
	asked := q.controlHosts(quarantineSources)
	answered := q.ask(ctx, service, asked)
	listed := false
	if len(q.records(service)) > 0 || p.directory.Subscribed(service) {
		if listed = q.follow(ctx, service); listed {
			peers := q.peers(service, quarantineSources)
			asked = append(asked, peers...)
			answered += q.ask(ctx, service, peers)
		}
	}
	p.env.Log.Info("quarantine synced", "service", service, "listed", listed, "asked", len(asked), "answered", answered, "records", len(q.records(service)))
}

// ask asks nodes for their records of a service, all at the same time, and returns the number that answered.
func (q *quarantineExchange) ask(ctx context.Context, service string, addresses []string) int {
	answered := make(chan bool, len(addresses))
	for _, address := range addresses {
		q.process.running.Go(func() {
			answered <- q.exchange(ctx, address, &apiv1.LoadExchange{Service: service, WantsQuarantine: true})
		})
	}
	n := 0
	for range addresses {
		if <-answered {
			n++
		}
	}
	return n
}

// follow subscribes to a service, waits until the registry has listed its targets, and reports whether it has.
func (q *quarantineExchange) follow(ctx context.Context, service string) bool {
	q.process.directory.Subscribe(service)
	return q.awaitListed(ctx, service)
}

// awaitListed waits until the registry has listed the targets of a service, and reports whether it has.
func (q *quarantineExchange) awaitListed(ctx context.Context, service string) bool {
	for {
		view, changed := q.process.board.Registry.Watch()
		if _, listed := view.Services[service]; listed {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// targetsOf returns the targets of a service in the registry.
func (p *Process) targetsOf(service string) []*registry.Target {
	return p.board.Registry.Load().Services[service]
}

// probingTransport is an http.Transport that can tell whether the process at an address has ended, and that asks before it sends a request.
type probingTransport struct {
	*http.Transport
}

// Probe reports whether a new connection to an address is refused.
func (t probingTransport) Probe(ctx context.Context, address string) bool {
	return upstream.Probe(ctx, t.DialContext, address)
}

// RoundTrip implements http.RoundTripper.
func (t probingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return t.RoundTripIf(r, func() bool { return true })
}

// RoundTripIf is like RoundTrip, but asks once it has a connection whether the request may be sent. If not, it closes that connection:
// http.Transport writes the request in any case, which then fails before its first byte.
func (t probingTransport) RoundTripIf(r *http.Request, mayBegin func() bool) (*http.Response, error) {
	var last net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) {
		last = got.Conn
		upstream.ExpectAnswer(last)
		if !mayBegin() {
			_ = last.Close()
		}
	}}
	response, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, upstream.AnswerError(last, err)
	}
	// http.Transport keeps the connections of some answers that are not accepted, as of one with status 999 and no body.
	closeLast := func() { _ = last.Close() }
	if err = upstream.CheckStatus(response.StatusCode); err != nil {
		closeLast()
		_ = response.Body.Close()
		return nil, err
	}
	upstream.CheckTrailer(response, closeLast)
	return response, nil
}

// Quarantine returns the requests that this node knows as suspects or quarantined, for operators.
func (p *Process) Quarantine() []operator.QuarantinedRequest {
	if p.quarantine == nil {
		return nil
	}
	now := p.env.Clock.Now()
	records, _ := p.quarantine.Changes("", 0)
	var requests []operator.QuarantinedRequest
	for _, r := range records {
		level := r.Level(now)
		if level == quarantine.Free {
			continue
		}
		last := r.Crashes[len(r.Crashes)-1]
		request := operator.QuarantinedRequest{
			Fingerprint: r.Fingerprint.String(), Service: r.Service, Organisation: r.Organisation, Level: level.String(),
			Crashes: len(r.Crashes), LastTarget: last.Target, LastCrash: last.At,
		}
		if level == quarantine.Quarantined {
			request.Until = r.QuarantinedUntil()
		}
		requests = append(requests, request)
	}
	return requests
}

// Release clears a request of all crashes by an operator's command.
func (p *Process) Release(f quarantine.Fingerprint) bool {
	if p.quarantine == nil {
		return false
	}
	now, q := p.env.Clock.Now(), p.quarantineExchange
	_, record := p.quarantine.Check(now, f)
	if !p.quarantine.Release(now, f) {
		return false
	}
	p.env.Log.Info("request released", "fingerprint", f, "service", record.Service)
	if slices.Contains(q.services(), record.Service) {
		q.notify()
	} else {
		p.goCall(func() { q.spread(record.Service) })
	}
	return true
}

// spread sends the records of a service without a target on this host to the nodes of the service and to the other control hosts.
func (q *quarantineExchange) spread(service string) {
	ctx, cancel := context.WithTimeout(context.Background(), quarantineSyncTimeout)
	defer cancel()
	if !q.follow(ctx, service) {
		q.process.env.Log.Warn("quarantine records not sent", "service", service, "reason", "the registry has not listed the targets")
	}
	records, _ := q.process.quarantine.Changes(service, 0)
	q.send(context.Background(), service, records, append(q.peers(service, maxQuarantinePeers), q.controlHosts(maxQuarantineControls)...))
}
