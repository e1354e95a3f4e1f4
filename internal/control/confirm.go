package control

import (
	"context"
	"sync"
	"time"

	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/store"
)

// minRoundInterval is the shortest time between two quorum rounds of this replica's confirmer. It
// limits the rounds that thousands of nodes cause and delays an answer by at most this long.
const minRoundInterval = 50 * time.Millisecond

// confirmer has a quorum confirm that the state of this replica is current. Requests that arrive
// while a quorum round is in progress share the next one.
type confirmer struct {
	r    *Replica
	wake chan struct{}

	mu        sync.Mutex
	nextRound *confirmation
}

// confirmation is one quorum round, shared by the requests that wait for it.
type confirmation struct {
	done chan struct{}
	// started is when the round began. The head was current at some time after it.
	started time.Time
	ok      bool
	head    *store.PublishedState
}

func newConfirmer(r *Replica) *confirmer {
	return &confirmer{r: r, wake: make(chan struct{}, 1)}
}

// wait returns the confirmation of a round that begins after the call, or nil if ctx ends, the
// replica stops or no quorum confirms the state.
func (c *confirmer) wait(ctx context.Context) *confirmation {
	confirmation := c.joinNextRound()
	select {
	case <-confirmation.done:
	case <-ctx.Done():
		return nil
	case <-c.r.stopped:
		return nil
	}
	if !confirmation.ok {
		return nil
	}
	return confirmation
}

func (c *confirmer) joinNextRound() *confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nextRound == nil {
		c.nextRound = &confirmation{done: make(chan struct{})}
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
	return c.nextRound
}

// run executes one round after another as long as requests wait.
func (c *confirmer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		c.runRound(c.takeNextRound())
		if !clock.Sleep(ctx, minRoundInterval) {
			return
		}
	}
}

func (c *confirmer) takeNextRound() *confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.nextRound
	c.nextRound = nil
	return next
}

func (c *confirmer) runRound(confirmation *confirmation) {
	finished := make(chan bool, 1)
	confirmation.started = c.r.o.Clock.Now()
	posted := c.r.post(func(now time.Time) {
		if len(c.r.engine.groups) == 0 {
			finished <- false
			return
		}
		c.r.engine.read(now, 0, func(ok bool) {
			confirmation.head = c.r.store.PublishedState().Load()
			finished <- ok
		})
	})
	if posted {
		select {
		case confirmation.ok = <-finished:
		case <-c.r.stopped:
		}
	}
	if confirmation.ok {
		c.r.ownership.update(confirmation.started, confirmation.head)
	}
	close(confirmation.done)
}
