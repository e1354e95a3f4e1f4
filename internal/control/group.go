package control

import (
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/replica"
)

// group is one Raft group of an engine.
type group struct {
	core             *replica.Core
	machine          StateMachine
	pendingProposals map[uint64]pendingProposal
	reads            map[uint64]pendingRead
	// confirmedReads were confirmed by a quorum and wait until their index is applied.
	confirmedReads []confirmedRead

	snapshotIndex      uint64
	snapshotTerm       uint64
	snapshotBytes      int
	bytesSinceSnapshot int
	appliedIndex       uint64
	// snapshotInProgress is true while a snapshot of this group is being written asynchronously.
	snapshotInProgress bool
}

// opState is the outcome of a proposal.
type opState int

const (
	// opApplied means committed and applied; the reply is that of the state machine.
	opApplied opState = iota
	// opNotProposed means that nothing was appended to the log.
	opNotProposed
	// opLost means that another entry replaced this one in the log; it never takes effect.
	opLost
	// opUnknown means that this replica can't tell the outcome.
	opUnknown
)

// opResult is the outcome of a proposal with the reply of the state machine.
type opResult struct {
	state opState
	reply []byte
}

// pendingProposal waits for its entry to be applied. term is the term of the entry.
type pendingProposal struct {
	term uint64
	done func(opResult)
}

type pendingRead struct {
	deadline time.Time
	done     func(ok bool)
}

type confirmedRead struct {
	index uint64
	done  func(ok bool)
}

func (g *group) setSnapshot(s *apiv1.GroupSnapshot) {
	g.snapshotIndex = s.Index
	g.snapshotTerm = s.Term
	g.snapshotBytes = len(s.Data)
	g.bytesSinceSnapshot = 0
}

// failProposals ends the proposals up to an index with an unknown outcome. A snapshot that covers
// them does not tell whether they were applied.
func (g *group) failProposals(index uint64) {
	for i, proposal := range g.pendingProposals {
		if i <= index {
			delete(g.pendingProposals, i)
			proposal.done(opResult{state: opUnknown})
		}
	}
}

func (g *group) confirm(read replica.ReadState) {
	pending, ok := g.reads[read.ID]
	if !ok {
		return
	}
	delete(g.reads, read.ID)
	if !read.OK {
		pending.done(false)
		return
	}
	g.confirmedReads = append(g.confirmedReads, confirmedRead{read.Index, pending.done})
}

// finishReads completes the reads whose index is applied.
func (g *group) finishReads() {
	if len(g.confirmedReads) == 0 {
		return
	}
	var waiting []confirmedRead
	for _, read := range g.confirmedReads {
		if read.index > g.appliedIndex {
			waiting = append(waiting, read)
			continue
		}
		read.done(true)
	}
	g.confirmedReads = waiting
}
