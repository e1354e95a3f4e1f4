package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/telemetry"
	"github.com/guavaford/guavaford/internal/vfs"
)

// TestRestartedReplicaReportsStoredFleetSize guards against rates that are exceeded after a restart: nodes divide rates
// by the reported number of nodes, and a replica that has just started and knows one node must not report a fleet of
// one.
func TestRestartedReplicaReportsStoredFleetSize(t *testing.T) {
	fs, log := vfs.NewMem(), telemetry.Discard()
	require.NoError(t, fs.MkdirAll("data"))
	require.Zero(t, loadFleetSize(fs, "data", log), "nothing is stored yet")
	now := time.Unix(1000, 0)
	heartbeat := func(relay *registry.Relay, nodes int) uint32 {
		for i := range nodes {
			relay.HandleHeartbeat(now, &apiv1.SyncRequest{Node: string(rune('a' + i)), Incarnation: 1})
		}
		relay.Expire(now)
		resp := &apiv1.SyncResponse{}
		relay.FillResponse(&apiv1.SyncRequest{}, resp)
		return resp.GetNodes()
	}
	before := registry.NewRelay(registry.RelayOptions{Node: "r", Incarnation: 1, WarmUp: time.Second})
	require.EqualValues(t, 20, heartbeat(before, 20))
	now = now.Add(2 * time.Second)
	require.EqualValues(t, 20, heartbeat(before, 20))
	(&fleetSize{fs: fs, folder: "data", relay: before, log: log}).save()
	expected := loadFleetSize(fs, "data", log)
	require.Equal(t, 20, expected)

	after := registry.NewRelay(registry.RelayOptions{Node: "r", Incarnation: 2, WarmUp: time.Second, ExpectedNodes: expected})
	require.EqualValues(t, 20, heartbeat(after, 1))
	now = now.Add(2 * time.Second)
	require.EqualValues(t, 1, heartbeat(after, 1), "after the warm-up the replica reports the nodes it knows")
}
