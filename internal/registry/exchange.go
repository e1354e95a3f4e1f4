package registry

import (
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Replicas exchange changes in pairs. BuildMessage builds the message to another
// replica, Merge applies it there and returns the reply, and HandleReply
// processes the reply. The next exchange makes up for a lost message or reply.

// replicaPeer is the state of the exchange with another replica.
type replicaPeer struct {
	// ackedPosition is the position up to which the other replica holds this replica's changes.
	ackedPosition uint64
	// clockReading is the other replica's latest clock reading.
	clockReading int64
	// livenessSentAt is when node liveness was last included in a message to it.
	livenessSentAt time.Time
	// fullLivenessAcked is set once the other replica has the liveness of all nodes; from then on it
	// gets only that of the nodes that send their heartbeats to this replica. fullLivenessSent is
	// set once the liveness of all nodes was sent to it.
	fullLivenessAcked bool
	fullLivenessSent  bool
	// latestIncarnation is its highest incarnation known. confirmedAt is the time of its last message
	// or reply that said that it can confirm revisions.
	latestIncarnation uint64
	confirmedAt       time.Time

	// messageIncarnation, mergedPosition and lastEcho come from its last message: its incarnation,
	// the position up to which its changes are held here, and the clock reading that it echoed.
	messageIncarnation uint64
	mergedPosition     uint64
	lastEcho           int64
}

func (r *Relay) peer(name string) *replicaPeer {
	p := r.peers[name]
	if p == nil {
		p = &replicaPeer{}
		r.peers[name] = p
	}
	return p
}

// clockReading returns the relay's clock in nanoseconds since its first event; it is never 0.
func (r *Relay) clockReading(now time.Time) int64 {
	return int64(now.Sub(r.started)) + 1
}

// BuildMessage returns the message with the changes for the replica on the named node.
func (r *Relay) BuildMessage(now time.Time, to string) *apiv1.RelayMessage {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateWarmUp(now)
	p := r.peer(to)
	// The first message carries no liveness: it echoes no clock reading yet, so the receiver
	// could not tell it from a delayed message.
	withLiveness := p.clockReading != 0 && now.Sub(p.livenessSentAt) >= livenessInterval
	m := &apiv1.RelayMessage{
		Source:          r.options.Node,
		Incarnation:     r.options.Incarnation,
		Base:            p.ackedPosition,
		Upto:            r.position,
		EchoNs:          p.clockReading,
		EchoIncarnation: p.latestIncarnation,
		Warm:            r.warm && withLiveness,
	}
	for _, n := range r.nodes {
		if now.Sub(n.lastSeen) > silentRelayPeriod {
			n.recordsWithheld = true
			continue
		}
		m.Records = n.appendChanged(m.Records, p.ackedPosition)
	}
	if withLiveness {
		m.Nodes = r.livenessFor(now, p)
	}
	return m
}

// livenessFor returns the liveness for another replica: that of all live nodes
// until it has acknowledged them, and afterwards that of the live nodes that send
// their heartbeats to this replica.
func (r *Relay) livenessFor(now time.Time, p *replicaPeer) []*apiv1.NodeLiveness {
	p.livenessSentAt = now
	p.fullLivenessSent = true
	var nodes []*apiv1.NodeLiveness
	for _, n := range r.nodes {
		lastSeen := n.lastHeartbeat
		if !p.fullLivenessAcked {
			lastSeen = n.lastSeen
		}
		if !lastSeen.IsZero() && now.Sub(lastSeen) <= r.options.NodeTimeout {
			nodes = append(nodes, n.liveness(now, lastSeen))
		}
	}
	return nodes
}

// appendChanged appends the records that changed after position base.
func (n *node) appendChanged(records []*apiv1.TargetRecord, base uint64) []*apiv1.TargetRecord {
	for _, rec := range n.records {
		if rec.position > base {
			records = append(records, rec.message)
		}
	}
	return records
}

// Merge applies the message of another replica and returns the reply. The
// result of several messages does not depend on their order.
func (r *Relay) Merge(now time.Time, m *apiv1.RelayMessage) *apiv1.RelayMessage {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateWarmUp(now)
	p := r.peer(m.Source)
	if m.Incarnation < p.messageIncarnation {
		return r.reply(now, p)
	}
	if m.Incarnation > p.messageIncarnation {
		p.messageIncarnation = m.Incarnation
		p.mergedPosition = 0
		p.lastEcho = 0
		if m.Incarnation > p.latestIncarnation {
			// A replica that has just started holds nothing: wake the sender so that it gets everything at once.
			p.reset(m.Incarnation)
			r.notifyWaiters()
		}
	}
	// A delayed message of an earlier process says nothing about the current one.
	if m.Vouches && m.Incarnation >= p.latestIncarnation {
		p.confirmedAt = now
	}
	touched := make(map[*node]struct{})
	for _, record := range m.Records {
		if n := r.admitNode(now, record.Node, record.Incarnation); n != nil {
			r.mergeRecord(now, n, record)
			touched[n] = struct{}{}
		}
	}
	timely := r.mergeLiveness(now, m, p, touched)
	// A base beyond the merged position means that changes in between are missing. The position in
	// the reply then makes the sender send them again.
	contiguous := m.Base <= p.mergedPosition
	if contiguous {
		p.mergedPosition = max(p.mergedPosition, m.Upto)
	}
	for n := range touched {
		r.updateAddressClaimants(now, n.address)
		r.updateVisible(now, n)
	}
	if contiguous && timely && m.Warm && !r.warm {
		r.setWarm()
	}
	return r.reply(now, p)
}

// mergeLiveness applies the node liveness of a message. The message was built
// after the clock reading of this replica that it echoes, so a node with age a was
// last seen no earlier than that reading minus a, however delayed the message is.
// It returns false if the message echoes no reading, an older reading than an earlier
// message, or a reading of an earlier process of this replica.
func (r *Relay) mergeLiveness(now time.Time, m *apiv1.RelayMessage, p *replicaPeer, touched map[*node]struct{}) bool {
	if m.EchoIncarnation != r.options.Incarnation || m.EchoNs == 0 || m.EchoNs < p.lastEcho {
		return false
	}
	p.lastEcho = m.EchoNs
	built := r.started.Add(time.Duration(m.EchoNs))
	for _, l := range m.Nodes {
		n := r.admitNode(now, l.Node, l.Incarnation)
		if n == nil {
			continue
		}
		lastSeen := built.Add(-time.Duration(max(l.AgeNs, 0)))
		if lastSeen.After(n.lastSeen) {
			r.setLastSeen(n, lastSeen)
			n.revision = l.Revision
			n.dataCentre = l.DataCentre
			r.setAddress(n, l.Address)
		}
		n.sequence = max(n.sequence, l.Sequence)
		n.leaving = n.leaving || l.Leaving
		touched[n] = struct{}{}
	}
	return true
}

func (r *Relay) reply(now time.Time, p *replicaPeer) *apiv1.RelayMessage {
	return &apiv1.RelayMessage{
		Source:      r.options.Node,
		Incarnation: r.options.Incarnation,
		ReadingNs:   r.clockReading(now),
		Held:        p.mergedPosition,
	}
}

// CanConfirm reports whether the replica on the named node has stated, within the given duration before now, that it
// can confirm revisions.
func (r *Relay) CanConfirm(now time.Time, name string, within time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[name]
	return p != nil && !p.confirmedAt.IsZero() && now.Sub(p.confirmedAt) <= within
}

// reset discards the state that concerns an earlier process of the other replica.
func (p *replicaPeer) reset(incarnation uint64) {
	p.latestIncarnation = incarnation
	p.confirmedAt = time.Time{}
	p.ackedPosition = 0
	p.clockReading = 0
	p.livenessSentAt = time.Time{}
	p.fullLivenessAcked = false
	p.fullLivenessSent = false
}

// HandleReply processes the reply to a message of BuildMessage. It returns true if the other
// replica still lacks the liveness of all nodes; the next message is then due at once.
func (r *Relay) HandleReply(now time.Time, reply *apiv1.RelayMessage) (again bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peer(reply.Source)
	if reply.Incarnation < p.latestIncarnation {
		return false
	}
	if reply.Incarnation > p.latestIncarnation {
		p.reset(reply.Incarnation)
	}
	if reply.Vouches {
		p.confirmedAt = now
	}
	p.fullLivenessAcked = p.fullLivenessAcked || p.fullLivenessSent
	p.ackedPosition = reply.Held
	p.clockReading = max(p.clockReading, reply.ReadingNs)
	return !p.fullLivenessAcked
}
