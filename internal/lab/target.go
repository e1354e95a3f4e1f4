package lab

import (
	"time"

	"github.com/guavaford/guavaford/internal/admission"
	"github.com/guavaford/guavaford/internal/registry"
)

// targetState says whether a target and its host are up.
type targetState int

const (
	alive targetState = iota
	// crashed means that the process of the target died; the node beside it answers.
	crashed
	// unresponsive means that the host died; nothing answers.
	unresponsive
)

// fakeTarget simulates a target. The number of its slots may differ from what it announces; it
// queues attempts beyond them in order of arrival, whatever their priority.
type fakeTarget struct {
	run        *run
	service    *Service
	slots      int
	record     *registry.Target
	running    int
	backlog    []*attempt
	slowFactor float64
	state      targetState
	coldSince  time.Time
	// pending holds the attempts sent here, which fail if the target or its host dies.
	pending []*attempt
}

// track records an attempt that was sent to the target. When the list is full it drops those that ended.
func (t *fakeTarget) track(a *attempt) {
	if len(t.pending) > 0 && len(t.pending) == cap(t.pending) {
		kept := make([]*attempt, 0, cap(t.pending))
		for _, p := range t.pending {
			if !p.ended && !p.call.ended {
				kept = append(kept, p)
			}
		}
		t.pending = kept
	}
	t.pending = append(t.pending, a)
}

// A cold target is coldSlowdown times slower at its start; this falls evenly to 1 within warmUpTime.
const (
	warmUpTime   = 10 * time.Second
	coldSlowdown = 4.0
)

// accept runs an attempt, or queues it while all slots are taken.
func (t *fakeTarget) accept(a *attempt) {
	if t.state != alive {
		return
	}
	if t.running >= t.slots {
		t.backlog = append(t.backlog, a)
		return
	}
	t.execute(a)
}

// execute runs the first half of the service time, the sub-call, and the second half.
func (t *fakeTarget) execute(a *attempt) {
	t.running++
	a.executing = true
	own := t.serviceTime()
	t.run.sim.After(own/2, func() {
		if a.ended {
			return
		}
		a.makeSubCall(func(res admission.Result) {
			if res.Kind != admission.Success {
				a.finish(res)
				return
			}
			t.run.sim.After(own/2, func() { a.finish(res) })
		})
	})
}

// release frees the slot of an attempt or its place in the backlog, and runs the next one.
func (t *fakeTarget) release(a *attempt) {
	if !a.executing {
		for i, waiting := range t.backlog {
			if waiting == a {
				t.backlog = append(t.backlog[:i], t.backlog[i+1:]...)
				return
			}
		}
		return
	}
	t.running--
	if len(t.backlog) > 0 && t.running < t.slots {
		next := t.backlog[0]
		t.backlog = t.backlog[1:]
		t.execute(next)
	}
}

// serviceTime draws the service time of one request: half of the mean is fixed, half exponentially distributed.
func (t *fakeTarget) serviceTime() time.Duration {
	mean := float64(t.service.ServiceTime) * t.slowFactor * t.warmUpFactor()
	return time.Duration(mean * (0.5 + 0.5*t.run.random.ExpFloat64()))
}

// warmUpFactor returns the factor by which a cold target's service time is multiplied.
func (t *fakeTarget) warmUpFactor() float64 {
	if t.coldSince.IsZero() {
		return 1
	}
	age := t.run.sim.Now().Sub(t.coldSince)
	if age >= warmUpTime {
		return 1
	}
	return 1 + (coldSlowdown-1)*(1-float64(age)/float64(warmUpTime))
}
