package registry

import (
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Replicas exchange news in pairs. Outgoing builds the message to one replica,
// Merge takes it over there and returns the reply, and Acknowledged takes over
// the reply. A lost message or reply is made up for by the next exchange.

// replicaPeer is what the relay knows of another replica.
type replicaPeer struct {
	// held is the position up to which the other replica holds this one's news.
	held uint64
	// reading is its latest clock reading.
	reading int64
	// livenessAt is the time of the last batch of liveness to it.
	livenessAt time.Time
	// greeted is set once it got the liveness of all nodes; then it gets that of the nodes
	// that send their heartbeats here. greeting is set while such a message is on its way.
	greeted  bool
	greeting bool
	// running is the incarnation that replied last, vouched the time of its last message or reply that said that it vouches.
	running uint64
	vouched time.Time

	// incarnation, upto and echo are those of the last message that came from it.
	incarnation uint64
	upto        uint64
	echo        int64
}

func (r *Relay) peer(name string) *replicaPeer {
	p := r.peers[name]
	if p == nil {
		p = &replicaPeer{}
		r.peers[name] = p
	}
	return p
}

// reading returns the relay's clock as nanoseconds since its first event; it is never 0.
func (r *Relay) reading(now time.Time) int64 {
	return int64(now.Sub(r.started)) + 1
}

// Outgoing returns the news for the replica of the named node.
func (r *Relay) Outgoing(now time.Time, to string) *apiv1.RelayMessage {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begin(now)
	p := r.peer(to)
	// The first message brings no liveness: it could not be told from a late one.
	withLiveness := p.reading != 0 && now.Sub(p.livenessAt) >= livenessInterval
	m := &apiv1.RelayMessage{
		Source:          r.options.Node,
		Incarnation:     r.options.Incarnation,
		Base:            p.held,
		Upto:            r.position,
		EchoNs:          p.reading,
		EchoIncarnation: p.running,
		Warm:            r.warm && withLiveness,
	}
	for _, n := range r.nodes {
		if now.Sub(n.heard) > relayUntil {
			n.unsent = true
			continue
		}
		m.Records = n.appendNews(m.Records, p.held)
	}
	if withLiveness {
		m.Nodes = r.livenessFor(now, p)
	}
	return m
}

// livenessFor returns when each node was heard last: all live nodes for a
// replica that is new here, and those that send their heartbeats here otherwise.
func (r *Relay) livenessFor(now time.Time, p *replicaPeer) []*apiv1.NodeLiveness {
	p.livenessAt = now
	p.greeting = true
	var nodes []*apiv1.NodeLiveness
	for _, n := range r.nodes {
		heard := n.direct
		if !p.greeted {
			heard = n.heard
		}
		if !heard.IsZero() && now.Sub(heard) <= r.options.NodeTimeout {
			nodes = append(nodes, n.liveness(now, heard))
		}
	}
	return nodes
}

// appendNews appends the records that changed after position base.
func (n *node) appendNews(records []*apiv1.TargetRecord, base uint64) []*apiv1.TargetRecord {
	for _, rec := range n.records {
		if rec.position > base {
			records = append(records, rec.message)
		}
	}
	return records
}

// Merge takes over the news of another replica and returns the reply. The
// result of several messages does not depend on their order.
func (r *Relay) Merge(now time.Time, m *apiv1.RelayMessage) *apiv1.RelayMessage {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begin(now)
	p := r.peer(m.Source)
	if m.Incarnation < p.incarnation {
		return r.reply(now, p)
	}
	if m.Incarnation > p.incarnation {
		p.incarnation = m.Incarnation
		p.upto = 0
		p.echo = 0
		if m.Incarnation > p.running {
			// A replica that has just started knows nothing: it is told at once.
			p.restarted(m.Incarnation)
			r.wake()
		}
	}
	// A late message of an earlier process does not speak for the one that runs.
	if m.Vouches && m.Incarnation >= p.running {
		p.vouched = now
	}
	touched := make(map[*node]struct{})
	for _, record := range m.Records {
		if n := r.admitNode(now, record.Node, record.Incarnation); n != nil {
			r.mergeRecord(now, n, record)
			touched[n] = struct{}{}
		}
	}
	timely := r.mergeLiveness(now, m, p, touched)
	// A message whose base lies beyond what is held leaves a gap: the reply asks for it again.
	whole := m.Base <= p.upto
	if whole {
		p.upto = max(p.upto, m.Upto)
	}
	for n := range touched {
		r.refreshAddress(now, n.address)
		r.show(now, n)
	}
	if whole && timely && m.Warm && !r.warm {
		r.setWarm()
	}
	return r.reply(now, p)
}

// mergeLiveness takes over when nodes were heard. The message was built after
// this replica's own reading that it echoes, so a node with age a lived at the
// reading minus a at least, however late the message is. It returns false when
// the message is too old to tell, or echoes an earlier process of this replica.
func (r *Relay) mergeLiveness(now time.Time, m *apiv1.RelayMessage, p *replicaPeer, touched map[*node]struct{}) bool {
	if m.EchoIncarnation != r.options.Incarnation || m.EchoNs == 0 || m.EchoNs < p.echo {
		return false
	}
	p.echo = m.EchoNs
	built := r.started.Add(time.Duration(m.EchoNs))
	for _, l := range m.Nodes {
		n := r.admitNode(now, l.Node, l.Incarnation)
		if n == nil {
			continue
		}
		heard := built.Add(-time.Duration(max(l.AgeNs, 0)))
		if heard.After(n.heard) {
			r.setHeard(n, heard)
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
		ReadingNs:   r.reading(now),
		Held:        p.upto,
	}
}

// Vouching reports whether the replica of the named node has said within a time that it can vouch for a revision.
func (r *Relay) Vouching(now time.Time, name string, within time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[name]
	return p != nil && !p.vouched.IsZero() && now.Sub(p.vouched) <= within
}

// restarted forgets what an earlier process of the other replica was told.
func (p *replicaPeer) restarted(incarnation uint64) {
	p.running = incarnation
	p.vouched = time.Time{}
	p.held = 0
	p.reading = 0
	p.livenessAt = time.Time{}
	p.greeted = false
	p.greeting = false
}

// Acknowledged takes over the reply to a message of Outgoing. It returns true when the
// other replica still lacks the liveness of all nodes, so that the next message is due at once.
func (r *Relay) Acknowledged(now time.Time, reply *apiv1.RelayMessage) (again bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peer(reply.Source)
	if reply.Incarnation < p.running {
		return false
	}
	if reply.Incarnation > p.running {
		p.restarted(reply.Incarnation)
	}
	if reply.Vouches {
		p.vouched = now
	}
	p.greeted = p.greeted || p.greeting
	p.held = reply.Held
	p.reading = max(p.reading, reply.ReadingNs)
	return !p.greeted
}
