// Package replica implements the Raft consensus algorithm for one replicated log, as a deterministic state machine.
//
// # Concepts
//
// A group is a set of replicas that agree on one log. Each replica runs a Core. A Core does
// no I/O and starts no goroutine: the caller passes the current time with every message, tick and
// proposal, and executes the work that the Core returns as a Ready batch. Tests drive the same code
// message by message.
//
//   - Terms and votes: a candidate first asks whether it could win (pre-vote), so that a replica
//     that was partitioned does not depose a working leader when it returns.
//   - Check-quorum: a leader that has had no replies from a quorum for an election timeout steps down.
//   - Sync allowance: a replica whose own syncs take long waits longer before it campaigns or steps down.
//     Votes are refused as without it, and nothing that must hold depends on these times.
//   - Rounds: the leader numbers its broadcasts. Every append carries the number of the latest round
//     and its reply echoes it, so that one broadcast confirms leadership for all pending reads.
//   - Linearizable reads: a read is answered with a log index once a quorum has replied to a round
//     that began after the read arrived. Followers forward their reads to the leader.
//   - Membership changes take effect when they are appended, one replica at a time.
//     Learners are non-voting members: they receive the log and count in no quorum.
//
// # Data flow
//
//	Step, Tick, Propose, Read -> Core -> Ready: EarlyMessages are sent at once, then Entries,
//	HardState and Snapshot are made durable, then Messages are sent and Committed entries
//	are applied, then Advance reports all of it done.
//
// A reply that acknowledges entries or grants a vote is always in Messages, so it is sent only after the sync.
// A leader sends its new entries in EarlyMessages, before its own sync; its own copy counts for the quorum only
// after that sync.
package replica

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Errors that proposals return. ErrNotLeader and ErrTransferring mean that nothing was appended.
var (
	ErrNotLeader     = errors.New("not the leader")
	ErrTransferring  = errors.New("leadership is being transferred")
	ErrChangePending = errors.New("another membership change is not committed yet")
	ErrBadMembership = errors.New("a membership change must concern exactly one replica")
)

// Default timing and sizes.
const (
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultElectionTimeout   = 450 * time.Millisecond
	DefaultBatchBytes        = 256 << 10
	DefaultChunkBytes        = 256 << 10
	DefaultMaxInFlight       = 64
	maxCommittedPerReady     = 1024
)

// syncsPerRound is how many syncs may delay a round of messages: at each end the one that runs when a message arrives, and the one that it causes.
const syncsPerRound = 4

// MaxSyncTime is the longest sync for which a replica allows: with a disk that hangs it must notice in bounded time that there is no leader.
const MaxSyncTime = time.Second

// Config holds the settings of a Core.
type Config struct {
	Group uint32
	ID    uint64
	// HeartbeatInterval is the longest time between the starts of two rounds of the leader.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the shortest time without a leader after which a replica starts an election. Each
	// replica draws a random timeout between ElectionTimeout and twice that.
	ElectionTimeout time.Duration
	// BatchBytes bounds the total size of the entries in one append message.
	BatchBytes int
	// ChunkBytes bounds the snapshot data of one message.
	ChunkBytes int
	// MaxInFlight bounds the append messages in flight to one replica.
	MaxInFlight int
	Rand        *rand.Rand
	// LoadSnapshot returns the latest durable snapshot. It is called when a follower needs one.
	LoadSnapshot func() (*apiv1.GroupSnapshot, error)
}

// RecoveredState is the state that a replica recovers from its data folder. A replica that creates a group starts
// from a snapshot in which it is the only member; one that joins a group starts empty.
type RecoveredState struct {
	HardState *apiv1.HardState
	Snapshot  *apiv1.GroupSnapshot
	Entries   []*apiv1.LogEntry
}

// Role is the role of a replica in its group.
type Role int

// Roles of a replica. A PreCandidate asks whether it could win an election that has not begun yet.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// ReadState is the result of a read that Core.Read started.
type ReadState struct {
	ID uint64
	// OK is false when no leader confirmed the read.
	OK bool
	// Index is the log index that must be applied before the caller answers the read.
	Index uint64
}

// Ready is a batch of work for the caller. The package comment gives the order in which to do it.
type Ready struct {
	EarlyMessages []*apiv1.RaftMessage
	HardState     *apiv1.HardState
	Entries       []*apiv1.LogEntry
	Snapshot      *apiv1.GroupSnapshot
	Messages      []*apiv1.RaftMessage
	Committed     []*apiv1.LogEntry
	Reads         []ReadState
}

// Core is one replica of one group. It is not safe for concurrent use.
type Core struct {
	cfg Config
	now time.Time

	term       uint64
	vote       uint64
	role       Role
	leader     uint64
	log        raftLog
	membership membershipLog

	// electionDeadline is when this replica campaigns unless it hears of a leader, but for syncAllowance.
	electionDeadline time.Time
	// syncAllowance is how much longer this replica waits for others because of its own disk.
	syncAllowance time.Duration
	// lastLeader is when the last message of a leader arrived. Votes are refused for an election timeout after it.
	lastLeader   time.Time
	lastLeaderID uint64

	votes          map[uint64]bool
	leaderState    *leaderState // nil unless this replica is the leader
	incoming       incomingSnapshot
	forwardedReads map[uint64]bool // ids of reads forwarded to the leader that have no reply yet

	nextReady       Ready                // collects messages and read results for the next Ready
	durableTermVote termAndVote          // durable term and vote
	installing      *apiv1.GroupSnapshot // received snapshot that is not durable yet
}

// termAndVote is the part of the hard state whose changes must be synced before messages that depend on them are sent.
type termAndVote struct {
	term uint64
	vote uint64
}

// New returns the core of a recovered replica. It starts as a follower.
func New(cfg Config, state RecoveredState, now time.Time) *Core {
	cfg = withDefaults(cfg)
	c := &Core{cfg: cfg, now: now, forwardedReads: map[uint64]bool{}}
	c.log = newRaftLog(state)
	c.membership = newMembershipLog(state)
	if hard := state.HardState; hard != nil {
		c.term = hard.Term
		c.vote = hard.Vote
		c.log.commit = max(c.log.commit, min(hard.Commit, c.log.last()))
	}
	c.durableTermVote = termAndVote{c.term, c.vote}
	// The short campaign timeout is safe although this replica knows no leader yet: replicas that have a
	// leader refuse the pre-vote.
	c.resetCampaignTimeout()
	return c
}

func withDefaults(cfg Config) Config {
	if cfg.HeartbeatInterval == 0 {
		cfg.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if cfg.ElectionTimeout == 0 {
		cfg.ElectionTimeout = DefaultElectionTimeout
	}
	if cfg.BatchBytes == 0 {
		cfg.BatchBytes = DefaultBatchBytes
	}
	if cfg.ChunkBytes == 0 {
		cfg.ChunkBytes = DefaultChunkBytes
	}
	if cfg.MaxInFlight == 0 {
		cfg.MaxInFlight = DefaultMaxInFlight
	}
	return cfg
}

// Tick advances the time and starts whatever is due. It must be called several times per heartbeat.
func (c *Core) Tick(now time.Time) {
	c.now = now
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if now.Before(c.electionDeadline.Add(c.syncAllowance)) {
		return
	}
	c.resetElectionTimeout()
	if c.membership.isVoter(c.cfg.ID) {
		c.preCampaign()
	}
}

// SetSyncTime states how long a sync of the log takes now. Neither Step nor Tick can be called during one, so a replica on a slow disk hears and answers
// late. It waits longer for others in return: else it would take its own delay for their silence, and each election needs further syncs.
func (c *Core) SetSyncTime(took time.Duration) {
	c.syncAllowance = syncsPerRound * min(took, MaxSyncTime)
}

// Propose appends a command to the leader's log. The returned index and term identify it: the entry
// that is committed at this index is the command only if its term is the same.
func (c *Core) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	c.now = now
	return c.propose(apiv1.EntryKind_ENTRY_KIND_COMMAND, data)
}

func (c *Core) propose(kind apiv1.EntryKind, data []byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if c.leaderState.transferTo != 0 {
		return 0, 0, ErrTransferring
	}
	entry := c.appendAsLeader(kind, data)
	c.replicate()
	return entry.Index, entry.Term, nil
}

// Ready returns the pending work. The caller executes it and then calls Advance.
func (c *Core) Ready() Ready {
	if c.role == Leader {
		c.flushLeader()
	}
	rd := c.nextReady
	c.nextReady = Ready{}
	rd.Snapshot = c.installing
	rd.Entries = c.log.unstable()
	rd.Committed = c.log.toApply(maxCommittedPerReady)
	if key := (termAndVote{c.term, c.vote}); key != c.durableTermVote || len(rd.Entries) > 0 {
		rd.HardState = &apiv1.HardState{Term: c.term, Vote: c.vote, Commit: c.log.commit}
	}
	if c.role != Leader || (termAndVote{c.term, c.vote}) != c.durableTermVote {
		rd.Messages = append(rd.EarlyMessages, rd.Messages...)
		rd.EarlyMessages = nil
	}
	return rd
}

// HasReady reports whether Ready would return any work.
func (c *Core) HasReady() bool {
	if c.role == Leader && (c.leaderState.wantRound || c.leaderState.wantSend) {
		return true
	}
	return len(c.nextReady.EarlyMessages)+len(c.nextReady.Messages)+len(c.nextReady.Reads) > 0 ||
		c.installing != nil ||
		c.log.hasUnstable() ||
		c.log.hasToApply() ||
		termAndVote{c.term, c.vote} != c.durableTermVote
}

// Advance reports that the batch was executed.
func (c *Core) Advance(rd Ready) {
	if rd.HardState != nil {
		c.durableTermVote = termAndVote{rd.HardState.Term, rd.HardState.Vote}
	}
	if rd.Snapshot != nil {
		c.installing = nil
		c.log.applied = max(c.log.applied, rd.Snapshot.Index)
	}
	if n := len(rd.Entries); n > 0 {
		c.log.stableTo(rd.Entries[n-1].Index)
	}
	if n := len(rd.Committed); n > 0 {
		c.log.applied = rd.Committed[n-1].Index
	}
	if c.role == Leader {
		c.advanceCommit()
	}
}

// Compact drops the log up to index, which a durable snapshot covers, except for the last entries of that range: at most keep of them,
// with at most keepBytes bytes of data.
func (c *Core) Compact(index uint64, keep uint64, keepBytes int) {
	if index > c.log.applied {
		return
	}
	c.membership.compact(index)
	c.log.compact(c.log.firstOf(index, keep, keepBytes) - 1)
}

// SnapshotMetadata returns the index, term and membership for a snapshot of the applied state, without its data.
func (c *Core) SnapshotMetadata() *apiv1.GroupSnapshot {
	index := c.log.applied
	term, _ := c.log.term(index)
	return &apiv1.GroupSnapshot{Index: index, Term: term, Membership: c.membership.at(index)}
}

// StateAfterSnapshot returns the hard state and the entries after the snapshot, which a rewritten log file must keep.
func (c *Core) StateAfterSnapshot(snapshotIndex uint64) (*apiv1.HardState, []*apiv1.LogEntry) {
	hard := &apiv1.HardState{Term: c.term, Vote: c.vote, Commit: c.log.commit}
	return hard, c.log.from(snapshotIndex + 1)
}

// send queues a message to be sent after the sync.
func (c *Core) send(m *apiv1.RaftMessage) {
	c.nextReady.Messages = append(c.nextReady.Messages, c.setHeader(m))
}

// sendEarly queues a message that may be sent before the sync.
func (c *Core) sendEarly(m *apiv1.RaftMessage) {
	c.nextReady.EarlyMessages = append(c.nextReady.EarlyMessages, c.setHeader(m))
}

// setHeader fills in the group, the sender and, unless it is set, the term.
func (c *Core) setHeader(m *apiv1.RaftMessage) *apiv1.RaftMessage {
	m.Group = c.cfg.Group
	m.From = c.cfg.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	return m
}

// resetCampaignTimeout draws a random time for the next attempt if this campaign fails. It is shorter than an election
// timeout: there is no leader, so it need only exceed a round trip and keep two candidates from colliding.
func (c *Core) resetCampaignTimeout() {
	spread := time.Duration(c.cfg.Rand.Int64N(int64(c.cfg.ElectionTimeout / 2)))
	c.electionDeadline = c.now.Add(c.cfg.ElectionTimeout/4 + spread)
}

// resetElectionTimeout draws a new random election timeout.
func (c *Core) resetElectionTimeout() {
	spread := time.Duration(c.cfg.Rand.Int64N(int64(c.cfg.ElectionTimeout)))
	c.electionDeadline = c.now.Add(c.cfg.ElectionTimeout + spread)
}
