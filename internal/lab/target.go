package lab

import (
	"time"

	"github.com/guavaford/guavaford/internal/admission"
	"github.com/guavaford/guavaford/internal/registry"
)

// targetState says whether a target and its host live.
type targetState int

const (
	alive targetState = iota
	// crashed means that the process of the target died; the node beside it answers.
	crashed
	// silent means that the host died; nothing is heard.
	silent
)

// fakeTarget runs admitted attempts. It has a number of slots, which may differ from what it
// announces, and queues what comes beyond them without order of importance.
type fakeTarget struct {
	run      *run
	service  *Service
	slots    int
	record   *registry.Target
	running  int
	backlog  []*attempt
	slow     float64
	state    targetState
	coldFrom time.Time
	// pending holds the attempts sent here, for the case that the host dies.
	pending []*attempt
}

// expect notes an attempt on its way, and forgets those that ended.
func (t *fakeTarget) expect(a *attempt) {
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

// Behaviour of a cold target.
const (
	coldTime   = 10 * time.Second
	coldFactor = 4.0
)

// begin takes an attempt in.
func (t *fakeTarget) begin(a *attempt) {
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
		a.callBelow(func(res admission.Result) {
			if res.Kind != admission.Success {
				a.finish(res)
				return
			}
			t.run.sim.After(own/2, func() { a.finish(res) })
		})
	})
}

// leave frees what an attempt holds.
func (t *fakeTarget) leave(a *attempt) {
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

// serviceTime draws the time of one request; half of the mean is fixed.
func (t *fakeTarget) serviceTime() time.Duration {
	mean := float64(t.service.ServiceTime) * t.slow * t.cold()
	return time.Duration(mean * (0.5 + 0.5*t.run.random.ExpFloat64()))
}

// cold returns the factor of a cold target's service time.
func (t *fakeTarget) cold() float64 {
	if t.coldFrom.IsZero() {
		return 1
	}
	age := t.run.sim.Now().Sub(t.coldFrom)
	if age >= coldTime {
		return 1
	}
	return 1 + (coldFactor-1)*(1-float64(age)/float64(coldTime))
}
