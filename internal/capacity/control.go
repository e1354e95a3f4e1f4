package capacity

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/rate"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/runrecord"
	"github.com/guavaford/guavaford/internal/store"
)

// ControlSlopes measures the costs of a control replica and of its roles as registry relay, rate owner and run-record
// shard.
func ControlSlopes() []Slope {
	documents := []int{100, 1000, 4000}
	keyCounts := []int{1000, 10_000, 100_000}
	nodes := []int{10, 100, 1000}
	return []Slope{
		{
			Role: "control replica", Cost: "check of one change at the leader", Unit: "µs", SizeOf: "documents",
			Points: measureAt(documents, validateCost), PlannedSize: plannedResources,
		},
		{
			Role: "control replica", Cost: "applying one change", Unit: "µs", SizeOf: "keys (100 documents)",
			Points: measureAt(keyCounts, applyCost), PlannedSize: plannedKeys,
		},
		{
			Role: "control replica", Cost: "news of one change for one follower", Unit: "µs", SizeOf: "keys (100 documents)",
			Points: measureAt(keyCounts, deltaCost), PlannedSize: plannedKeys,
		},
		{
			Role: "control replica", Cost: "memory of the store", Unit: "bytes", SizeOf: "keys (100 documents)",
			Points: measureAt(keyCounts, storeMemory), PlannedSize: plannedKeys,
		},
		{
			Role: "control replica", Cost: "whole configuration for a new node", Unit: "bytes", SizeOf: "keys (100 documents)",
			Points: measureAt(keyCounts, snapshotBytes), PlannedSize: plannedKeys,
		},
		{
			Role: "registry relay", Cost: "one heartbeat without news", Unit: "µs", SizeOf: "nodes",
			Points: measureAt(nodes, heartbeatCost), PlannedSize: plannedNodes,
		},
		{
			Role: "registry relay", Cost: "memory", Unit: "bytes", SizeOf: "nodes",
			Points:      measureAt(nodes, func(n int) float64 { return heapBytes(func() any { return newRelay(n, max(1, n/9)) }) }),
			PlannedSize: plannedNodes,
		},
		{
			Role: "registry relay", Cost: "message to another replica without changes", Unit: "µs", SizeOf: "nodes",
			Points: measureAt(nodes, relayMessageCost), PlannedSize: plannedNodes,
		},
		{
			Role: "registry relay", Cost: "liveness to another replica a second", Unit: "bytes", SizeOf: "followers",
			Points: measureAt(nodes, livenessBytes), PlannedSize: plannedFollowers,
		},
		{
			Role: "rate owner", Cost: "one lease request with 10 organisations", Unit: "µs", SizeOf: "nodes",
			Points: measureAt(nodes, leaseCost), PlannedSize: plannedNodes,
		},
		{
			Role: "rate owner", Cost: "memory, 10 organisations a node", Unit: "bytes", SizeOf: "nodes",
			Points: measureAt(nodes, leaseMemory), PlannedSize: plannedNodes,
		},
		{
			Role: "run-record shard", Cost: "one claim, applied", Unit: "µs", SizeOf: "records",
			Points: measureAt(keyCounts, claimCost), PlannedSize: 1_000_000,
		},
		{
			Role: "run-record shard", Cost: "memory, answers of 512 bytes", Unit: "bytes", SizeOf: "records",
			Points: measureAt(keyCounts, recordMemory), PlannedSize: 1_000_000,
		},
		{
			Role: "run-record shard", Cost: "snapshot", Unit: "µs", SizeOf: "records",
			Points: measureAt(keyCounts, recordSnapshotCost), PlannedSize: 1_000_000,
		},
	}
}

// newStore returns a store with about as many documents, and as many keys, as given.
func newStore(documents, keyCount int) *store.Store {
	s := store.New(func(r []*apiv1.Resource) []string { return config.Check(r).Strings() })
	apply(s, &apiv1.Change{Id: "first", AnyRevision: true, Upserts: resources(documents), IssueKeys: keyRecords(keyCount)})
	return s
}

// apply validates and applies a change.
func apply(s *store.Store, change *apiv1.Change) {
	data, err := proto.Marshal(s.Validate(change))
	if err != nil {
		panic(err)
	}
	var reply apiv1.StoreReply
	if err := proto.Unmarshal(s.Apply(0, data), &reply); err != nil {
		panic(err)
	}
	if reply.GetOutcome().GetResult() != apiv1.ChangeResult_CHANGE_RESULT_ACCEPTED {
		panic(fmt.Sprintf("capacity: change not accepted: %v", reply.GetOutcome().GetResult()))
	}
}

// numberedChange returns a change of one document; consecutive numbers give different contents.
func numberedChange(number int) *apiv1.Change {
	return &apiv1.Change{
		Id:          fmt.Sprintf("change-%d", number),
		AnyRevision: true,
		Upserts:     parse(organisationYAML(0, 1+number%7)),
	}
}

func validateCost(documents int) float64 {
	s := newStore(documents, 0)
	change := numberedChange(1)
	return microseconds(func() { s.Validate(change) })
}

func applyCost(keyCount int) float64 {
	s := newStore(100, keyCount)
	number := 0
	best := 0.0
	for range 20 {
		number++
		change := numberedChange(number)
		began := time.Now()
		apply(s, change)
		if spent := float64(time.Since(began)) / float64(time.Microsecond); best == 0 || spent < best {
			best = spent
		}
	}
	return best
}

// deltaCost returns the microseconds that a replica takes to find the change that one of its followers
// lacks, as the mean over many followers that lack the same change.
func deltaCost(keyCount int) float64 {
	s := newStore(100, keyCount)
	apply(s, numberedChange(1))
	revision := s.PublishedState().Load().Revision
	return microseconds(func() { s.UpdateSince(revision - 1) })
}

func storeMemory(keyCount int) float64 {
	return heapBytes(func() any { return newStore(100, keyCount) })
}

func snapshotBytes(keyCount int) float64 {
	return float64(proto.Size(newStore(100, keyCount).ConfigSnapshot()))
}

// heartbeat returns the heartbeat message of one node.
func heartbeat(number int) *apiv1.SyncRequest {
	r := targetRecord(number, 1)
	return &apiv1.SyncRequest{
		Node: r.Node, Incarnation: 1, Address: r.NodeAddress, DataCentre: r.DataCentre,
		Revision: 1_000_000, AnnouncedVersion: 1, WaitNs: int64(time.Second),
	}
}

// newRelay returns a relay past its warm-up that has received announcements of n nodes with one target each.
func newRelay(n, services int) *registry.Relay {
	relay := registry.NewRelay(registry.RelayOptions{Node: "control-1", Incarnation: 1, WarmUp: time.Millisecond})
	now := time.Unix(1000, 0)
	relay.Expire(now)
	now = now.Add(time.Second)
	for i := range n {
		announceNode(relay, now, i, services)
	}
	relay.Expire(now)
	return relay
}

// announceNode gives a relay the full announcement of one node.
func announceNode(relay *registry.Relay, now time.Time, number, services int) {
	req := heartbeat(number)
	req.AnnouncedFull = true
	req.Announced = []*apiv1.TargetRecord{targetRecord(number, services)}
	relay.HandleHeartbeat(now, req)
}

func heartbeatCost(n int) float64 {
	services := max(1, n/9)
	relay := newRelay(n, services)
	req := heartbeat(1)
	req.RegistrySource = relay.Source()
	for i := range min(calledServices, services) {
		req.Services = append(req.Services, &apiv1.ServiceVersion{Service: fmt.Sprintf("service-%04d", i)})
	}
	resp := &apiv1.SyncResponse{}
	relay.FillResponse(req, resp)
	for i, update := range resp.Services {
		req.Services[i].Version = update.Version
	}
	now := time.Unix(1001, 0)
	return microseconds(func() {
		now = now.Add(time.Millisecond)
		relay.HandleHeartbeat(now, req)
		relay.FillResponse(req, resp)
	})
}

func relayMessageCost(n int) float64 {
	relay := newRelay(n, max(1, n/9))
	now := time.Unix(1001, 0)
	return microseconds(func() { relay.BuildMessage(now, "control-2") })
}

// livenessBytes returns the size of the liveness message about n nodes that a replica sends once a second.
func livenessBytes(n int) float64 {
	m := &apiv1.RelayMessage{Source: "control-1", Incarnation: 1}
	for i := range n {
		req := heartbeat(i)
		m.Nodes = append(m.Nodes, &apiv1.NodeLiveness{
			Node: req.Node, Incarnation: 1 << 60, AgeNs: int64(time.Second), Revision: req.Revision,
			DataCentre: req.DataCentre, Address: req.Address,
		})
	}
	return float64(proto.Size(m))
}

// organisationsPerNode is the number of organisations for which a node requests tokens in the lease measurements.
const organisationsPerNode = 10

func leaseRequest(node int, sequence uint64) *apiv1.LeaseRequest {
	req := &apiv1.LeaseRequest{Node: nodeName(node), Incarnation: 1, Sequence: sequence}
	for i := range organisationsPerNode {
		req.Demands = append(req.Demands, &apiv1.TokenDemand{Organisation: fmt.Sprintf("organisation-%05d", i), Want: 1, Waiting: 1})
	}
	return req
}

// newAllocator returns an allocator that has granted leases to n nodes.
func newAllocator(n int, now time.Time) *rate.Allocator {
	a := rate.NewAllocator(rate.Config{}, 1, now.Add(-time.Hour))
	for i := range organisationsPerNode {
		a.SetLimits(now, fmt.Sprintf("organisation-%05d", i), 10_000, 100_000)
	}
	for i := range n {
		a.Lease(now, leaseRequest(i, 1))
	}
	return a
}

func leaseCost(n int) float64 {
	now := time.Unix(100_000, 0)
	a := newAllocator(n, now)
	sequence := uint64(1)
	requests := make([]*apiv1.LeaseRequest, n)
	for i := range requests {
		requests[i] = leaseRequest(i, 1)
	}
	next := 0
	return microseconds(func() {
		if next == 0 {
			sequence++
		}
		now = now.Add(100 * time.Millisecond / time.Duration(n))
		requests[next].Sequence = sequence
		a.Lease(now, requests[next])
		next = (next + 1) % n
	})
}

func leaseMemory(n int) float64 {
	return heapBytes(func() any { return newAllocator(n, time.Unix(100_000, 0)) })
}

// newTable returns a table with the records of n finished runs.
func newTable(n int) *runrecord.Table {
	t := runrecord.NewTable(runrecord.Config{Retention: time.Hour, MaxRecords: 1 << 30, MaxBytes: 1 << 40})
	for i := range n {
		t.Apply(0, marshalledClaim(i))
		t.Apply(0, marshal(&apiv1.RunRequest{Finish: &apiv1.RunFinish{
			Organisation: "organisation-00001", Key: recordKey(i), Node: nodeName(1), Incarnation: 1, Number: uint64(i),
			Ran: apiv1.Ran_RAN_YES, Status: 201, Body: make([]byte, 512),
		}}))
	}
	return t
}

func recordKey(i int) string {
	return fmt.Sprintf("8c5f6b0e-4a7b-4b52-9a53-%012d", i)
}

func marshalledClaim(i int) []byte {
	return marshal(&apiv1.RunRequest{Claim: &apiv1.RunClaim{
		Organisation: "organisation-00001", Key: recordKey(i), Digest: make([]byte, 32),
		Node: nodeName(1), Incarnation: 1, Number: uint64(i), Address: "10.1.2.3:8083",
	}})
}

func marshal(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}

func claimCost(n int) float64 {
	t := newTable(n)
	next := n
	return microseconds(func() {
		next++
		t.Apply(0, marshalledClaim(next))
	})
}

func recordMemory(n int) float64 {
	return heapBytes(func() any { return newTable(n) })
}

func recordSnapshotCost(n int) float64 {
	t := newTable(n)
	return microseconds(func() {
		if _, err := t.Snapshot(); err != nil {
			panic(err)
		}
	})
}
