package replica

import (
	"slices"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// leaderState is the state that exists only on a leader.
type leaderState struct {
	progress map[uint64]*progress
	// termStart is the index of the empty entry that the leader appended at the start of its term.
	termStart uint64

	round          uint64       // number of the latest round
	openRounds     []roundStart // rounds that no quorum has replied to yet
	confirmedStart time.Time    // start of the latest round that a quorum replied to
	confirmedRound uint64       // number of that round
	wantRound      bool         // begin a round with the next Ready
	wantSend       bool         // send entries or the commit index with the next Ready
	reads          []pendingRead

	transferTo       uint64
	transferDeadline time.Time
}

// roundStart is the number of a round and the time when it began.
type roundStart struct {
	number uint64
	at     time.Time
}

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.cfg.ID
	c.votes = nil
	c.leaderState = &leaderState{progress: map[uint64]*progress{}, confirmedStart: c.now, wantRound: true}
	c.updateProgress()
	for id, p := range c.leaderState.progress {
		// The other replicas get the benefit of the doubt until they have had time to reply. The previous
		// leader is known to have been silent since its last message.
		p.lastReply = c.now
		if id == c.lastLeaderID {
			p.lastReply = c.lastLeader
		}
	}
	entry := c.appendAsLeader(apiv1.EntryKind_ENTRY_KIND_EMPTY, nil)
	c.leaderState.termStart = entry.Index
}

// appendAsLeader appends an entry to the log of this leader, in the current term.
func (c *Core) appendAsLeader(kind apiv1.EntryKind, data []byte) *apiv1.LogEntry {
	entry := &apiv1.LogEntry{Term: c.term, Index: c.log.last() + 1, Kind: kind, Data: data}
	c.log.append(entry)
	c.membership.observe(entry)
	if kind == apiv1.EntryKind_ENTRY_KIND_MEMBERSHIP {
		c.updateProgress()
	}
	return entry
}

// updateProgress drops the progress of removed members and adds that of new ones.
func (c *Core) updateProgress() {
	for id := range c.leaderState.progress {
		if !c.membership.isMember(id) {
			delete(c.leaderState.progress, id)
		}
	}
	for _, r := range c.membership.current().Replicas {
		if r.Id != c.cfg.ID && c.leaderState.progress[r.Id] == nil {
			// The time without a reply counts from now: a replica that never replies must not look as if it had
			// just been added.
			c.leaderState.progress[r.Id] = &progress{next: c.log.last() + 1, lastReply: c.now}
		}
	}
}

// committedInTerm reports whether an entry of the leader's current term is committed.
func (c *Core) committedInTerm() bool {
	return c.log.commit >= c.leaderState.termStart
}

// replicate requests that new entries be sent with the next Ready.
func (c *Core) replicate() {
	c.leaderState.wantSend = true
}

// tickLeader requests a round when one is due, and steps down if a quorum has been silent for too long.
func (c *Core) tickLeader() {
	if c.now.Sub(c.leaderState.confirmedAt(&c.membership, c.cfg.ID, c.now)) >= c.cfg.ElectionTimeout+c.syncAllowance {
		c.becomeFollower(c.term, 0)
		return
	}
	if c.leaderState.transferTo != 0 && c.now.After(c.leaderState.transferDeadline) {
		c.leaderState.transferTo = 0
	}
	if n := len(c.leaderState.openRounds); n == 0 || c.now.Sub(c.leaderState.openRounds[n-1].at) >= c.cfg.HeartbeatInterval {
		c.leaderState.wantRound = c.leaderState.wantRound || c.now.Sub(c.leaderState.confirmedStart) >= c.cfg.HeartbeatInterval
	}
}

// flushLeader queues the round and the appends that were requested since the last Ready.
func (c *Core) flushLeader() {
	round := c.leaderState.wantRound
	c.leaderState.wantRound = false
	if round {
		c.beginRound()
	}
	if !round && !c.leaderState.wantSend {
		return
	}
	c.leaderState.wantSend = false
	for _, r := range c.membership.current().Replicas {
		if p := c.leaderState.progress[r.Id]; p != nil {
			c.sendTo(r.Id, p, round)
		}
	}
}

func (c *Core) beginRound() {
	c.leaderState.round++
	c.leaderState.openRounds = append(c.leaderState.openRounds, roundStart{c.leaderState.round, c.now})
	c.confirmRounds()
}

// confirmedAt returns the start of the latest round that a quorum replied to. A leader that is the only
// voter is its own quorum.
func (l *leaderState) confirmedAt(membership *membershipLog, self uint64, now time.Time) time.Time {
	if membership.quorum(func(id uint64) bool { return id == self }) {
		return now
	}
	return l.confirmedStart
}

// confirmRounds finds the latest round that a quorum has replied to, and answers the reads that waited for it.
func (c *Core) confirmRounds() {
	l := c.leaderState
	var acked []uint64
	for _, r := range c.membership.current().Replicas {
		switch {
		case r.Learner:
		case r.Id == c.cfg.ID:
			acked = append(acked, l.round)
		default:
			acked = append(acked, l.progress[r.Id].ackedRound)
		}
	}
	slices.Sort(acked)
	latest := acked[(len(acked)-1)/2]
	if latest <= l.confirmedRound {
		return
	}
	l.confirmedRound = latest
	for len(l.openRounds) > 0 && l.openRounds[0].number <= latest {
		l.confirmedStart = l.openRounds[0].at
		l.openRounds = l.openRounds[1:]
	}
	c.finishReads()
}

// sendTo sends a replica the entries, commit index or snapshot chunk that it lacks. A round sends a message
// even to a replica that lacks nothing.
func (c *Core) sendTo(id uint64, p *progress, round bool) {
	if p.state == sendingSnapshot {
		c.sendChunk(id, p, false)
		if round {
			c.sendAppend(id, 0, 0, nil)
		}
		return
	}
	prev := p.next - 1
	prevTerm, ok := c.log.term(prev)
	if !ok {
		c.startSnapshot(id, p)
		return
	}
	var entries []*apiv1.LogEntry
	if !p.paused && len(p.inFlight) < c.cfg.MaxInFlight {
		entries = c.log.batch(p.next, c.cfg.BatchBytes)
	}
	news := len(entries) > 0 || (p.sentCommit < c.log.commit && p.state == replicating)
	if !news && !round {
		return
	}
	c.sendAppend(id, prev, prevTerm, entries)
	p.sentCommit = c.log.commit
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
		c.leaderState.wantSend = true
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
		Round:   c.leaderState.round,
	})
}

func (c *Core) stepAppendReply(m *apiv1.RaftMessage) {
	if c.role != Leader {
		return
	}
	p := c.leaderState.progress[m.From]
	if p == nil {
		return
	}
	c.recordReply(p, m.Round)
	if m.Reject {
		c.handleReject(p, m.Hint)
	} else {
		c.handleAccept(p, m.Index)
	}
	c.advanceCommit()
	if c.role == Leader && m.From == c.leaderState.transferTo {
		c.tryTransfer()
	}
}

// advanceCommit commits the entries that a quorum has synced.
func (c *Core) advanceCommit() {
	var synced []uint64
	for _, r := range c.membership.current().Replicas {
		switch {
		case r.Learner:
		case r.Id == c.cfg.ID:
			synced = append(synced, c.log.stable)
		default:
			synced = append(synced, c.leaderState.progress[r.Id].match)
		}
	}
	slices.Sort(synced)
	index := synced[(len(synced)-1)/2]
	// Entries of earlier terms are committed only together with an entry of the current term; otherwise a later
	// leader could still replace them.
	if term, ok := c.log.term(index); index <= c.log.commit || !ok || term != c.term {
		return
	}
	first := !c.committedInTerm()
	c.log.commit = index
	c.leaderState.wantSend = true
	if first && c.committedInTerm() {
		c.assignReadIndexes()
	}
	if c.log.commit >= c.membership.currentIndex() && !c.membership.isVoter(c.cfg.ID) {
		c.becomeFollower(c.term, 0)
	}
}

// Transfer transfers leadership to another voter once it has caught up. Proposals are refused until
// then, for at most an election timeout.
func (c *Core) Transfer(now time.Time, to uint64) {
	c.now = now
	if c.role != Leader || to == c.cfg.ID || !c.membership.isVoter(to) || c.leaderState.transferTo != 0 {
		return
	}
	c.leaderState.transferTo = to
	c.leaderState.transferDeadline = now.Add(c.cfg.ElectionTimeout)
	c.tryTransfer()
}

// tryTransfer tells the target of the transfer to start an election if its log is complete, and otherwise requests
// that the missing entries be sent.
func (c *Core) tryTransfer() {
	p := c.leaderState.progress[c.leaderState.transferTo]
	if p == nil || p.match < c.log.last() {
		c.leaderState.wantSend = true
		return
	}
	c.send(&apiv1.RaftMessage{Kind: apiv1.RaftKind_RAFT_KIND_TIMEOUT_NOW, To: c.leaderState.transferTo})
}
