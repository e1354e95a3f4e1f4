package control

import (
	"fmt"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// operator makes changes one after another, each until its outcome is known, through any replica.
type operator struct {
	w       *world
	number  int
	changes int
	current *apiv1.Change
	retry   time.Time
	stopped bool
}

func (o *operator) step() {
	if o.current == nil {
		if o.stopped || o.w.rnd.IntN(10) > 0 {
			return
		}
		o.begin()
	}
	if o.w.now.Before(o.retry) {
		return
	}
	o.retry = o.w.now.Add(time.Duration(20+o.w.rnd.IntN(100)) * time.Millisecond)
	host := o.w.hosts[o.w.rnd.IntN(len(o.w.hosts))]
	change := o.current
	o.w.propose(host, change, func(outcome *apiv1.ChangeOutcome) { o.learn(change, outcome) })
	o.w.claim(host, fmt.Sprintf("key-%d", o.w.rnd.IntN(200)), uint64(o.w.rnd.IntN(1000)))
}

// begin makes the next change, against the newest revision that any replica shows or any at all.
func (o *operator) begin() {
	o.changes++
	name := fmt.Sprintf("op-%d-%d", o.number, o.changes)
	o.current = &apiv1.Change{
		Id:          name,
		AnyRevision: o.w.rnd.IntN(3) == 0,
		Upserts:     []*apiv1.Resource{{Kind: organisationKind, Name: name}},
	}
	o.current.ExpectedRevision = o.w.highest
}

// learn checks an outcome against what was acknowledged before.
func (o *operator) learn(change *apiv1.Change, outcome *apiv1.ChangeOutcome) {
	w := o.w
	switch outcome.Result {
	case apiv1.ChangeResult_CHANGE_RESULT_ACCEPTED:
		if earlier, ok := w.accepted[change.Id]; ok {
			require.Equal(w.t, earlier, outcome.Revision, "%s was accepted twice", change.Id)
		}
		if !change.AnyRevision {
			require.Equal(w.t, change.ExpectedRevision+1, outcome.Revision)
		}
		w.accepted[change.Id] = outcome.Revision
		w.highest = max(w.highest, outcome.Revision)
	case apiv1.ChangeResult_CHANGE_RESULT_CONFLICT:
		require.NotContains(w.t, w.accepted, change.Id, "a conflict after acceptance")
		w.highest = max(w.highest, outcome.Revision)
	default:
		require.Contains(w.t, []apiv1.ChangeResult{
			apiv1.ChangeResult_CHANGE_RESULT_UNKNOWN, apiv1.ChangeResult_CHANGE_RESULT_UNAVAILABLE,
		}, outcome.Result)
		return
	}
	if o.current == change {
		o.current = nil
	}
}

// propose is one try of a change at one replica.
func (w *world) propose(h *worldHost, change *apiv1.Change, done func(*apiv1.ChangeOutcome)) {
	r := h.replica
	if r == nil || !r.view.Load().leads(0) {
		return
	}
	if outcome := r.store.Recorded(change); outcome != nil {
		done(outcome)
		return
	}
	data, err := proto.Marshal(r.store.Validate(change))
	require.NoError(w.t, err)
	r.engine.propose(w.now, 0, data, func(result opResult) {
		if result.state != opApplied {
			done(&apiv1.ChangeOutcome{Result: apiv1.ChangeResult_CHANGE_RESULT_UNKNOWN})
			return
		}
		reply := &apiv1.StoreReply{}
		require.NoError(w.t, proto.Unmarshal(result.reply, reply))
		if !reply.StaleValidation {
			done(reply.Outcome)
		}
	})
}

// claim checks that at most one attempt ever gets a key.
func (w *world) claim(h *worldHost, key string, number uint64) {
	r := h.replica
	if r == nil || !r.view.Load().leads(1) {
		return
	}
	request := &apiv1.RunRequest{Claim: &apiv1.RunClaim{Organisation: "o", Key: key, Number: number}}
	r.stamper(1).Stamp(request)
	data, err := proto.Marshal(request)
	require.NoError(w.t, err)
	r.engine.propose(w.now, 1, data, func(result opResult) {
		response := &apiv1.RunResponse{}
		if result.state != opApplied || proto.Unmarshal(result.reply, response) != nil {
			return
		}
		if response.Record.State != apiv1.RunState_RUN_STATE_CLAIMED {
			return
		}
		holder, ok := w.claims[key]
		require.True(w.t, !ok || holder == number, "%s was claimed twice", key)
		w.claims[key] = number
	})
}
