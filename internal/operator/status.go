package operator

import (
	"cmp"
	"slices"
	"strings"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// LocalSource provides the status of the answering node.
type LocalSource interface {
	LocalStatus() NodeStatus
}

// NodeStatus is the status that the answering node has of itself.
type NodeStatus struct {
	Name        string `json:"name"`
	DataCentre  string `json:"dataCentre"`
	Region      string `json:"region"`
	Incarnation uint64 `json:"incarnation"`
	// Revision is the revision of the configuration that this node uses.
	Revision uint64 `json:"revision"`
	// ConfirmedAgeMS is the time since the control plane last confirmed the revision, in milliseconds;
	// -1 if it never did.
	ConfirmedAgeMS int64 `json:"confirmedAgeMs"`
	// Stopping is true during a graceful shutdown.
	Stopping bool          `json:"stopping"`
	Targets  []LocalTarget `json:"targets,omitempty"`
	Leases   []LocalLease  `json:"leases,omitempty"`
}

// LocalTarget is a target on the host of the answering node.
type LocalTarget struct {
	Service  string `json:"service"`
	Name     string `json:"name"`
	InFlight int    `json:"inFlight"`
	Queued   int    `json:"queued"`
	// Limit is the current limit on concurrent requests.
	Limit    int  `json:"limit"`
	Draining bool `json:"draining"`
}

// LocalLease holds the rate-limit tokens that the answering node has leased for an organisation.
type LocalLease struct {
	Organisation string `json:"organisation"`
	Tokens       uint64 `json:"tokens"`
	// Waiting is the number of requests that are waiting for a token.
	Waiting int `json:"waiting"`
}

// Status is the status of the fleet, as the control plane sees it, and of the answering node.
type Status struct {
	Node NodeStatus `json:"node"`
	// Control is nil when no control replica answered; ControlError has the reason then.
	Control      *ControlStatus `json:"control,omitempty"`
	ControlError string         `json:"controlError,omitempty"`
}

// ControlStatus is the status of the fleet as one control replica sees it.
type ControlStatus struct {
	// AnsweredBy is the node of the answering replica.
	AnsweredBy string `json:"answeredBy"`
	Revision   uint64 `json:"revision"`
	// Confirmed is true when a quorum confirmed the revision while the request was answered.
	Confirmed  bool           `json:"confirmed"`
	Replicas   []Replica      `json:"replicas"`
	RateOwners []RateOwner    `json:"rateOwners,omitempty"`
	Nodes      []FleetNode    `json:"nodes,omitempty"`
	Targets    []TargetStatus `json:"targets,omitempty"`
}

// Replica is one member of a consensus group.
type Replica struct {
	// Group is 0 for the configuration; the other groups hold shards of run records, the records of
	// requests with an Idempotency-Key.
	Group      uint32 `json:"group"`
	ID         uint64 `json:"id"`
	Node       string `json:"node"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Role       string `json:"role"`
	Term       uint64 `json:"term"`
	// MatchIndex is the last log index that the replica is known to have synced to disk.
	MatchIndex  uint64 `json:"matchIndex"`
	CommitIndex uint64 `json:"commitIndex"`
	// HeardAgeMS is the time since the leader last received a message from the replica, in
	// milliseconds; -1 if not known.
	HeardAgeMS int64 `json:"heardAgeMs"`
}

// RemovedReplica is the answer to the removal of a control replica.
type RemovedReplica struct {
	ID uint64 `json:"id"`
}

// RateOwner is the control replica that issues the rate-limit tokens of one shard of organisations.
type RateOwner struct {
	Shard   uint32 `json:"shard"`
	Replica uint64 `json:"replica"`
	Address string `json:"address"`
	Epoch   uint64 `json:"epoch"`
}

// FleetNode is the status of a node as the node last reported it to the control plane.
type FleetNode struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	// Revision is the revision of the configuration that the node uses.
	Revision uint64 `json:"revision"`
	// HeardAgeMS is the time since the control plane last received a message from the node, in
	// milliseconds.
	HeardAgeMS int64 `json:"heardAgeMs"`
	Leaving    bool  `json:"leaving"`
}

// TargetStatus is the status of a target that a node has announced.
type TargetStatus struct {
	Service    string            `json:"service"`
	Name       string            `json:"name"`
	Node       string            `json:"node"`
	DataCentre string            `json:"dataCentre"`
	State      string            `json:"state"`
	Slots      uint32            `json:"slots"`
	Labels     map[string]string `json:"labels,omitempty"`
}

// controlStatus converts the status message of the control plane.
func controlStatus(m *apiv1.ControlStatus) *ControlStatus {
	s := &ControlStatus{AnsweredBy: m.GetReplica().GetNode(), Revision: m.GetRevision(), Confirmed: m.GetVouched()}
	for _, g := range m.GetGroups() {
		for _, r := range g.GetReplicas() {
			s.Replicas = append(s.Replicas, replicaOf(g, r))
		}
	}
	for _, o := range m.GetShardOwners() {
		s.RateOwners = append(s.RateOwners, RateOwner{o.GetShard(), o.GetReplica(), o.GetAddress(), o.GetEpoch()})
	}
	for _, n := range m.GetNodes() {
		s.Nodes = append(s.Nodes, FleetNode{
			Name: n.GetNode(), Address: n.GetAddress(), DataCentre: n.GetDataCentre(), Revision: n.GetRevision(),
			HeardAgeMS: milliseconds(n.GetAgeNs()), Leaving: n.GetLeaving(),
		})
	}
	for _, t := range m.GetTargets() {
		s.Targets = append(s.Targets, TargetStatus{
			Service: t.GetService(), Name: t.GetName(), Node: t.GetNode(), DataCentre: t.GetDataCentre(),
			State: enumName(t.GetState().String(), "TARGET_STATE_"), Slots: t.GetSlots(), Labels: t.GetLabels(),
		})
	}
	s.sort()
	return s
}

// replicaOf converts the status of one member of a group.
func replicaOf(g *apiv1.GroupStatus, r *apiv1.ReplicaStatus) Replica {
	info := r.GetReplica()
	return Replica{
		Group: g.GetGroup(), ID: info.GetId(), Node: info.GetNode(), Address: info.GetAddress(), DataCentre: info.GetDataCentre(),
		Role: enumName(r.GetRole().String(), "REPLICA_ROLE_"), Term: g.GetTerm(), MatchIndex: r.GetMatchIndex(),
		CommitIndex: g.GetCommitIndex(), HeardAgeMS: milliseconds(r.GetAgeNs()),
	}
}

// sort sorts the lists so that two answers can be compared. The rate owners keep the order of the message.
func (s *ControlStatus) sort() {
	slices.SortFunc(s.Replicas, func(a, b Replica) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.ID, b.ID))
	})
	slices.SortFunc(s.Nodes, func(a, b FleetNode) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Targets, func(a, b TargetStatus) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Name, b.Name), strings.Compare(a.Node, b.Node))
	})
}

// enumName returns the name of a protobuf enum value in lower case, without its prefix.
func enumName(name, prefix string) string {
	return strings.ToLower(strings.TrimPrefix(name, prefix))
}

// milliseconds converts nanoseconds to milliseconds. Negative values mean that the time is not known
// and become -1.
func milliseconds(ns int64) int64 {
	if ns < 0 {
		return -1
	}
	return time.Duration(ns).Milliseconds()
}

// sortedKeys returns the keys sorted by number.
func sortedKeys(keys map[uint64]Key) []Key {
	all := make([]Key, 0, len(keys))
	for _, k := range keys {
		all = append(all, k)
	}
	slices.SortFunc(all, func(a, b Key) int { return cmp.Compare(a.Number, b.Number) })
	return all
}
