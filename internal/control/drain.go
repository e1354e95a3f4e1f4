package control

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"

	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/config"
)

// ErrNoConfiguration is returned for a drain before the first configuration. Nodes wait for that one, and take a
// configuration with nothing but a drain for complete.
var ErrNoConfiguration = errors.New("there is no configuration yet")

// DrainDataCentre makes the configuration drain a data centre, or use it again, and returns the revision that says so. A
// quorum confirms the result after the call. It can be repeated: an order that the configuration already follows
// changes nothing. Each change expects the revision that the order was compared with, so that an order that is delayed
// on its way to the leader doesn't undo a later one.
func (r *Replica) DrainDataCentre(ctx context.Context, name string, drain bool) (revision uint64, changed bool, err error) {
	wanted, problems := config.NewResource(config.KindDataCentre, name, nil, &config.DataCentreSpec{Drain: true})
	if err := problems.Err(); err != nil {
		return 0, false, err
	}
	for {
		if r.confirm(ctx) == nil {
			return 0, false, ErrNoQuorum
		}
		known, current := r.store.Resource(wanted.Kind, name)
		switch {
		case current == 0:
			return 0, false, ErrNoConfiguration
		case drain && bytes.Equal(known.GetSpec(), wanted.Spec), !drain && known == nil:
			return current, false, nil
		}
		change := &apiv1.Change{Id: newDrainID(), ExpectedRevision: current}
		if drain {
			change.Upserts = []*apiv1.Resource{wanted}
		} else {
			change.Deletes = []*apiv1.ResourceRef{{Kind: wanted.Kind, Name: name}}
		}
		response, err := r.Propose(ctx, &apiv1.ProposeRequest{Change: change})
		if err != nil {
			return 0, false, err
		}
		outcome := response.GetOutcome()
		switch outcome.GetResult() {
		case apiv1.ChangeResult_CHANGE_RESULT_ACCEPTED:
			return outcome.GetRevision(), true, nil
		case apiv1.ChangeResult_CHANGE_RESULT_CONFLICT:
			// Another change came first.
		default:
			return 0, false, errors.Errorf("drain of data centre %s: %v %v", name, outcome.GetResult(), outcome.GetProblems())
		}
	}
}

// drainIDBytes is the number of random bytes in the id of a change that drains a data centre.
const drainIDBytes = 12

// newDrainID returns a change id that no other change has.
func newDrainID() string {
	var raw [drainIDBytes]byte
	_, _ = rand.Read(raw[:])
	return "drain-" + hex.EncodeToString(raw[:])
}
