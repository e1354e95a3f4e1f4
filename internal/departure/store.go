// Package departure stores durably at a control replica which targets leave or have left.
//
// # Concepts
//
// A departure is the statement of a target that it leaves or is gone. It ends one run of the target, which is identified by its start, and it
// holds for later processes of the target's node too, which may get a delayed report of that run. The node therefore confirms a departure only once
// a majority of the voting replicas has stored it.
//
// A Store keeps the records of one replica in a file of their own beside its log. Add returns after the sync. Calls that arrive during a sync
// share the next one. Records end after Retention. After a start all records count as new, so that the result does not depend on the clock of
// an earlier process.
//
// A Store is complete if it can't have lost a record that it acknowledged as the present replica. It is not if its file is missing, damaged or of
// another replica. What makes it complete again is decided by package control.
//
// A full or failing disk makes Add fail and nothing else: held records stay readable, and the next Add tries again.
package departure

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/vfs"
	"github.com/guavaford/guavaford/internal/wal"
)

const (
	fileName = "departures"
	// compactBytes is the smallest size at which the file is rewritten: some two thousand records.
	compactBytes = 256 << 10
	// maxPending bounds the records that wait for a disk that doesn't respond.
	maxPending = 4096
)

// Kinds of records in the file, as their first byte.
const (
	kindDeparture byte = iota + 1
	// kindComplete states that the store is complete for the replica identity that follows, kindIncomplete that it no longer is.
	kindComplete
	kindIncomplete
)

// ErrBusy is returned while too many records wait for the disk.
var ErrBusy = errors.New("too many departures wait for the disk")

// Metrics counts the work of a store since it was opened.
type Metrics struct {
	// Records is the number of records held now.
	Records  int
	Complete bool
	Stored   uint64
	Syncs    uint64
	Bytes    uint64
	Rewrites uint64
	Failed   uint64
}

// Store holds the departures of one replica. It is safe for concurrent use.
type Store struct {
	file *wal.RecordFile
	// writing is a semaphore that is held while the file is written.
	writing chan struct{}
	// compactAt is the size at which the file is rewritten next; used only while writing is held.
	compactAt int64

	mu       sync.Mutex
	table    *table
	pending  *batch
	complete bool
	// completeFor is the identity that the last durable mark names; nil if it says that the store is incomplete.
	completeFor *apiv1.ReplicaIdentity

	stored, syncs, bytes, rewrites, failed atomic.Uint64
}

// batch is a set of records that share one sync.
type batch struct {
	records []*apiv1.TargetRecord
	now     time.Time
	// waiting is the number of calls that wait for the batch, including the one that writes it.
	waiting int
	done    chan struct{}
	err     error
}

// Open reads the store in a folder. It writes nothing; the file is created by the first write. identity is that of the replica.
func Open(fsys vfs.FS, dir string, identity *apiv1.ReplicaIdentity, now time.Time) (*Store, error) {
	file, records, intact, err := wal.OpenRecordFile(fsys, dir, fileName)
	if err != nil {
		return nil, errors.Wrap(err, "departures")
	}
	s := &Store{file: file, writing: make(chan struct{}, 1), compactAt: compactBytes, table: newTable()}
	for _, data := range records {
		if !s.replay(now, data) {
			intact = false
		}
	}
	s.complete = intact && s.completeFor != nil && identity.GetReplica() == s.completeFor.Replica && identity.GetCluster() == s.completeFor.Cluster
	if !s.complete {
		s.completeFor = nil
	}
	return s, nil
}

// replay applies a record of the file. It returns false if the record can't be decoded.
func (s *Store) replay(now time.Time, data []byte) bool {
	if len(data) == 0 {
		return false
	}
	switch data[0] {
	case kindDeparture:
		record := &apiv1.TargetRecord{}
		if proto.Unmarshal(data[1:], record) != nil {
			return false
		}
		s.table.put(now, record)
	case kindComplete:
		identity := &apiv1.ReplicaIdentity{}
		if proto.Unmarshal(data[1:], identity) != nil {
			return false
		}
		s.completeFor = identity
	case kindIncomplete:
		s.completeFor = nil
	default:
		return false
	}
	return true
}

// Add returns once the departures are durable. Records that are no departures are ignored.
func (s *Store) Add(ctx context.Context, now time.Time, records []*apiv1.TargetRecord) error {
	b, err := s.enqueue(now, records)
	if b == nil {
		return err
	}
	select {
	case <-b.done:
		return b.err
	case s.writing <- struct{}{}:
	case <-ctx.Done():
		s.abandon(b)
		return ctx.Err()
	}
	defer func() { <-s.writing }()
	select {
	case <-b.done:
		return b.err
	default:
	}
	s.mu.Lock()
	s.pending = nil
	s.mu.Unlock()
	b.err = s.commit(b)
	close(b.done)
	return b.err
}

// abandon ends the wait of one call for a batch. A batch for which no call waits is dropped, so that it does not use up the room of later ones.
func (s *Store) abandon(b *batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.waiting--
	if b.waiting == 0 && s.pending == b {
		s.pending = nil
	}
}

// enqueue adds the records that are not durable yet to the next batch. The batch is nil if there are none.
func (s *Store) enqueue(now time.Time, records []*apiv1.TargetRecord) (*batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var missing []*apiv1.TargetRecord
	perNode := make(map[string]int)
	for _, record := range records {
		switch {
		case !valid(record):
		case s.table.lacks(record):
			missing = append(missing, reduce(record))
			perNode[record.Node]++
		default:
			s.table.put(now, record)
		}
	}
	if len(missing) == 0 {
		return nil, nil
	}
	for node, more := range perNode {
		if err := s.table.checkRoom(now, node, more); err != nil {
			s.failed.Add(1)
			return nil, err
		}
	}
	if s.pending == nil {
		s.pending = &batch{done: make(chan struct{})}
	}
	if len(s.pending.records) > 0 && len(s.pending.records)+len(missing) > maxPending {
		s.failed.Add(1)
		return nil, ErrBusy
	}
	s.pending.records = append(s.pending.records, missing...)
	s.pending.now = now
	s.pending.waiting++
	return s.pending, nil
}

// commit writes a batch with one sync. The caller holds writing.
func (s *Store) commit(b *batch) error {
	s.mu.Lock()
	var data [][]byte
	for _, record := range b.records {
		if s.table.lacks(record) {
			data = append(data, encode(kindDeparture, record))
		}
	}
	s.mu.Unlock()
	if len(data) > 0 {
		if err := s.write(b.now, data); err != nil {
			s.failed.Add(1)
			return errors.Wrap(err, "departures")
		}
	}
	s.mu.Lock()
	for _, record := range b.records {
		s.table.put(b.now, record)
	}
	s.mu.Unlock()
	s.stored.Add(uint64(len(data)))
	s.compact(b.now)
	return nil
}

// write appends records, or rewrites the file with them if nothing can be appended. The caller holds writing.
func (s *Store) write(now time.Time, data [][]byte) error {
	if !s.file.Usable() {
		return s.rewrite(now, data)
	}
	before := s.file.Size()
	if err := s.file.Append(data); err != nil {
		return err
	}
	s.syncs.Add(1)
	s.bytes.Add(uint64(s.file.Size() - before))
	return nil
}

// rewrite replaces the file by one with the records held, further ones, and the mark of a complete store last. The caller holds writing.
func (s *Store) rewrite(now time.Time, more [][]byte) error {
	s.mu.Lock()
	var data [][]byte
	for _, record := range s.table.all(now) {
		data = append(data, encode(kindDeparture, record))
	}
	mark := encode(kindIncomplete, &apiv1.ReplicaIdentity{})
	if s.completeFor != nil {
		mark = encode(kindComplete, s.completeFor)
	}
	s.mu.Unlock()
	// A mark among the further records is newer than the one of the store.
	data = append(append(data, mark), more...)
	if err := s.file.Rewrite(data); err != nil {
		return err
	}
	s.syncs.Add(2)
	s.rewrites.Add(1)
	s.bytes.Add(uint64(s.file.Size()))
	s.compactAt = max(compactBytes, 2*s.file.Size())
	return nil
}

// compact rewrites the file once it is large. Without room for that the file stays as it is. The caller holds writing.
func (s *Store) compact(now time.Time) {
	if size := s.file.Size(); size >= s.compactAt && s.rewrite(now, nil) != nil {
		s.compactAt = size + compactBytes
	}
}

// Of returns the durable records of a node.
func (s *Store) Of(now time.Time, node string) []*apiv1.TargetRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.of(now, node)
}

// All returns the durable records of all nodes.
func (s *Store) All(now time.Time) []*apiv1.TargetRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.all(now)
}

// Complete reports whether no record that this replica has acknowledged can be missing.
func (s *Store) Complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete
}

// SetComplete states durably that the store is complete for an identity.
func (s *Store) SetComplete(ctx context.Context, now time.Time, identity *apiv1.ReplicaIdentity) error {
	return s.mark(ctx, now, kindComplete, identity)
}

// SetIncomplete states durably that the store is not complete. The statement takes effect at once, also if it can't be stored.
func (s *Store) SetIncomplete(ctx context.Context, now time.Time) error {
	s.mu.Lock()
	s.complete = false
	marked := s.completeFor != nil
	s.mu.Unlock()
	if !marked {
		return nil
	}
	return s.mark(ctx, now, kindIncomplete, nil)
}

func (s *Store) mark(ctx context.Context, now time.Time, kind byte, identity *apiv1.ReplicaIdentity) error {
	select {
	case s.writing <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-s.writing }()
	if err := s.write(now, [][]byte{encode(kind, identity)}); err != nil {
		return errors.Wrap(err, "departures")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.complete, s.completeFor = kind == kindComplete, identity
	return nil
}

// Metrics returns the current counters.
func (s *Store) Metrics() Metrics {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Metrics{
		Records:  s.table.count,
		Complete: s.complete,
		Stored:   s.stored.Load(),
		Syncs:    s.syncs.Load(),
		Bytes:    s.bytes.Load(),
		Rewrites: s.rewrites.Load(),
		Failed:   s.failed.Load(),
	}
}

// Close waits for a write that runs and closes the file.
func (s *Store) Close() {
	s.writing <- struct{}{}
	s.file.Close()
}

// encode returns a record of the file.
func encode(kind byte, m proto.Message) []byte {
	data, err := proto.MarshalOptions{}.MarshalAppend([]byte{kind}, m)
	if err != nil {
		panic("departure: encode record: " + err.Error())
	}
	return data
}
