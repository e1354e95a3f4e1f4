package replica

import (
	"maps"
	"slices"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// pendingRead is a read that waits for a quorum to reply to a round.
type pendingRead struct {
	id    uint64
	from  uint64
	round uint64
	// index is the commit index when the read arrived, or when the first entry of the term was committed if that
	// was later; 0 until then.
	index uint64
}

// Read starts a linearizable read. A later Ready returns its ReadState, or none does if messages are
// lost, so the caller needs a timeout. Ids must be unique, also across restarts: a delayed reply to an
// earlier read must not confirm a new one.
func (c *Core) Read(now time.Time, id uint64) {
	c.now = now
	switch {
	case c.role == Leader:
		c.addRead(pendingRead{id: id, from: c.cfg.ID})
	case c.leader != 0:
		c.forwardedReads[id] = true
		c.send(&apiv1.RaftMessage{Kind: apiv1.RaftKind_RAFT_KIND_READ, To: c.leader, Round: id})
	default:
		c.nextReady.Reads = append(c.nextReady.Reads, ReadState{ID: id})
	}
}

// CancelRead drops a read that was forwarded to the leader and whose caller gave up.
func (c *Core) CancelRead(id uint64) {
	delete(c.forwardedReads, id)
}

func (c *Core) stepRead(m *apiv1.RaftMessage) {
	if c.role != Leader {
		c.send(&apiv1.RaftMessage{Kind: apiv1.RaftKind_RAFT_KIND_READ_REPLY, To: m.From, Round: m.Round, Reject: true})
		return
	}
	c.addRead(pendingRead{id: m.Round, from: m.From})
}

// addRead queues a read until a quorum has replied to the next round, which begins with the next Ready.
func (c *Core) addRead(read pendingRead) {
	read.round = c.leaderState.round + 1
	if c.committedInTerm() {
		read.index = c.log.commit
	}
	c.leaderState.reads = append(c.leaderState.reads, read)
	c.leaderState.wantRound = true
}

// assignReadIndexes sets the index of the reads that arrived before an entry of the term was committed.
func (c *Core) assignReadIndexes() {
	for i := range c.leaderState.reads {
		if c.leaderState.reads[i].index == 0 {
			c.leaderState.reads[i].index = c.log.commit
		}
	}
	c.finishReads()
}

// finishReads answers the reads that have an index and whose round is confirmed.
func (c *Core) finishReads() {
	var waiting []pendingRead
	for _, read := range c.leaderState.reads {
		if read.index == 0 || read.round > c.leaderState.confirmedRound {
			waiting = append(waiting, read)
			continue
		}
		c.answerRead(read, true)
	}
	c.leaderState.reads = waiting
}

// failReads rejects all pending reads when this replica stops being the leader.
func (c *Core) failReads() {
	for _, read := range c.leaderState.reads {
		read.index = 0
		c.answerRead(read, false)
	}
	c.leaderState.reads = nil
}

func (c *Core) answerRead(read pendingRead, ok bool) {
	if read.from == c.cfg.ID {
		c.nextReady.Reads = append(c.nextReady.Reads, ReadState{ID: read.id, OK: ok, Index: read.index})
		return
	}
	c.send(&apiv1.RaftMessage{
		Kind: apiv1.RaftKind_RAFT_KIND_READ_REPLY, To: read.from, Round: read.id, Index: read.index, Reject: !ok,
	})
}

func (c *Core) stepReadReply(m *apiv1.RaftMessage) {
	if !c.forwardedReads[m.Round] {
		return
	}
	delete(c.forwardedReads, m.Round)
	c.nextReady.Reads = append(c.nextReady.Reads, ReadState{ID: m.Round, OK: !m.Reject, Index: m.Index})
}

// failForwardedReads fails the reads that were forwarded to the previous leader.
func (c *Core) failForwardedReads() {
	for _, id := range slices.Sorted(maps.Keys(c.forwardedReads)) {
		c.nextReady.Reads = append(c.nextReady.Reads, ReadState{ID: id})
	}
	clear(c.forwardedReads)
}
