package registry

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// maxHidden bounds the hidden targets of a service that updates can name. A node whose version is older than those that
// were dropped gets all targets of the service.
const maxHidden = 256

// service is the shown targets of one service.
type service struct {
	// version counts the changes; it starts at 1, since nodes say 0 when they know nothing.
	version uint64
	targets map[string]*record
	// hidden holds the version at which each target went that was shown before.
	hidden map[string]uint64
	// floor is the oldest version on which an update can build.
	floor uint64
	// digest is that of the shown targets at digestAt.
	digest   uint64
	digestAt uint64
}

func newService() *service {
	return &service{targets: make(map[string]*record), hidden: make(map[string]uint64)}
}

// note takes over a change of what is shown of a target.
func (s *service) note(id string, rec *record) {
	s.version++
	if rec.shown != nil {
		rec.shownAt = s.version
		s.targets[id] = rec
		delete(s.hidden, id)
		return
	}
	delete(s.targets, id)
	s.hidden[id] = s.version
	if len(s.hidden) > maxHidden {
		s.dropHidden()
	}
}

// dropHidden forgets the older half of the hidden targets.
func (s *service) dropHidden() {
	versions := slices.Sorted(maps.Values(s.hidden))
	s.floor = versions[len(versions)/2]
	maps.DeleteFunc(s.hidden, func(_ string, version uint64) bool { return version <= s.floor })
}

// Updates returns the services whose targets differ from what the node holds.
func (r *Relay) Updates(req *apiv1.SyncRequest) []*apiv1.ServiceUpdate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.updates(req)
}

// Fill sets the registry fields of the answer to a heartbeat.
func (r *Relay) Fill(req *apiv1.SyncRequest, resp *apiv1.SyncResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	resp.Services = r.updates(req)
	resp.Nodes = uint32(r.live)
	resp.RegistrySource = r.Source()
	resp.RegistryPartial = !r.warm
	if !r.warm {
		resp.Nodes = uint32(max(r.live, r.options.Expected))
	}
}

// absentVersion is the version of a service that has no targets yet. It differs from 0,
// by which a node says that it knows nothing, so that the node learns of the absence.
const absentVersion = math.MaxUint64

// updates returns what the node lacks of each service that it follows. Versions count only if they are this
// replica's own, and those of its warm-up only until that has ended: what a node knew before is not dropped earlier.
func (r *Relay) updates(req *apiv1.SyncRequest) []*apiv1.ServiceUpdate {
	counted := req.RegistrySource == r.Source() && req.RegistryPartial == !r.warm
	var updates []*apiv1.ServiceUpdate
	for _, held := range req.Services {
		s := r.services[held.Service]
		if s == nil {
			s = &service{version: absentVersion}
		}
		if counted && held.Version == s.version {
			continue
		}
		if !r.warm && s.version == absentVersion {
			continue
		}
		updates = append(updates, r.update(held, s, counted))
	}
	return updates
}

// update returns what a node lacks of a service.
func (r *Relay) update(held *apiv1.ServiceVersion, s *service, counted bool) *apiv1.ServiceUpdate {
	update := &apiv1.ServiceUpdate{Service: held.Service, Version: s.version, Partial: !r.warm}
	if !counted && held.Digest != 0 && held.Digest == s.currentDigest() {
		update.Unchanged = true
		return update
	}
	if counted && held.Version != 0 && held.Version >= s.floor && held.Version < s.version {
		update.Base = held.Version
	}
	for _, rec := range s.targets {
		if rec.shownAt > update.Base {
			update.Targets = append(update.Targets, rec.shown)
		}
	}
	if update.Base == 0 {
		return update
	}
	for id, version := range s.hidden {
		if version > update.Base {
			update.Hidden = append(update.Hidden, id)
		}
	}
	return update
}

// currentDigest returns the digest of the shown targets.
func (s *service) currentDigest() uint64 {
	if s.digestAt == s.version {
		return s.digest
	}
	entries := make([]digestEntry, 0, len(s.targets))
	for id, rec := range s.targets {
		entries = append(entries, digestEntry{id, rec.shown.Incarnation, rec.shown.Version, rec.shown.State})
	}
	s.digest, s.digestAt = digestOf(entries), s.version
	return s.digest
}

// digestEntry is what a digest covers of a target. Incarnation and version stand for all that the target's node says
// of it; the state may be set by replicas.
type digestEntry struct {
	id          string
	incarnation uint64
	version     uint64
	state       apiv1.TargetState
}

// digestOf returns the digest of a set of targets, 0 for none.
func digestOf(entries []digestEntry) uint64 {
	if len(entries) == 0 {
		return 0
	}
	slices.SortFunc(entries, func(a, b digestEntry) int { return cmp.Compare(a.id, b.id) })
	digest := xxhash.New()
	var buf []byte
	for _, e := range entries {
		buf = append(buf[:0], e.id...)
		buf = append(buf, 0)
		buf = binary.LittleEndian.AppendUint64(buf, e.incarnation)
		buf = binary.LittleEndian.AppendUint64(buf, e.version)
		buf = append(buf, byte(e.state))
		_, _ = digest.Write(buf)
	}
	return max(1, digest.Sum64())
}
