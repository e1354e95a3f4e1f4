package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// loop owns the engine.
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
		r.drain()
		now := r.o.Clock.Now()
		if ticked {
			// After the messages: a replica that was held up must not mistake its own delay for silence.
			r.engine.tick(now)
		}
		if ticked && now.After(nextDuty) {
			nextDuty = now.Add(dutyInterval)
			r.duties(now)
		}
		if err := r.engine.process(); err != nil {
			r.o.Log.Error("control replica stops", "err", err)
			return err
		}
		if r.failure != nil {
			return r.failure
		}
		r.flush()
		r.publish()
	}
}

// writeSnapshot writes a snapshot beside the loop, which must not wait for a large file.
func (r *Replica) writeSnapshot(number uint32, s *apiv1.GroupSnapshot) {
	r.start(func() {
		err := r.log.WriteSnapshot(number, s)
		r.post(func(time.Time) {
			if err == nil {
				err = r.engine.finishSnapshot(number, s)
			}
			if err != nil {
				r.fail(errors.Wrap(err, "snapshot"))
			}
		})
	})
}

// drain executes the events that have queued up, so that one sync covers them.
func (r *Replica) drain() {
	for range eventBuffer {
		select {
		case event := <-r.events:
			event(r.o.Clock.Now())
		default:
			return
		}
	}
}

// post hands a function to the loop; false means that the replica has stopped.
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

// fail ends the loop with an error.
func (r *Replica) fail(err error) {
	if r.failure == nil {
		r.failure = err
	}
}

// flush passes the messages of the engine to the senders.
func (r *Replica) flush() {
	if r.senders.ctx.Load() == nil {
		return // driven by hand, without a network
	}
	for id, messages := range r.engine.outbox {
		delete(r.engine.outbox, id)
		if address := r.addressOf(id); address != "" {
			r.senders.push(address, messages)
		}
	}
}

// addressOf finds the peer address of a replica. The membership is the authority; a replica
// that has no log yet knows its leader only from messages.
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
