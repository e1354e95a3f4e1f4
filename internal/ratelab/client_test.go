package ratelab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/blackboard"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/rate"
)

// movingOwnership is the ownership of the only shard, which move passes to another owner.
type movingOwnership struct {
	mu    sync.Mutex
	epoch uint64
	since time.Time
}

func (o *movingOwnership) Owned(uint32) (uint64, time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.epoch, o.since, true
}

func (o *movingOwnership) move() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.epoch++
	o.since = time.Now()
}

// fixedLimits gives every organisation the same limits.
type fixedLimits limit

func (l fixedLimits) Limits(string) (float64, float64, bool) { return l.perSecond, l.burst, true }

// lossySender passes requests to an owner and loses some requests and answers.
type lossySender struct{ owner *rate.Owner }

func (s lossySender) Lease(ctx context.Context, _ string, r *apiv1.LeaseRequest) (*apiv1.LeaseResponse, error) {
	time.Sleep(time.Duration(1+rand.IntN(3)) * time.Millisecond)
	if rand.IntN(20) == 0 {
		return nil, errors.New("request lost")
	}
	resp, err := s.owner.Lease(ctx, r)
	time.Sleep(time.Duration(1+rand.IntN(3)) * time.Millisecond)
	if rand.IntN(20) == 0 {
		return nil, errors.New("answer lost")
	}
	return resp, err
}

// admissionLog collects admissions of concurrent requests.
type admissionLog struct {
	mu      sync.Mutex
	began   time.Time
	entries []*admission
	refused int
}

// call takes a token and waits for the length of a call. A part of the calls counts as not run and is refunded.
func (l *admissionLog) call(ctx context.Context, c *rate.Client) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(1+rand.IntN(400))*time.Millisecond)
	defer cancel()
	charge, refusal := c.Take(ctx, "kanzlei")
	if refusal != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.refused++
		return
	}
	entry := &admission{at: time.Since(l.began), refunded: rand.IntN(5) == 0}
	l.mu.Lock()
	l.entries = append(l.entries, entry)
	l.mu.Unlock()
	time.Sleep(time.Duration(rand.IntN(50)) * time.Millisecond)
	if entry.refunded {
		charge.Refund()
	}
}

// TestClientsTogetherStayWithinRate guards against excess, and against tokens that no longer flow after a change of
// owner. It runs whole clients with many goroutines, lost messages, refunds and cancelled waits.
func TestClientsTogetherStayWithinRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		limits := fixedLimits{perSecond: 300, burst: 40}
		ownership := &movingOwnership{epoch: 1, since: time.Now()}
		sender := lossySender{rate.NewOwner(ownership, limits, clock.System{}, rate.Config{})}
		placement := blackboard.NewSection(&apiv1.Placement{RateShards: 1, RateOwners: []*apiv1.ShardOwner{{Epoch: 1}}})
		log := &admissionLog{began: time.Now()}
		var group sync.WaitGroup
		for i := range 4 {
			client := rate.NewClient(rate.Identity{Node: fmt.Sprint("n", i), Incarnation: 1}, sender, placement, clock.System{}, rate.Config{})
			group.Go(func() { client.Run(ctx) })
			for range 20 {
				group.Go(func() {
					for ctx.Err() == nil {
						log.call(ctx, client)
						time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
					}
				})
			}
		}
		time.Sleep(5 * time.Second)
		ownership.move()
		time.Sleep(7 * time.Second)
		cancel()
		group.Wait()

		slices.SortFunc(log.entries, func(a, b *admission) int { return int(a.at - b.at) })
		changes := []limitChange{{0, limit(limits)}}
		require.LessOrEqual(t, overdraft(log.entries, changes, 0), roundingTolerance)
		late := 0
		for _, e := range log.entries {
			if e.at > 9*time.Second {
				late++
			}
		}
		require.Greater(t, late, 300, "tokens flow after the change of owner")
		require.Positive(t, log.refused)
	})
}
