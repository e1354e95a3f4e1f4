package replica

import (
	"fmt"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// followLeader records that a message of the leader of the current term arrived.
func (c *Core) followLeader(m *apiv1.RaftMessage) {
	if c.role == Leader {
		panic(fmt.Sprintf("replica: group %d has two leaders in term %d: %x and %x", c.cfg.Group, c.term, c.cfg.ID, m.From))
	}
	if c.role != Follower || c.leader != m.From {
		c.becomeFollower(c.term, m.From)
	}
	c.lastLeader = c.now
	c.lastLeaderID = m.From
	c.resetElectionTimeout()
}

func (c *Core) stepAppend(m *apiv1.RaftMessage) {
	c.followLeader(m)
	reply := &apiv1.RaftMessage{Kind: apiv1.RaftKind_RAFT_KIND_APPEND_REPLY, To: m.From, Round: m.Round}
	if m.Index < c.log.commit {
		// The log up to the commit index already agrees with the leader's.
		reply.Index = c.log.commit
		c.send(reply)
		return
	}
	if term, ok := c.log.term(m.Index); !ok || term != m.LogTerm {
		reply.Reject = true
		reply.Hint = c.log.conflictHint(m.Index)
		c.send(reply)
		return
	}
	c.appendMissing(m.Entries)
	reply.Index = m.Index + uint64(len(m.Entries))
	c.log.commit = max(c.log.commit, min(m.Commit, reply.Index))
	c.send(reply)
}

// appendMissing appends the entries that the log lacks. Existing entries are dropped only where they conflict
// with the leader's, so that a delayed message does not shorten the log.
func (c *Core) appendMissing(entries []*apiv1.LogEntry) {
	for i, entry := range entries {
		if term, ok := c.log.term(entry.Index); ok && term == entry.Term {
			continue
		}
		if entry.Index <= c.log.last() {
			c.log.truncate(entry.Index)
			c.membership.truncate(entry.Index)
		}
		for _, added := range entries[i:] {
			c.log.append(added)
			c.membership.observe(added)
		}
		return
	}
}
