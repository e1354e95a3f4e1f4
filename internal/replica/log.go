package replica

import (
	"fmt"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// raftLog is the in-memory part of the log: the entries after offset.
type raftLog struct {
	offset     uint64 // index of the last compacted entry
	offsetTerm uint64
	entries    []*apiv1.LogEntry
	stable     uint64 // last index that is durable on this replica
	commit     uint64
	applied    uint64
}

func newRaftLog(state RecoveredState) raftLog {
	l := raftLog{}
	if s := state.Snapshot; s != nil {
		l.reset(s.Index, s.Term)
	}
	l.entries = append(l.entries, state.Entries...)
	l.stable = l.last()
	return l
}

// reset replaces the log by an empty one that starts after a snapshot.
func (l *raftLog) reset(index, term uint64) {
	*l = raftLog{offset: index, offsetTerm: term, stable: index, commit: index, applied: index}
}

func (l *raftLog) last() uint64 {
	return l.offset + uint64(len(l.entries))
}

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at an index; ok is false if the log does not hold it.
func (l *raftLog) term(index uint64) (term uint64, ok bool) {
	if index == l.offset {
		return l.offsetTerm, true
	}
	if index < l.offset || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

// upToDate reports whether a log that ends at (index, term) is at least as up to date as this one, by Raft's
// rule for votes.
func (l *raftLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// append adds entries at the end.
func (l *raftLog) append(entries ...*apiv1.LogEntry) {
	l.entries = append(l.entries, entries...)
}

// truncate drops the entries from index on.
func (l *raftLog) truncate(index uint64) {
	if index <= l.commit {
		panic(fmt.Sprintf("replica: entry %d can't be replaced: the log is committed up to %d", index, l.commit))
	}
	// Copied, because Ready batches that were returned earlier may still refer to the old array.
	l.entries = append([]*apiv1.LogEntry(nil), l.entries[:index-l.offset-1]...)
	l.stable = min(l.stable, index-1)
}

// from returns the entries from index on.
func (l *raftLog) from(index uint64) []*apiv1.LogEntry {
	if index <= l.offset || index > l.last() {
		return nil
	}
	return l.entries[index-l.offset-1:]
}

// batch returns entries from index on with at most size bytes of data, but at least one if there is any.
func (l *raftLog) batch(index uint64, size int) []*apiv1.LogEntry {
	entries := l.from(index)
	total := 0
	for i, entry := range entries {
		total += len(entry.Data)
		if total > size && i > 0 {
			return entries[:i:i]
		}
	}
	return entries[:len(entries):len(entries)]
}

func (l *raftLog) hasUnstable() bool {
	return l.stable < l.last()
}

func (l *raftLog) unstable() []*apiv1.LogEntry {
	entries := l.from(l.stable + 1)
	return entries[:len(entries):len(entries)]
}

func (l *raftLog) stableTo(index uint64) {
	l.stable = max(l.stable, min(index, l.last()))
}

func (l *raftLog) hasToApply() bool {
	return l.applied < l.commit
}

func (l *raftLog) toApply(limit int) []*apiv1.LogEntry {
	if !l.hasToApply() {
		return nil
	}
	entries := l.from(l.applied + 1)
	n := min(int(l.commit-l.applied), limit)
	return entries[:n:n]
}

// firstOf returns the index of the first of the last entries up to index, at most n of them with at most size bytes of data; index + 1 if
// there is none.
func (l *raftLog) firstOf(index, n uint64, size int) uint64 {
	first := index + 1
	for first > l.offset+1 && index+1-first < n {
		size -= len(l.entries[first-l.offset-2].Data)
		if size < 0 {
			break
		}
		first--
	}
	return first
}

// compact drops the entries up to index.
func (l *raftLog) compact(index uint64) {
	if index <= l.offset {
		return
	}
	term, _ := l.term(index)
	l.entries = append([]*apiv1.LogEntry(nil), l.from(index+1)...)
	l.offset = index
	l.offsetTerm = term
}

// conflictHint returns the highest index, at most the given one, at which the leader's log may agree
// with this one. It skips all entries of the conflicting entry's term.
func (l *raftLog) conflictHint(index uint64) uint64 {
	if index > l.last() {
		return l.last()
	}
	bad, ok := l.term(index)
	if !ok {
		return l.commit
	}
	for index > l.commit {
		if term, ok := l.term(index); !ok || term != bad {
			break
		}
		index--
	}
	return index
}
