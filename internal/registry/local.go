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
	"github.com/guavaford/guavaford/internal/coldstart"
	"github.com/guavaford/guavaford/internal/outcome"
)

const (
	// DefaultTTL is how long an announcement is valid without renewal.
	DefaultTTL = 5 * time.Second
	// maxLocalTargets is the maximum number of targets on one host.
	maxLocalTargets = 64
	// maxLocalTombstones is the maximum number of tombstones that one host announces.
	maxLocalTombstones = 64
	// maxNameBytes is the maximum length of names, paths, label keys and label values.
	maxNameBytes = 253
	// maxLabels is the maximum number of labels of one target.
	maxLabels = 64
	// maxSlots is the maximum number of slots that a target may announce.
	maxSlots = 1 << 20
)

// Announcement is the description of a target that the target itself provides.
type Announcement struct {
	Name    string
	Service string
	Address string
	Labels  labels.Set
	// Slots is the number of requests that the target can serve concurrently; 0 if not announced.
	Slots int
	// State is READY, COLD or LEAVING; unspecified counts as READY.
	State apiv1.TargetState
	// Instance distinguishes a process of the target from earlier and later ones; it may be empty.
	Instance string
	// ColdLeft is how much longer the target is cold; nil if it does not say.
	ColdLeft *time.Duration
	// cold is ColdLeft with its time of arrival.
	cold *coldstart.Reading
	// departed is set if the target reports that it leaves; state LEAVING may have another cause.
	departed bool
	// HealthPath and LoadPath are optional HTTP paths at Address that report health and load.
	HealthPath string
	LoadPath   string
}

// LocalOptions describe the node whose targets a Local holds.
type LocalOptions struct {
	Node        string
	NodeAddress string
	DataCentre  string
	Incarnation uint64
	// TTL is how long an announcement is valid without renewal; 0 means DefaultTTL.
	TTL time.Duration
	// AwaitRestore holds reports back until Restore has told what an earlier process of the node knew.
	AwaitRestore bool
}

// LocalTarget is a target on this host, with the details that only the node on this host needs.
type LocalTarget struct {
	Target
	Announcement Announcement
}

// LocalView is an immutable snapshot of the targets on this host.
type LocalView struct {
	Targets map[string]*LocalTarget
	// Version is incremented with each change of the set.
	Version uint64
	// tombstones are the records of removed targets, ordered by version.
	tombstones []*apiv1.TargetRecord
}

// Local holds the targets that announced themselves on this host. It is safe for concurrent use.
type Local struct {
	options LocalOptions
	section *blackboard.Section[LocalView]

	mu      sync.Mutex
	version uint64
	// sequence is the sequence number of the last heartbeat that FillRequest prepared.
	sequence uint64
	entries  map[string]*localEntry
	// tombstones holds the removed targets by name. They are announced too, since a replica may
	// know such a target only through another replica.
	tombstones map[string]*localTombstone
	// lastReports holds the last accepted report of each target that numbers its reports.
	lastReports map[string]lastReport
	// cold holds the latest readings of the cold times of announced targets, and onCold is called for each.
	cold   map[string]localCold
	onCold func(name string, started time.Time, r coldstart.Reading)
	// restored is set once reports need not be held back any more; held holds those that are.
	restored bool
	held     map[string]heldReport
}

type localEntry struct {
	target  *LocalTarget
	expires time.Time
}

type localTombstone struct {
	record *apiv1.TargetRecord
	// dropAt is when the tombstone is dropped; it is set by the first Expire after the removal.
	dropAt time.Time
}

// NewLocal returns a Local without targets.
func NewLocal(o LocalOptions) *Local {
	if o.TTL == 0 {
		o.TTL = DefaultTTL
	}
	return &Local{
		options: o,
		section: blackboard.NewSection(&LocalView{Targets: map[string]*LocalTarget{}}),
		entries: make(map[string]*localEntry),

		tombstones:  make(map[string]*localTombstone),
		lastReports: make(map[string]lastReport),
		cold:        make(map[string]localCold),
		restored:    !o.AwaitRestore,
		held:        make(map[string]heldReport),
	}
}

// Section returns the watchable section that holds the current set of targets.
func (l *Local) Section() *blackboard.Section[LocalView] { return l.section }

// TTL returns how long an announcement is valid without renewal.
func (l *Local) TTL() time.Duration { return l.options.TTL }

// Announce adds or replaces a target, or renews its announcement if nothing has
// changed. A target that announces the address of another one replaces it.
func (l *Local) Announce(now time.Time, a Announcement) (*Target, *outcome.Refusal) {
	if refusal := checkAnnouncement(a); refusal != nil {
		return nil, refusal
	}
	a.cold = a.coldReading(now, 0)
	l.mu.Lock()
	target, refusal := l.announce(now, a, time.Time{})
	l.mu.Unlock()
	if refusal == nil {
		l.tellCold(a.Name)
	}
	return target, refusal
}

// announce applies a valid announcement. A process that does not say when it started counts from its first announcement. The caller
// holds the lock.
func (l *Local) announce(now time.Time, a Announcement, started time.Time) (*Target, *outcome.Refusal) {
	if a.State == apiv1.TargetState_TARGET_STATE_UNSPECIFIED {
		a.State = apiv1.TargetState_TARGET_STATE_READY
	}
	entry := l.entries[a.Name]
	if entry != nil && sameAnnouncement(entry.target.Announcement, a) {
		entry.expires = now.Add(l.options.TTL)
		l.noteCold(a, entry.target.Started)
		return &entry.target.Target, nil
	}
	if entry == nil && len(l.entries) >= maxLocalTargets {
		return nil, outcome.NotRun(outcome.BadRequest, 0, "this host already has the maximum of %d targets", maxLocalTargets)
	}
	switch {
	case !started.IsZero():
	case entry != nil && sameProcess(entry.target.Announcement, a):
		started = entry.target.Started
	default:
		started = now
	}
	l.version++
	l.noteCold(a, started)
	l.dropAddress(a)
	target := l.newTarget(a, started)
	delete(l.tombstones, a.Name)
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
			Departed:    a.departed,
		},
	}
}

// dropAddress removes another target that was announced at the same address.
func (l *Local) dropAddress(a Announcement) {
	for name, entry := range l.entries {
		if name != a.Name && entry.target.Address == a.Address {
			l.remove(entry)
		}
	}
}

// remove replaces a target with a tombstone at the current version.
func (l *Local) remove(entry *localEntry) {
	delete(l.entries, entry.target.Name)
	l.addTombstone(tombstone(entry.target.Record(), entry.target.Incarnation, l.version))
}

// addTombstone adds the tombstone of a target.
func (l *Local) addTombstone(record *apiv1.TargetRecord) {
	if len(l.tombstones) >= maxLocalTombstones {
		l.dropOldestTombstone()
	}
	l.tombstones[record.Name] = &localTombstone{record: record}
}

func (l *Local) dropOldestTombstone() {
	var oldest *apiv1.TargetRecord
	for _, t := range l.tombstones {
		if oldest == nil || t.record.Version < oldest.Version {
			oldest = t.record
		}
	}
	delete(l.tombstones, oldest.Name)
}

// sameProcess reports whether a and b come from the same process of a target.
func sameProcess(a, b Announcement) bool {
	return a.Instance == b.Instance && a.Service == b.Service && a.Address == b.Address
}

func sameAnnouncement(a, b Announcement) bool {
	return sameProcess(a, b) &&
		a.Slots == b.Slots &&
		a.State == b.State &&
		a.departed == b.departed &&
		a.HealthPath == b.HealthPath &&
		a.LoadPath == b.LoadPath &&
		maps.Equal(a.Labels, b.Labels)
}

// Renew extends an announcement. It returns a refusal if the target, or this
// process of it, is not announced; the target must then announce itself again.
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
	if entry.target.State != state {
		l.setState(entry, state)
	}
	return nil
}

// setState replaces a target by one in another state. The caller holds the lock.
func (l *Local) setState(entry *localEntry, state apiv1.TargetState) {
	l.version++
	a := entry.target.Announcement
	a.State = state
	entry.target = l.newTarget(a, entry.target.Started)
	l.publish()
}

// Remove removes a target.
func (l *Local) Remove(name string) *outcome.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.entries[name]
	if entry == nil {
		return outcome.NotRun(outcome.NoTarget, 0, "target %q is not announced", name)
	}
	l.version++
	l.remove(entry)
	l.publish()
	return nil
}

// Expire removes the targets whose announcements were not renewed in time and returns them.
func (l *Local) Expire(now time.Time) []*Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pruneTombstones(now)
	l.pruneReports(now)
	var expired []*Target
	for _, name := range slices.Sorted(maps.Keys(l.entries)) {
		entry := l.entries[name]
		if now.Before(entry.expires) {
			continue
		}
		expired = append(expired, &entry.target.Target)
		l.version++
		l.remove(entry)
	}
	if len(expired) > 0 {
		l.publish()
	}
	return expired
}

func (l *Local) pruneTombstones(now time.Time) {
	for name, t := range l.tombstones {
		switch {
		case t.dropAt.IsZero():
			t.dropAt = now.Add(tombstoneRetention)
		case now.After(t.dropAt):
			delete(l.tombstones, name)
		}
	}
}

// Records returns the version of the set and its records as announced to control replicas, including tombstones.
func (l *Local) Records() (uint64, []*apiv1.TargetRecord) {
	view := l.section.Load()
	records := make([]*apiv1.TargetRecord, 0, len(view.Targets)+len(view.tombstones))
	for _, name := range slices.Sorted(maps.Keys(view.Targets)) {
		records = append(records, view.Targets[name].Record())
	}
	return view.Version, append(records, view.tombstones...)
}

// FillRequest sets the heartbeat fields that announce this host's targets. The full
// set is included if the replica wants it, or if it has changed since the version
// that the replica holds.
func (l *Local) FillRequest(req *apiv1.SyncRequest, held uint64, wanted bool) {
	version, records := l.Records()
	req.AnnouncedVersion = version
	if wanted || version != held {
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
	maps.DeleteFunc(l.cold, func(name string, _ localCold) bool { return l.entries[name] == nil })
	view := &LocalView{Targets: make(map[string]*LocalTarget, len(l.entries)), Version: l.version}
	for name, entry := range l.entries {
		view.Targets[name] = entry.target
	}
	for _, t := range l.tombstones {
		view.tombstones = append(view.tombstones, t.record)
	}
	slices.SortFunc(view.tombstones, func(a, b *apiv1.TargetRecord) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Name, b.Name))
	})
	l.section.Publish(view)
}
