package follow

import (
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/board"
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/keys"
	"github.com/guavaford/guavaford/internal/vfs"
)

// configurationFile is the name of the file in which the configuration is saved for a restart.
const configurationFile = "followed-configuration.pb"

// state is the configuration that the node holds.
type state struct {
	documents *config.State
	keys      *keys.Table
	// keyRecords holds the records from which the key table was built, for the saved file.
	keyRecords map[uint64]*apiv1.KeyRecord
}

// newState returns the state before the first response.
func newState() *state {
	return &state{
		documents:  &config.State{},
		keys:       keys.NewTable(nil),
		keyRecords: make(map[uint64]*apiv1.KeyRecord),
	}
}

// applyConfiguration applies the configuration changes of a response. Changes that are not
// newer than the revision in force are ignored.
func (l *Loop) applyConfiguration(resp *apiv1.SyncResponse) error {
	next := l.state
	var err error
	if s := resp.GetSnapshot(); s.GetRevision() > next.revision() {
		if next, err = stateFromSnapshot(s); err != nil {
			return err
		}
	}
	for _, d := range resp.GetDeltas() {
		if d.GetRevision() <= next.revision() {
			continue
		}
		if next, err = next.withDelta(d); err != nil {
			return err
		}
	}
	if next == l.state {
		return nil
	}
	return l.activate(next)
}

// activate compiles a newer configuration, publishes it to the board and saves it.
func (l *Loop) activate(next *state) error {
	snapshot, err := l.compiler.Compile(next.revision(), next.documents.Resources())
	if err != nil {
		return errors.Wrapf(err, "compile configuration revision %d", next.revision())
	}
	l.state = next
	l.o.Board.Configuration.Publish(&board.Configuration{
		Revision: next.revision(),
		Snapshot: snapshot,
		Keys:     next.keys,
	})
	l.o.Log.Info("configuration in force", "revision", next.revision())
	if err := l.save(); err != nil {
		// The configuration is in force regardless; only a restart would start from an older one.
		l.o.Log.Warn("saving the configuration failed", "err", err)
	}
	return nil
}

// stateFromSnapshot returns the state with the content of a snapshot.
func stateFromSnapshot(s *apiv1.ConfigSnapshot) (*state, error) {
	n := newState()
	if err := n.documents.LoadSnapshot(s); err != nil {
		return nil, err
	}
	for _, k := range s.GetKeys() {
		n.keyRecords[k.GetNumber()] = k
	}
	n.keys = keys.NewTable(s.GetKeys())
	return n, nil
}

// revision returns the configuration revision of the state.
func (s *state) revision() uint64 {
	return s.documents.Revision()
}

// withDelta returns the state after one accepted change. It leaves s unchanged, except for the key records, which both
// states share.
func (s *state) withDelta(d *apiv1.ConfigDelta) (*state, error) {
	documents := s.documents.Clone()
	if err := documents.ApplyDelta(d); err != nil {
		return nil, err
	}
	n := &state{documents: documents, keyRecords: s.keyRecords, keys: s.keys.With(d.GetIssued(), d.GetWithdrawn())}
	n.updateKeyRecords(d)
	return n, nil
}

// updateKeyRecords adds issued keys and marks withdrawn ones. The records are shared with the older state,
// which is no longer used once the newer one is in force.
func (s *state) updateKeyRecords(d *apiv1.ConfigDelta) {
	for _, k := range d.GetIssued() {
		s.keyRecords[k.GetNumber()] = k
	}
	for _, number := range d.GetWithdrawn() {
		if k, ok := s.keyRecords[number]; ok {
			withdrawn := proto.Clone(k).(*apiv1.KeyRecord)
			withdrawn.Withdrawn = true
			s.keyRecords[number] = withdrawn
		}
	}
}

// snapshot returns the state as it is saved on disk.
func (s *state) snapshot() *apiv1.ConfigSnapshot {
	return &apiv1.ConfigSnapshot{
		Revision:  s.revision(),
		Resources: s.documents.Resources(),
		Keys:      slices.Collect(maps.Values(s.keyRecords)),
	}
}

// save writes the configuration to the folder, replacing the file atomically.
func (l *Loop) save() error {
	if l.o.DataDir == "" {
		return nil
	}
	data, err := proto.Marshal(l.state.snapshot())
	if err != nil {
		return errors.Wrap(err, "marshal configuration")
	}
	return errors.Wrap(vfs.WriteFileAtomic(l.o.FS, l.o.DataDir, configurationFile, data), "write configuration file")
}

// restore activates the saved configuration. A file with invalid content is ignored:
// the configuration then comes from the control replicas.
func (l *Loop) restore() error {
	if l.o.DataDir == "" {
		return nil
	}
	data, err := l.o.FS.ReadFile(filepath.Join(l.o.DataDir, configurationFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read saved configuration")
	}
	var saved apiv1.ConfigSnapshot
	if err := proto.Unmarshal(data, &saved); err != nil {
		l.o.Log.Warn("saved configuration is invalid and was ignored", "err", err)
		return nil
	}
	restored, err := stateFromSnapshot(&saved)
	if err == nil {
		err = l.activate(restored)
	}
	if err != nil {
		l.o.Log.Warn("saved configuration is invalid and was ignored", "err", err)
	}
	return nil
}
