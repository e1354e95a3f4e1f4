package control

import (
	"context"
	"slices"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
)

// Limits for the heartbeats of nodes.
const (
	maxSyncWait = 5 * time.Second
	// confirmTimeout bounds the wait for a quorum of a request that is answered at once.
	confirmTimeout = 800 * time.Millisecond
	// unconfirmedUpdateDelay is how long changes that a node lacks wait for the confirmation. After the loss of a
	// leader, a new one may take a second to be elected. It is longer than a quorum round.
	unconfirmedUpdateDelay = 150 * time.Millisecond
	// targetUpdateDelay is how long updates of targets are collected before a response. Targets that
	// are announced at the same time, as when a fleet starts, then cost a node one response and not
	// one each. The delay is small against a drain, which has seconds to become known everywhere.
	targetUpdateDelay = 50 * time.Millisecond
	// maxPeerConfirmationAge is how long nodes are redirected to another replica after it reported that a
	// quorum confirms its state. Exchanges are a second apart.
	maxPeerConfirmationAge = 2 * exchangeInterval
	// maxConfirmationAge is how long a replica reports its state as confirmed after the start of its last
	// successful quorum round. A round starts with each exchange.
	maxConfirmationAge = 2 * exchangeInterval
)

// Sync records what a node announces, has a quorum confirm the revision, and returns the updates that
// the node lacks. Without updates it holds the response for up to the time that the node allows (long
// polling), as long as a quorum goes on confirming the state of this replica. The confirmed revision is
// then older than the response by that time; the node counts its age from when it sent the request.
func (r *Replica) Sync(ctx context.Context, request *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
	wait := min(time.Duration(request.WaitNs), maxSyncWait)
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	response := &apiv1.SyncResponse{
		WantAnnounced: r.relay.HandleHeartbeat(r.o.Clock.Now(), request),
	}
	confirmation := r.confirmWithin(ctx, r.confirmWait(request))
	if confirmation == nil {
		return r.unconfirmedResponse(request, response), ctx.Err()
	}
	response.Vouched = true
	response.VouchedRevision = confirmation.head.Revision
	response.Nearer = r.hasLocalReplica(request)
	if response.Nearer && request.PlacementVersion == 0 {
		// The node gets the configuration and the registry from the replica in its data centre.
		response.Placement = r.placement()
		return response, nil
	}
	unconfirmed := r.heldPolls.begin()
	defer r.heldPolls.end()
	for {
		_, storeChanged := r.store.PublishedState().Watch()
		relayChanged := r.relay.Changed()
		if r.fillUpdates(request, response) || response.WantAnnounced {
			return response, nil
		}
		select {
		case <-storeChanged:
		case <-relayChanged:
			clock.Sleep(ctx, targetUpdateDelay)
		case <-deadline.C:
			return response, nil
		case <-unconfirmed:
			return r.unconfirmedResponse(request, response), nil
		case <-r.stopped:
			return response, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// confirmWait returns how long the request waits for a quorum. A node that lacks changes gets them soon without a
// confirmation: they are committed. It goes on waiting for the confirmation with its next request.
func (r *Replica) confirmWait(request *apiv1.SyncRequest) time.Duration {
	inTouch := request.PlacementVersion != 0 && request.Revision != 0
	switch {
	case request.WaitNs > 0:
		// A replica that was cut off a while ago must not keep a node for maxHeldAge once more.
		return max(maxHeldAge-r.ownership.confirmationAge(), minHeldConfirmWait)
	case inTouch && request.Revision < r.store.PublishedState().Load().Revision:
		return unconfirmedUpdateDelay
	default:
		return confirmTimeout
	}
}

// unconfirmedResponse completes the response of a replica whose state no quorum confirms: the node must ask another one.
func (r *Replica) unconfirmedResponse(request *apiv1.SyncRequest, response *apiv1.SyncResponse) *apiv1.SyncResponse {
	response.Vouched, response.VouchedRevision, response.Nearer = false, 0, false
	response.Error = ErrNoQuorum.Error()
	r.fillUpdates(request, response)
	return response
}

// hasLocalReplica reports whether a node in another data centre than this replica has a replica in its
// own one whose state a quorum confirmed recently.
func (r *Replica) hasLocalReplica(request *apiv1.SyncRequest) bool {
	if request.DataCentre == r.o.DataCentre {
		return false
	}
	now, v := r.o.Clock.Now(), r.view.Load()
	return slices.ContainsFunc(v.members, func(member *apiv1.ReplicaInfo) bool {
		return member.DataCentre == request.DataCentre && r.relay.CanConfirm(now, member.Node, maxPeerConfirmationAge)
	})
}

// recentlyConfirmed reports whether a quorum confirmed this replica's state recently. A replica that
// has lost its disk answers others long before that.
func (r *Replica) recentlyConfirmed(now time.Time) bool {
	state := r.ownership.state.Load()
	return state != nil && now.Sub(state.started) <= maxConfirmationAge
}

// Document returns the current configuration document. A quorum confirms it after the call; if none
// does, Document returns ErrNoQuorum. The document is nil while there is none.
func (r *Replica) Document(ctx context.Context) (*apiv1.Document, error) {
	if r.confirm(ctx) == nil {
		return nil, ErrNoQuorum
	}
	return r.store.Document(), nil
}

// confirmRetryDelay is the time between two attempts to reach a quorum.
const confirmRetryDelay = 20 * time.Millisecond

// confirm returns the confirmation of a quorum round that begins after the call. It retries for up to
// confirmTimeout, so that nodes get their response as soon as a new leader is elected. It returns nil
// if no quorum confirmed in time.
func (r *Replica) confirm(ctx context.Context) *confirmation {
	return r.confirmWithin(ctx, confirmTimeout)
}

// confirmWithin is confirm with another time limit.
func (r *Replica) confirmWithin(ctx context.Context, limit time.Duration) *confirmation {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		confirmation := r.confirmer.wait(ctx)
		if confirmation != nil || !clock.Sleep(ctx, confirmRetryDelay) {
			return confirmation
		}
		select {
		case <-r.stopped:
			return nil
		default:
		}
	}
}

// fillUpdates adds the updates that the node lacks to the response, and reports whether the response
// should be sent at once.
func (r *Replica) fillUpdates(request *apiv1.SyncRequest, response *apiv1.SyncResponse) bool {
	changes := r.store.UpdateSince(request.Revision)
	response.Snapshot = changes.Snapshot
	response.Deltas = changes.Deltas
	r.relay.FillResponse(request, response)
	response.Placement = r.placement()
	hadPlacement := request.PlacementVersion != 0
	placementChanged := response.Placement.Version != request.PlacementVersion
	if !placementChanged {
		response.Placement = nil
	}
	return changes.Snapshot != nil || len(changes.Deltas) > 0 || len(response.Services) > 0 || (hadPlacement && placementChanged)
}
