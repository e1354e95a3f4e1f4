package registry

import (
	"fmt"
	"sync"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

const (
	// DefaultNodeTimeout is how long a node may stay unheard before its targets are hidden.
	DefaultNodeTimeout = 4 * time.Second
	// DefaultWarmUp is how long a fresh replica waits for nodes and other replicas before
	// it reports targets as missing.
	DefaultWarmUp = 5 * time.Second
	// forgetAfter is how long silent nodes are remembered.
	forgetAfter = 2 * time.Minute
	// relayUntil is how long the records of a silent node are passed on. It is shorter than
	// forgetAfter, so that replicas don't remind each other of a node that is gone.
	relayUntil = forgetAfter / 2
	// forgetTombstoneAfter is longer: a replica that missed the tombstone has forgotten the
	// node, and with it the target, before the tombstone is dropped.
	forgetTombstoneAfter = 2 * forgetAfter
	// forgetInterval is the time between two looks for what can be forgotten.
	forgetInterval = 5 * time.Second
	// livenessInterval is the time between two batches of liveness to the same replica.
	livenessInterval = time.Second
	// maxNodes bounds the nodes of the fleet.
	maxNodes = 20_000
	// maxRecordsPerNode bounds the targets and tombstones kept of one node.
	maxRecordsPerNode = 4 * maxLocalTargets
)

// RelayOptions describe the replica that a Relay belongs to. Zero durations take their defaults.
type RelayOptions struct {
	// Node and Incarnation are the identity of the replica's process.
	Node        string
	Incarnation uint64
	NodeTimeout time.Duration
	WarmUp      time.Duration
	// Expected is the number of nodes that a former process of the replica knew. It is told until the warm-up has ended, since
	// nodes share rates by it.
	Expected int
}

// Relay holds the targets of all nodes at one control replica. It does no I/O
// and starts no goroutine; it is safe for concurrent use.
type Relay struct {
	options RelayOptions

	mu      sync.Mutex
	started time.Time
	warm    bool
	// forgotAt is when the relay last looked for what can be forgotten.
	forgotAt time.Time
	nodes    map[string]*node
	// addresses holds the names of the nodes that claim an address.
	addresses map[string]map[string]struct{}
	services  map[string]*service
	peers     map[string]*replicaPeer
	// position counts the changes of records; each record carries that of its last change.
	position uint64
	changed  chan struct{}
	// live is the number of nodes that were alive at the last look.
	live int
}

// node is what the relay knows of one node.
type node struct {
	name        string
	incarnation uint64
	address     string
	dataCentre  string
	revision    uint64
	leaving     bool
	// heard is the last time at which the node is known to have lived.
	heard time.Time
	// created is when the replica learned of the node.
	created time.Time
	// unsent is set when records were not passed on because the node was silent.
	unsent bool
	// direct is the last heartbeat that came to this replica.
	direct   time.Time
	sequence uint64
	// announced is the version of the set that the relay holds of the node.
	announced uint64
	records   map[string]*record
	// usable is set while the node's targets can be shown, holding while one of them is
	// held back for flapping.
	usable  bool
	holding bool
}

// record is the last known announcement of one target.
type record struct {
	message  *apiv1.TargetRecord
	position uint64
	// since is the time of the last change.
	since time.Time
	// shown is the target as nodes see it; nil while it is hidden. shownAt is the version of its service that
	// it was last changed at.
	shown   *apiv1.TargetRecord
	shownAt uint64
	flaps   flapping
}

// NewRelay returns an empty relay. It counts its warm-up from the first event.
func NewRelay(o RelayOptions) *Relay {
	if o.NodeTimeout == 0 {
		o.NodeTimeout = DefaultNodeTimeout
	}
	if o.WarmUp == 0 {
		o.WarmUp = DefaultWarmUp
	}
	return &Relay{
		options:   o,
		nodes:     make(map[string]*node),
		addresses: make(map[string]map[string]struct{}),
		services:  make(map[string]*service),
		peers:     make(map[string]*replicaPeer),
		changed:   make(chan struct{}),
	}
}

// Changed returns a channel that is closed at the next change of the shown targets.
func (r *Relay) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Source returns the identity to which the versions of Updates belong.
func (r *Relay) Source() string {
	return fmt.Sprintf("%s/%d", r.options.Node, r.options.Incarnation)
}

// Announced takes over a node's heartbeat. It returns true when the relay lacks
// the node's announced set, so that the node sends it in full.
func (r *Relay) Announced(now time.Time, req *apiv1.SyncRequest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begin(now)
	n := r.admitNode(now, req.Node, req.Incarnation)
	if n == nil {
		return false
	}
	if req.Sequence != 0 {
		if req.Sequence <= n.sequence {
			return n.announced != req.AnnouncedVersion
		}
		n.sequence = req.Sequence
	}
	n.direct = now
	r.setHeard(n, now)
	n.revision = req.Revision
	n.dataCentre = req.DataCentre
	n.leaving = n.leaving || req.Leaving
	r.setAddress(n, req.Address)
	if req.AnnouncedFull && req.AnnouncedVersion >= n.announced {
		r.replaceSet(now, n, req)
	}
	r.refreshAddress(now, n.address)
	r.show(now, n)
	return n.announced != req.AnnouncedVersion
}

// begin starts the warm-up at the first event and ends it in time.
func (r *Relay) begin(now time.Time) {
	if r.started.IsZero() {
		r.started = now
	}
	if !r.warm && now.Sub(r.started) >= r.options.WarmUp {
		r.setWarm()
	}
}

func (r *Relay) setWarm() {
	r.warm = true
	r.wake()
}

// Wake makes those who wait for changes look again.
func (r *Relay) Wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wake()
}

func (r *Relay) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// admitNode returns the state of a node's incarnation, or nil when the
// incarnation is outdated or there are too many nodes. A new incarnation hides
// everything that an earlier one announced.
func (r *Relay) admitNode(now time.Time, name string, incarnation uint64) *node {
	n := r.nodes[name]
	if n == nil {
		if name == "" || len(r.nodes) >= maxNodes {
			return nil
		}
		n = &node{name: name, incarnation: incarnation, created: now, records: make(map[string]*record)}
		r.nodes[name] = n
		return n
	}
	if incarnation < n.incarnation {
		return nil
	}
	if incarnation > n.incarnation {
		n.incarnation = incarnation
		n.sequence = 0
		n.announced = 0
		n.leaving = false
		n.heard = time.Time{}
		n.direct = time.Time{}
	}
	return n
}

// setHeard notes that a node lived at a time. Records that were held back while
// it was silent become news again.
func (r *Relay) setHeard(n *node, at time.Time) {
	if !at.After(n.heard) {
		return
	}
	n.heard = at
	if !n.unsent {
		return
	}
	n.unsent = false
	for _, rec := range n.records {
		r.position++
		rec.position = r.position
	}
}

// replaceSet takes over the whole announced set of a node. Records that are
// missing from it become tombstones at the version of the set.
func (r *Relay) replaceSet(now time.Time, n *node, req *apiv1.SyncRequest) {
	present := make(map[string]struct{}, len(req.Announced))
	for _, m := range req.Announced {
		if m.Node != n.name || m.Incarnation != n.incarnation {
			continue
		}
		present[m.Name] = struct{}{}
		r.mergeRecord(now, n, m)
	}
	for name, rec := range n.records {
		if _, ok := present[name]; !ok && rec.message.State != apiv1.TargetState_TARGET_STATE_GONE {
			r.mergeRecord(now, n, tombstone(rec.message, n.incarnation, req.AnnouncedVersion))
		}
	}
	n.announced = req.AnnouncedVersion
}

// tombstone returns the record of a target that is gone as of a version.
func tombstone(m *apiv1.TargetRecord, incarnation, version uint64) *apiv1.TargetRecord {
	return &apiv1.TargetRecord{
		Name:        m.Name,
		Service:     m.Service,
		Node:        m.Node,
		State:       apiv1.TargetState_TARGET_STATE_GONE,
		Incarnation: incarnation,
		Version:     version,
	}
}

// mergeRecord takes over a record if it supersedes the one held. The message
// must not be changed afterwards.
func (r *Relay) mergeRecord(now time.Time, n *node, m *apiv1.TargetRecord) {
	rec := n.records[m.Name]
	if rec == nil {
		if len(n.records) >= maxRecordsPerNode && !n.dropOldestGone() {
			return
		}
		rec = &record{}
		n.records[m.Name] = rec
	} else if !newer(m.Incarnation, m.Version, rec.message.Incarnation, rec.message.Version) {
		return
	}
	r.hideMoved(rec, m)
	r.position++
	rec.message = m
	rec.position = r.position
	rec.since = now
}

// outdated reports whether the record describes no target of the node's current run.
func (n *node) outdated(rec *record) bool {
	return rec.message.State == apiv1.TargetState_TARGET_STATE_GONE || rec.message.Incarnation != n.incarnation
}

// dropOldestGone makes room by forgetting a target that has gone. It returns
// false when all targets are there.
func (n *node) dropOldestGone() bool {
	oldest := ""
	for name, rec := range n.records {
		if !n.outdated(rec) || rec.shown != nil {
			continue
		}
		if oldest == "" || rec.position < n.records[oldest].position {
			oldest = name
		}
	}
	delete(n.records, oldest)
	return oldest != ""
}

// hideMoved removes a target from the service that it leaves for another.
func (r *Relay) hideMoved(rec *record, m *apiv1.TargetRecord) {
	if rec.shown != nil && rec.shown.Service != m.Service {
		r.setShown(rec, nil)
	}
}

// setAddress notes the peer address that a node claims.
func (r *Relay) setAddress(n *node, address string) {
	if n.address == address {
		return
	}
	r.releaseAddress(n)
	n.address = address
	claims := r.addresses[address]
	if claims == nil {
		claims = make(map[string]struct{})
		r.addresses[address] = claims
	}
	claims[n.name] = struct{}{}
}

func (r *Relay) releaseAddress(n *node) {
	claims := r.addresses[n.address]
	delete(claims, n.name)
	if len(claims) == 0 {
		delete(r.addresses, n.address)
	}
}

// refreshAddress shows or hides the targets of the nodes that share an address.
func (r *Relay) refreshAddress(now time.Time, address string) {
	claims := r.addresses[address]
	if len(claims) < 2 {
		return
	}
	for name := range claims {
		r.show(now, r.nodes[name])
	}
}

// Live returns the number of nodes that were alive at the last look; ok is false during the warm-up.
func (r *Relay) Live() (n int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.live, r.warm
}

// Expire hides the targets of nodes that were not heard in time, shows those
// whose damping has ended, and forgets old tombstones. It is called a few times a second.
func (r *Relay) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begin(now)
	forget := now.Sub(r.forgotAt) >= forgetInterval
	if forget {
		r.forgotAt = now
	}
	r.live = 0
	for _, n := range r.nodes {
		r.refresh(now, n)
		if r.alive(now, n) {
			r.live++
		}
		if forget {
			r.forget(now, n)
		}
	}
}

// forget drops what is older than any message on its way can be.
func (r *Relay) forget(now time.Time, n *node) {
	for name, rec := range n.records {
		if n.outdated(rec) && now.Sub(rec.since) > forgetTombstoneAfter {
			delete(n.records, name)
		}
	}
	if now.Sub(n.heard) > forgetAfter && now.Sub(n.created) > forgetAfter {
		r.forgetNode(n)
	}
}

// forgetNode drops a node. Other replicas may still hear it, so they are asked
// for all their news again.
func (r *Relay) forgetNode(n *node) {
	for _, rec := range n.records {
		r.setShown(rec, nil)
	}
	r.releaseAddress(n)
	delete(r.nodes, n.name)
	for _, p := range r.peers {
		p.upto = 0
	}
}

// Nodes returns the nodes that were heard within the node timeout, for the status of control.
func (r *Relay) Nodes(now time.Time) []*apiv1.NodeLiveness {
	r.mu.Lock()
	defer r.mu.Unlock()
	nodes := make([]*apiv1.NodeLiveness, 0, len(r.nodes))
	for _, n := range r.nodes {
		if r.alive(now, n) {
			nodes = append(nodes, n.liveness(now, n.heard))
		}
	}
	return nodes
}

// Leaving reports whether a node has said that it is about to stop.
func (r *Relay) Leaving(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.nodes[name]
	return n != nil && n.leaving
}

// Targets returns the number of shown targets of each service.
func (r *Relay) Targets() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[string]int, len(r.services))
	for name, s := range r.services {
		if len(s.targets) > 0 {
			counts[name] = len(s.targets)
		}
	}
	return counts
}

func (n *node) liveness(now, heard time.Time) *apiv1.NodeLiveness {
	return &apiv1.NodeLiveness{
		Node:        n.name,
		Incarnation: n.incarnation,
		AgeNs:       int64(max(now.Sub(heard), 0)),
		Revision:    n.revision,
		DataCentre:  n.dataCentre,
		Address:     n.address,
		Leaving:     n.leaving,
		Sequence:    n.sequence,
	}
}
