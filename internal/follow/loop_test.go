package follow

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/board"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/telemetry"
	"github.com/guavaford/guavaford/internal/vfs"
)

// delayingReplica confirms the configuration with each heartbeat and delays its response.
type delayingReplica struct{ delay time.Duration }

func (r delayingReplica) Sync(ctx context.Context, _ *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
	if !clock.Sleep(ctx, r.delay) {
		return nil, ctx.Err()
	}
	return &apiv1.SyncResponse{Vouched: true}, nil
}

// TestDelayedResponseCountsAsContact guards against a node that counts itself as isolated because a replica without
// changes delays its response. The confirmation is as old as the request, but the replica was reachable just now.
func TestDelayedResponseCountsAsContact(t *testing.T) {
	const delay = 300 * time.Millisecond
	directory := registry.NewDirectory()
	b, err := board.New(directory.Section())
	require.NoError(t, err)
	loop, err := New(Options{
		Identity: peer.Identity{Node: "n"}, Syncer: delayingReplica{delay}, Board: b, Directory: directory, FS: vfs.NewMem(),
		Local: registry.NewLocal(registry.LocalOptions{Node: "n"}), Clock: clock.System{}, Log: telemetry.Discard(),
	})
	require.NoError(t, err)
	_, ok := b.Freshness.Load().SinceResponse(time.Now())
	require.False(t, ok, "no replica has responded yet")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); loop.Run(ctx) }()
	defer func() { cancel(); <-done }()
	_, changed := b.Freshness.Watch()
	<-changed
	freshness, now := b.Freshness.Load(), time.Now()
	age, ok := freshness.Age(now)
	require.True(t, ok)
	require.GreaterOrEqual(t, age, delay)
	silence, ok := freshness.SinceResponse(now)
	require.True(t, ok)
	require.Less(t, silence, delay)
}
