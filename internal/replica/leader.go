package replica

import (
	"slices"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// leadership is the state that only a leader has.
type leadership struct {
	progress map[uint64]*progress
	// termStart is the index of the empty entry that opened the term.
	termStart uint64

	round          uint64
	started        []roundStart // rounds that no quorum has answered yet
	confirmed      time.Time    // start of the latest round that a quorum answered
	confirmedRound uint64
	wantRound      bool
	wantSend       bool
	reads          []pendingRead

	transferTo       uint64
	transferDeadline time.Time
}

// roundStart is when a round was begun.
type roundStart struct {
	number uint64
	at     time.Time
}

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.cfg.ID
	c.votes = nil
	c.lead = &leadership{progress: map[uint64]*progress{}, confirmed: c.now, wantRound: true}
	c.syncProgress()
	for id, p := range c.lead.progress {
		// Nothing can be said yet against the others; the earlier leader has been silent.
		p.heard = c.now
		if id == c.lastLeaderID {
			p.heard = c.lastLeader
		}
	}
	entry := c.appendOwn(apiv1.EntryKind_ENTRY_KIND_EMPTY, nil)
	c.lead.termStart = entry.Index
}

// appendOwn appends an entry of this leader.
func (c *Core) appendOwn(kind apiv1.EntryKind, data []byte) *apiv1.LogEntry {
	entry := &apiv1.LogEntry{Term: c.term, Index: c.log.last() + 1, Kind: kind, Data: data}
	c.log.append(entry)
	c.config.observe(entry)
	if kind == apiv1.EntryKind_ENTRY_KIND_MEMBERSHIP {
		c.syncProgress()
	}
	return entry
}

// syncProgress follows the current membership.
func (c *Core) syncProgress() {
	for id := range c.lead.progress {
		if !c.config.isMember(id) {
			delete(c.lead.progress, id)
		}
	}
	for _, r := range c.config.current().Replicas {
		if r.Id != c.cfg.ID && c.lead.progress[r.Id] == nil {
			// Its silence counts from now on: one that never answers must not pass for one that was just added.
			c.lead.progress[r.Id] = &progress{next: c.log.last() + 1, heard: c.now}
		}
	}
}

// committedInTerm reports whether an entry of the leader's own term is committed.
func (c *Core) committedInTerm() bool {
	return c.log.commit >= c.lead.termStart
}

// replicate asks for new entries to be sent with the next Ready.
func (c *Core) replicate() {
	c.lead.wantSend = true
}

// tickLeader keeps rounds going and steps down without a quorum.
func (c *Core) tickLeader() {
	if c.now.Sub(c.lead.confirmedAt(&c.config, c.cfg.ID, c.now)) >= c.cfg.Election {
		c.becomeFollower(c.term, 0)
		return
	}
	if c.lead.transferTo != 0 && c.now.After(c.lead.transferDeadline) {
		c.lead.transferTo = 0
	}
	if n := len(c.lead.started); n == 0 || c.now.Sub(c.lead.started[n-1].at) >= c.cfg.Heartbeat {
		c.lead.wantRound = c.lead.wantRound || c.now.Sub(c.lead.confirmed) >= c.cfg.Heartbeat
	}
}

// flushLeader sends what came up since the last Ready.
func (c *Core) flushLeader() {
	round := c.lead.wantRound
	c.lead.wantRound = false
	if round {
		c.beginRound()
	}
	if !round && !c.lead.wantSend {
		return
	}
	c.lead.wantSend = false
	for _, r := range c.config.current().Replicas {
		if p := c.lead.progress[r.Id]; p != nil {
			c.sendTo(r.Id, p, round)
		}
	}
}

func (c *Core) beginRound() {
	c.lead.round++
	c.lead.started = append(c.lead.started, roundStart{c.lead.round, c.now})
	c.confirmRounds()
}

// confirmedAt returns the start of the latest round that a quorum answered. Alone, a leader
// is its own quorum.
func (l *leadership) confirmedAt(config *membershipLog, self uint64, now time.Time) time.Time {
	if config.quorum(func(id uint64) bool { return id == self }) {
		return now
	}
	return l.confirmed
}

// confirmRounds finds the latest round that a quorum has answered and ends the reads behind it.
func (c *Core) confirmRounds() {
	l := c.lead
	var acked []uint64
	for _, r := range c.config.current().Replicas {
		switch {
		case r.Learner:
		case r.Id == c.cfg.ID:
			acked = append(acked, l.round)
		default:
			acked = append(acked, l.progress[r.Id].acked)
		}
	}
	slices.Sort(acked)
	latest := acked[(len(acked)-1)/2]
	if latest <= l.confirmedRound {
		return
	}
	l.confirmedRound = latest
	for len(l.started) > 0 && l.started[0].number <= latest {
		l.confirmed = l.started[0].at
		l.started = l.started[1:]
	}
	c.finishReads()
}

// sendTo sends a replica what it lacks. A round reaches every replica even if it lacks nothing.
func (c *Core) sendTo(id uint64, p *progress, round bool) {
	if p.state == transferring {
		c.sendChunk(id, p, false)
		if round {
			c.sendAppend(id, 0, 0, nil)
		}
		return
	}
	prev := p.next - 1
	prevTerm, ok := c.log.term(prev)
	if !ok {
		c.startTransfer(id, p)
		return
	}
	var entries []*apiv1.LogEntry
	if !p.paused && len(p.inFlight) < c.cfg.Window {
		entries = c.log.batch(p.next, c.cfg.BatchBytes)
	}
	news := len(entries) > 0 || (p.commit < c.log.commit && p.state == replicating)
	if !news && !round {
		return
	}
	c.sendAppend(id, prev, prevTerm, entries)
	p.commit = c.log.commit
	if len(entries) == 0 {
		return
	}
	if p.state == probing {
		p.paused = true
		return
	}
	p.next += uint64(len(entries))
	p.inFlight = append(p.inFlight, p.next-1)
	if p.next <= c.log.last() {
		c.lead.wantSend = true
	}
}

func (c *Core) sendAppend(id, prev, prevTerm uint64, entries []*apiv1.LogEntry) {
	c.sendEarly(&apiv1.RaftMessage{
		Kind:    apiv1.RaftKind_RAFT_KIND_APPEND,
		To:      id,
		Index:   prev,
		LogTerm: prevTerm,
		Entries: entries,
		Commit:  c.log.commit,
		Round:   c.lead.round,
	})
}

func (c *Core) stepAppendReply(m *apiv1.RaftMessage) {
	if c.role != Leader {
		return
	}
	p := c.lead.progress[m.From]
	if p == nil {
		return
	}
	c.hear(p, m.Round)
	if m.Reject {
		c.rejected(p, m.Hint)
	} else {
		c.accepted(p, m.Index)
	}
	c.advanceCommit()
	if c.role == Leader && m.From == c.lead.transferTo {
		c.handOver()
	}
}

// advanceCommit commits what a quorum has synced.
func (c *Core) advanceCommit() {
	var synced []uint64
	for _, r := range c.config.current().Replicas {
		switch {
		case r.Learner:
		case r.Id == c.cfg.ID:
			synced = append(synced, c.log.stable)
		default:
			synced = append(synced, c.lead.progress[r.Id].match)
		}
	}
	slices.Sort(synced)
	index := synced[(len(synced)-1)/2]
	// Entries of earlier terms are committed only together with one of the own term.
	if term, ok := c.log.term(index); index <= c.log.commit || !ok || term != c.term {
		return
	}
	first := !c.committedInTerm()
	c.log.commit = index
	c.lead.wantSend = true
	if first && c.committedInTerm() {
		c.releaseReads()
	}
	if c.log.commit >= c.config.currentIndex() && !c.config.isVoter(c.cfg.ID) {
		c.becomeFollower(c.term, 0)
	}
}

// Transfer hands leadership to another voter, which must catch up first. Proposals are
// refused meanwhile, for at most an election timeout.
func (c *Core) Transfer(now time.Time, to uint64) {
	c.now = now
	if c.role != Leader || to == c.cfg.ID || !c.config.isVoter(to) || c.lead.transferTo != 0 {
		return
	}
	c.lead.transferTo = to
	c.lead.transferDeadline = now.Add(c.cfg.Election)
	c.handOver()
}

func (c *Core) handOver() {
	p := c.lead.progress[c.lead.transferTo]
	if p == nil || p.match < c.log.last() {
		c.lead.wantSend = true
		return
	}
	c.send(&apiv1.RaftMessage{Kind: apiv1.RaftKind_RAFT_KIND_TIMEOUT_NOW, To: c.lead.transferTo})
}
