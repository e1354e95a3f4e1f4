package replica

import (
	"slices"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Step handles a message of another replica. Messages may be delayed, lost, duplicated or reordered.
func (c *Core) Step(now time.Time, m *apiv1.RaftMessage) {
	c.now = now
	switch {
	case m.Term > c.term:
		if !c.stepNewerTerm(m) {
			return
		}
	case m.Term < c.term:
		c.stepOlderTerm(m)
		return
	}
	switch m.Kind {
	case apiv1.RaftKind_RAFT_KIND_PRE_VOTE:
		c.stepPreVote(m)
	case apiv1.RaftKind_RAFT_KIND_PRE_VOTE_REPLY:
		c.stepPreVoteReply(m)
	case apiv1.RaftKind_RAFT_KIND_VOTE:
		c.stepVote(m)
	case apiv1.RaftKind_RAFT_KIND_VOTE_REPLY:
		c.stepVoteReply(m)
	case apiv1.RaftKind_RAFT_KIND_APPEND:
		c.stepAppend(m)
	case apiv1.RaftKind_RAFT_KIND_APPEND_REPLY:
		c.stepAppendReply(m)
	case apiv1.RaftKind_RAFT_KIND_SNAPSHOT:
		c.stepSnapshot(m)
	case apiv1.RaftKind_RAFT_KIND_SNAPSHOT_REPLY:
		c.stepSnapshotReply(m)
	case apiv1.RaftKind_RAFT_KIND_READ:
		c.stepRead(m)
	case apiv1.RaftKind_RAFT_KIND_READ_REPLY:
		c.stepReadReply(m)
	case apiv1.RaftKind_RAFT_KIND_TIMEOUT_NOW:
		c.stepTimeoutNow(m)
	}
}

// stepNewerTerm handles the newer term of a message, and reports whether the message itself is to be handled. A
// pre-vote does not change the term, and a vote request is ignored while a leader is alive.
func (c *Core) stepNewerTerm(m *apiv1.RaftMessage) bool {
	switch m.Kind {
	case apiv1.RaftKind_RAFT_KIND_PRE_VOTE:
		return true
	case apiv1.RaftKind_RAFT_KIND_PRE_VOTE_REPLY:
		if !m.Reject {
			return true
		}
	case apiv1.RaftKind_RAFT_KIND_VOTE:
		if !m.Transfer && c.hasRecentLeader() {
			return false
		}
	}
	leader := uint64(0)
	if m.Kind == apiv1.RaftKind_RAFT_KIND_APPEND || m.Kind == apiv1.RaftKind_RAFT_KIND_SNAPSHOT {
		leader = m.From
	}
	c.becomeFollower(m.Term, leader)
	return true
}

// stepOlderTerm informs the sender of an outdated message of the newer term.
func (c *Core) stepOlderTerm(m *apiv1.RaftMessage) {
	switch m.Kind {
	case apiv1.RaftKind_RAFT_KIND_PRE_VOTE:
		c.send(&apiv1.RaftMessage{Kind: apiv1.RaftKind_RAFT_KIND_PRE_VOTE_REPLY, To: m.From, Reject: true})
	case apiv1.RaftKind_RAFT_KIND_APPEND, apiv1.RaftKind_RAFT_KIND_SNAPSHOT:
		c.send(&apiv1.RaftMessage{Kind: apiv1.RaftKind_RAFT_KIND_APPEND_REPLY, To: m.From, Reject: true, Hint: c.log.commit})
	case apiv1.RaftKind_RAFT_KIND_READ:
		c.send(&apiv1.RaftMessage{Kind: apiv1.RaftKind_RAFT_KIND_READ_REPLY, To: m.From, Round: m.Round, Reject: true})
	}
}

// hasRecentLeader reports whether there has been contact with a leader, or for a leader with a quorum, within the
// election timeout. Votes are refused as long as that is so.
func (c *Core) hasRecentLeader() bool {
	if c.role == Leader {
		return c.now.Sub(c.leaderState.confirmedAt(&c.membership, c.cfg.ID, c.now)) < c.cfg.ElectionTimeout
	}
	return c.leader != 0 && c.now.Sub(c.lastLeader) < c.cfg.ElectionTimeout
}

func (c *Core) becomeFollower(term, leader uint64) {
	if c.role == Leader {
		c.failReads()
	}
	if term > c.term {
		c.term = term
		c.vote = 0
	}
	c.role = Follower
	c.leaderState = nil
	c.votes = nil
	if leader != c.leader {
		c.failForwardedReads()
	}
	c.leader = leader
	c.resetElectionTimeout()
}

// preCampaign asks the other voters whether they would grant a vote in the next term.
func (c *Core) preCampaign() {
	c.becomeFollower(c.term, 0)
	c.resetCampaignTimeout()
	c.role = PreCandidate
	c.votes = map[uint64]bool{c.cfg.ID: true}
	if c.hasVoteQuorum() {
		c.campaign(false)
		return
	}
	c.requestVotes(apiv1.RaftKind_RAFT_KIND_PRE_VOTE, c.term+1, false)
}

// campaign starts an election in the next term. A transfer is an election that the leader asked for.
func (c *Core) campaign(transfer bool) {
	c.becomeFollower(c.term+1, 0)
	c.resetCampaignTimeout()
	c.role = Candidate
	c.vote = c.cfg.ID
	c.votes = map[uint64]bool{c.cfg.ID: true}
	if c.hasVoteQuorum() {
		c.becomeLeader()
		return
	}
	c.requestVotes(apiv1.RaftKind_RAFT_KIND_VOTE, c.term, transfer)
}

func (c *Core) hasVoteQuorum() bool {
	return c.membership.quorum(func(id uint64) bool { return c.votes[id] })
}

func (c *Core) requestVotes(kind apiv1.RaftKind, term uint64, transfer bool) {
	for _, r := range c.membership.current().Replicas {
		if r.Learner || r.Id == c.cfg.ID {
			continue
		}
		c.send(&apiv1.RaftMessage{
			Kind:     kind,
			To:       r.Id,
			Term:     term,
			Index:    c.log.last(),
			LogTerm:  c.log.lastTerm(),
			Transfer: transfer,
		})
	}
}

func (c *Core) stepPreVote(m *apiv1.RaftMessage) {
	reply := &apiv1.RaftMessage{Kind: apiv1.RaftKind_RAFT_KIND_PRE_VOTE_REPLY, To: m.From}
	if m.Term > c.term && !c.hasRecentLeader() && c.log.upToDate(m.Index, m.LogTerm) {
		reply.Term = m.Term
	} else {
		reply.Reject = true
	}
	c.send(reply)
}

func (c *Core) stepPreVoteReply(m *apiv1.RaftMessage) {
	if c.role != PreCandidate {
		return
	}
	if m.Reject {
		c.votes[m.From] = false
		return
	}
	if m.Term != c.term+1 {
		return
	}
	c.votes[m.From] = true
	if c.hasVoteQuorum() {
		c.campaign(false)
	}
}

func (c *Core) stepVote(m *apiv1.RaftMessage) {
	grant := (c.vote == 0 || c.vote == m.From) && c.role == Follower && c.leader == 0 && c.log.upToDate(m.Index, m.LogTerm)
	if grant {
		c.vote = m.From
		c.resetElectionTimeout()
	}
	c.send(&apiv1.RaftMessage{Kind: apiv1.RaftKind_RAFT_KIND_VOTE_REPLY, To: m.From, Reject: !grant})
}

func (c *Core) stepVoteReply(m *apiv1.RaftMessage) {
	if c.role != Candidate {
		return
	}
	c.votes[m.From] = !m.Reject
	if c.hasVoteQuorum() {
		c.becomeLeader()
	}
}

// stepTimeoutNow starts an election at once because the leader transfers its leadership to this replica.
func (c *Core) stepTimeoutNow(m *apiv1.RaftMessage) {
	if c.role == Follower && c.leader == m.From && c.membership.isVoter(c.cfg.ID) {
		c.campaign(true)
	}
}

// Leader returns the id of the leader that this replica knows, or 0 if it knows none.
func (c *Core) Leader() uint64 {
	return c.leader
}

// Role returns the role of this replica.
func (c *Core) Role() Role {
	return c.role
}

// Votes returns the replicas that granted and refused their vote (or pre-vote) in the current campaign of this
// replica. Both lists are empty while it does not campaign.
func (c *Core) Votes() (granted, refused []uint64) {
	for id, yes := range c.votes {
		if yes {
			granted = append(granted, id)
		} else {
			refused = append(refused, id)
		}
	}
	slices.Sort(granted)
	slices.Sort(refused)
	return granted, refused
}

// Term returns the current term.
func (c *Core) Term() uint64 {
	return c.term
}

// LastLeaderContact returns when the last message of a leader arrived.
func (c *Core) LastLeaderContact() time.Time {
	return c.lastLeader
}
