package control

import (
	"fmt"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// operator proposes changes one after another through random replicas, and retries each one until its outcome
// is known.
type operator struct {
	sim     *simulation
	number  int
	changes int
	current *apiv1.Change
	retry   time.Time
	stopped bool
}

func (o *operator) step() {
	if o.current == nil {
		if o.stopped || o.sim.rnd.IntN(10) > 0 {
			return
		}
		o.startChange()
	}
	if o.sim.now.Before(o.retry) {
		return
	}
	o.retry = o.sim.now.Add(time.Duration(20+o.sim.rnd.IntN(100)) * time.Millisecond)
	host := o.sim.hosts[o.sim.rnd.IntN(len(o.sim.hosts))]
	change := o.current
	o.sim.propose(host, change, func(outcome *apiv1.ChangeOutcome) { o.checkOutcome(change, outcome) })
	o.sim.claim(host, fmt.Sprintf("key-%d", o.sim.rnd.IntN(200)), uint64(o.sim.rnd.IntN(1000)))
}

// begin creates the next change. It expects the highest revision that any outcome has named, or accepts any.
func (o *operator) startChange() {
	o.changes++
	name := fmt.Sprintf("op-%d-%d", o.number, o.changes)
	o.current = &apiv1.Change{
		Id:          name,
		AnyRevision: o.sim.rnd.IntN(3) == 0,
		Upserts:     []*apiv1.Resource{{Kind: organisationKind, Name: name}},
	}
	o.current.ExpectedRevision = o.sim.highest
}

// checkOutcome checks an outcome against those of earlier requests.
func (o *operator) checkOutcome(change *apiv1.Change, outcome *apiv1.ChangeOutcome) {
	sim := o.sim
	switch outcome.Result {
	case apiv1.ChangeResult_CHANGE_RESULT_ACCEPTED:
		if earlier, ok := sim.accepted[change.Id]; ok {
			require.Equal(sim.t, earlier, outcome.Revision, "%s was accepted twice", change.Id)
		}
		if !change.AnyRevision {
			require.Equal(sim.t, change.ExpectedRevision+1, outcome.Revision)
		}
		sim.accepted[change.Id] = outcome.Revision
		sim.highest = max(sim.highest, outcome.Revision)
	case apiv1.ChangeResult_CHANGE_RESULT_CONFLICT:
		require.NotContains(sim.t, sim.accepted, change.Id, "change reported as a conflict after it was accepted")
		sim.highest = max(sim.highest, outcome.Revision)
	default:
		require.Contains(sim.t, []apiv1.ChangeResult{
			apiv1.ChangeResult_CHANGE_RESULT_UNKNOWN, apiv1.ChangeResult_CHANGE_RESULT_UNAVAILABLE,
		}, outcome.Result)
		return
	}
	if o.current == change {
		o.current = nil
	}
}

// propose proposes a change at one replica, if that replica leads.
func (sim *simulation) propose(h *simHost, change *apiv1.Change, done func(*apiv1.ChangeOutcome)) {
	r := h.replica
	if r == nil || !r.view.Load().leads(0) {
		return
	}
	if outcome := r.store.RecordedOutcome(change); outcome != nil {
		done(outcome)
		return
	}
	data, err := proto.Marshal(r.store.Validate(change))
	require.NoError(sim.t, err)
	r.engine.propose(sim.now, 0, data, func(result opResult) {
		if result.state != opApplied {
			done(&apiv1.ChangeOutcome{Result: apiv1.ChangeResult_CHANGE_RESULT_UNKNOWN})
			return
		}
		reply := &apiv1.StoreReply{}
		require.NoError(sim.t, proto.Unmarshal(result.reply, reply))
		if !reply.StaleValidation {
			done(reply.Outcome)
		}
	})
}

// claim claims a run record, and checks that only one attempt ever gets the same key.
func (sim *simulation) claim(h *simHost, key string, number uint64) {
	r := h.replica
	if r == nil || !r.view.Load().leads(1) {
		return
	}
	request := &apiv1.RunRequest{Claim: &apiv1.RunClaim{Organisation: "o", Key: key, Number: number}}
	r.stamper(1).Stamp(request)
	data, err := proto.Marshal(request)
	require.NoError(sim.t, err)
	r.engine.propose(sim.now, 1, data, func(result opResult) {
		response := &apiv1.RunResponse{}
		if result.state != opApplied || proto.Unmarshal(result.reply, response) != nil {
			return
		}
		if response.Record.State != apiv1.RunState_RUN_STATE_CLAIMED {
			return
		}
		holder, ok := sim.claims[key]
		require.True(sim.t, !ok || holder == number, "%s was claimed twice", key)
		sim.claims[key] = number
	})
}
