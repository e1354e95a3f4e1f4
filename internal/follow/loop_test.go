package follow

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
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

// laggingReplica delivers changes without the confirmation of a quorum, as one does whose disk is slow.
type laggingReplica struct {
	// delivers tells whether each response brings a change that the node lacks.
	delivers bool

	mu       sync.Mutex
	requests []time.Time
}

func (r *laggingReplica) Sync(_ context.Context, request *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, time.Now())
	response := &apiv1.SyncResponse{Error: "no quorum confirms the revision"}
	if r.delivers {
		response.Deltas = []*apiv1.ConfigDelta{{Revision: request.Revision + 1}}
	}
	return response, nil
}

// intervals returns the times between the requests.
func (r *laggingReplica) intervals() []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []time.Duration
	for i := 1; i < len(r.requests); i++ {
		list = append(list, r.requests[i].Sub(r.requests[i-1]))
	}
	return list
}

// TestUnconfirmedChangesKeepTheBackoffShort guards against nodes that wait longer and longer for the next changes of a
// replica that delivers each of them, because no quorum confirms it, and learn of a change more than a second late.
func TestUnconfirmedChangesKeepTheBackoffShort(t *testing.T) {
	for name, delivers := range map[string]bool{"changes": true, "no changes": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				replica := &laggingReplica{delivers: delivers}
				directory := registry.NewDirectory()
				b, err := board.New(directory.Section())
				require.NoError(t, err)
				loop, err := New(Options{
					Identity: peer.Identity{Node: "n"}, Syncer: replica, Board: b, Directory: directory, FS: vfs.NewMem(),
					Local: registry.NewLocal(registry.LocalOptions{Node: "n"}), Clock: clock.System{}, Log: telemetry.Discard(),
				})
				require.NoError(t, err)
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				loop.Run(ctx)
				intervals := replica.intervals()
				require.Greater(t, len(intervals), 10)
				if delivers {
					for i, interval := range intervals {
						require.LessOrEqual(t, interval, firstBackoff, "after response %d", i)
					}
					require.EqualValues(t, len(intervals)+1, b.Configuration.Load().Revision)
					return
				}
				for i, interval := range intervals[6:] {
					require.GreaterOrEqual(t, interval, maxBackoff/2, "after response %d", i+6)
				}
			})
		})
	}
}
