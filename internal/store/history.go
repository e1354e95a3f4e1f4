package store

import (
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// deltaLog holds the latest deltas, oldest first, with their encoded sizes.
type deltaLog struct {
	deltas []*apiv1.ConfigDelta
	sizes  []int
	bytes  int
}

// add appends a delta and drops the oldest ones while the limits are exceeded.
func (l *deltaLog) add(delta *apiv1.ConfigDelta) {
	size := proto.Size(delta)
	l.deltas = append(l.deltas, delta)
	l.sizes = append(l.sizes, size)
	l.bytes += size
	for len(l.deltas) > maxDeltas || (l.bytes > maxDeltaBytes && len(l.deltas) > 1) {
		l.bytes -= l.sizes[0]
		l.deltas = l.deltas[1:]
		l.sizes = l.sizes[1:]
	}
}

// since returns the deltas after a revision and their total size. ok is false if not all of them are available.
func (l *deltaLog) since(revision uint64) (deltas []*apiv1.ConfigDelta, bytes int, ok bool) {
	if len(l.deltas) == 0 || l.deltas[0].Revision > revision+1 {
		return nil, 0, false
	}
	first := int(revision + 1 - l.deltas[0].Revision)
	if first > len(l.deltas) {
		return nil, 0, false
	}
	for _, size := range l.sizes[first:] {
		bytes += size
	}
	return append([]*apiv1.ConfigDelta(nil), l.deltas[first:]...), bytes, true
}

// outcomeLog holds the outcomes of the latest changes, by change id and in order of arrival.
type outcomeLog struct {
	byID  map[string]*apiv1.RecordedOutcome
	order []*apiv1.RecordedOutcome
}

func newOutcomeLog() outcomeLog {
	return outcomeLog{byID: map[string]*apiv1.RecordedOutcome{}}
}

func (l *outcomeLog) get(id string) *apiv1.RecordedOutcome {
	return l.byID[id]
}

// add records an outcome and drops the oldest one if the limit is exceeded.
func (l *outcomeLog) add(outcome *apiv1.RecordedOutcome) {
	l.byID[outcome.Id] = outcome
	l.order = append(l.order, outcome)
	if len(l.order) > maxOutcomes {
		delete(l.byID, l.order[0].Id)
		l.order = l.order[1:]
	}
}

// Update is what a node needs to reach the current revision: either a snapshot, or the deltas after its own revision in
// order. Both are empty if the node lacks nothing.
type Update struct {
	Revision uint64
	Snapshot *apiv1.ConfigSnapshot
	Deltas   []*apiv1.ConfigDelta
}

// UpdateSince returns what a node at the given revision needs, as deltas or as a snapshot, whichever is smaller.
// A node that is ahead of this replica gets nothing, because a node's revision must never decrease.
func (s *Store) UpdateSince(revision uint64) Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	news := Update{Revision: s.revision}
	if revision >= s.revision {
		return news
	}
	deltas, size, ok := s.deltas.since(revision)
	if ok && size <= s.configBytes {
		news.Deltas = deltas
		return news
	}
	news.Snapshot = s.configSnapshot()
	return news
}

// ConfigSnapshot returns the whole configuration. The caller must not modify it.
func (s *Store) ConfigSnapshot() *apiv1.ConfigSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configSnapshot()
}

// configSnapshot returns the snapshot of the current revision, which it builds once. The caller holds mu.
func (s *Store) configSnapshot() *apiv1.ConfigSnapshot {
	if s.snapshot == nil {
		s.snapshot = &apiv1.ConfigSnapshot{
			Revision:      s.revision,
			Resources:     sortedResources(s.resources),
			Keys:          append([]*apiv1.KeyRecord(nil), s.keys...),
			NextKeyNumber: uint64(len(s.keys)) + 1,
		}
	}
	return s.snapshot
}

// Snapshot returns the encoded state of the store.
func (s *Store) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return proto.MarshalOptions{Deterministic: true}.Marshal(&apiv1.StoreSnapshot{
		Config:     s.configSnapshot(),
		Deltas:     s.deltas.deltas,
		Outcomes:   s.outcomes.order,
		Owners:     s.owners,
		RateShards: s.rateShards,
		RunShards:  s.runShards,
		Document:   s.document,
		Accepted:   s.accepted,
	})
}

// Restore replaces the state of the store by an encoded one from Snapshot.
func (s *Store) Restore(data []byte) error {
	var snapshot apiv1.StoreSnapshot
	if err := proto.Unmarshal(data, &snapshot); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = snapshot.GetConfig().GetRevision()
	s.keys = snapshot.GetConfig().GetKeys()
	s.owners = snapshot.Owners
	s.rateShards = snapshot.RateShards
	s.runShards = snapshot.RunShards
	s.document = snapshot.Document
	s.accepted = snapshot.Accepted
	s.snapshot = nil
	s.resources = map[resourceID]*apiv1.Resource{}
	s.configBytes = 0
	for _, resource := range snapshot.GetConfig().GetResources() {
		s.resources[resourceID{resource.Kind, resource.Name}] = resource
		s.configBytes += proto.Size(resource)
	}
	for _, key := range s.keys {
		s.configBytes += proto.Size(key)
	}
	s.deltas = deltaLog{}
	for _, delta := range snapshot.Deltas {
		s.deltas.add(delta)
	}
	s.outcomes = newOutcomeLog()
	for _, outcome := range snapshot.Outcomes {
		s.outcomes.add(outcome)
	}
	s.publish()
	return nil
}
