package control

import (
	"context"
	"slices"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
)

// Bounds of a node's heartbeat.
const (
	maxSyncWait = 5 * time.Second
	// vouchTimeout bounds the wait for a quorum.
	vouchTimeout = 800 * time.Millisecond
	// newsGap is how long news of targets is gathered before an answer. Targets that are announced at the same time, as when a
	// fleet starts, then cost one answer for a node and not one each. A drain has seconds to be known everywhere.
	newsGap = 50 * time.Millisecond
	// nearbyAge is how long ago a replica must have said at most that it vouches for nodes to be sent to it: exchanges are a second
	// apart.
	nearbyAge = 2 * relayInterval
	// vouchAge is how long ago its last quorum round must have begun at most for a replica to say so. A round goes out with each
	// exchange.
	vouchAge = 2 * relayInterval
)

// Sync takes over what a node announces, vouches for the revision, and answers with what
// the node lacks. Without news it holds the answer back for up to the time that the node allows.
// The vouched revision is older than the answer by that wait; the node counts its age from
// when it asked.
func (r *Replica) Sync(ctx context.Context, request *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
	wait := min(time.Duration(request.WaitNs), maxSyncWait)
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	response := &apiv1.SyncResponse{
		WantAnnounced: r.relay.Announced(r.o.Clock.Now(), request),
	}
	confirmation := r.confirm(ctx)
	if confirmation == nil {
		response.Error = ErrNoQuorum.Error()
		r.fill(request, response)
		return response, ctx.Err()
	}
	response.Vouched = true
	response.VouchedRevision = confirmation.head.Revision
	response.Nearer = r.nearer(request)
	if response.Nearer && request.PlacementVersion == 0 {
		// The configuration and the registry come from there.
		response.Placement = r.placement()
		return response, nil
	}
	for {
		_, storeChanged := r.store.Head().Watch()
		relayChanged := r.relay.Changed()
		if r.fill(request, response) || response.WantAnnounced {
			return response, nil
		}
		select {
		case <-storeChanged:
		case <-relayChanged:
			clock.Sleep(ctx, newsGap)
		case <-deadline.C:
			return response, nil
		case <-r.stopped:
			return response, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// nearer reports whether a node has a replica in its own data centre that vouches, while this one is elsewhere.
func (r *Replica) nearer(request *apiv1.SyncRequest) bool {
	if request.DataCentre == r.o.DataCentre {
		return false
	}
	now, v := r.o.Clock.Now(), r.view.Load()
	return slices.ContainsFunc(v.members, func(member *apiv1.ReplicaInfo) bool {
		return member.DataCentre == request.DataCentre && r.relay.Vouching(now, member.Node, nearbyAge)
	})
}

// vouches reports whether a quorum has confirmed this replica's state lately. One that has just lost its disk answers
// others long before it can.
func (r *Replica) vouches(now time.Time) bool {
	state := r.ownership.state.Load()
	return state != nil && now.Sub(state.started) <= vouchAge
}

// Document returns the document in force as a quorum confirms it after the call, or an error if no
// quorum does. It is nil while there is none.
func (r *Replica) Document(ctx context.Context) (*apiv1.Document, error) {
	if r.confirm(ctx) == nil {
		return nil, ErrNoQuorum
	}
	return r.store.Document(), nil
}

// vouchPause is the time between two tries for a quorum while there is none.
const vouchPause = 20 * time.Millisecond

// confirm returns the confirmation of a quorum round that begins after the call. While there is no
// leader it waits for one, so that nodes hear of it at once; nil means that none came in time.
func (r *Replica) confirm(ctx context.Context) *confirmation {
	ctx, cancel := context.WithTimeout(ctx, vouchTimeout)
	defer cancel()
	for {
		confirmation := r.confirmer.wait(ctx)
		if confirmation != nil || !clock.Sleep(ctx, vouchPause) {
			return confirmation
		}
		select {
		case <-r.stopped:
			return nil
		default:
		}
	}
}

// fill sets the news of the answer, and reports whether there is any.
func (r *Replica) fill(request *apiv1.SyncRequest, response *apiv1.SyncResponse) bool {
	news := r.store.Since(request.Revision)
	response.Snapshot = news.Snapshot
	response.Deltas = news.Deltas
	r.relay.Fill(request, response)
	response.Placement = r.placement()
	held := request.PlacementVersion != 0
	moved := response.Placement.Version != request.PlacementVersion
	if !moved {
		response.Placement = nil
	}
	return news.Snapshot != nil || len(news.Deltas) > 0 || len(response.Services) > 0 || (held && moved)
}
