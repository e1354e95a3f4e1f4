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

// maxSubscriptions is the maximum number of services to which one node subscribes.
const maxSubscriptions = 1024

// Directory is a node's copy of the targets of the services to which it subscribes.
// It is safe for concurrent use.
type Directory struct {
	section       *blackboard.Section[View]
	subscriptions *blackboard.Section[map[string]struct{}]
	// nodes is the number of live nodes in the fleet, from the last response that stated it.
	nodes atomic.Uint32

	mu sync.Mutex
	// source identifies the replica process that assigned versions. partial is set while that
	// replica is still warming up and may lack nodes.
	source  string
	partial bool
	// synced is set once a replica that had completed its warm-up has responded.
	synced   bool
	versions map[string]uint64
	digests  map[string]uint64
}

// NewDirectory returns a directory with no targets and no subscriptions.
func NewDirectory() *Directory {
	return &Directory{
		section:       blackboard.NewSection(&View{Services: map[string][]*Target{}}),
		subscriptions: blackboard.NewSection(&map[string]struct{}{}),
		versions:      make(map[string]uint64),
		digests:       make(map[string]uint64),
	}
}

// Section returns the watchable section that holds the current view.
func (d *Directory) Section() *blackboard.Section[View] { return d.section }

// Subscribe subscribes to a service from the next heartbeat on. It is cheap if the
// node is subscribed already. It returns false if the node has reached its
// maximum number of subscriptions.
func (d *Directory) Subscribe(service string) bool {
	if _, ok := (*d.subscriptions.Load())[service]; ok {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	current := *d.subscriptions.Load()
	if _, ok := current[service]; ok {
		return true
	}
	if len(current) >= maxSubscriptions {
		return false
	}
	next := maps.Clone(current)
	next[service] = struct{}{}
	d.subscriptions.Publish(&next)
	return true
}

// Subscribed reports whether the node has subscribed to a service.
func (d *Directory) Subscribed(service string) bool {
	_, ok := (*d.subscriptions.Load())[service]
	return ok
}

// LiveNodes returns the number of live nodes in the fleet that a replica last reported, or 0 if none has.
func (d *Directory) LiveNodes() int { return int(d.nodes.Load()) }

// SubscriptionsChanged returns a channel that is closed when the node subscribes to another service.
func (d *Directory) SubscriptionsChanged() <-chan struct{} {
	_, changed := d.subscriptions.Watch()
	return changed
}

// HasSynced reports whether a replica that had completed its warm-up has responded since this process started.
func (d *Directory) HasSynced() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.synced
}

// FillRequest sets the heartbeat fields that request updates: the subscribed services and the versions held of them.
func (d *Directory) FillRequest(req *apiv1.SyncRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	subscribed := *d.subscriptions.Load()
	req.RegistrySource, req.RegistryPartial = d.source, d.partial
	req.Services = make([]*apiv1.ServiceVersion, 0, len(subscribed))
	for _, service := range slices.Sorted(maps.Keys(subscribed)) {
		req.Services = append(req.Services, &apiv1.ServiceVersion{
			Service: service,
			Version: d.versions[service],
			Digest:  d.digests[service],
		})
	}
}

// Apply applies the registry updates of a heartbeat response to the view. A
// response without a source and services leaves the view as it is.
func (d *Directory) Apply(resp *apiv1.SyncResponse) {
	if resp.GetNodes() > 0 {
		d.nodes.Store(resp.GetNodes())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if resp.RegistrySource != "" && (resp.RegistrySource != d.source || resp.RegistryPartial != d.partial) {
		d.source, d.partial = resp.RegistrySource, resp.RegistryPartial
		d.synced = d.synced || !d.partial
		clear(d.versions)
	}
	if len(resp.Services) == 0 {
		return
	}
	old := d.section.Load()
	next := &View{Services: maps.Clone(old.Services), Version: old.Version + 1}
	for _, update := range resp.Services {
		d.applyUpdate(next, update)
	}
	d.section.Publish(next)
}

// applyUpdate applies one service update to a view. An update whose base version differs from the version held is
// ignored, and the next heartbeat requests all targets of the service.
func (d *Directory) applyUpdate(next *View, update *apiv1.ServiceUpdate) {
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

// digestOfTargets returns the digest of a service's targets, computed the same way as by replicas.
func digestOfTargets(targets []*Target) uint64 {
	entries := make([]digestEntry, 0, len(targets))
	for _, t := range targets {
		entries = append(entries, digestEntry{t.ID(), t.Incarnation, t.Version, t.State})
	}
	return digestOf(entries)
}

// mergeTargets returns the targets of a service after an update. It keeps a held
// record that is newer than the one in the update, since replicas may briefly
// disagree.
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
