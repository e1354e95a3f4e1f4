package control

import (
	"context"
	"sync"
	"time"

	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/store"
)

// confirmPause is the least time between two quorum rounds of this replica's confirmer. It
// bounds the rounds that thousands of nodes cause and delays an answer by at most as much.
const confirmPause = 50 * time.Millisecond

// confirmer vouches for the state of this replica. Requests that come in while a quorum round is
// out wait together for the next one.
type confirmer struct {
	r    *Replica
	kick chan struct{}

	mu   sync.Mutex
	next *confirmation
}

// confirmation is one quorum round that several requests wait for.
type confirmation struct {
	done chan struct{}
	// started is when the round began; the head was current at some time after it.
	started time.Time
	ok      bool
	head    *store.Head
}

func newConfirmer(r *Replica) *confirmer {
	return &confirmer{r: r, kick: make(chan struct{}, 1)}
}

// wait returns the confirmation of a round that begins after the call, or nil if
// ctx ends or no quorum confirms.
func (c *confirmer) wait(ctx context.Context) *confirmation {
	confirmation := c.join()
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

func (c *confirmer) join() *confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &confirmation{done: make(chan struct{})}
		select {
		case c.kick <- struct{}{}:
		default:
		}
	}
	return c.next
}

// run executes one round after another while requests wait.
func (c *confirmer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.kick:
		}
		c.execute(c.take())
		if !clock.Sleep(ctx, confirmPause) {
			return
		}
	}
}

func (c *confirmer) take() *confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.next
	c.next = nil
	return next
}

func (c *confirmer) execute(confirmation *confirmation) {
	finished := make(chan bool, 1)
	confirmation.started = c.r.o.Clock.Now()
	posted := c.r.post(func(now time.Time) {
		if len(c.r.engine.groups) == 0 {
			finished <- false
			return
		}
		c.r.engine.read(now, 0, func(ok bool) {
			confirmation.head = c.r.store.Head().Load()
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
		c.r.ownership.confirmed(confirmation.started, confirmation.head)
	}
	close(confirmation.done)
}
