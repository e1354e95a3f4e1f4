package admission

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/outcome"
)

// acquire starts Acquire in a goroutine and returns once that is blocked or done.
func acquire(t *testing.T, g *Controller, ctx context.Context, r Request) <-chan *outcome.Refusal {
	done := make(chan *outcome.Refusal, 1)
	go func() {
		_, refusal := g.Acquire(ctx, r)
		done <- refusal
	}()
	synctest.Wait()
	return done
}

// TestGateStartsQueuedRequestOnRelease guards against a freed slot that starts no queued request.
func TestGateStartsQueuedRequestOnRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewController(Config{Slots: 1}, clock.System{})
		permit, refusal := g.Acquire(t.Context(), Request{})
		require.Nil(t, refusal)
		next := acquire(t, g, t.Context(), Request{})
		require.Equal(t, 1, g.Load().Queued)
		permit.Release(Result{Kind: Success})
		require.Nil(t, <-next)
	})
}

// TestGateRemovesCancelledRequestAtOnce guards against cancelled requests that keep a place in the queue or
// are still admitted.
func TestGateRemovesCancelledRequestAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewController(Config{Slots: 1}, clock.System{})
		_, refusal := g.Acquire(t.Context(), Request{})
		require.Nil(t, refusal)
		ctx, cancel := context.WithCancel(t.Context())
		queued := acquire(t, g, ctx, Request{})
		cancel()
		synctest.Wait()
		require.Zero(t, g.Load().Queued)
		require.Equal(t, outcome.Cancelled, (<-queued).Code)
		_, refusal = g.Acquire(ctx, Request{})
		require.Equal(t, outcome.Cancelled, refusal.Code)
	})
}

// TestGateBoundsQueueTime guards against requests without a deadline that queue forever.
func TestGateBoundsQueueTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewController(Config{Slots: 1}, clock.System{})
		_, refusal := g.Acquire(t.Context(), Request{})
		require.Nil(t, refusal)
		start := time.Now()
		refusal = <-acquire(t, g, t.Context(), Request{})
		require.Equal(t, outcome.DeadlineTooShort, refusal.Code)
		require.Equal(t, outcome.RanNo, refusal.Ran)
		require.LessOrEqual(t, time.Since(start), MaxQueueTime)
	})
}

// TestGateRefusesWhileDraining guards against new requests at a target that drains.
func TestGateRefusesWhileDraining(t *testing.T) {
	g := NewController(Config{Slots: 1}, clock.System{})
	g.SetDraining(true)
	_, refusal := g.Acquire(t.Context(), Request{})
	require.Equal(t, outcome.TargetLeaving, refusal.Code)
}

// TestGateHotPathDoesNotAllocate guards against allocations for a request that is admitted without queueing.
func TestGateHotPathDoesNotAllocate(t *testing.T) {
	g := NewController(Config{Slots: 100}, clock.System{})
	r := Request{Organisation: "a", Level: LevelOf(1, "id"), Deadline: time.Now().Add(time.Hour)}
	ctx := t.Context()
	allocations := testing.AllocsPerRun(1000, func() {
		permit, _ := g.Acquire(ctx, r)
		permit.Release(Result{Kind: Success})
	})
	require.Zero(t, allocations)
}

// TestGateNeverExceedsTheLimit guards against too many concurrent requests, and against slots that are not freed.
func TestGateNeverExceedsTheLimit(t *testing.T) {
	g := NewController(Config{Slots: 3}, clock.System{})
	var mu sync.Mutex
	running, most := 0, 0
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 200 {
				permit, refusal := g.Acquire(t.Context(), Request{Organisation: "a"})
				if refusal != nil {
					continue
				}
				mu.Lock()
				running++
				most = max(most, running)
				mu.Unlock()
				mu.Lock()
				running--
				mu.Unlock()
				permit.Release(Result{Kind: Success})
			}
		})
	}
	all.Wait()
	require.LessOrEqual(t, most, 3)
	require.Zero(t, g.Load().InFlight)
	require.Zero(t, g.Load().Queued)
}
