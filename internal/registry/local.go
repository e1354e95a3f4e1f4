package registry

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/blackboard"
	"github.com/guavaford/guavaford/internal/outcome"
)

const (
	// DefaultTTL is how long an announcement lasts without renewal.
	DefaultTTL = 5 * time.Second
	// maxLocalTargets bounds the targets of one host.
	maxLocalTargets = 64
	// maxNameBytes bounds names, addresses, label keys and label values.
	maxNameBytes = 253
	// maxLabels bounds the labels of one target.
	maxLabels = 64
	// maxSlots bounds the announced slots.
	maxSlots = 1 << 20
)

// Announcement is what a target says of itself.
type Announcement struct {
	Name    string
	Service string
	Address string
	Labels  labels.Set
	// Slots is the number of requests that the target serves at a time; 0 if it doesn't say.
	Slots int
	// State is READY, COLD or LEAVING; unspecified counts as READY.
	State apiv1.TargetState
	// Instance tells one run of the target from the next; it may be empty.
	Instance string
	// HealthPath and LoadPath are optional paths at Address that give hints.
	HealthPath string
	LoadPath   string
}

// LocalOptions describe the node whose targets a Local holds.
type LocalOptions struct {
	Node        string
	NodeAddress string
	DataCentre  string
	Incarnation uint64
	// TTL is how long an announcement lasts without renewal; 0 means DefaultTTL.
	TTL time.Duration
}

// LocalTarget is a target of this host with what only the node beside it needs.
type LocalTarget struct {
	Target
	Announcement Announcement
}

// LocalView is an immutable set of the targets of this host.
type LocalView struct {
	Targets map[string]*LocalTarget
	// Version counts the changes of the set.
	Version uint64
}

// Local holds the targets of this host. It is safe for concurrent use.
type Local struct {
	options LocalOptions
	section *blackboard.Section[LocalView]

	mu      sync.Mutex
	version uint64
	// sequence counts the heartbeats that Fill has prepared.
	sequence uint64
	entries  map[string]*localEntry
}

type localEntry struct {
	target  *LocalTarget
	expires time.Time
}

// NewLocal returns an empty set.
func NewLocal(o LocalOptions) *Local {
	if o.TTL == 0 {
		o.TTL = DefaultTTL
	}
	return &Local{
		options: o,
		section: blackboard.NewSection(&LocalView{Targets: map[string]*LocalTarget{}}),
		entries: make(map[string]*localEntry),
	}
}

// Section returns the section that holds the current set.
func (l *Local) Section() *blackboard.Section[LocalView] { return l.section }

// TTL returns how long an announcement lasts without renewal.
func (l *Local) TTL() time.Duration { return l.options.TTL }

// Announce adds a target, replaces it, or renews it when nothing has changed. A
// target that announces the address of another one takes that one's place.
func (l *Local) Announce(now time.Time, a Announcement) (*Target, *outcome.Refusal) {
	if a.State == apiv1.TargetState_TARGET_STATE_UNSPECIFIED {
		a.State = apiv1.TargetState_TARGET_STATE_READY
	}
	if refusal := checkAnnouncement(a); refusal != nil {
		return nil, refusal
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.entries[a.Name]
	if entry != nil && sameAnnouncement(entry.target.Announcement, a) {
		entry.expires = now.Add(l.options.TTL)
		return &entry.target.Target, nil
	}
	if entry == nil && len(l.entries) >= maxLocalTargets {
		return nil, outcome.NotRun(outcome.BadRequest, 0, "this host has %d targets already", maxLocalTargets)
	}
	started := now
	if entry != nil && sameRun(entry.target.Announcement, a) {
		started = entry.target.Started
	}
	l.version++
	l.dropAddress(a)
	target := l.newTarget(a, started)
	l.entries[a.Name] = &localEntry{target: target, expires: now.Add(l.options.TTL)}
	l.publish()
	return &target.Target, nil
}

func (l *Local) newTarget(a Announcement, started time.Time) *LocalTarget {
	a.Labels = maps.Clone(a.Labels)
	return &LocalTarget{
		Announcement: a,
		Target: Target{
			Name:        a.Name,
			Service:     a.Service,
			Node:        l.options.Node,
			NodeAddress: l.options.NodeAddress,
			Address:     a.Address,
			DataCentre:  l.options.DataCentre,
			Labels:      a.Labels,
			Slots:       a.Slots,
			State:       a.State,
			Incarnation: l.options.Incarnation,
			Version:     l.version,
			Started:     started,
		},
	}
}

// dropAddress removes another target that was announced at the same address.
func (l *Local) dropAddress(a Announcement) {
	for name, entry := range l.entries {
		if name != a.Name && entry.target.Address == a.Address {
			delete(l.entries, name)
		}
	}
}

// sameRun reports whether b comes from the same run of the target as a.
func sameRun(a, b Announcement) bool {
	return a.Instance == b.Instance && a.Service == b.Service && a.Address == b.Address
}

func sameAnnouncement(a, b Announcement) bool {
	return sameRun(a, b) &&
		a.Slots == b.Slots &&
		a.State == b.State &&
		a.HealthPath == b.HealthPath &&
		a.LoadPath == b.LoadPath &&
		maps.Equal(a.Labels, b.Labels)
}

// Renew prolongs an announcement. It refuses when the target is not announced,
// or another run of it is, so that the target announces itself anew.
func (l *Local) Renew(now time.Time, name, instance string) *outcome.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.entries[name]
	if entry == nil || entry.target.Announcement.Instance != instance {
		return outcome.NotRun(outcome.NoTarget, 0, "target %q is not announced", name)
	}
	entry.expires = now.Add(l.options.TTL)
	return nil
}

// SetState changes the state of a target, for instance to LEAVING.
func (l *Local) SetState(name string, state apiv1.TargetState) *outcome.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.entries[name]
	if entry == nil {
		return outcome.NotRun(outcome.NoTarget, 0, "target %q is not announced", name)
	}
	if entry.target.State == state {
		return nil
	}
	l.version++
	a := entry.target.Announcement
	a.State = state
	entry.target = l.newTarget(a, entry.target.Started)
	l.publish()
	return nil
}

// Leave removes a target.
func (l *Local) Leave(name string) *outcome.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries[name] == nil {
		return outcome.NotRun(outcome.NoTarget, 0, "target %q is not announced", name)
	}
	delete(l.entries, name)
	l.version++
	l.publish()
	return nil
}

// Expire removes the targets that were not renewed in time and returns them.
func (l *Local) Expire(now time.Time) []*Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	var expired []*Target
	for name, entry := range l.entries {
		if now.Before(entry.expires) {
			continue
		}
		expired = append(expired, &entry.target.Target)
		delete(l.entries, name)
	}
	if len(expired) > 0 {
		l.version++
		l.publish()
	}
	slices.SortFunc(expired, func(a, b *Target) int { return cmp.Compare(a.Name, b.Name) })
	return expired
}

// Records returns the set as it is announced to control, and its version.
func (l *Local) Records() (uint64, []*apiv1.TargetRecord) {
	view := l.section.Load()
	records := make([]*apiv1.TargetRecord, 0, len(view.Targets))
	for _, name := range slices.Sorted(maps.Keys(view.Targets)) {
		records = append(records, view.Targets[name].Record())
	}
	return view.Version, records
}

// Fill sets the registry fields of a heartbeat that announce this host's
// targets. The whole set goes along when full is true.
func (l *Local) Fill(req *apiv1.SyncRequest, full bool) {
	version, records := l.Records()
	req.AnnouncedVersion = version
	if full {
		req.AnnouncedFull = true
		req.Announced = records
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	req.Sequence = l.sequence
}

// publish makes the set visible to readers. The caller holds the lock.
func (l *Local) publish() {
	view := &LocalView{Targets: make(map[string]*LocalTarget, len(l.entries)), Version: l.version}
	for name, entry := range l.entries {
		view.Targets[name] = entry.target
	}
	l.section.Publish(view)
}
