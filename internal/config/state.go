package config

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// State holds the documents of one revision and applies snapshots and deltas to them.
// It is not safe for concurrent use. The zero value is the empty configuration.
type State struct {
	revision  uint64
	documents map[fieldKey]*apiv1.Resource
}

// Revision returns the revision of the last snapshot or delta.
func (s *State) Revision() uint64 {
	return s.revision
}

// LoadSnapshot replaces the state by a snapshot. For a snapshot of an older revision it returns an error
// and changes nothing.
func (s *State) LoadSnapshot(snapshot *apiv1.ConfigSnapshot) error {
	if snapshot.GetRevision() < s.revision {
		return errors.Errorf("snapshot of revision %d came after revision %d", snapshot.GetRevision(), s.revision)
	}
	s.revision = snapshot.GetRevision()
	s.documents = make(map[fieldKey]*apiv1.Resource, len(snapshot.GetResources()))
	for _, r := range snapshot.GetResources() {
		s.documents[fieldKey{kind: r.GetKind(), name: r.GetName()}] = r
	}
	return nil
}

// Clone returns a copy that changes independently of s. Both share the documents themselves.
func (s *State) Clone() *State {
	return &State{revision: s.revision, documents: maps.Clone(s.documents)}
}

// ApplyDelta applies the delta of the next revision: deletes first, then upserts. For a delta of any other
// revision it returns an error and changes nothing.
func (s *State) ApplyDelta(delta *apiv1.ConfigDelta) error {
	if delta.GetRevision() != s.revision+1 {
		return errors.Errorf("delta of revision %d came after revision %d", delta.GetRevision(), s.revision)
	}
	if s.documents == nil {
		s.documents = map[fieldKey]*apiv1.Resource{}
	}
	s.revision = delta.GetRevision()
	for _, r := range delta.GetDeletes() {
		delete(s.documents, fieldKey{kind: r.GetKind(), name: r.GetName()})
	}
	for _, r := range delta.GetUpserts() {
		s.documents[fieldKey{kind: r.GetKind(), name: r.GetName()}] = r
	}
	return nil
}

// Resources returns the documents sorted by kind and name.
func (s *State) Resources() []*apiv1.Resource {
	all := make([]*apiv1.Resource, 0, len(s.documents))
	for _, r := range s.documents {
		all = append(all, r)
	}
	slices.SortFunc(all, compareResources)
	return all
}
