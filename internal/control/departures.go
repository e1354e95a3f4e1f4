package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/departure"
	"github.com/guavaford/guavaford/internal/peer"
)

// DepartureTimeout is how long a node waits for replicas to store a departure.
const DepartureTimeout = 900 * time.Millisecond

const (
	// departureCheckInterval is the time between two checks whether departures have to be fetched.
	departureCheckInterval = 100 * time.Millisecond
	// departureLogInterval is the time between two log lines about departures that can't be completed.
	departureLogInterval = time.Second
	// departureFetchTimeout bounds one round of fetching departures from the other voters.
	departureFetchTimeout = 600 * time.Millisecond
	// departureFetchDelay is the time from the start of a process, or from when the replica became a voter, until it fetches departures. It is longer
	// than a node waits for its confirmation: a departure that the replica acknowledged before it lost its disk, or that was sent to the former
	// voters, is then at a majority, or is never confirmed.
	departureFetchDelay = DepartureTimeout + 400*time.Millisecond
)

// Reasons why a replica doesn't count for a departure.
var (
	// ErrLaterProcess is returned to a process of a node when a later one is known.
	ErrLaterProcess = errors.New("a later process of the node is known")
	// ErrNotVoter is returned by replicas that don't vote: nodes must not count them.
	ErrNotVoter = errors.New("the replica does not vote")
	// ErrFounding is returned while the cluster lacks the voters that it is founded with.
	ErrFounding = errors.New("the cluster is being founded")
	// ErrIncomplete is returned by a replica that may have lost departures.
	ErrIncomplete = errors.New("the replica may lack departures")
)

// Departures stores durably which targets of a node leave or have left, or returns what the replica holds of the node's targets. The node asks all
// voters and counts the answers without an error. A request without a node returns the departures of all nodes, for other replicas.
//
// Departures that can't be stored take effect all the same, but the node must not count this replica for its confirmation.
func (r *Replica) Departures(ctx context.Context, request *apiv1.DepartureRequest) (*apiv1.DepartureResponse, error) {
	now := r.o.Clock.Now()
	if request.Node == "" {
		if !r.departuresComplete() {
			return nil, ErrIncomplete
		}
		return &apiv1.DepartureResponse{Records: r.departures.All(now)}, nil
	}
	if _, current := r.relay.MergeDepartures(now, request); !current {
		return nil, ErrLaterProcess
	}
	err := r.confirmVoting(ctx)
	if err == nil && len(request.Departed) > 0 {
		err = r.departures.Add(ctx, now, request.Departed)
	}
	if err != nil {
		if len(request.Departed) > 0 {
			r.o.Log.Warn("departure not stored", "node", request.Node, "target", request.Departed[0].GetName(), "took", r.o.Clock.Now().Sub(now), "err", err)
		}
		return nil, err
	}
	if len(request.Departed) > 0 {
		return &apiv1.DepartureResponse{}, nil
	}
	if !r.departuresComplete() {
		return nil, ErrIncomplete
	}
	records, _ := r.relay.MergeDepartures(now, request)
	return &apiv1.DepartureResponse{Records: append(records, r.departures.Of(now, request.Node)...)}, nil
}

// confirmVoting returns an error unless this replica is a voter of a cluster that has been founded, and a quorum has confirmed that recently. A replica that
// was replaced while it was down or cut off takes itself for a voter until it hears of it, and a node that asks it first takes its membership for
// the current one. It is replaced after a longer silence than the age of a recent confirmation, so its answers never count beside those of its successor.
func (r *Replica) confirmVoting(ctx context.Context) error {
	if !r.recentlyConfirmed(r.o.Clock.Now()) {
		if r.confirm(ctx) == nil {
			return ErrNoQuorum
		}
		r.awaitLoop(ctx) // the membership that the quorum confirmed is in the view after that
	}
	switch {
	case !r.view.Load().votes():
		return ErrNotVoter
	case r.insufficientVoters() != "":
		return ErrFounding
	}
	return nil
}

// awaitLoop waits until the loop has finished what it does now.
func (r *Replica) awaitLoop(ctx context.Context) {
	done := make(chan struct{})
	if !r.post(func(time.Time) { close(done) }) {
		return
	}
	select {
	case <-done:
	case <-r.stopped:
	case <-ctx.Done():
	}
}

// departuresComplete reports whether this replica can't have lost a departure that was confirmed with its acknowledgement.
func (r *Replica) departuresComplete() bool {
	return r.view.Load().votes() && !r.votingLapsed.Load() && r.departures.Complete()
}

// maintainDepartures makes the departures complete whenever this replica votes: it may have lost its disk, or other voters may have stored
// departures while it did not vote.
func (r *Replica) maintainDepartures(ctx context.Context) {
	since, logged := r.opened, time.Time{}
	for clock.Sleep(ctx, departureCheckInterval) {
		if r.votingLapsed.Load() {
			since = r.o.Clock.Now()
			r.clearDeparturesComplete(ctx)
		}
		if r.votingLapsed.Load() || r.departures.Complete() {
			continue
		}
		now := r.o.Clock.Now()
		if err := r.completeDepartures(ctx, now.Sub(since)); err != nil && now.Sub(logged) >= departureLogInterval {
			logged = now
			r.o.Log.Warn("departures not complete", "for", now.Sub(since), "err", err)
		}
	}
}

// clearDeparturesComplete marks the departures as not complete after this replica did not vote. It keeps votingLapsed until that is durable.
func (r *Replica) clearDeparturesComplete(ctx context.Context) {
	wasComplete := r.departures.Complete()
	if err := r.departures.SetIncomplete(ctx, r.o.Clock.Now()); err != nil {
		r.o.Log.Warn("departures not marked as incomplete", "err", err)
		return
	}
	if wasComplete {
		r.o.Log.Info("departures incomplete", "reason", ErrNotVoter)
	}
	if v := r.view.Load(); v.votes() {
		r.votingLapsed.Store(false)
	}
}

// completeDepartures fetches the departures of the other voters and marks those of this replica as complete. A departure that was confirmed is at
// a majority of the voters, this one possibly among them. Of the others, then, a majority has at least one replica that holds it. age is how long
// this replica has been a voter with incomplete departures.
func (r *Replica) completeDepartures(ctx context.Context, age time.Duration) error {
	v := r.view.Load()
	if !v.votes() {
		return nil
	}
	var others []*apiv1.ReplicaInfo
	for _, member := range v.members {
		if !member.Learner && member.Id != v.identity.Replica {
			others = append(others, member)
		}
	}
	founding := r.founding()
	if len(others) > 0 && age < departureFetchDelay && !founding {
		return nil
	}
	if founding {
		others = nil
	}
	records, complete, incomplete := r.fetchDepartures(ctx, others)
	reason := ""
	switch {
	case founding:
		// Nothing has been confirmed yet. The nodes of a new cluster don't wait until all its voters have fetched nothing from each other.
		reason = "the cluster is being founded"
	case len(others) == 0:
		reason = "the only voter"
	case 2*complete > len(others):
		reason = "fetched from a majority"
	case age > departure.Retention:
		reason = "older records have expired"
	case complete+incomplete == len(others):
		// A majority of the voters has lost its records. What they held is lost; waiting would not bring it back.
		reason = "a majority has lost its records"
	default:
		return errors.Wrapf(ErrIncomplete, "%d of %d other voters answer completely, %d in part", complete, len(others), incomplete)
	}
	now := r.o.Clock.Now()
	if err := r.departures.Add(ctx, now, records); err != nil {
		return err
	}
	if r.votingLapsed.Load() {
		return nil // the membership has changed meanwhile
	}
	if err := r.departures.SetComplete(ctx, now, v.identity); err != nil {
		return err
	}
	r.o.Log.Info("departures complete", "reason", reason, "records", len(records), "replicas", complete, "incomplete", incomplete, "others", len(others))
	return nil
}

// founding reports whether the cluster lacks the voters that it is being founded with. Only a replica whose state a quorum has confirmed can tell.
func (r *Replica) founding() bool {
	return r.recentlyConfirmed(r.o.Clock.Now()) && r.store.PublishedState().Load().Revision == 0 && r.insufficientVoters() != ""
}

// fetchDepartures asks other replicas for all their departures. It returns the records and how many replicas answered that theirs are complete, and
// that they are not.
func (r *Replica) fetchDepartures(ctx context.Context, others []*apiv1.ReplicaInfo) (records []*apiv1.TargetRecord, complete, incomplete int) {
	ctx, cancel := context.WithTimeout(ctx, departureFetchTimeout)
	defer cancel()
	type answer struct {
		response *apiv1.DepartureResponse
		err      error
	}
	answers := make(chan answer, len(others))
	for _, other := range others {
		r.startWorker(func() {
			response := &apiv1.DepartureResponse{}
			err := peer.Unary(ctx, r.o.Pool, other.Address, apiv1.Method_METHOD_DEPARTURES, &apiv1.DepartureRequest{}, response)
			answers <- answer{response, err}
		})
	}
	for range others {
		a := <-answers
		var remote *peer.RemoteError
		switch {
		case a.err == nil:
			complete++
			records = append(records, a.response.GetRecords()...)
		case errors.As(a.err, &remote) && remote.Text == ErrIncomplete.Error():
			incomplete++
		}
	}
	return records, complete, incomplete
}
