package replica

import (
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// maxSnapshotBytes bounds the memory that a replica uses to receive a snapshot.
const maxSnapshotBytes = 1 << 30

// outgoingSnapshot is the transfer of a snapshot to one replica, with one chunk in flight at a time.
type outgoingSnapshot struct {
	data   []byte
	index  uint64
	term   uint64
	offset int
	sent   time.Time
}

// incomingSnapshot collects the chunks of a snapshot that the leader sends.
type incomingSnapshot struct {
	from    uint64
	term    uint64
	index   uint64
	logTerm uint64
	data    []byte
}

// startSnapshot begins to send the latest snapshot to a replica that needs entries which the log no
// longer holds.
func (c *Core) startSnapshot(id uint64, p *progress) {
	snapshot, err := c.cfg.LoadSnapshot()
	if err != nil || snapshot == nil {
		c.sendAppend(id, 0, 0, nil) // loading is tried again at the next round at the latest
		return
	}
	data, err := proto.Marshal(snapshot)
	if err != nil {
		return
	}
	p.state = sendingSnapshot
	p.paused = false
	p.inFlight = nil
	p.snapshot = outgoingSnapshot{data: data, index: snapshot.Index, term: snapshot.Term}
	c.sendChunk(id, p, true)
}

// sendChunk sends the next chunk (next is true), or resends the current one if there was no reply for two heartbeats.
func (c *Core) sendChunk(id uint64, p *progress, next bool) {
	s := &p.snapshot
	if !next && c.now.Sub(s.sent) < 2*c.cfg.HeartbeatInterval {
		return
	}
	s.sent = c.now
	end := min(s.offset+c.cfg.ChunkBytes, len(s.data))
	c.sendEarly(&apiv1.RaftMessage{
		Kind:    apiv1.RaftKind_RAFT_KIND_SNAPSHOT,
		To:      id,
		Index:   s.index,
		LogTerm: s.term,
		Round:   c.leaderState.round,
		Chunk:   s.data[s.offset:end],
		Offset:  uint64(s.offset),
		Last:    end == len(s.data),
	})
}

func (c *Core) stepSnapshotReply(m *apiv1.RaftMessage) {
	if c.role != Leader {
		return
	}
	p := c.leaderState.progress[m.From]
	if p == nil {
		return
	}
	c.recordReply(p, m.Round)
	if p.state != sendingSnapshot || m.Index != p.snapshot.index || m.Offset >= uint64(len(p.snapshot.data)) {
		return
	}
	if int(m.Offset) == p.snapshot.offset {
		return // a duplicate reply; a lost chunk is resent after a timeout
	}
	p.snapshot.offset = int(m.Offset)
	c.sendChunk(m.From, p, true)
}

func (c *Core) stepSnapshot(m *apiv1.RaftMessage) {
	c.followLeader(m)
	if term, ok := c.log.term(m.Index); ok && term == m.LogTerm {
		c.log.commit = max(c.log.commit, m.Index)
	}
	if m.Index <= c.log.commit {
		c.send(&apiv1.RaftMessage{
			Kind: apiv1.RaftKind_RAFT_KIND_APPEND_REPLY, To: m.From, Index: c.log.commit, Round: m.Round,
		})
		return
	}
	snapshot := c.incoming.add(m)
	if snapshot == nil {
		c.send(&apiv1.RaftMessage{
			Kind: apiv1.RaftKind_RAFT_KIND_SNAPSHOT_REPLY, To: m.From,
			Index: m.Index, Offset: uint64(len(c.incoming.data)), Round: m.Round,
		})
		return
	}
	c.incoming = incomingSnapshot{}
	c.installing = snapshot
	c.log.reset(snapshot.Index, snapshot.Term)
	c.membership.reset(snapshot.Index, snapshot.Membership)
	c.send(&apiv1.RaftMessage{
		Kind: apiv1.RaftKind_RAFT_KIND_APPEND_REPLY, To: m.From, Index: snapshot.Index, Round: m.Round,
	})
}

// add appends a chunk and returns the snapshot once it is complete, else nil.
func (s *incomingSnapshot) add(m *apiv1.RaftMessage) *apiv1.GroupSnapshot {
	same := s.from == m.From && s.term == m.Term && s.index == m.Index && s.logTerm == m.LogTerm
	if !same {
		*s = incomingSnapshot{from: m.From, term: m.Term, index: m.Index, logTerm: m.LogTerm}
	}
	if m.Offset != uint64(len(s.data)) || len(s.data)+len(m.Chunk) > maxSnapshotBytes {
		return nil
	}
	s.data = append(s.data, m.Chunk...)
	if !m.Last {
		return nil
	}
	snapshot := &apiv1.GroupSnapshot{}
	err := proto.Unmarshal(s.data, snapshot)
	if err != nil || snapshot.Index != m.Index || snapshot.Term != m.LogTerm {
		s.data = nil
		return nil
	}
	return snapshot
}
