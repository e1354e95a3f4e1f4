package control

import (
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Times of the lines about groups without a leader.
const (
	// leaderlessAfter is longer than an election that nothing hinders.
	leaderlessAfter = time.Second
	// leaderlessPause bounds the lines of one group.
	leaderlessPause = 5 * time.Second
)

// leaderless is since when a group has no known leader, and when that was logged last.
type leaderless struct {
	since  time.Time
	logged time.Time
}

// logElections tells why groups have no leader: who votes, and who has answered. It runs on the loop.
func (r *Replica) logElections(now time.Time) {
	for len(r.leaderless) < len(r.engine.groups) {
		r.leaderless = append(r.leaderless, leaderless{})
	}
	for i, g := range r.engine.groups {
		state := &r.leaderless[i]
		if g.core.Leader() != 0 {
			*state = leaderless{}
			continue
		}
		if state.since.IsZero() {
			state.since = now
		}
		if now.Sub(state.since) < leaderlessAfter || now.Sub(state.logged) < leaderlessPause {
			continue
		}
		state.logged = now
		membership := g.core.Membership()
		granted, refused := g.core.Votes()
		last, commit, _ := g.core.Indexes()
		voters, _ := memberNodes(membership)
		r.o.Log.Warn("no leader elected", "group", i, "for", now.Sub(state.since), "term", g.core.Term(), "voters", voters,
			"granted", nodesOf(membership, granted), "refused", nodesOf(membership, refused), "last", last, "commit", commit)
	}
}

// logMembership tells who votes in a group from now on.
func (r *Replica) logMembership(group uint32, next *apiv1.Membership) {
	voters, learners := memberNodes(next)
	r.o.Log.Info("membership changes", "group", group, "replicas", len(next.Replicas), "voters", voters, "learners", learners)
}

func memberNodes(m *apiv1.Membership) (voters, learners []string) {
	for _, member := range m.Replicas {
		if member.Learner {
			learners = append(learners, member.Node)
		} else {
			voters = append(voters, member.Node)
		}
	}
	return voters, learners
}

func nodesOf(m *apiv1.Membership, ids []uint64) []string {
	var nodes []string
	for _, id := range ids {
		if member := find(m, id); member != nil {
			nodes = append(nodes, member.Node)
		}
	}
	return nodes
}
