package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
)

// loop is the event loop. It is the only goroutine that uses the engine.
func (r *Replica) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var nextDuty time.Time
	for {
		ticked := false
		select {
		case <-ctx.Done():
			return nil
		case event := <-r.events:
			event(r.o.Clock.Now())
		case <-ticker.C:
			ticked = true
		}
		r.runQueued()
		now := r.o.Clock.Now()
		if ticked {
			// The timers run after the queued messages: a process that was paused must not take its own
			// delay for the silence of other replicas.
			r.engine.tick(now)
		}
		if ticked && now.After(nextDuty) {
			nextDuty = now.Add(leaderTaskInterval)
			r.runLeaderTasks(now)
		}
		if err := r.engine.process(); err != nil {
			r.o.Log.Error("control replica stops after an error", "err", err)
			return err
		}
		if r.failure != nil {
			return r.failure
		}
		r.sendOutbox()
		r.publish()
		r.logSlowSync(now)
	}
}

// writeSnapshot writes a snapshot in another goroutine, so that the loop does not wait for a large
// file.
func (r *Replica) writeSnapshot(number uint32, s *apiv1.GroupSnapshot) {
	r.startWorker(func() {
		err := r.log.WriteSnapshotFile(number, s)
		r.post(func(time.Time) {
			if err == nil {
				err = r.engine.finishSnapshot(number, s)
			}
			if err != nil {
				r.fail(errors.Wrap(err, "write snapshot"))
			}
		})
	})
}

// fullDiskInterval is the time between two attempts to write to a full disk.
const fullDiskInterval = 100 * time.Millisecond

// fullDiskLogInterval is the time between two log lines on a disk that is full.
const fullDiskLogInterval = time.Second

// awaitRoom waits before another attempt to write to a full disk. Meanwhile the replica is as one whose disk stalls: it votes for nothing, acknowledges
// nothing and confirms no read, so the others go on without it. It returns false when the replica stops.
func (r *Replica) awaitRoom(ctx context.Context, err error) bool {
	now := r.o.Clock.Now().UnixNano()
	if last := r.fullDiskLogged.Load(); now-last >= int64(fullDiskLogInterval) && r.fullDiskLogged.CompareAndSwap(last, now) {
		r.o.Log.Warn("disk full, replica waits for room", "node", r.o.Identity.Node, "err", err)
	}
	return clock.Sleep(ctx, fullDiskInterval)
}

// runQueued executes the events that are queued, so that one sync covers them all.
func (r *Replica) runQueued() {
	for range eventBuffer {
		select {
		case event := <-r.events:
			event(r.o.Clock.Now())
		default:
			return
		}
	}
}

// post queues a function for the loop. It returns false if the replica has stopped.
func (r *Replica) post(event func(now time.Time)) bool {
	select {
	case <-r.stopped:
		return false
	default:
	}
	select {
	case r.events <- event:
		return true
	case <-r.stopped:
		return false
	}
}

// fail makes the loop end with an error; the first error is kept.
func (r *Replica) fail(err error) {
	if r.failure == nil {
		r.failure = err
	}
}

// sendOutbox passes the messages of the engine to the senders.
func (r *Replica) sendOutbox() {
	if r.senders.ctx.Load() == nil {
		return // a test drives the engine without a network
	}
	for id, messages := range r.engine.outbox {
		delete(r.engine.outbox, id)
		if address := r.addressOf(id); address != "" {
			r.senders.push(address, messages)
		}
	}
}

// addressOf returns the peer address of a replica. The membership takes precedence; a replica that
// has no log yet knows its leader only from the messages it received.
func (r *Replica) addressOf(id uint64) string {
	for _, g := range r.engine.groups {
		for _, member := range g.core.Membership().Replicas {
			if member.Id == id {
				return member.Address
			}
		}
	}
	return r.known[id].address
}
