package capacity

import (
	"context"
	"fmt"
	"os"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/board"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/follow"
	"github.com/guavaford/guavaford/internal/keys"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/rate"
	"github.com/guavaford/guavaford/internal/ratelab"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/route"
	"github.com/guavaford/guavaford/internal/telemetry"
	"github.com/guavaford/guavaford/internal/vfs"
)

// leaseNodes is the number of nodes in the lease measurements.
const leaseNodes = 100

// NodeSlopes measures the costs of the node process that runs on each host.
func NodeSlopes() []Slope {
	entering := []int{1, 10, 30, 66}
	return []Slope{
		{
			Role: "node", Cost: "processor time of one change of a document", Unit: "µs", SizeOf: "documents",
			Points:      measureAt([]int{100, 1000, 4000}, func(n int) float64 { return changeCost(n, 0, false) }),
			PlannedSize: plannedResources,
		},
		{
			Role: "node", Cost: "time of one change, configuration kept on disk", Unit: "µs", SizeOf: "keys (100 documents)",
			Points:      measureAt([]int{1000, 10_000, 100_000}, func(n int) float64 { return changeCost(100, n, true) }),
			PlannedSize: plannedKeys,
		},
		{
			Role: "node", Cost: "memory of the compiled configuration", Unit: "bytes", SizeOf: "documents",
			Points: measureAt([]int{100, 1000, 4000}, compiledMemory), PlannedSize: plannedResources,
		},
		{
			Role: "node", Cost: "memory of the key table", Unit: "bytes", SizeOf: "keys",
			Points: measureAt([]int{1000, 10_000, 100_000}, keyMemory), PlannedSize: plannedKeys,
		},
		{
			Role: "node", Cost: "memory of view and picker", Unit: "bytes", SizeOf: "known targets",
			Points: measureAt([]int{10, 100, 1000}, pickerMemory), PlannedSize: 112,
		},
		{
			Role: "node", Cost: "memory of histograms", Unit: "bytes", SizeOf: "organisation and class pairs",
			Points: measureAt([]int{4, 32, 128}, histogramMemory), PlannedSize: telemetry.MaxSeries,
		},
		{
			Role: "node", Cost: "bytes of one idle heartbeat and its answer", Unit: "bytes", SizeOf: "services called",
			Points: measureAt([]int{1, 10, 100}, heartbeatBytes), PlannedSize: calledServices,
		},
		{
			Role: "node", Cost: "lease requests a second, 10 organisations", Unit: "1/s", SizeOf: "requests/s that enter",
			Points:      measureAt(entering, func(n int) float64 { return leaseTraffic(n).MessagesPerNode }),
			PlannedSize: plannedEntryRate,
		},
		{
			Role: "node", Cost: "bytes of leases a second, 10 organisations", Unit: "bytes/s", SizeOf: "requests/s that enter",
			Points:      measureAt(entering, func(n int) float64 { return leaseTraffic(n).BytesPerNode }),
			PlannedSize: plannedEntryRate,
		},
	}
}

// leaseTraffic returns the lease traffic of a node. It simulates a fleet of leaseNodes whose rate owner has its request
// limit scaled down, so that it slows its nodes as the owner of a fleet of the planned size would.
func leaseTraffic(entering int) ratelab.Result {
	cfg := rate.Config{}.WithDefaults()
	cfg.OwnerRequestsPerSecond *= float64(leaseNodes) / plannedNodes
	return ratelab.SimulateFleet(cfg, leaseNodes, 10, float64(entering), plannedControlHosts)
}

// scriptedSyncer answers with a snapshot, then with one change in each answer, then blocks until the request ends. It
// sends the time that the changes took to finished.
type scriptedSyncer struct {
	snapshot *apiv1.ConfigSnapshot
	changes  int
	began    time.Time
	finished chan time.Duration
}

// Sync implements follow.Syncer.
func (s *scriptedSyncer) Sync(ctx context.Context, r *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
	done := int(r.GetRevision()) - int(s.snapshot.GetRevision())
	switch {
	case r.GetRevision() == 0:
		return &apiv1.SyncResponse{Snapshot: s.snapshot}, nil
	case done == 0:
		s.began = time.Now()
	case done == s.changes:
		s.finished <- time.Since(s.began)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	changed := parse(organisationYAML(0, 1+done%7))
	return &apiv1.SyncResponse{Deltas: []*apiv1.ConfigDelta{{Revision: r.GetRevision() + 1, Upserts: changed}}}, nil
}

// changeCost returns the microseconds that a node's follow loop takes for one change. With onDisk set, the loop also
// writes the configuration to a folder.
func changeCost(documents, keyCount int, onDisk bool) float64 {
	const changes = 10
	folder := ""
	if onDisk {
		var err error
		if folder, err = os.MkdirTemp("", "capacity"); err != nil {
			panic(err)
		}
		defer os.RemoveAll(folder)
	}
	s := &scriptedSyncer{
		snapshot: &apiv1.ConfigSnapshot{Revision: 1, Resources: resources(documents), Keys: keyRecords(keyCount)},
		changes:  changes,
		finished: make(chan time.Duration, 1),
	}
	directory := registry.NewDirectory()
	sections, err := board.New(directory.Section())
	if err != nil {
		panic(err)
	}
	loop, err := follow.New(follow.Options{
		Identity: peer.Identity{Node: "n"}, Syncer: s, Board: sections, Directory: directory, DataDir: folder, FS: vfs.OS{},
		Local: registry.NewLocal(registry.LocalOptions{Node: "n"}), Clock: clock.System{}, Log: telemetry.Discard(),
	})
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		loop.Run(ctx)
		close(stopped)
	}()
	elapsed := <-s.finished
	cancel()
	<-stopped
	return float64(elapsed) / changes / float64(time.Microsecond)
}

func compiledMemory(documents int) float64 {
	all := resources(documents)
	return heapBytes(func() any {
		snapshot, err := config.Compile(1, all)
		if err != nil {
			panic(err)
		}
		return snapshot
	}, all)
}

func keyMemory(n int) float64 {
	records := keyRecords(n)
	return heapBytes(func() any { return keys.NewTable(records) }, records)
}

func pickerMemory(n int) float64 {
	records := make([]*apiv1.TargetRecord, n)
	for i := range records {
		records[i] = targetRecord(i, 1)
	}
	return heapBytes(func() any {
		targets := make([]*registry.Target, n)
		for i, r := range records {
			targets[i] = registry.FromRecord(r)
		}
		picker := route.NewPicker(route.Config{}, "dc-1", clock.System{}, 1)
		picker.Update(targets)
		return picker
	}, records)
}

func histogramMemory(n int) float64 {
	return heapBytes(func() any {
		h := telemetry.NewHistograms()
		for i := range n {
			h.Record(telemetry.Series{Organisation: fmt.Sprint(i), Class: "c"}, time.Millisecond)
		}
		return h
	})
}

// heartbeatBytes returns the size of a heartbeat and its answer when nothing has changed.
func heartbeatBytes(services int) float64 {
	relay := newRelay(services*9, services)
	req := heartbeat(1)
	req.PlacementVersion = 1 << 40
	for i := range services {
		req.Services = append(req.Services, &apiv1.ServiceVersion{Service: fmt.Sprintf("service-%04d", i), Version: 1})
	}
	req.RegistrySource = relay.Source()
	resp := &apiv1.SyncResponse{Vouched: true, VouchedRevision: 1_000_000}
	relay.FillResponse(req, resp)
	for i, update := range resp.Services {
		req.Services[i].Version = update.Version
	}
	resp.Services = nil
	relay.FillResponse(req, resp)
	return float64(proto.Size(req) + proto.Size(resp))
}
