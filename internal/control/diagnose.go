package control

import (
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Timing of the log lines about groups without a leader and about slow disks.
const (
	// leaderlessLogDelay is longer than an election that succeeds at the first attempt.
	leaderlessLogDelay = time.Second
	// leaderlessLogInterval is the shortest time between two lines about the same group.
	leaderlessLogInterval = 5 * time.Second
	// slowSyncTime is the shortest sync that is logged: with longer ones elections and heartbeats are late.
	slowSyncTime = 100 * time.Millisecond
	// slowSyncLogInterval is the shortest time between two lines about slow syncs.
	slowSyncLogInterval = time.Second
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
			"granted", nodesOf(membership, granted), "refused", nodesOf(membership, refused), "last", last, "commit", commit,
			"sync_time", r.engine.syncTime.estimate(now))
	}
}

// logSlowSync logs that the last sync of the log was slow. It runs on the loop.
func (r *Replica) logSlowSync(now time.Time) {
	s := &r.engine.syncTime
	if s.last < slowSyncTime || now.Sub(r.slowSyncLogged) < slowSyncLogInterval {
		return
	}
	r.slowSyncLogged = now
	r.o.Log.Warn("slow sync", "took", s.last, "sync_time", s.estimate(now))
	s.last = 0
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
