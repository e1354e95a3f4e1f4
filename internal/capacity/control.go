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

// Control measures the costs of a control replica with its duties.
func Control() []Slope {
	documents := []int{100, 1000, 4000}
	keyCounts := []int{1000, 10_000, 100_000}
	nodes := []int{10, 100, 1000}
	return []Slope{
		{
			Role: "control replica", Cost: "check of one change at the leader", Unit: "µs", Per: "documents",
			Points: at(documents, validateCost), Target: targetResources,
		},
		{
			Role: "control replica", Cost: "applying one change", Unit: "µs", Per: "keys (100 documents)",
			Points: at(keyCounts, applyCost), Target: targetKeys,
		},
		{
			Role: "control replica", Cost: "news of one change for one follower", Unit: "µs", Per: "keys (100 documents)",
			Points: at(keyCounts, newsCost), Target: targetKeys,
		},
		{
			Role: "control replica", Cost: "memory of the store", Unit: "bytes", Per: "keys (100 documents)",
			Points: at(keyCounts, storeMemory), Target: targetKeys,
		},
		{
			Role: "control replica", Cost: "whole configuration for a new node", Unit: "bytes", Per: "keys (100 documents)",
			Points: at(keyCounts, snapshotBytes), Target: targetKeys,
		},
		{
			Role: "registry relay", Cost: "one heartbeat without news", Unit: "µs", Per: "nodes",
			Points: at(nodes, heartbeatCost), Target: targetNodes,
		},
		{
			Role: "registry relay", Cost: "memory", Unit: "bytes", Per: "nodes",
			Points: at(nodes, func(n int) float64 { return heapBytes(func() any { return relayOf(n, max(1, n/9)) }) }),
			Target: targetNodes,
		},
		{
			Role: "registry relay", Cost: "message to another replica without changes", Unit: "µs", Per: "nodes",
			Points: at(nodes, relayMessageCost), Target: targetNodes,
		},
		{
			Role: "registry relay", Cost: "liveness to another replica a second", Unit: "bytes", Per: "followers",
			Points: at(nodes, livenessBytes), Target: targetFollowers,
		},
		{
			Role: "rate owner", Cost: "one lease request with 10 organisations", Unit: "µs", Per: "nodes",
			Points: at(nodes, leaseCost), Target: targetNodes,
		},
		{
			Role: "rate owner", Cost: "memory, 10 organisations a node", Unit: "bytes", Per: "nodes",
			Points: at(nodes, leaseMemory), Target: targetNodes,
		},
		{
			Role: "run-record shard", Cost: "one claim, applied", Unit: "µs", Per: "records",
			Points: at(keyCounts, claimCost), Target: 1_000_000,
		},
		{
			Role: "run-record shard", Cost: "memory, answers of 512 bytes", Unit: "bytes", Per: "records",
			Points: at(keyCounts, recordMemory), Target: 1_000_000,
		},
		{
			Role: "run-record shard", Cost: "snapshot", Unit: "µs", Per: "records",
			Points: at(keyCounts, recordSnapshotCost), Target: 1_000_000,
		},
	}
}

// storeOf returns a store with documents and keys.
func storeOf(documents, keyCount int) *store.Store {
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

// numberedChange returns a change of one document.
func numberedChange(number int) *apiv1.Change {
	return &apiv1.Change{
		Id:          fmt.Sprintf("change-%d", number),
		AnyRevision: true,
		Upserts:     parse(organisationText(0, 1+number%7)),
	}
}

func validateCost(documents int) float64 {
	s := storeOf(documents, 0)
	change := numberedChange(1)
	return microseconds(func() { s.Validate(change) })
}

func applyCost(keyCount int) float64 {
	s := storeOf(100, keyCount)
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

// newsCost returns the time in which a replica finds the news of a change for one of its
// followers, averaged over as many followers as it has.
func newsCost(keyCount int) float64 {
	s := storeOf(100, keyCount)
	apply(s, numberedChange(1))
	revision := s.Head().Load().Revision
	return microseconds(func() { s.Since(revision - 1) })
}

func storeMemory(keyCount int) float64 {
	return heapBytes(func() any { return storeOf(100, keyCount) })
}

func snapshotBytes(keyCount int) float64 {
	return float64(proto.Size(storeOf(100, keyCount).ConfigSnapshot()))
}

// heartbeat returns the heartbeat of one node.
func heartbeat(number int) *apiv1.SyncRequest {
	r := targetRecord(number, 1)
	return &apiv1.SyncRequest{
		Node: r.Node, Incarnation: 1, Address: r.NodeAddress, DataCentre: r.DataCentre,
		Revision: 1_000_000, AnnouncedVersion: 1, WaitNs: int64(time.Second),
	}
}

// relayOf returns a warm relay that heard n nodes with one target each.
func relayOf(n, services int) *registry.Relay {
	relay := registry.NewRelay(registry.RelayOptions{Node: "control-1", Incarnation: 1, WarmUp: time.Millisecond})
	now := time.Unix(1000, 0)
	relay.Expire(now)
	now = now.Add(time.Second)
	for i := range n {
		hear(relay, now, i, services)
	}
	relay.Expire(now)
	return relay
}

// hear gives a relay the full announcement of one node.
func hear(relay *registry.Relay, now time.Time, number, services int) {
	req := heartbeat(number)
	req.AnnouncedFull = true
	req.Announced = []*apiv1.TargetRecord{targetRecord(number, services)}
	relay.Announced(now, req)
}

func heartbeatCost(n int) float64 {
	services := max(1, n/9)
	relay := relayOf(n, services)
	req := heartbeat(1)
	req.RegistrySource = relay.Source()
	for i := range min(followedServices, services) {
		req.Services = append(req.Services, &apiv1.ServiceVersion{Service: fmt.Sprintf("service-%04d", i)})
	}
	resp := &apiv1.SyncResponse{}
	relay.Fill(req, resp)
	for i, update := range resp.Services {
		req.Services[i].Version = update.Version
	}
	now := time.Unix(1001, 0)
	return microseconds(func() {
		now = now.Add(time.Millisecond)
		relay.Announced(now, req)
		relay.Fill(req, resp)
	})
}

func relayMessageCost(n int) float64 {
	relay := relayOf(n, max(1, n/9))
	now := time.Unix(1001, 0)
	return microseconds(func() { relay.Outgoing(now, "control-2") })
}

// livenessBytes returns the size of the liveness of n nodes, as a replica sends it once a second.
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

// organisationsOfNode is how many organisations a node asks for in the lease measurements.
const organisationsOfNode = 10

func leaseRequest(node int, sequence uint64) *apiv1.LeaseRequest {
	req := &apiv1.LeaseRequest{Node: nodeName(node), Incarnation: 1, Sequence: sequence}
	for i := range organisationsOfNode {
		req.Demands = append(req.Demands, &apiv1.TokenDemand{Organisation: fmt.Sprintf("organisation-%05d", i), Want: 1, Waiting: 1})
	}
	return req
}

// allocatorOf returns an allocator with leases of n nodes.
func allocatorOf(n int, now time.Time) *rate.Allocator {
	a := rate.NewAllocator(rate.Config{}, 1, now.Add(-time.Hour))
	for i := range organisationsOfNode {
		a.SetLimits(now, fmt.Sprintf("organisation-%05d", i), 10_000, 100_000)
	}
	for i := range n {
		a.Lease(now, leaseRequest(i, 1))
	}
	return a
}

func leaseCost(n int) float64 {
	now := time.Unix(100_000, 0)
	a := allocatorOf(n, now)
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
	return heapBytes(func() any { return allocatorOf(n, time.Unix(100_000, 0)) })
}

// tableOf returns a table of finished runs.
func tableOf(n int) *runrecord.Table {
	t := runrecord.NewTable(runrecord.Config{Keep: time.Hour, MaxRecords: 1 << 30, MaxBytes: 1 << 40})
	for i := range n {
		t.Apply(0, claimOf(i))
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

func claimOf(i int) []byte {
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
	t := tableOf(n)
	next := n
	return microseconds(func() {
		next++
		t.Apply(0, claimOf(next))
	})
}

func recordMemory(n int) float64 {
	return heapBytes(func() any { return tableOf(n) })
}

func recordSnapshotCost(n int) float64 {
	t := tableOf(n)
	return microseconds(func() {
		if _, err := t.Snapshot(); err != nil {
			panic(err)
		}
	})
}
