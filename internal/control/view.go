package control

import (
	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// view is what the loop publishes of its state. It is immutable.
type view struct {
	identity *apiv1.ReplicaIdentity
	groups   []groupView
	// members of group 0 in force at this replica.
	members []*apiv1.ReplicaInfo
	// admitted is true once the committed membership names this replica under its present address.
	admitted bool
}

// groupView is the leadership of one group as this replica knows it.
type groupView struct {
	leader  uint64
	settled bool // this replica leads and has committed an entry of its term
}

// publish updates the view if anything in it changed.
func (r *Replica) publish() {
	next := &view{identity: r.log.Identity()}
	for _, g := range r.engine.groups {
		next.groups = append(next.groups, groupView{leader: g.core.Leader(), settled: g.core.Settled()})
	}
	if len(r.engine.groups) > 0 {
		next.members = r.engine.groups[0].core.Membership().Replicas
		next.admitted = r.admitted()
	}
	if old := r.view.Load(); old == nil || !next.equal(old) {
		r.view.Store(next)
	}
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
	return true
}

// leads reports whether this replica leads a group and may serve it.
func (v *view) leads(group uint32) bool {
	return int(group) < len(v.groups) && v.groups[group].leader == v.identity.Replica
}

// leaderAddress returns where the leader of a group is reached; "" if it is not known.
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
