package replica

import (
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// maxSnapshotBytes bounds what a replica buffers of an incoming snapshot.
const maxSnapshotBytes = 1 << 30

// outgoingSnapshot is a transfer to one replica: one chunk is out at a time.
type outgoingSnapshot struct {
	data   []byte
	index  uint64
	term   uint64
	offset int
	sent   time.Time
}

// incomingSnapshot collects the chunks of a snapshot.
type incomingSnapshot struct {
	from    uint64
	term    uint64
	index   uint64
	logTerm uint64
	data    []byte
}

// startTransfer begins to send the latest snapshot to a replica that lacks entries that
// the log no longer has.
func (c *Core) startTransfer(id uint64, p *progress) {
	snapshot, err := c.cfg.LoadSnapshot()
	if err != nil || snapshot == nil {
		c.sendAppend(id, 0, 0, nil) // tried again at the next round
		return
	}
	data, err := proto.Marshal(snapshot)
	if err != nil {
		return
	}
	p.state = transferring
	p.paused = false
	p.inFlight = nil
	p.snapshot = outgoingSnapshot{data: data, index: snapshot.Index, term: snapshot.Term}
	c.sendChunk(id, p, true)
}

// sendChunk sends the next part, or repeats it when no answer came for two heartbeats.
func (c *Core) sendChunk(id uint64, p *progress, next bool) {
	s := &p.snapshot
	if !next && c.now.Sub(s.sent) < 2*c.cfg.Heartbeat {
		return
	}
	s.sent = c.now
	end := min(s.offset+c.cfg.ChunkBytes, len(s.data))
	c.sendEarly(&apiv1.RaftMessage{
		Kind:    apiv1.RaftKind_RAFT_KIND_SNAPSHOT,
		To:      id,
		Index:   s.index,
		LogTerm: s.term,
		Round:   c.lead.round,
		Chunk:   s.data[s.offset:end],
		Offset:  uint64(s.offset),
		Last:    end == len(s.data),
	})
}

func (c *Core) stepSnapshotReply(m *apiv1.RaftMessage) {
	if c.role != Leader {
		return
	}
	p := c.lead.progress[m.From]
	if p == nil {
		return
	}
	c.hear(p, m.Round)
	if p.state != transferring || m.Index != p.snapshot.index || m.Offset >= uint64(len(p.snapshot.data)) {
		return
	}
	if int(m.Offset) == p.snapshot.offset {
		return // a duplicate; the timer repeats the chunk if it was lost
	}
	p.snapshot.offset = int(m.Offset)
	c.sendChunk(m.From, p, true)
}

func (c *Core) stepSnapshot(m *apiv1.RaftMessage) {
	c.follow(m)
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
	c.config.reset(snapshot.Index, snapshot.Membership)
	c.send(&apiv1.RaftMessage{
		Kind: apiv1.RaftKind_RAFT_KIND_APPEND_REPLY, To: m.From, Index: snapshot.Index, Round: m.Round,
	})
}

// add takes a chunk and returns the snapshot once it is whole.
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
