package control

import (
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/replica"
)

// group is one replicated group of an engine.
type group struct {
	core    *replica.Core
	machine StateMachine
	waiting map[uint64]waiter
	reads   map[uint64]pendingRead
	// confirmed reads wait until their index is applied.
	confirmed []confirmedRead

	snapshotIndex   uint64
	snapshotTerm    uint64
	snapshotBytes   int
	bytesSince      int
	appliedByEngine uint64
	// writing is true while a snapshot of this group is being written elsewhere.
	writing bool
}

// opState is the end of a proposal.
type opState int

const (
	// opApplied: committed and applied; the reply is the state machine's.
	opApplied opState = iota
	// opNotProposed: nothing was appended.
	opNotProposed
	// opLost: another entry took the place in the log; this one never takes effect.
	opLost
	// opUnknown: the outcome can't be told here.
	opUnknown
)

// opResult is the end of a proposal with its reply.
type opResult struct {
	state opState
	reply []byte
}

// waiter waits for the entry of a term at an index.
type waiter struct {
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

func (g *group) noteSnapshot(s *apiv1.GroupSnapshot) {
	g.snapshotIndex = s.Index
	g.snapshotTerm = s.Term
	g.snapshotBytes = len(s.Data)
	g.bytesSince = 0
}

// forget ends the proposals that a snapshot has passed over.
func (g *group) forget(index uint64) {
	for i, w := range g.waiting {
		if i <= index {
			delete(g.waiting, i)
			w.done(opResult{state: opUnknown})
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
	g.confirmed = append(g.confirmed, confirmedRead{read.Index, pending.done})
}

// finishReads ends the reads whose index is applied.
func (g *group) finishReads() {
	if len(g.confirmed) == 0 {
		return
	}
	var waiting []confirmedRead
	for _, read := range g.confirmed {
		if read.index > g.appliedByEngine {
			waiting = append(waiting, read)
			continue
		}
		read.done(true)
	}
	g.confirmed = waiting
}
