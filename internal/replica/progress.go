package replica

import (
	"time"
)

// progressState is the way in which the leader sends its log to a replica.
type progressState int

const (
	// probing sends one message at a time until it is known where the logs agree.
	probing progressState = iota
	// replicating keeps several messages in flight.
	replicating
	// sendingSnapshot sends a snapshot in chunks.
	sendingSnapshot
)

// progress is the replication state of another replica, as the leader knows it.
type progress struct {
	state      progressState
	match      uint64    // highest index known to be synced there
	next       uint64    // index of the next entry to send
	paused     bool      // probing: a message with entries has no reply yet
	inFlight   []uint64  // replicating: last index of each message without a reply
	ackedRound uint64    // latest round that it replied to
	lastReply  time.Time // when it last replied
	sentCommit uint64    // commit index that was last sent to it
	snapshot   outgoingSnapshot
}

// recordReply records a reply of a replica and the round that it echoes.
func (c *Core) recordReply(p *progress, round uint64) {
	p.lastReply = c.now
	if round > p.ackedRound {
		p.ackedRound = round
		c.confirmRounds()
	}
}

// handleReject moves back to the last index at which the logs may agree. A rejection with a lower hint than
// the acknowledged index is outdated and ignored.
func (c *Core) handleReject(p *progress, hint uint64) {
	if p.state == sendingSnapshot || hint < p.match {
		return
	}
	p.state = probing
	p.paused = false
	p.inFlight = nil
	p.next = max(p.match+1, min(hint+1, c.log.last()+1))
	c.leaderState.wantSend = true
}

// handleAccept records that a replica has synced its log up to index.
func (c *Core) handleAccept(p *progress, index uint64) {
	if index < p.match {
		return
	}
	p.match = index
	for len(p.inFlight) > 0 && p.inFlight[0] <= index {
		p.inFlight = p.inFlight[1:]
	}
	switch p.state {
	case sendingSnapshot:
		if index < p.snapshot.index {
			return
		}
		p.snapshot = outgoingSnapshot{}
		p.state = replicating
		p.next = index + 1
	case probing:
		if _, ok := c.log.term(index); !ok {
			return // the entry is compacted here: the replica needs a snapshot
		}
		p.state = replicating
		p.paused = false
		p.next = index + 1
	default:
		p.next = max(p.next, index+1)
	}
	if p.next <= c.log.last() {
		c.leaderState.wantSend = true
	}
}
