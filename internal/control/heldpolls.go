package control

import (
	"context"
	"sync"
	"time"

	"github.com/guavaford/guavaford/internal/clock"
)

// maxHeldAge is how old the last confirmation by a quorum may be while responses to heartbeats are held back, and how long a
// heartbeat that may be held back waits for its first one. A replica that hears of no changes because it is cut off would
// otherwise hold its nodes until the wait time has ended. It is longer than most elections take from the last round of
// the former leader, so that the loss of a leader does not send all nodes to other replicas at once, and leaves a node
// the time to find a replica within a second of a change while any minority of them is lost.
const maxHeldAge = 550 * time.Millisecond

// heldRenewAge is the age from which the confirmation is renewed while responses are held back. With the round itself it
// stays well below maxHeldAge.
const heldRenewAge = 2 * ownershipRenewInterval

// minHeldConfirmWait is the least time that a heartbeat that may be held back waits for its first confirmation. It covers
// the round in progress and the next one.
const minHeldConfirmWait = 2 * minRoundInterval

// heldPolls ends the heartbeats whose response is held back when no quorum confirms the replica's state any more.
type heldPolls struct {
	mu          sync.Mutex
	count       int
	unconfirmed chan struct{}
}

func newHeldPolls() *heldPolls {
	return &heldPolls{unconfirmed: make(chan struct{})}
}

// begin counts a heartbeat, and returns a channel that is closed when the confirmation of the state is too old. The
// caller must call end.
func (h *heldPolls) begin() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count++
	return h.unconfirmed
}

func (h *heldPolls) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count--
}

// any reports whether responses are held back.
func (h *heldPolls) any() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.count > 0
}

// release ends all heartbeats and returns their number.
func (h *heldPolls) release() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.unconfirmed)
	h.unconfirmed = make(chan struct{})
	return h.count
}

// watchHeldPolls releases the held heartbeats while the last confirmation by a quorum is older than maxHeldAge. It runs
// apart from the loop, which a disk can delay.
func (r *Replica) watchHeldPolls(ctx context.Context) {
	for {
		left := maxHeldAge - r.ownership.confirmationAge()
		if left <= 0 {
			if released := r.heldPolls.release(); released > 0 {
				r.o.Log.Warn("heartbeats released, no quorum confirms the state", "heartbeats", released, "age", maxHeldAge-left)
			}
			left = minRoundInterval
		}
		if !clock.Sleep(ctx, left) {
			return
		}
	}
}
