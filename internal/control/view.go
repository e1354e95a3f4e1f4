package control

import (
	"slices"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// view is the state of the loop that other goroutines may read. It is immutable.
type view struct {
	identity *apiv1.ReplicaIdentity
	groups   []groupView
	// members are those of the membership of group 0 that this replica uses, committed or not.
	members []*apiv1.ReplicaInfo
	// admitted is the result of Replica.admitted.
	admitted bool
	// removed are the ids of replicas that an operator removed, as far as committed here.
	removed []uint64
}

// groupView is the leadership of one group as this replica knows it.
type groupView struct {
	leader  uint64
	settled bool // this replica leads and has committed an entry of its term
	// leaderless is the time since which no leader is known; zero while one is known.
	leaderless time.Time
}

// publish stores a new view if anything in it has changed.
func (r *Replica) publish() {
	old := r.view.Load()
	next := &view{identity: r.log.Identity()}
	for i, g := range r.engine.groups {
		group := groupView{leader: g.core.Leader(), settled: g.core.CanChangeMembership()}
		if group.leader == 0 {
			group.leaderless = old.leaderlessSince(uint32(i))
			if group.leaderless.IsZero() {
				group.leaderless = r.o.Clock.Now()
			}
		}
		next.groups = append(next.groups, group)
	}
	if len(r.engine.groups) > 0 {
		core := r.engine.groups[0].core
		next.members = core.Membership().Replicas
		next.removed = core.CommittedMembership().Expelled
		next.admitted = r.admitted()
	}
	if !next.votes() {
		r.votingLapsed.Store(true)
	}
	if old == nil || !next.equal(old) {
		r.view.Store(next)
		r.logLeaders(old, next)
	}
}

// logLeaders logs the changes of leaders.
func (r *Replica) logLeaders(old, next *view) {
	for number := range next.groups {
		group := uint32(number)
		was, is := old.leaderOf(group), next.leaderOf(group)
		switch {
		case was == is:
		case is == 0:
			r.o.Log.Warn("leader lost", "group", group, "was", was)
		default:
			r.o.Log.Info("leader known", "group", group, "leader", is, "node", next.leaderNode(group), "was", was,
				"own", is == next.identity.GetReplica())
		}
	}
}

// votes reports whether this replica is a voter of the membership in use.
func (v *view) votes() bool {
	member := findMember(&apiv1.Membership{Replicas: v.members}, v.identity.GetReplica())
	return member != nil && !member.Learner
}

// leaderOf returns the leader of a group; 0 if there is none or the group does not exist here yet.
func (v *view) leaderOf(group uint32) uint64 {
	if v == nil || int(group) >= len(v.groups) {
		return 0
	}
	return v.groups[group].leader
}

// leaderlessSince returns the time since which no leader of a group is known; zero if one is known.
func (v *view) leaderlessSince(group uint32) time.Time {
	if v == nil || int(group) >= len(v.groups) {
		return time.Time{}
	}
	return v.groups[group].leaderless
}

// leaderNode returns the node of the leader of a group; "" if it is not known.
func (v *view) leaderNode(group uint32) string {
	for _, member := range v.members {
		if member.GetId() == v.leaderOf(group) {
			return member.GetNode()
		}
	}
	return ""
}

func (v *view) equal(o *view) bool {
	if v.identity != o.identity || v.admitted != o.admitted || len(v.groups) != len(o.groups) || len(v.members) != len(o.members) {
		return false
	}
	for i := range v.groups {
		if v.groups[i] != o.groups[i] {
			return false
		}
	}
	for i := range v.members {
		if v.members[i] != o.members[i] {
			return false
		}
	}
	return slices.Equal(v.removed, o.removed)
}

// leads reports whether this replica leads a group, as far as it knows.
func (v *view) leads(group uint32) bool {
	return int(group) < len(v.groups) && v.groups[group].leader == v.identity.Replica
}

// leaderAddress returns the peer address of the leader of a group; "" if it is not known.
func (v *view) leaderAddress(group uint32) string {
	if int(group) >= len(v.groups) {
		return ""
	}
	for _, member := range v.members {
		if member.Id == v.groups[group].leader {
			return member.Address
		}
	}
	return ""
}
