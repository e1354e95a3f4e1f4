package replica

import (
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// membershipLog holds the membership of the latest snapshot and those of the log entries after it.
// The last one is in force, whether it is committed or not.
type membershipLog struct {
	list []indexedMembership
}

type indexedMembership struct {
	index      uint64
	membership *apiv1.Membership
}

func newMembershipLog(state RecoveredState) membershipLog {
	l := membershipLog{list: []indexedMembership{{membership: &apiv1.Membership{}}}}
	if s := state.Snapshot; s != nil {
		l.reset(s.Index, s.Membership)
	}
	for _, entry := range state.Entries {
		l.observe(entry)
	}
	return l
}

func (l *membershipLog) reset(index uint64, m *apiv1.Membership) {
	if m == nil {
		m = &apiv1.Membership{}
	}
	l.list = []indexedMembership{{index, m}}
}

// observe adds the membership of an appended entry, if it has one.
func (l *membershipLog) observe(entry *apiv1.LogEntry) {
	if entry.Kind != apiv1.EntryKind_ENTRY_KIND_MEMBERSHIP {
		return
	}
	m := &apiv1.Membership{}
	if err := proto.Unmarshal(entry.Data, m); err != nil {
		panic("replica: decoding a membership entry: " + err.Error())
	}
	l.list = append(l.list, indexedMembership{entry.Index, m})
}

// truncate drops the memberships from index on.
func (l *membershipLog) truncate(index uint64) {
	n := len(l.list)
	for n > 1 && l.list[n-1].index >= index {
		n--
	}
	l.list = l.list[:n]
}

// compact drops the memberships that a snapshot at index covers, except for the one in force at index.
func (l *membershipLog) compact(index uint64) {
	for len(l.list) > 1 && l.list[1].index <= index {
		l.list = l.list[1:]
	}
}

func (l *membershipLog) current() *apiv1.Membership {
	return l.list[len(l.list)-1].membership
}

func (l *membershipLog) currentIndex() uint64 {
	return l.list[len(l.list)-1].index
}

// at returns the membership in force at index.
func (l *membershipLog) at(index uint64) *apiv1.Membership {
	found := l.list[0].membership
	for _, m := range l.list {
		if m.index <= index {
			found = m.membership
		}
	}
	return found
}

func (l *membershipLog) isVoter(id uint64) bool {
	for _, r := range l.current().Replicas {
		if r.Id == id {
			return !r.Learner
		}
	}
	return false
}

func (l *membershipLog) isMember(id uint64) bool {
	for _, r := range l.current().Replicas {
		if r.Id == id {
			return true
		}
	}
	return false
}

// voters returns the number of voters for which fn is true, and the number of all voters.
func (l *membershipLog) voters(fn func(id uint64) bool) (yes, all int) {
	for _, r := range l.current().Replicas {
		if r.Learner {
			continue
		}
		all++
		if fn(r.Id) {
			yes++
		}
	}
	return yes, all
}

// quorum reports whether fn is true for a majority of the voters.
func (l *membershipLog) quorum(fn func(id uint64) bool) bool {
	yes, all := l.voters(fn)
	return yes > all/2
}

// ProposeMembership appends a membership that differs from the current one in exactly one replica, which
// is added as a learner, promoted to voter, removed, or gets another address.
func (c *Core) ProposeMembership(now time.Time, m *apiv1.Membership) error {
	c.now = now
	if c.role != Leader {
		return ErrNotLeader
	}
	// An entry of the leader's current term must be committed first. Otherwise two leaders could change the
	// same membership without knowing of each other's change, and their quorums might not overlap.
	if c.membership.currentIndex() > c.log.commit || !c.committedInTerm() {
		return ErrChangePending
	}
	if !differsByOne(c.membership.current(), m) {
		return ErrBadMembership
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	_, _, err = c.propose(apiv1.EntryKind_ENTRY_KIND_MEMBERSHIP, data)
	return err
}

// differsByOne reports whether two memberships differ in exactly one replica and the new one has a voter.
// A replica that is added must be a learner.
func differsByOne(from, to *apiv1.Membership) bool {
	before := map[uint64]*apiv1.ReplicaInfo{}
	for _, r := range from.Replicas {
		before[r.Id] = r
	}
	changes, voters := 0, 0
	for _, r := range to.Replicas {
		if !r.Learner {
			voters++
		}
		old := before[r.Id]
		delete(before, r.Id)
		if old == nil && !r.Learner {
			return false
		}
		if old == nil || !proto.Equal(old, r) {
			changes++
		}
	}
	return changes+len(before) == 1 && voters > 0
}
