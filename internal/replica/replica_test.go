package replica

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// testGroup is a group of cores whose messages are delivered by the test.
type testGroup struct {
	t     *testing.T
	now   time.Time
	cores map[uint64]*Core
	// undelivered holds the messages that are not delivered yet.
	undelivered []*apiv1.RaftMessage
	applied     map[uint64][]string
	reads       map[uint64][]ReadState
	// isolated is the set of replicas that lose all messages to and from them.
	isolated map[uint64]bool
}

func newTestGroup(t *testing.T, voters, learners int) *testGroup {
	g := &testGroup{
		t:        t,
		now:      time.Unix(1_700_000_000, 0),
		cores:    map[uint64]*Core{},
		applied:  map[uint64][]string{},
		reads:    map[uint64][]ReadState{},
		isolated: map[uint64]bool{},
	}
	m := &apiv1.Membership{}
	for id := 1; id <= voters+learners; id++ {
		m.Replicas = append(m.Replicas, &apiv1.ReplicaInfo{Id: uint64(id), Learner: id > voters})
	}
	snapshot := &apiv1.GroupSnapshot{Index: 1, Term: 1, Membership: m}
	for _, r := range m.Replicas {
		g.cores[r.Id] = New(Config{ID: r.Id, Rand: rand.New(rand.NewPCG(r.Id, 1))}, RecoveredState{Snapshot: snapshot}, g.now)
	}
	return g
}

// processReady executes all pending work of a core.
func (g *testGroup) processReady(id uint64) {
	c := g.cores[id]
	for c.HasReady() {
		rd := c.Ready()
		g.undelivered = append(g.undelivered, rd.EarlyMessages...)
		g.undelivered = append(g.undelivered, rd.Messages...)
		for _, entry := range rd.Committed {
			if entry.Kind == apiv1.EntryKind_ENTRY_KIND_COMMAND {
				g.applied[id] = append(g.applied[id], string(entry.Data))
			}
		}
		g.reads[id] = append(g.reads[id], rd.Reads...)
		c.Advance(rd)
	}
}

// deliverAll delivers messages until there are none left.
func (g *testGroup) deliverAll() {
	for range 1000 {
		for id := range g.cores {
			g.processReady(id)
		}
		if len(g.undelivered) == 0 {
			return
		}
		batch := g.undelivered
		g.undelivered = nil
		for _, m := range batch {
			if !g.isolated[m.From] && !g.isolated[m.To] && g.cores[m.To] != nil {
				g.cores[m.To].Step(g.now, m)
			}
		}
	}
	g.t.Fatal("replicas still exchange messages after 1000 rounds of delivery")
}

// advance advances the time by d in steps of 20 ms and delivers all messages after each.
func (g *testGroup) advance(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.now = g.now.Add(20 * time.Millisecond)
		for _, c := range g.cores {
			c.Tick(g.now)
		}
		g.deliverAll()
	}
}

// elect makes a replica the leader, as if the current leader had transferred its leadership to it.
func (g *testGroup) elect(id uint64) *Core {
	g.cores[id].campaign(true)
	g.deliverAll()
	require.Equal(g.t, Leader, g.cores[id].Role())
	return g.cores[id]
}

func (g *testGroup) propose(id uint64, data string) {
	_, _, err := g.cores[id].Propose(g.now, []byte(data))
	require.NoError(g.t, err)
}

// An entry of an earlier term that a majority holds must not count as committed until an entry of the current term
// is: a later leader could still replace it, and an acknowledged command would be lost.
func TestEntriesOfEarlierTermsAreNotCommittedByCountingReplicas(t *testing.T) {
	g := newTestGroup(t, 3, 0)
	g.elect(1)
	// Replica 1 appends an entry that reaches only replica 2, and the acknowledgement is lost.
	g.propose(1, "old")
	g.processReady(1)
	for _, m := range g.undelivered {
		if m.To == 2 {
			g.cores[2].Step(g.now, m)
		}
	}
	g.undelivered = nil
	g.processReady(2)
	g.undelivered = nil
	// Replica 2 becomes the leader of the next term. Replica 3 acknowledges the old entry before replica 2's first
	// entry of the new term.
	g.cores[2].campaign(true)
	g.processReady(2)
	g.cores[3].Step(g.now, g.undelivered[len(g.undelivered)-1])
	g.undelivered = nil
	g.processReady(3)
	for _, m := range g.undelivered {
		g.cores[2].Step(g.now, m)
	}
	g.undelivered = nil
	leader := g.cores[2]
	require.Equal(t, Leader, leader.Role())
	old := leader.log.last() - 1
	before := leader.log.commit
	require.Less(t, before, old)
	leader.Step(g.now, &apiv1.RaftMessage{
		Kind: apiv1.RaftKind_RAFT_KIND_APPEND_REPLY, From: 3, To: 2, Term: leader.Term(), Index: old,
	})
	require.Equal(t, before, leader.log.commit, "a majority holds the old entry, but a later leader may still replace it")
	leader.Step(g.now, &apiv1.RaftMessage{
		Kind: apiv1.RaftKind_RAFT_KIND_APPEND_REPLY, From: 3, To: 2, Term: leader.Term(), Index: old + 1,
	})
	g.processReady(2)
	require.Equal(t, old+1, leader.log.commit)
}

// Guards against stale reads: by a new leader that does not know the commit index yet, and by a leader that lost
// its quorum without noticing.
func TestReadsWaitForAnEntryOfTheTermAndARound(t *testing.T) {
	g := newTestGroup(t, 3, 0)
	leader := g.elect(1)
	g.propose(1, "a")
	g.deliverAll()
	// A new leader does not know what earlier leaders committed until an entry of its own term is committed.
	g.cores[2].campaign(true)
	g.processReady(2)
	votes := g.undelivered
	g.undelivered = nil
	for _, m := range votes {
		g.cores[m.To].Step(g.now, m)
	}
	g.processReady(3)
	for _, m := range g.undelivered {
		g.cores[2].Step(g.now, m)
	}
	g.undelivered = nil
	require.Equal(t, Leader, g.cores[2].Role())
	g.cores[2].Read(g.now, 7)
	g.processReady(2)
	require.Empty(t, g.reads[2])
	g.deliverAll()
	require.Equal(t, []ReadState{{ID: 7, OK: true, Index: leader.log.last()}}, g.reads[2])

	// A read is not confirmed without replies, even if the last round was confirmed a moment ago.
	g.isolated[2] = true
	g.cores[2].Read(g.now, 8)
	g.deliverAll()
	require.Len(t, g.reads[2], 1)
	g.advance(2 * DefaultElectionTimeout)
	require.Equal(t, ReadState{ID: 8}, g.reads[2][1])
	require.NotEqual(t, Leader, g.cores[2].Role(), "a leader without a quorum steps down")
}

// A follower forwards its reads to the leader, and a delayed reply to a read of an earlier process run must not
// be taken for a reply to a current one.
func TestFollowerForwardsReadsToTheLeader(t *testing.T) {
	g := newTestGroup(t, 3, 0)
	g.elect(1)
	g.cores[3].Read(g.now, 5)
	g.deliverAll()
	require.Len(t, g.reads[3], 1)
	require.True(t, g.reads[3][0].OK)
	// A delayed reply to a read that the replica forwarded before a restart is ignored.
	g.cores[3].Step(g.now, &apiv1.RaftMessage{
		Kind: apiv1.RaftKind_RAFT_KIND_READ_REPLY, From: 1, To: 3, Term: g.cores[3].Term(), Round: 99, Index: 1,
	})
	g.deliverAll()
	require.Len(t, g.reads[3], 1)
}

// A replica that returns from a partition must not depose the leader with a higher term.
func TestReplicaReturningFromPartitionDoesNotDeposeTheLeader(t *testing.T) {
	g := newTestGroup(t, 3, 0)
	leader := g.elect(1)
	term := leader.Term()
	g.isolated[3] = true
	g.advance(time.Minute)
	require.Equal(t, term, g.cores[3].Term(), "a replica that reaches no majority does not increase its term")
	g.propose(1, "meanwhile")
	g.advance(time.Second)
	g.isolated[3] = false
	g.advance(time.Second)
	require.Equal(t, Leader, leader.Role())
	require.Equal(t, term, leader.Term())
	require.Equal(t, []string{"meanwhile"}, g.applied[3])
}

// setSyncTime states how long syncs take at some replicas.
func (g *testGroup) setSyncTime(took time.Duration, ids ...uint64) {
	for _, id := range ids {
		g.cores[id].SetSyncTime(took)
	}
}

// TestOwnSyncIsNotTakenForSilenceOfOthers guards against elections without end on slow disks: replicas that had all waited for their disks took the time for
// silence of the others and campaigned, or stepped down, and each election made them wait again.
func TestOwnSyncIsNotTakenForSilenceOfOthers(t *testing.T) {
	g := newTestGroup(t, 5, 0)
	leader := g.elect(1)
	term := leader.Term()
	for range 20 {
		g.advance(300 * time.Millisecond)
		g.now = g.now.Add(700 * time.Millisecond) // nothing is delivered and no timer runs meanwhile
		g.setSyncTime(700*time.Millisecond, 1, 2, 3, 4, 5)
	}
	g.advance(time.Second)
	require.Equal(t, Leader, leader.Role())
	require.Equal(t, term, leader.Term())
}

// TestSlowDisksOfAMinorityDelayNoElection guards against a replica with a slow disk that refuses its vote for longer than others, or that is waited for.
func TestSlowDisksOfAMinorityDelayNoElection(t *testing.T) {
	g := newTestGroup(t, 5, 0)
	g.elect(1)
	g.advance(time.Second)
	g.setSyncTime(MaxSyncTime, 2, 3)
	g.isolated[1] = true
	g.advance(2*DefaultElectionTimeout + DefaultElectionTimeout)
	require.Contains(t, []uint64{4, 5}, g.cores[4].Leader(), "one of those with fast disks is elected, with the votes of the others")
}

// TestHangingDisksDelayAnElectionInBounds guards against replicas that wait without a bound for a leader since their disks hung once.
func TestHangingDisksDelayAnElectionInBounds(t *testing.T) {
	g := newTestGroup(t, 5, 0)
	g.elect(1)
	g.advance(time.Second)
	g.setSyncTime(time.Hour, 1, 2, 3, 4, 5)
	g.isolated[1] = true
	g.advance(2*DefaultElectionTimeout + 2*syncsPerRound*MaxSyncTime)
	require.NotContains(t, []uint64{0, 1}, g.cores[2].Leader())
	require.NotEqual(t, Leader, g.cores[1].Role(), "a leader that reaches nobody steps down")
}

// An entry that only learners and a minority of voters hold must not be committed.
func TestLearnersCountInNoQuorum(t *testing.T) {
	g := newTestGroup(t, 2, 3)
	g.elect(1)
	g.isolated[2] = true
	g.propose(1, "a")
	g.deliverAll()
	require.Empty(t, g.applied[1])
	g.isolated[2] = false
	g.advance(time.Second)
	require.Equal(t, []string{"a"}, g.applied[4])
}

// Two memberships that differ in several replicas may have quorums that do not overlap. Also checks that a removed
// leader steps down and stays out of elections.
func TestMembershipChangesOneReplicaAtATime(t *testing.T) {
	g := newTestGroup(t, 3, 1)
	leader := g.elect(1)
	info := func(id uint64, learner bool) *apiv1.ReplicaInfo { return &apiv1.ReplicaInfo{Id: id, Learner: learner} }
	members := func(r ...*apiv1.ReplicaInfo) *apiv1.Membership { return &apiv1.Membership{Replicas: r} }
	two := members(info(1, false), info(2, false))
	require.ErrorIs(t, leader.ProposeMembership(g.now, two), ErrBadMembership)
	addedAsVoter := members(info(1, false), info(2, false), info(3, false), info(4, true), info(5, false))
	require.ErrorIs(t, leader.ProposeMembership(g.now, addedAsVoter), ErrBadMembership, "a new member must be added as a learner")
	promoted := members(info(1, false), info(2, false), info(3, false), info(4, false))
	require.NoError(t, leader.ProposeMembership(g.now, promoted))
	require.ErrorIs(t, leader.ProposeMembership(g.now, members(info(1, false), info(2, false), info(3, false))), ErrChangePending)
	g.deliverAll()
	require.NoError(t, leader.ProposeMembership(g.now, members(info(2, false), info(3, false), info(4, false))))
	g.deliverAll()
	require.NotEqual(t, Leader, leader.Role(), "a removed leader steps down once its removal is committed")
	g.advance(3 * DefaultElectionTimeout)
	require.NotZero(t, g.cores[2].Leader())
	require.Equal(t, Follower, leader.Role(), "a removed replica starts no election")
}

// An uncommitted membership must no longer be in force once another leader has replaced its log entry.
func TestMembershipThatIsReplacedInTheLogIsNotInForce(t *testing.T) {
	g := newTestGroup(t, 3, 0)
	leader := g.elect(1)
	g.isolated[1] = true
	added := &apiv1.Membership{Replicas: append(leader.Membership().Replicas, &apiv1.ReplicaInfo{Id: 9, Learner: true})}
	require.NoError(t, leader.ProposeMembership(g.now, added))
	g.deliverAll()
	require.Len(t, leader.Membership().Replicas, 4)
	g.elect(2)
	g.propose(2, "b")
	g.deliverAll()
	g.isolated[1] = false
	g.advance(time.Second)
	require.Len(t, leader.Membership().Replicas, 3)
	require.Equal(t, []string{"b"}, g.applied[1])
}

// A transfer must lose no entry and accept none meanwhile, and must not block the group if its target is silent.
func TestLeadershipIsTransferred(t *testing.T) {
	g := newTestGroup(t, 3, 0)
	leader := g.elect(1)
	g.propose(1, "a")
	leader.Transfer(g.now, 3)
	_, _, err := leader.Propose(g.now, []byte("refused"))
	require.ErrorIs(t, err, ErrTransferring)
	g.deliverAll()
	require.Equal(t, Leader, g.cores[3].Role())
	require.Equal(t, []string{"a"}, g.applied[3])

	// A transfer to a replica that does not reply is given up, and the leader accepts proposals again.
	g.isolated[2] = true
	g.cores[3].Transfer(g.now, 2)
	g.advance(2 * DefaultElectionTimeout)
	require.Equal(t, Leader, g.cores[3].Role())
	g.propose(3, "b")
}

// A replica that needs a snapshot must get it whole although loading fails at first and chunks are lost or duplicated.
func TestSnapshotTransferSurvivesLostAndDuplicatedChunks(t *testing.T) {
	g := newTestGroup(t, 2, 1)
	data := make([]byte, 10_000)
	for i := range data {
		data[i] = byte(i)
	}
	leader := g.elect(1)
	g.isolated[3] = true
	for range 20 {
		g.propose(1, "x")
		g.deliverAll()
	}
	snapshot := leader.SnapshotMetadata()
	snapshot.Data = data
	unreadable := errors.New("snapshot is temporarily unreadable")
	leader.cfg.LoadSnapshot = func() (*apiv1.GroupSnapshot, error) { return nil, unreadable }
	leader.cfg.ChunkBytes = 1000
	leader.Compact(snapshot.Index, 0, 0)
	g.isolated[3] = false
	g.advance(time.Second)
	require.Empty(t, g.applied[3])
	leader.cfg.LoadSnapshot = func() (*apiv1.GroupSnapshot, error) { return snapshot, nil }

	var installed *apiv1.GroupSnapshot
	lost := 0
	for step := 0; installed == nil && step < 500; step++ {
		g.now = g.now.Add(50 * time.Millisecond)
		leader.Tick(g.now)
		g.cores[2].Tick(g.now)
		g.processReady(1)
		g.processReady(2)
		if rd := g.cores[3].Ready(); true {
			installed = rd.Snapshot
			g.undelivered = append(g.undelivered, rd.Messages...)
			g.cores[3].Advance(rd)
		}
		batch := g.undelivered
		g.undelivered = nil
		for i, m := range batch {
			if m.Kind == apiv1.RaftKind_RAFT_KIND_SNAPSHOT && (step+i)%3 == 0 {
				lost++
				continue
			}
			g.cores[m.To].Step(g.now, m)
			g.cores[m.To].Step(g.now, m) // every message twice
		}
	}
	require.NotNil(t, installed)
	require.Equal(t, data, installed.Data)
	require.Positive(t, lost)
	g.propose(1, "after")
	g.advance(time.Second)
	require.Equal(t, []string{"after"}, g.applied[3])
}

// A delayed append must not drop entries that a later append added.
func TestLateMessagesDoNotShortenTheLog(t *testing.T) {
	g := newTestGroup(t, 3, 0)
	g.elect(1)
	g.propose(1, "a")
	g.processReady(1)
	late := g.undelivered
	g.deliverAll()
	g.propose(1, "b")
	g.deliverAll()
	for _, m := range late {
		g.cores[m.To].Step(g.now, m)
	}
	g.advance(time.Second)
	require.Equal(t, []string{"a", "b"}, g.applied[2])
	require.Equal(t, []string{"a", "b"}, g.applied[3])
}
