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

// logElections tells why groups have no leader: who votes, and who has answered. It runs on the loop.
func (r *Replica) logElections(now time.Time) {
	for len(r.electionLogged) < len(r.engine.groups) {
		r.electionLogged = append(r.electionLogged, time.Time{})
	}
	for i, g := range r.engine.groups {
		since := r.view.Load().leaderlessSince(uint32(i))
		if since.IsZero() || now.Sub(since) < leaderlessAfter || now.Sub(r.electionLogged[i]) < leaderlessPause {
			continue
		}
		r.electionLogged[i] = now
		membership := g.core.Membership()
		granted, refused := g.core.Votes()
		last, commit, _ := g.core.Indexes()
		voters, _ := memberNodes(membership)
		r.o.Log.Warn("no leader elected", "group", i, "for", now.Sub(since), "term", g.core.Term(), "voters", voters,
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
