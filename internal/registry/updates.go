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

// maxHidden is the maximum number of hidden targets remembered per service, so that updates can name them. A node whose
// version is older than the forgotten ones gets all targets of the service.
const maxHidden = 256

// service holds the visible targets of one service and their recent changes.
type service struct {
	// version counts the changes. The first change makes it 1, since nodes send 0 if they hold nothing.
	version uint64
	targets map[string]*record
	// hidden holds the version at which each previously visible target was hidden.
	hidden map[string]uint64
	// minBase is the oldest version on which an incremental update can be based.
	minBase uint64
	// digest is the digest of the visible targets at version digestVersion.
	digest        uint64
	digestVersion uint64
}

func newService() *service {
	return &service{targets: make(map[string]*record), hidden: make(map[string]uint64)}
}

// recordChange records that a target has become visible or hidden, or has changed while visible.
func (s *service) recordChange(id string, rec *record) {
	s.version++
	if rec.visible != nil {
		rec.visibleVersion = s.version
		s.targets[id] = rec
		delete(s.hidden, id)
		return
	}
	delete(s.targets, id)
	s.hidden[id] = s.version
	if len(s.hidden) > maxHidden {
		s.trimHidden()
	}
}

// trimHidden drops the older half of the hidden targets.
func (s *service) trimHidden() {
	versions := slices.Sorted(maps.Values(s.hidden))
	s.minBase = versions[len(versions)/2]
	maps.DeleteFunc(s.hidden, func(_ string, version uint64) bool { return version <= s.minBase })
}

// Updates returns the services whose targets differ from what the node holds.
func (r *Relay) Updates(req *apiv1.SyncRequest) []*apiv1.ServiceUpdate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.updates(req)
}

// FillResponse sets the registry fields of the response to a heartbeat.
func (r *Relay) FillResponse(req *apiv1.SyncRequest, resp *apiv1.SyncResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	resp.Services = r.updates(req)
	resp.Nodes = uint32(r.liveNodes)
	resp.RegistrySource = r.Source()
	resp.RegistryPartial = !r.warm
	if !r.warm {
		resp.Nodes = uint32(max(r.liveNodes, r.options.ExpectedNodes))
	}
}

// absentVersion is the version of a service that has had no targets yet. It differs from 0,
// which a node sends if it holds nothing, so that the node learns that there are no targets.
const absentVersion = math.MaxUint64

// updates returns an update for each subscribed service whose targets differ from what the node holds. The node's
// versions are used only if this replica process assigned them, and those from its warm-up only until that has ended:
// until then, the node drops no target that it knew before.
func (r *Relay) updates(req *apiv1.SyncRequest) []*apiv1.ServiceUpdate {
	sameSource := req.RegistrySource == r.Source() && req.RegistryPartial == !r.warm
	var updates []*apiv1.ServiceUpdate
	for _, held := range req.Services {
		s := r.services[held.Service]
		if s == nil {
			s = &service{version: absentVersion}
		}
		if sameSource && held.Version == s.version {
			continue
		}
		if !r.warm && s.version == absentVersion {
			continue
		}
		updates = append(updates, r.update(held, s, sameSource))
	}
	return updates
}

// update returns the update that brings a node from the version that it holds of a service to the current one.
// sameSource says that this replica process assigned the held version.
func (r *Relay) update(held *apiv1.ServiceVersion, s *service, sameSource bool) *apiv1.ServiceUpdate {
	update := &apiv1.ServiceUpdate{Service: held.Service, Version: s.version, Partial: !r.warm}
	if !sameSource && held.Digest != 0 && held.Digest == s.currentDigest() {
		update.Unchanged = true
		return update
	}
	if sameSource && held.Version != 0 && held.Version >= s.minBase && held.Version < s.version {
		update.Base = held.Version
	}
	for _, rec := range s.targets {
		if rec.visibleVersion > update.Base {
			update.Targets = append(update.Targets, rec.visible)
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

// currentDigest returns the digest of the visible targets.
func (s *service) currentDigest() uint64 {
	if s.digestVersion == s.version {
		return s.digest
	}
	entries := make([]digestEntry, 0, len(s.targets))
	for id, rec := range s.targets {
		entries = append(entries, digestEntry{id, rec.visible.Incarnation, rec.visible.Version, rec.visible.State})
	}
	s.digest, s.digestVersion = digestOf(entries), s.version
	return s.digest
}

// digestEntry holds the fields of a target that its digest covers. Incarnation and version identify everything that the
// target's node announced; the state is included because replicas may change it.
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
