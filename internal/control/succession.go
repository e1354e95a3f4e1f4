package control

import (
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/replica"
)

// Times after which a replica that gives no sign of life loses its place.
const (
	// silentVoter is above the longest pause of a healthy process. A voter that is silent for longer gives
	// its vote to a replica that stands by, if there is one.
	silentVoter = 2 * time.Second
	// silentStandby is the time after which a replica that stands by is forgotten. It asks for admission when it is back.
	silentStandby = 10 * time.Second
)

// succession decides who votes in group 0 when the number of voters is fixed. A voter that loses its place
// stands by: it goes on receiving the log, and takes the next place that gets free.
type succession struct {
	voters int
	// self is the replica that decides; it leads the group and is neither silent nor leaving.
	self uint64
	// leaving reports whether a node has said that it is about to stop.
	leaving func(node string) bool
}

// next returns the next membership; nil if nothing is to change. The replica that is concerned and the reason
// are for the log. A standby votes before the voter that it replaces stands by: whatever quorum there is outlasts both steps.
func (s *succession) next(now time.Time, peers []replica.Peer) (next *apiv1.Membership, concerned *replica.Peer, reason string) {
	voters := voterCount(membershipOf(peers))
	leaving, silent := s.leavingVoter(peers), s.longestSilent(now, peers, silentVoter, false)
	if voters > s.voters {
		switch {
		case leaving != nil:
			return withVote(peers, leaving.Replica.Id, false), leaving, "leaving voter stands by"
		case silent == nil:
			silent = s.longestSilent(now, peers, 0, false) // the reason has gone since the standby got its vote
		}
		if silent != nil {
			return withVote(peers, silent.Replica.Id, false), silent, "silent voter stands by"
		}
		return nil, nil, ""
	}
	if voters < s.voters || leaving != nil || silent != nil {
		promoted := promotion(peers, func(member *apiv1.ReplicaInfo) bool { return !s.leaving(member.Node) })
		if promoted != nil {
			return promoted, nil, ""
		}
	}
	if forgotten := s.longestSilent(now, peers, silentStandby, true); forgotten != nil {
		return without(membershipOf(peers), forgotten.Replica.Id), forgotten, "silent standby removed"
	}
	return nil, nil, ""
}

func (s *succession) leavingVoter(peers []replica.Peer) *replica.Peer {
	for i, p := range peers {
		if !p.Replica.Learner && p.Replica.Id != s.self && s.leaving(p.Replica.Node) {
			return &peers[i]
		}
	}
	return nil
}

// longestSilent returns the learner or the voter that has been silent longest, if for longer than the limit.
func (s *succession) longestSilent(now time.Time, peers []replica.Peer, limit time.Duration, learner bool) *replica.Peer {
	var longest *replica.Peer
	for i, p := range peers {
		if p.Replica.Learner != learner || p.Replica.Id == s.self || now.Sub(p.Heard) <= limit {
			continue
		}
		if longest == nil || p.Heard.Before(longest.Heard) {
			longest = &peers[i]
		}
	}
	return longest
}

func (r *Replica) succession() succession {
	return succession{voters: r.o.Voters, self: r.log.Identity().Replica, leaving: r.relay.Leaving}
}

// nextMembership returns the next membership of group 0; nil if nothing is to change.
func (r *Replica) nextMembership(now time.Time, peers []replica.Peer) *apiv1.Membership {
	if r.o.Voters == 0 {
		return promotion(peers, func(*apiv1.ReplicaInfo) bool { return true })
	}
	s := r.succession()
	next, concerned, reason := s.next(now, peers)
	if concerned != nil {
		r.o.Log.Info(reason, "replica", concerned.Replica.Id, "node", concerned.Replica.Node, "silent_for", now.Sub(concerned.Heard))
	}
	return next
}
