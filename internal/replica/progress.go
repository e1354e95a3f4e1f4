package replica

import (
	"time"
)

// progressState says how the leader sends to a replica.
type progressState int

const (
	// probing: one message at a time until the logs are known to agree.
	probing progressState = iota
	// replicating: several messages in flight.
	replicating
	// transferring: a snapshot is on its way.
	transferring
)

// progress is what the leader knows of another replica.
type progress struct {
	state    progressState
	match    uint64 // synced there
	next     uint64
	paused   bool     // probing: a message is out
	inFlight []uint64 // replicating: last index of each message that is out
	acked    uint64   // latest round answered
	heard    time.Time
	commit   uint64 // commit index sent last
	snapshot outgoingSnapshot
}

// hear notes that a replica answered.
func (c *Core) hear(p *progress, round uint64) {
	p.heard = c.now
	if round > p.acked {
		p.acked = round
		c.confirmRounds()
	}
}

// rejected steps back to where the logs may agree. Outdated rejections name indexes that the
// replica has since acknowledged.
func (c *Core) rejected(p *progress, hint uint64) {
	if p.state == transferring || hint < p.match {
		return
	}
	p.state = probing
	p.paused = false
	p.inFlight = nil
	p.next = max(p.match+1, min(hint+1, c.log.last()+1))
	c.lead.wantSend = true
}

// accepted notes that a replica has synced its log up to index.
func (c *Core) accepted(p *progress, index uint64) {
	if index < p.match {
		return
	}
	p.match = index
	for len(p.inFlight) > 0 && p.inFlight[0] <= index {
		p.inFlight = p.inFlight[1:]
	}
	switch p.state {
	case transferring:
		if index < p.snapshot.index {
			return
		}
		p.snapshot = outgoingSnapshot{}
		p.state = replicating
		p.next = index + 1
	case probing:
		if _, ok := c.log.term(index); !ok {
			return // it needs a snapshot
		}
		p.state = replicating
		p.paused = false
		p.next = index + 1
	default:
		p.next = max(p.next, index+1)
	}
	if p.next <= c.log.last() {
		c.lead.wantSend = true
	}
}
