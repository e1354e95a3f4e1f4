package replica

import (
	"maps"
	"slices"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// pendingRead waits for a round to be answered by a quorum.
type pendingRead struct {
	id    uint64
	from  uint64
	round uint64
	// index is the commit index when the read came in; 0 until the term has a committed entry.
	index uint64
}

// Read starts a read. Its ReadState comes with a later Ready; it may never come if
// messages are lost, so the caller keeps a timeout. Ids must never repeat, also over restarts:
// a late reply to an earlier read must not confirm a new one.
func (c *Core) Read(now time.Time, id uint64) {
	c.now = now
	switch {
	case c.role == Leader:
		c.addRead(pendingRead{id: id, from: c.cfg.ID})
	case c.leader != 0:
		c.remote[id] = true
		c.send(&apiv1.RaftMessage{Kind: apiv1.RaftKind_RAFT_KIND_READ, To: c.leader, Round: id})
	default:
		c.out.Reads = append(c.out.Reads, ReadState{ID: id})
	}
}

// CancelRead forgets a read whose caller gave up.
func (c *Core) CancelRead(id uint64) {
	delete(c.remote, id)
}

func (c *Core) stepRead(m *apiv1.RaftMessage) {
	if c.role != Leader {
		c.send(&apiv1.RaftMessage{Kind: apiv1.RaftKind_RAFT_KIND_READ_REPLY, To: m.From, Round: m.Round, Reject: true})
		return
	}
	c.addRead(pendingRead{id: m.Round, from: m.From})
}

// addRead lets a read wait for the next round, which begins with the next Ready.
func (c *Core) addRead(read pendingRead) {
	read.round = c.lead.round + 1
	if c.committedInTerm() {
		read.index = c.log.commit
	}
	c.lead.reads = append(c.lead.reads, read)
	c.lead.wantRound = true
}

// releaseReads gives an index to the reads that came in before the term had a committed entry.
func (c *Core) releaseReads() {
	for i := range c.lead.reads {
		if c.lead.reads[i].index == 0 {
			c.lead.reads[i].index = c.log.commit
		}
	}
	c.finishReads()
}

// finishReads answers the reads whose round was answered.
func (c *Core) finishReads() {
	var waiting []pendingRead
	for _, read := range c.lead.reads {
		if read.index == 0 || read.round > c.lead.confirmedRound {
			waiting = append(waiting, read)
			continue
		}
		c.answerRead(read, true)
	}
	c.lead.reads = waiting
}

// failReads answers all waiting reads when leadership ends.
func (c *Core) failReads() {
	for _, read := range c.lead.reads {
		read.index = 0
		c.answerRead(read, false)
	}
	c.lead.reads = nil
}

func (c *Core) answerRead(read pendingRead, ok bool) {
	if read.from == c.cfg.ID {
		c.out.Reads = append(c.out.Reads, ReadState{ID: read.id, OK: ok, Index: read.index})
		return
	}
	c.send(&apiv1.RaftMessage{
		Kind: apiv1.RaftKind_RAFT_KIND_READ_REPLY, To: read.from, Round: read.id, Index: read.index, Reject: !ok,
	})
}

func (c *Core) stepReadReply(m *apiv1.RaftMessage) {
	if !c.remote[m.Round] {
		return
	}
	delete(c.remote, m.Round)
	c.out.Reads = append(c.out.Reads, ReadState{ID: m.Round, OK: !m.Reject, Index: m.Index})
}

// failRemoteReads ends the reads that were sent to a leader that is no longer followed.
func (c *Core) failRemoteReads() {
	for _, id := range slices.Sorted(maps.Keys(c.remote)) {
		c.out.Reads = append(c.out.Reads, ReadState{ID: id})
	}
	clear(c.remote)
}
