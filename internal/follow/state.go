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

// keptFile is the name of the file that keeps the configuration over a restart.
const keptFile = "followed-configuration.pb"

// state is the configuration as this node holds it.
type state struct {
	documents *config.State
	keys      *keys.Table
	// records keeps what the key table was built from, for the kept file.
	records map[uint64]*apiv1.KeyRecord
}

// newState returns the state before the first answer.
func newState() *state {
	return &state{
		documents: &config.State{},
		keys:      keys.NewTable(nil),
		records:   make(map[uint64]*apiv1.KeyRecord),
	}
}

// applyConfiguration takes the configuration part of an answer over. What is not newer
// than the revision in force is ignored.
func (l *Loop) applyConfiguration(resp *apiv1.SyncResponse) error {
	next := l.state
	var err error
	if s := resp.GetSnapshot(); s.GetRevision() > next.revision() {
		if next, err = stateOf(s); err != nil {
			return err
		}
	}
	for _, d := range resp.GetDeltas() {
		if d.GetRevision() <= next.revision() {
			continue
		}
		if next, err = next.with(d); err != nil {
			return err
		}
	}
	if next == l.state {
		return nil
	}
	return l.publish(next)
}

// publish compiles a newer configuration and puts it in force.
func (l *Loop) publish(next *state) error {
	snapshot, err := l.compiler.Compile(next.revision(), next.documents.Resources())
	if err != nil {
		return errors.Wrapf(err, "revision %d", next.revision())
	}
	l.state = next
	l.o.Board.Configuration.Publish(&board.Configuration{
		Revision: next.revision(),
		Snapshot: snapshot,
		Keys:     next.keys,
	})
	l.o.Log.Info("configuration in force", "revision", next.revision())
	if err := l.keep(); err != nil {
		// The configuration holds all the same; only a restart would start from an older one.
		l.o.Log.Warn("configuration not kept", "err", err)
	}
	return nil
}

// stateOf returns the state that a snapshot describes.
func stateOf(s *apiv1.ConfigSnapshot) (*state, error) {
	n := newState()
	if err := n.documents.Load(s); err != nil {
		return nil, err
	}
	for _, k := range s.GetKeys() {
		n.records[k.GetNumber()] = k
	}
	n.keys = keys.NewTable(s.GetKeys())
	return n, nil
}

// revision returns the revision that the state holds.
func (s *state) revision() uint64 {
	return s.documents.Revision()
}

// with returns the state after one accepted change; s stays as it is but for its key records.
func (s *state) with(d *apiv1.ConfigDelta) (*state, error) {
	documents := s.documents.Clone()
	if err := documents.Add(d); err != nil {
		return nil, err
	}
	n := &state{documents: documents, records: s.records, keys: s.keys.With(d.GetIssued(), d.GetWithdrawn())}
	n.recordKeys(d)
	return n, nil
}

// recordKeys notes issued and withdrawn keys. Records are shared with the older state,
// which is not used any more once the newer one is in force.
func (s *state) recordKeys(d *apiv1.ConfigDelta) {
	for _, k := range d.GetIssued() {
		s.records[k.GetNumber()] = k
	}
	for _, number := range d.GetWithdrawn() {
		if k, ok := s.records[number]; ok {
			withdrawn := proto.Clone(k).(*apiv1.KeyRecord)
			withdrawn.Withdrawn = true
			s.records[number] = withdrawn
		}
	}
}

// snapshot returns the state as it is kept on disk.
func (s *state) snapshot() *apiv1.ConfigSnapshot {
	return &apiv1.ConfigSnapshot{
		Revision:  s.revision(),
		Resources: s.documents.Resources(),
		Keys:      slices.Collect(maps.Values(s.records)),
	}
}

// keep writes the configuration to the folder, replacing the file in one step.
func (l *Loop) keep() error {
	if l.o.Folder == "" {
		return nil
	}
	data, err := proto.Marshal(l.state.snapshot())
	if err != nil {
		return errors.Wrap(err, "keep configuration")
	}
	return errors.Wrap(vfs.Replace(l.o.FS, l.o.Folder, keptFile, data), "keep configuration")
}

// restore puts the kept configuration in force. A file that can't be read is ignored:
// the configuration then comes from the control replicas.
func (l *Loop) restore() error {
	if l.o.Folder == "" {
		return nil
	}
	data, err := l.o.FS.ReadFile(filepath.Join(l.o.Folder, keptFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "kept configuration")
	}
	var kept apiv1.ConfigSnapshot
	if err := proto.Unmarshal(data, &kept); err != nil {
		l.o.Log.Warn("kept configuration ignored", "err", err)
		return nil
	}
	restored, err := stateOf(&kept)
	if err == nil {
		err = l.publish(restored)
	}
	if err != nil {
		l.o.Log.Warn("kept configuration ignored", "err", err)
	}
	return nil
}
