package replica

import (
	"slices"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Step takes a message of another replica. Messages may be late, lost, doubled or out of order.
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

// stepNewerTerm moves to the term of a message, and reports whether the message is to be handled.
func (c *Core) stepNewerTerm(m *apiv1.RaftMessage) bool {
	switch m.Kind {
	case apiv1.RaftKind_RAFT_KIND_PRE_VOTE:
		return true
	case apiv1.RaftKind_RAFT_KIND_PRE_VOTE_REPLY:
		if !m.Reject {
			return true
		}
	case apiv1.RaftKind_RAFT_KIND_VOTE:
		if !m.Transfer && c.hearsLeader() {
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

// stepOlderTerm tells the sender of an outdated message about the newer term.
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

// hearsLeader reports whether a leader was heard so recently that no election may be held.
func (c *Core) hearsLeader() bool {
	if c.role == Leader {
		return c.now.Sub(c.lead.confirmedAt(&c.config, c.cfg.ID, c.now)) < c.cfg.Election
	}
	return c.leader != 0 && c.now.Sub(c.lastLeader) < c.cfg.Election
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
	c.lead = nil
	c.votes = nil
	if leader != c.leader {
		c.failRemoteReads()
	}
	c.leader = leader
	c.resetElection()
}

// preCampaign asks whether an election could be won.
func (c *Core) preCampaign() {
	c.becomeFollower(c.term, 0)
	c.resetCampaign()
	c.role = PreCandidate
	c.votes = map[uint64]bool{c.cfg.ID: true}
	if c.wins() {
		c.campaign(false)
		return
	}
	c.requestVotes(apiv1.RaftKind_RAFT_KIND_PRE_VOTE, c.term+1, false)
}

// campaign stands for election in the next term.
func (c *Core) campaign(transfer bool) {
	c.becomeFollower(c.term+1, 0)
	c.resetCampaign()
	c.role = Candidate
	c.vote = c.cfg.ID
	c.votes = map[uint64]bool{c.cfg.ID: true}
	if c.wins() {
		c.becomeLeader()
		return
	}
	c.requestVotes(apiv1.RaftKind_RAFT_KIND_VOTE, c.term, transfer)
}

func (c *Core) wins() bool {
	return c.config.quorum(func(id uint64) bool { return c.votes[id] })
}

func (c *Core) requestVotes(kind apiv1.RaftKind, term uint64, transfer bool) {
	for _, r := range c.config.current().Replicas {
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
	if m.Term > c.term && !c.hearsLeader() && c.log.upToDate(m.Index, m.LogTerm) {
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
	if c.wins() {
		c.campaign(false)
	}
}

func (c *Core) stepVote(m *apiv1.RaftMessage) {
	grant := (c.vote == 0 || c.vote == m.From) && c.role == Follower && c.leader == 0 && c.log.upToDate(m.Index, m.LogTerm)
	if grant {
		c.vote = m.From
		c.resetElection()
	}
	c.send(&apiv1.RaftMessage{Kind: apiv1.RaftKind_RAFT_KIND_VOTE_REPLY, To: m.From, Reject: !grant})
}

func (c *Core) stepVoteReply(m *apiv1.RaftMessage) {
	if c.role != Candidate {
		return
	}
	c.votes[m.From] = !m.Reject
	if c.wins() {
		c.becomeLeader()
	}
}

// stepTimeoutNow stands for election at once, as the leader asked.
func (c *Core) stepTimeoutNow(m *apiv1.RaftMessage) {
	if c.role == Follower && c.leader == m.From && c.config.isVoter(c.cfg.ID) {
		c.campaign(true)
	}
}

// Leader returns the leader as this replica knows it; 0 if none.
func (c *Core) Leader() uint64 {
	return c.leader
}

// Role returns the role of this replica.
func (c *Core) Role() Role {
	return c.role
}

// Votes lists who has granted this replica its vote, or would, in the election that it holds, and who
// has refused. Both are empty while it holds none.
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

// LeaderHeard returns when the leader was heard last.
func (c *Core) LeaderHeard() time.Time {
	return c.lastLeader
}
