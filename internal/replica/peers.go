package replica

import (
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Peer is a member of the group as this replica sees it.
type Peer struct {
	Replica *apiv1.ReplicaInfo
	// Match is the highest log index known to be synced there, and LastReply when the replica last replied. Both are
	// known only to the leader.
	Match     uint64
	LastReply time.Time
	// CaughtUp is true if the replica has synced all committed entries and has replied within the election timeout.
	CaughtUp bool
}

// Peers returns all members of the current membership, including this replica.
func (c *Core) Peers() []Peer {
	var peers []Peer
	for _, r := range c.membership.current().Replicas {
		peer := Peer{Replica: proto.CloneOf(r)}
		if r.Id == c.cfg.ID {
			peer.Match = c.log.stable
			peer.LastReply = c.now
			peer.CaughtUp = true
		} else if c.leaderState != nil {
			p := c.leaderState.progress[r.Id]
			peer.Match = p.match
			peer.LastReply = p.lastReply
			peer.CaughtUp = p.state == replicating && p.match >= c.log.commit && c.now.Sub(p.lastReply) < c.cfg.ElectionTimeout
		}
		peers = append(peers, peer)
	}
	return peers
}

// Membership returns the membership in force. The caller must not modify it.
func (c *Core) Membership() *apiv1.Membership {
	return c.membership.current()
}

// CommittedMembership returns the membership at the last applied index. The caller must not modify it.
func (c *Core) CommittedMembership() *apiv1.Membership {
	return c.membership.at(c.log.applied)
}

// Indexes returns the indexes of the last, the last committed and the last applied entry.
func (c *Core) Indexes() (last, commit, applied uint64) {
	return c.log.last(), c.log.commit, c.log.applied
}

// CanChangeMembership reports whether this replica is the leader and has committed both an entry of its term and the
// latest membership, so that it may propose another membership.
func (c *Core) CanChangeMembership() bool {
	return c.role == Leader && c.committedInTerm() && c.membership.currentIndex() <= c.log.commit
}
