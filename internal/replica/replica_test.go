package replica

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// trio is a group of cores whose messages the test moves by hand.
type trio struct {
	t     *testing.T
	now   time.Time
	cores map[uint64]*Core
	// sent holds the messages that were not delivered yet.
	sent    []*apiv1.RaftMessage
	applied map[uint64][]string
	reads   map[uint64][]ReadState
	// cut holds replicas whose messages, to and from, are lost.
	cut map[uint64]bool
}

func newTrio(t *testing.T, voters, learners int) *trio {
	g := &trio{
		t:       t,
		now:     time.Unix(1_700_000_000, 0),
		cores:   map[uint64]*Core{},
		applied: map[uint64][]string{},
		reads:   map[uint64][]ReadState{},
		cut:     map[uint64]bool{},
	}
	m := &apiv1.Membership{}
	for id := 1; id <= voters+learners; id++ {
		m.Replicas = append(m.Replicas, &apiv1.ReplicaInfo{Id: uint64(id), Learner: id > voters})
	}
	snapshot := &apiv1.GroupSnapshot{Index: 1, Term: 1, Membership: m}
	for _, r := range m.Replicas {
		g.cores[r.Id] = New(Config{ID: r.Id, Rand: rand.New(rand.NewPCG(r.Id, 1))}, State{Snapshot: snapshot}, g.now)
	}
	return g
}

// process executes the ready work of a core.
func (g *trio) process(id uint64) {
	c := g.cores[id]
	for c.HasReady() {
		rd := c.Ready()
		g.sent = append(g.sent, rd.Early...)
		g.sent = append(g.sent, rd.Messages...)
		for _, entry := range rd.Committed {
			if entry.Kind == apiv1.EntryKind_ENTRY_KIND_COMMAND {
				g.applied[id] = append(g.applied[id], string(entry.Data))
			}
		}
		g.reads[id] = append(g.reads[id], rd.Reads...)
		c.Advance(rd)
	}
}

// settle delivers messages until none is left.
func (g *trio) settle() {
	for range 1000 {
		for id := range g.cores {
			g.process(id)
		}
		if len(g.sent) == 0 {
			return
		}
		batch := g.sent
		g.sent = nil
		for _, m := range batch {
			if !g.cut[m.From] && !g.cut[m.To] && g.cores[m.To] != nil {
				g.cores[m.To].Step(g.now, m)
			}
		}
	}
	g.t.Fatal("messages without end")
}

// pass lets time pass in small steps.
func (g *trio) pass(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.now = g.now.Add(20 * time.Millisecond)
		for _, c := range g.cores {
			c.Tick(g.now)
		}
		g.settle()
	}
}

// elect makes a replica the leader.
func (g *trio) elect(id uint64) *Core {
	g.cores[id].campaign(true)
	g.settle()
	require.Equal(g.t, Leader, g.cores[id].Role())
	return g.cores[id]
}

func (g *trio) propose(id uint64, data string) {
	_, _, err := g.cores[id].Propose(g.now, []byte(data))
	require.NoError(g.t, err)
}

func TestEntriesOfEarlierTermsAreNotCommittedByCount(t *testing.T) {
	g := newTrio(t, 3, 0)
	g.elect(1)
	// Replica 1 appends an entry that reaches replica 2 only, unacknowledged.
	g.propose(1, "old")
	g.process(1)
	for _, m := range g.sent {
		if m.To == 2 {
			g.cores[2].Step(g.now, m)
		}
	}
	g.sent = nil
	g.process(2)
	g.sent = nil
	// Replica 2 leads the next term. Its own first entry is lost on the way, the old one is not.
	g.cores[2].campaign(true)
	g.process(2)
	g.cores[3].Step(g.now, g.sent[len(g.sent)-1])
	g.sent = nil
	g.process(3)
	for _, m := range g.sent {
		g.cores[2].Step(g.now, m)
	}
	g.sent = nil
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
	g.process(2)
	require.Equal(t, old+1, leader.log.commit)
}

func TestReadsWaitForAnEntryOfTheTermAndARound(t *testing.T) {
	g := newTrio(t, 3, 0)
	leader := g.elect(1)
	g.propose(1, "a")
	g.settle()
	// A new leader does not know what its predecessors committed until its own entry is committed.
	g.cores[2].campaign(true)
	g.process(2)
	votes := g.sent
	g.sent = nil
	for _, m := range votes {
		g.cores[m.To].Step(g.now, m)
	}
	g.process(3)
	for _, m := range g.sent {
		g.cores[2].Step(g.now, m)
	}
	g.sent = nil
	require.Equal(t, Leader, g.cores[2].Role())
	g.cores[2].Read(g.now, 7)
	g.process(2)
	require.Empty(t, g.reads[2])
	g.settle()
	require.Equal(t, []ReadState{{ID: 7, OK: true, Index: leader.log.last()}}, g.reads[2])

	// Without answers a read is not confirmed, however recent the last round was.
	g.cut[2] = true
	g.cores[2].Read(g.now, 8)
	g.settle()
	require.Len(t, g.reads[2], 1)
	g.pass(2 * DefaultElection)
	require.Equal(t, ReadState{ID: 8}, g.reads[2][1])
	require.NotEqual(t, Leader, g.cores[2].Role(), "a leader without a quorum steps down")
}

func TestFollowerReadsThroughTheLeader(t *testing.T) {
	g := newTrio(t, 3, 0)
	g.elect(1)
	g.cores[3].Read(g.now, 5)
	g.settle()
	require.Len(t, g.reads[3], 1)
	require.True(t, g.reads[3][0].OK)
	// A late reply to a read of an earlier process means nothing.
	g.cores[3].Step(g.now, &apiv1.RaftMessage{
		Kind: apiv1.RaftKind_RAFT_KIND_READ_REPLY, From: 1, To: 3, Term: g.cores[3].Term(), Round: 99, Index: 1,
	})
	g.settle()
	require.Len(t, g.reads[3], 1)
}

func TestReplicaThatWasCutOffDoesNotDisturb(t *testing.T) {
	g := newTrio(t, 3, 0)
	leader := g.elect(1)
	term := leader.Term()
	g.cut[3] = true
	g.pass(time.Minute)
	require.Equal(t, term, g.cores[3].Term(), "without a majority in reach no term is used up")
	g.propose(1, "meanwhile")
	g.pass(time.Second)
	g.cut[3] = false
	g.pass(time.Second)
	require.Equal(t, Leader, leader.Role())
	require.Equal(t, term, leader.Term())
	require.Equal(t, []string{"meanwhile"}, g.applied[3])
}

func TestLearnersCountInNoQuorum(t *testing.T) {
	g := newTrio(t, 2, 3)
	g.elect(1)
	g.cut[2] = true
	g.propose(1, "a")
	g.settle()
	require.Empty(t, g.applied[1])
	g.cut[2] = false
	g.pass(time.Second)
	require.Equal(t, []string{"a"}, g.applied[4])
}

func TestMembershipChangesOneReplicaAtATime(t *testing.T) {
	g := newTrio(t, 3, 1)
	leader := g.elect(1)
	info := func(id uint64, learner bool) *apiv1.ReplicaInfo { return &apiv1.ReplicaInfo{Id: id, Learner: learner} }
	members := func(r ...*apiv1.ReplicaInfo) *apiv1.Membership { return &apiv1.Membership{Replicas: r} }
	two := members(info(1, false), info(2, false))
	require.ErrorIs(t, leader.ProposeMembership(g.now, two), ErrBadMembership)
	straight := members(info(1, false), info(2, false), info(3, false), info(4, true), info(5, false))
	require.ErrorIs(t, leader.ProposeMembership(g.now, straight), ErrBadMembership, "a voter was a learner before")
	promoted := members(info(1, false), info(2, false), info(3, false), info(4, false))
	require.NoError(t, leader.ProposeMembership(g.now, promoted))
	require.ErrorIs(t, leader.ProposeMembership(g.now, members(info(1, false), info(2, false), info(3, false))), ErrChangePending)
	g.settle()
	require.NoError(t, leader.ProposeMembership(g.now, members(info(2, false), info(3, false), info(4, false))))
	g.settle()
	require.NotEqual(t, Leader, leader.Role(), "a leader that was removed steps down once that is committed")
	g.pass(3 * DefaultElection)
	require.NotZero(t, g.cores[2].Leader())
	require.Equal(t, Follower, leader.Role(), "a removed replica stands for no election")
}

func TestMembershipThatIsReplacedInTheLogIsNotInForce(t *testing.T) {
	g := newTrio(t, 3, 0)
	leader := g.elect(1)
	g.cut[1] = true
	added := &apiv1.Membership{Replicas: append(leader.Membership().Replicas, &apiv1.ReplicaInfo{Id: 9, Learner: true})}
	require.NoError(t, leader.ProposeMembership(g.now, added))
	g.settle()
	require.Len(t, leader.Membership().Replicas, 4)
	g.elect(2)
	g.propose(2, "b")
	g.settle()
	g.cut[1] = false
	g.pass(time.Second)
	require.Len(t, leader.Membership().Replicas, 3)
	require.Equal(t, []string{"b"}, g.applied[1])
}

func TestLeadershipIsTransferred(t *testing.T) {
	g := newTrio(t, 3, 0)
	leader := g.elect(1)
	g.propose(1, "a")
	leader.Transfer(g.now, 3)
	_, _, err := leader.Propose(g.now, []byte("refused"))
	require.ErrorIs(t, err, ErrTransferring)
	g.settle()
	require.Equal(t, Leader, g.cores[3].Role())
	require.Equal(t, []string{"a"}, g.applied[3])

	// A transfer to a replica that does not answer ends, and the leader goes on.
	g.cut[2] = true
	g.cores[3].Transfer(g.now, 2)
	g.pass(2 * DefaultElection)
	require.Equal(t, Leader, g.cores[3].Role())
	g.propose(3, "b")
}

func TestSnapshotGoesInChunksThroughLoss(t *testing.T) {
	g := newTrio(t, 2, 1)
	data := make([]byte, 10_000)
	for i := range data {
		data[i] = byte(i)
	}
	leader := g.elect(1)
	g.cut[3] = true
	for range 20 {
		g.propose(1, "x")
		g.settle()
	}
	snapshot := leader.SnapshotAt()
	snapshot.Data = data
	broken := errors.New("not readable for now")
	leader.cfg.LoadSnapshot = func() (*apiv1.GroupSnapshot, error) { return nil, broken }
	leader.cfg.ChunkBytes = 1000
	leader.Compact(snapshot.Index, 0)
	g.cut[3] = false
	g.pass(time.Second)
	require.Empty(t, g.applied[3])
	leader.cfg.LoadSnapshot = func() (*apiv1.GroupSnapshot, error) { return snapshot, nil }

	var installed *apiv1.GroupSnapshot
	lost := 0
	for step := 0; installed == nil && step < 500; step++ {
		g.now = g.now.Add(50 * time.Millisecond)
		leader.Tick(g.now)
		g.cores[2].Tick(g.now)
		g.process(1)
		g.process(2)
		if rd := g.cores[3].Ready(); true {
			installed = rd.Snapshot
			g.sent = append(g.sent, rd.Messages...)
			g.cores[3].Advance(rd)
		}
		batch := g.sent
		g.sent = nil
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
	g.pass(time.Second)
	require.Equal(t, []string{"after"}, g.applied[3])
}

func TestLateMessagesDoNotShortenTheLog(t *testing.T) {
	g := newTrio(t, 3, 0)
	g.elect(1)
	g.propose(1, "a")
	g.process(1)
	late := g.sent
	g.settle()
	g.propose(1, "b")
	g.settle()
	for _, m := range late {
		g.cores[m.To].Step(g.now, m)
	}
	g.pass(time.Second)
	require.Equal(t, []string{"a", "b"}, g.applied[2])
	require.Equal(t, []string{"a", "b"}, g.applied[3])
}
