package control

import (
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/replica"
)

// Timeouts after which a replica that sends no messages is replaced or removed.
const (
	// silentVoterTimeout is above the longest pause of a healthy process. A voter that is silent for
	// longer is replaced by a standby, if there is one, and becomes a standby itself.
	silentVoterTimeout = 2 * time.Second
	// silentStandbyTimeout is the time after which a silent standby is removed from the membership. It
	// asks for admission when it is back.
	silentStandbyTimeout = 10 * time.Second
)

// voterPolicy decides which replicas vote in group 0 if the number of voters is fixed. A voter that
// is replaced becomes a standby: a learner, which still receives the log and can be promoted again.
type voterPolicy struct {
	voters int
	// self is the replica that decides: the leader of the group. It is never replaced.
	self uint64
	// leaving reports whether a node has announced that it is about to stop.
	leaving func(node string) bool
}

// next returns the next membership; nil if nothing is to change. The affected replica and the reason
// are for the log. A standby is promoted before the voter that it replaces is demoted, so that an
// existing quorum survives both steps.
func (s *voterPolicy) next(now time.Time, peers []replica.Peer) (next *apiv1.Membership, affected *replica.Peer, reason string) {
	voters := voterCount(membershipOf(peers))
	leaving, silent := s.leavingVoter(peers), s.longestSilent(now, peers, silentVoterTimeout, false)
	if voters > s.voters {
		switch {
		case leaving != nil:
			return withVoting(peers, leaving.Replica.Id, false), leaving, "leaving voter stands by"
		case silent == nil:
			silent = s.longestSilent(now, peers, 0, false) // the replaced voter has recovered since the promotion
		}
		if silent != nil {
			return withVoting(peers, silent.Replica.Id, false), silent, "silent voter stands by"
		}
		return nil, nil, ""
	}
	if voters < s.voters || leaving != nil || silent != nil {
		promoted := promoteLearner(peers, func(member *apiv1.ReplicaInfo) bool { return !s.leaving(member.Node) })
		if promoted != nil {
			return promoted, nil, ""
		}
	}
	if expired := s.longestSilent(now, peers, silentStandbyTimeout, true); expired != nil {
		return withoutMember(membershipOf(peers), expired.Replica.Id), expired, "silent standby removed"
	}
	return nil, nil, ""
}

func (s *voterPolicy) leavingVoter(peers []replica.Peer) *replica.Peer {
	for i, p := range peers {
		if !p.Replica.Learner && p.Replica.Id != s.self && s.leaving(p.Replica.Node) {
			return &peers[i]
		}
	}
	return nil
}

// longestSilent returns the learner or the voter that has been silent longest, if that is longer than
// the limit; nil otherwise.
func (s *voterPolicy) longestSilent(now time.Time, peers []replica.Peer, limit time.Duration, learner bool) *replica.Peer {
	var longest *replica.Peer
	for i, p := range peers {
		if p.Replica.Learner != learner || p.Replica.Id == s.self || now.Sub(p.LastReply) <= limit {
			continue
		}
		if longest == nil || p.LastReply.Before(longest.LastReply) {
			longest = &peers[i]
		}
	}
	return longest
}

func (r *Replica) voterPolicy() voterPolicy {
	return voterPolicy{voters: r.o.Voters, self: r.log.Identity().Replica, leaving: r.relay.Leaving}
}

// nextMembership returns the next membership of group 0; nil if nothing is to change.
func (r *Replica) nextMembership(now time.Time, peers []replica.Peer) *apiv1.Membership {
	if r.o.Voters == 0 {
		return promoteLearner(peers, func(*apiv1.ReplicaInfo) bool { return true })
	}
	policy := r.voterPolicy()
	next, affected, reason := policy.next(now, peers)
	if affected != nil {
		r.o.Log.Info(reason, "replica", affected.Replica.Id, "node", affected.Replica.Node, "silent_for", now.Sub(affected.LastReply))
	}
	return next
}
