package registry

import (
	"maps"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Target is one announced target. It is immutable.
type Target struct {
	// Name is unique within the node.
	Name    string
	Service string
	// Node and NodeAddress name the node beside the target and its peer address.
	Node        string
	NodeAddress string
	// Address is the target's own address, used only by the node beside it.
	Address    string
	DataCentre string
	// Labels are those that the target announced.
	Labels labels.Set
	// Slots is the announced number of requests that the target serves at a time; 0 if not announced.
	Slots int
	State apiv1.TargetState
	// Incarnation and Version order the records of the same target.
	Incarnation uint64
	Version     uint64
	// Started is the start time of the target by the clock of its host.
	Started time.Time
}

// ID returns the name of the target in the whole fleet.
func (t *Target) ID() string {
	return targetID(t.Node, t.Name)
}

func targetID(node, name string) string {
	return node + "/" + name
}

// Record returns the target as it travels between nodes.
func (t *Target) Record() *apiv1.TargetRecord {
	return &apiv1.TargetRecord{
		Name:          t.Name,
		Service:       t.Service,
		Node:          t.Node,
		NodeAddress:   t.NodeAddress,
		Address:       t.Address,
		DataCentre:    t.DataCentre,
		Labels:        t.Labels,
		Slots:         uint32(max(t.Slots, 0)),
		State:         t.State,
		Incarnation:   t.Incarnation,
		Version:       t.Version,
		StartedUnixNs: t.Started.UnixNano(),
	}
}

// FromRecord returns the target that a record describes.
func FromRecord(r *apiv1.TargetRecord) *Target {
	return &Target{
		Name:        r.Name,
		Service:     r.Service,
		Node:        r.Node,
		NodeAddress: r.NodeAddress,
		Address:     r.Address,
		DataCentre:  r.DataCentre,
		Labels:      maps.Clone(labels.Set(r.Labels)),
		Slots:       int(r.Slots),
		State:       r.State,
		Incarnation: r.Incarnation,
		Version:     r.Version,
		Started:     time.Unix(0, r.StartedUnixNs),
	}
}

// newer reports whether pair a supersedes pair b.
func newer(aIncarnation, aVersion, bIncarnation, bVersion uint64) bool {
	if aIncarnation != bIncarnation {
		return aIncarnation > bIncarnation
	}
	return aVersion > bVersion
}

// View is an immutable set of targets.
type View struct {
	// Services holds the targets of each service, ordered by ID. A service without an entry is
	// one that no replica has answered for yet.
	Services map[string][]*Target
	// Version counts the views of one Directory.
	Version uint64
}
