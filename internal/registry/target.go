package registry

import (
	"maps"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/coldstart"
)

// Target is one announced target: a server process that handles requests for a service. It is immutable.
type Target struct {
	// Name is unique within the node.
	Name    string
	Service string
	// Node and NodeAddress are the name and the peer address of the node on the target's host.
	Node        string
	NodeAddress string
	// Address is the target's own address, used only by the node on its host.
	Address    string
	DataCentre string
	// Labels are the labels that the target announced.
	Labels labels.Set
	// Slots is the announced number of requests that the target can serve concurrently; 0 if not announced.
	Slots int
	State apiv1.TargetState
	// Incarnation and Version order the records of the same target.
	Incarnation uint64
	Version     uint64
	// Started is when the target started, by the clock of its host.
	Started time.Time
	// Cold is the policy for the time in which the target is cold. Only policy.Effective sets it.
	Cold coldstart.Policy
	// Departed is set if the target has reported that it leaves.
	Departed bool
}

// ID returns the name of the target, unique within the fleet.
func (t *Target) ID() string {
	return targetID(t.Node, t.Name)
}

func targetID(node, name string) string {
	return node + "/" + name
}

// Record returns the target in its wire format.
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
		Departed:      t.Departed,
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
		Departed:    r.Departed,
	}
}

// newer reports whether the pair of incarnation and version a supersedes pair b.
func newer(aIncarnation, aVersion, bIncarnation, bVersion uint64) bool {
	if aIncarnation != bIncarnation {
		return aIncarnation > bIncarnation
	}
	return aVersion > bVersion
}

// View is an immutable snapshot of the targets of several services.
type View struct {
	// Services holds the targets of each service, ordered by ID. A service without an entry
	// is one for which no replica has sent targets yet.
	Services map[string][]*Target
	// Version is incremented with each view of one Directory.
	Version uint64
}
