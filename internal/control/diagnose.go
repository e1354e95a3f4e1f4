package control

import (
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Timing of the log lines about groups without a leader.
const (
	// leaderlessLogDelay is longer than an election that succeeds at the first attempt.
	leaderlessLogDelay = time.Second
	// leaderlessLogInterval is the shortest time between two lines about the same group.
	leaderlessLogInterval = 5 * time.Second
)

// logElections logs the groups without a leader: the voters, and which of them granted or refused
// their vote. It runs on the loop.
func (r *Replica) logElections(now time.Time) {
	for len(r.electionLogged) < len(r.engine.groups) {
		r.electionLogged = append(r.electionLogged, time.Time{})
	}
	for i, g := range r.engine.groups {
		since := r.view.Load().leaderlessSince(uint32(i))
		if since.IsZero() || now.Sub(since) < leaderlessLogDelay || now.Sub(r.electionLogged[i]) < leaderlessLogInterval {
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

// logMembership logs the proposed members of a group.
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
		if member := findMember(m, id); member != nil {
			nodes = append(nodes, member.Node)
		}
	}
	return nodes
}
