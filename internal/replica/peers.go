package replica

import (
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Peer is a member of the group as this replica sees it.
type Peer struct {
	Replica *apiv1.ReplicaInfo
	// Match and Heard are known to the leader only.
	Match uint64
	Heard time.Time
	// CaughtUp is true if the replica has synced everything committed and answers.
	CaughtUp bool
}

// Peers lists the members in force.
func (c *Core) Peers() []Peer {
	var peers []Peer
	for _, r := range c.config.current().Replicas {
		peer := Peer{Replica: proto.CloneOf(r)}
		if r.Id == c.cfg.ID {
			peer.Match = c.log.stable
			peer.Heard = c.now
			peer.CaughtUp = true
		} else if c.lead != nil {
			p := c.lead.progress[r.Id]
			peer.Match = p.match
			peer.Heard = p.heard
			peer.CaughtUp = p.state == replicating && p.match >= c.log.commit && c.now.Sub(p.heard) < c.cfg.Election
		}
		peers = append(peers, peer)
	}
	return peers
}

// Membership returns the membership in force. The caller must not modify it.
func (c *Core) Membership() *apiv1.Membership {
	return c.config.current()
}

// CommittedMembership returns the membership at the last applied index. The caller must not modify it.
func (c *Core) CommittedMembership() *apiv1.Membership {
	return c.config.at(c.log.applied)
}

// Indexes returns the ends of the log.
func (c *Core) Indexes() (last, commit, applied uint64) {
	return c.log.last(), c.log.commit, c.log.applied
}

// Settled reports whether this leader has committed an entry of its term and the latest membership.
func (c *Core) Settled() bool {
	return c.role == Leader && c.committedInTerm() && c.config.currentIndex() <= c.log.commit
}
