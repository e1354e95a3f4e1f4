package registry

import (
	"fmt"
	"sync"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

const (
	// DefaultNodeTimeout is the time without a heartbeat after which the targets of a node are hidden.
	DefaultNodeTimeout = 4 * time.Second
	// DefaultWarmUp is how long a restarted replica waits for nodes and other replicas before
	// it reports targets as missing.
	DefaultWarmUp = 5 * time.Second
	// nodeRetention is how long nodes without heartbeats are kept.
	nodeRetention = 2 * time.Minute
	// silentRelayPeriod is how long the records of a node without heartbeats are sent to other replicas.
	// It is shorter than nodeRetention, so that replicas don't restore a removed node at each other.
	silentRelayPeriod = nodeRetention / 2
	// tombstoneRetention is how long tombstones are kept. It is longer than nodeRetention: a replica that
	// missed the tombstone has removed the node, and its targets, before the tombstone is dropped.
	tombstoneRetention = 2 * nodeRetention
	// pruneInterval is the time between two removals of old nodes and records.
	pruneInterval = 5 * time.Second
	// livenessInterval is the minimum time between two messages with liveness to the same replica.
	livenessInterval = time.Second
	// maxNodes is the maximum number of nodes in the fleet.
	maxNodes = 20_000
	// maxRecordsPerNode is the maximum number of targets and tombstones kept for one node.
	maxRecordsPerNode = 4 * maxLocalTargets
)

// RelayOptions describe the replica that a Relay belongs to. Zero durations mean the defaults.
type RelayOptions struct {
	// Node and Incarnation identify the replica's process.
	Node        string
	Incarnation uint64
	NodeTimeout time.Duration
	WarmUp      time.Duration
	// ExpectedNodes is the number of live nodes that an earlier process of the replica knew. It is the minimum
	// reported until the warm-up has ended, since nodes divide shared rates by this number.
	ExpectedNodes int
}

// Relay holds the targets of all nodes at one control replica. It performs no I/O
// and starts no goroutines; it is safe for concurrent use.
type Relay struct {
	options RelayOptions

	mu      sync.Mutex
	started time.Time
	warm    bool
	// prunedAt is when old nodes and records were last removed.
	prunedAt time.Time
	nodes    map[string]*node
	// addresses holds, for each peer address, the names of the nodes that claim it.
	addresses map[string]map[string]struct{}
	services  map[string]*service
	peers     map[string]*replicaPeer
	// position counts the changes of all records; each record carries the position of its last change.
	position uint64
	changed  chan struct{}
	// liveNodes is the number of live nodes at the last Expire.
	liveNodes int
}

// node is the state of one node.
type node struct {
	name        string
	incarnation uint64
	address     string
	dataCentre  string
	revision    uint64
	leaving     bool
	// lastSeen is the last time at which the node is known to have been alive.
	lastSeen time.Time
	// firstSeen is when this replica first learned of the node.
	firstSeen time.Time
	// recordsWithheld is set if records were not sent to other replicas because the node had no heartbeats.
	recordsWithheld bool
	// lastHeartbeat is the time of the last heartbeat that this replica itself received.
	lastHeartbeat time.Time
	sequence      uint64
	// announcedVersion is the version of the announced set that the relay holds for the node.
	announcedVersion uint64
	records          map[string]*record
	// usable is set while the node's targets can be visible; hasSuppressed is set while one of
	// them is suppressed by flap damping.
	usable        bool
	hasSuppressed bool
}

// record is the last known announcement of one target.
type record struct {
	message  *apiv1.TargetRecord
	position uint64
	// changedAt is the time of the last change.
	changedAt time.Time
	// visible is the target as sent to nodes; nil while it is hidden. visibleVersion is the version of its
	// service at the last change of visible.
	visible        *apiv1.TargetRecord
	visibleVersion uint64
	damping        flapDamping
}

// NewRelay returns an empty relay. Its warm-up starts with the first event.
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

// Changed returns a channel that is closed at the next change of the visible targets, at the end of the warm-up,
// when another replica has restarted, or by NotifyWaiters.
func (r *Relay) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Source returns the identity of the replica process that assigns the versions in Updates.
func (r *Relay) Source() string {
	return fmt.Sprintf("%s/%d", r.options.Node, r.options.Incarnation)
}

// HandleHeartbeat processes a node's heartbeat. It returns true if the relay lacks the
// node's announced set; the node must then send it in full.
func (r *Relay) HandleHeartbeat(now time.Time, req *apiv1.SyncRequest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateWarmUp(now)
	n := r.admitNode(now, req.Node, req.Incarnation)
	if n == nil {
		return false
	}
	if req.Sequence != 0 {
		if req.Sequence <= n.sequence {
			return n.announcedVersion != req.AnnouncedVersion
		}
		n.sequence = req.Sequence
	}
	n.lastHeartbeat = now
	r.setLastSeen(n, now)
	n.revision = req.Revision
	n.dataCentre = req.DataCentre
	n.leaving = n.leaving || req.Leaving
	r.setAddress(n, req.Address)
	if req.AnnouncedFull && req.AnnouncedVersion >= n.announcedVersion {
		r.replaceSet(now, n, req)
	}
	r.updateAddressClaimants(now, n.address)
	r.updateVisible(now, n)
	return n.announcedVersion != req.AnnouncedVersion
}

// updateWarmUp starts the warm-up at the first event and ends it after its duration.
func (r *Relay) updateWarmUp(now time.Time) {
	if r.started.IsZero() {
		r.started = now
	}
	if !r.warm && now.Sub(r.started) >= r.options.WarmUp {
		r.setWarm()
	}
}

func (r *Relay) setWarm() {
	r.warm = true
	r.notifyWaiters()
}

// NotifyWaiters closes the current channel of Changed, so that its waiters check for changes.
func (r *Relay) NotifyWaiters() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notifyWaiters()
}

func (r *Relay) notifyWaiters() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// admitNode returns the state of a node, which it creates or resets for a new
// incarnation. It returns nil if the incarnation is outdated or there are too many
// nodes. A new incarnation makes all records of earlier ones outdated.
func (r *Relay) admitNode(now time.Time, name string, incarnation uint64) *node {
	n := r.nodes[name]
	if n == nil {
		if name == "" || len(r.nodes) >= maxNodes {
			return nil
		}
		n = &node{name: name, incarnation: incarnation, firstSeen: now, records: make(map[string]*record)}
		r.nodes[name] = n
		return n
	}
	if incarnation < n.incarnation {
		return nil
	}
	if incarnation > n.incarnation {
		n.incarnation = incarnation
		n.sequence = 0
		n.announcedVersion = 0
		n.leaving = false
		n.lastSeen = time.Time{}
		n.lastHeartbeat = time.Time{}
	}
	return n
}

// setLastSeen records that a node was alive at a time. Records that were withheld
// from other replicas meanwhile count as changed, so that they are sent again.
func (r *Relay) setLastSeen(n *node, at time.Time) {
	if !at.After(n.lastSeen) {
		return
	}
	n.lastSeen = at
	if !n.recordsWithheld {
		return
	}
	n.recordsWithheld = false
	for _, rec := range n.records {
		r.position++
		rec.position = r.position
	}
}

// replaceSet replaces the announced set of a node. Records that are missing from
// the new set become tombstones at its version.
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
	n.announcedVersion = req.AnnouncedVersion
}

// tombstone returns the record that marks a target as removed at a version. It keeps the run of the target, and whether that run had
// reported that it leaves.
func tombstone(m *apiv1.TargetRecord, incarnation, version uint64) *apiv1.TargetRecord {
	return &apiv1.TargetRecord{
		Name:          m.Name,
		Service:       m.Service,
		Node:          m.Node,
		State:         apiv1.TargetState_TARGET_STATE_GONE,
		Incarnation:   incarnation,
		Version:       version,
		StartedUnixNs: m.StartedUnixNs,
		Departed:      m.Departed,
	}
}

// mergeRecord stores a record if it supersedes the one held. The caller must not
// modify the message afterwards.
func (r *Relay) mergeRecord(now time.Time, n *node, m *apiv1.TargetRecord) {
	rec := n.records[m.Name]
	if rec == nil {
		if len(n.records) >= maxRecordsPerNode && !n.evictOldestOutdated() {
			return
		}
		rec = &record{}
		n.records[m.Name] = rec
	} else if !newer(m.Incarnation, m.Version, rec.message.Incarnation, rec.message.Version) {
		return
	}
	r.hideFromOldService(rec, m)
	r.position++
	rec.message = m
	rec.position = r.position
	rec.changedAt = now
}

// outdated reports whether the record is a tombstone or belongs to an earlier incarnation of the node.
func (n *node) outdated(rec *record) bool {
	return rec.message.State == apiv1.TargetState_TARGET_STATE_GONE || rec.message.Incarnation != n.incarnation
}

// evictOldestOutdated removes the hidden outdated record with the oldest change,
// to make room for another. It returns false if there is none.
func (n *node) evictOldestOutdated() bool {
	oldest := ""
	for name, rec := range n.records {
		if !n.outdated(rec) || rec.visible != nil {
			continue
		}
		if oldest == "" || rec.position < n.records[oldest].position {
			oldest = name
		}
	}
	delete(n.records, oldest)
	return oldest != ""
}

// hideFromOldService removes a target from the service that it had before if the new record names another one.
func (r *Relay) hideFromOldService(rec *record, m *apiv1.TargetRecord) {
	if rec.visible != nil && rec.visible.Service != m.Service {
		r.setVisible(rec, nil)
	}
}

// setAddress records the peer address that a node claims.
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

// updateAddressClaimants updates which targets are visible of the nodes that claim the same address.
func (r *Relay) updateAddressClaimants(now time.Time, address string) {
	claims := r.addresses[address]
	if len(claims) < 2 {
		return
	}
	for name := range claims {
		r.updateVisible(now, r.nodes[name])
	}
}

// LiveNodes returns the number of live nodes at the last Expire; ok is false during the warm-up.
func (r *Relay) LiveNodes() (n int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.liveNodes, r.warm
}

// Expire hides the targets of nodes without a recent heartbeat, makes those visible
// whose flap damping has ended, and removes old nodes and tombstones. It must be
// called a few times per second.
func (r *Relay) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateWarmUp(now)
	prune := now.Sub(r.prunedAt) >= pruneInterval
	if prune {
		r.prunedAt = now
	}
	r.liveNodes = 0
	for _, n := range r.nodes {
		r.updateVisibleIfStale(now, n)
		if r.alive(now, n) {
			r.liveNodes++
		}
		if prune {
			r.prune(now, n)
		}
	}
}

// prune removes records, and the node itself, once they are older than any message in flight can be.
func (r *Relay) prune(now time.Time, n *node) {
	for name, rec := range n.records {
		if n.outdated(rec) && now.Sub(rec.changedAt) > tombstoneRetention {
			delete(n.records, name)
		}
	}
	if now.Sub(n.lastSeen) > nodeRetention && now.Sub(n.firstSeen) > nodeRetention {
		r.removeNode(n)
	}
}

// removeNode removes a node. Other replicas may still receive its heartbeats, so the
// next replies request all their records again.
func (r *Relay) removeNode(n *node) {
	for _, rec := range n.records {
		r.setVisible(rec, nil)
	}
	r.releaseAddress(n)
	delete(r.nodes, n.name)
	for _, p := range r.peers {
		p.mergedPosition = 0
	}
}

// Nodes returns the live nodes, for the status of the control plane.
func (r *Relay) Nodes(now time.Time) []*apiv1.NodeLiveness {
	r.mu.Lock()
	defer r.mu.Unlock()
	nodes := make([]*apiv1.NodeLiveness, 0, len(r.nodes))
	for _, n := range r.nodes {
		if r.alive(now, n) {
			nodes = append(nodes, n.liveness(now, n.lastSeen))
		}
	}
	return nodes
}

// Leaving reports whether a node has announced that it is about to stop.
func (r *Relay) Leaving(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.nodes[name]
	return n != nil && n.leaving
}

// TargetCounts returns the number of visible targets of each service that has any.
func (r *Relay) TargetCounts() map[string]int {
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

func (n *node) liveness(now, lastSeen time.Time) *apiv1.NodeLiveness {
	return &apiv1.NodeLiveness{
		Node:        n.name,
		Incarnation: n.incarnation,
		AgeNs:       int64(max(now.Sub(lastSeen), 0)),
		Revision:    n.revision,
		DataCentre:  n.dataCentre,
		Address:     n.address,
		Leaving:     n.leaving,
		Sequence:    n.sequence,
	}
}
