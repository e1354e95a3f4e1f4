package registry

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/blackboard"
)

// maxWanted bounds the services that one node follows.
const maxWanted = 1024

// Directory is a node's view of the targets that it may call. It is safe for concurrent use.
type Directory struct {
	section *blackboard.Section[View]
	wanted  *blackboard.Section[map[string]struct{}]
	// nodes is the number of nodes of the fleet by the last answer.
	nodes atomic.Uint32

	mu sync.Mutex
	// source names the replica to which versions belong; partial is set while it has not heard all nodes.
	source  string
	partial bool
	// vouched is set once a replica that had heard all nodes has answered.
	vouched  bool
	versions map[string]uint64
	digests  map[string]uint64
}

// NewDirectory returns an empty view.
func NewDirectory() *Directory {
	return &Directory{
		section:  blackboard.NewSection(&View{Services: map[string][]*Target{}}),
		wanted:   blackboard.NewSection(&map[string]struct{}{}),
		versions: make(map[string]uint64),
		digests:  make(map[string]uint64),
	}
}

// Section returns the section that holds the current view.
func (d *Directory) Section() *blackboard.Section[View] { return d.section }

// Want makes the node follow a service from its next heartbeat on. It is cheap
// for a service that is followed already. It returns false when the node
// follows too many services.
func (d *Directory) Want(service string) bool {
	if _, ok := (*d.wanted.Load())[service]; ok {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	current := *d.wanted.Load()
	if _, ok := current[service]; ok {
		return true
	}
	if len(current) >= maxWanted {
		return false
	}
	next := maps.Clone(current)
	next[service] = struct{}{}
	d.wanted.Publish(&next)
	return true
}

// Nodes returns the number of live nodes of the fleet as a replica told last; 0 if none has.
func (d *Directory) Nodes() int { return int(d.nodes.Load()) }

// Wanted returns a channel that is closed when the node follows another service.
func (d *Directory) Wanted() <-chan struct{} {
	_, changed := d.wanted.Watch()
	return changed
}

// Vouched reports whether a replica that had heard all nodes has answered since the process started.
func (d *Directory) Vouched() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.vouched
}

// Fill sets the registry fields of a heartbeat that ask for updates.
func (d *Directory) Fill(req *apiv1.SyncRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wanted := *d.wanted.Load()
	req.RegistrySource, req.RegistryPartial = d.source, d.partial
	req.Services = make([]*apiv1.ServiceVersion, 0, len(wanted))
	for _, service := range slices.Sorted(maps.Keys(wanted)) {
		req.Services = append(req.Services, &apiv1.ServiceVersion{
			Service: service,
			Version: d.versions[service],
			Digest:  d.digests[service],
		})
	}
}

// Apply takes the registry updates of an answer over into the view. An answer
// without a source leaves the view as it is.
func (d *Directory) Apply(resp *apiv1.SyncResponse) {
	if resp.GetNodes() > 0 {
		d.nodes.Store(resp.GetNodes())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if resp.RegistrySource != "" && (resp.RegistrySource != d.source || resp.RegistryPartial != d.partial) {
		d.source, d.partial = resp.RegistrySource, resp.RegistryPartial
		d.vouched = d.vouched || !d.partial
		clear(d.versions)
	}
	if len(resp.Services) == 0 {
		return
	}
	old := d.section.Load()
	next := &View{Services: maps.Clone(old.Services), Version: old.Version + 1}
	for _, update := range resp.Services {
		d.apply(next, update)
	}
	d.section.Publish(next)
}

// apply takes one update over into a view. An update that builds on another version than the one held is not taken,
// and the next heartbeat asks for all targets.
func (d *Directory) apply(next *View, update *apiv1.ServiceUpdate) {
	name := update.Service
	if update.Base != 0 && update.Base != d.versions[name] {
		delete(d.versions, name)
		return
	}
	if !update.Unchanged {
		targets := mergeTargets(next.Services[name], update)
		next.Services[name] = targets
		d.digests[name] = digestOfTargets(targets)
	}
	d.versions[name] = update.Version
}

// digestOfTargets returns the digest of a service's targets as replicas compute it.
func digestOfTargets(targets []*Target) uint64 {
	entries := make([]digestEntry, 0, len(targets))
	for _, t := range targets {
		entries = append(entries, digestEntry{t.ID(), t.Incarnation, t.Version, t.State})
	}
	return digestOf(entries)
}

// mergeTargets returns the targets of a service after an update. A record that
// is older than the one held is not taken, since replicas differ for a moment.
func mergeTargets(held []*Target, update *apiv1.ServiceUpdate) []*Target {
	known := make(map[string]*Target, len(held))
	for _, t := range held {
		known[t.ID()] = t
	}
	merged := make(map[string]*Target, len(update.Targets))
	if update.Partial || update.Base != 0 {
		maps.Copy(merged, known)
	}
	if !update.Partial {
		for _, id := range update.Hidden {
			delete(merged, id)
		}
	}
	for _, record := range update.Targets {
		id := targetID(record.Node, record.Name)
		if old := known[id]; old != nil && newer(old.Incarnation, old.Version, record.Incarnation, record.Version) {
			merged[id] = old
			continue
		}
		if record.State == apiv1.TargetState_TARGET_STATE_GONE {
			delete(merged, id)
			continue
		}
		merged[id] = FromRecord(record)
	}
	return slices.SortedFunc(maps.Values(merged), func(a, b *Target) int { return cmp.Compare(a.ID(), b.ID()) })
}
