// Package follow synchronises a node with the control replicas through heartbeats.
//
// # Concepts
//
// A heartbeat is a long-polling request to a control replica: the replica delays its
// response until there is a change or the wait time has ended. A configuration is
// replaced only by one with a higher revision. It is confirmed when a replica
// responds with a revision that a quorum confirmed after the request, and the node has
// reached that revision. The age of a confirmation counts from when the node sent the
// request, on the node's own clock.
//
// # Data flow
//
// One loop sends heartbeats. They announce the targets of the host; the responses bring
// changes of the configuration, of the registry and of the placement of control replicas.
// The loop publishes the sections Configuration, Freshness and Placement of the node's
// board, and updates the registry's directory.
package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/board"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/telemetry"
	"github.com/guavaford/guavaford/internal/vfs"
)

// Timing of the heartbeats.
const (
	// longPollWait is how long a replica may delay the response while there are no changes.
	longPollWait = time.Second
	// responseTimeout is how long the response may take beyond longPollWait.
	responseTimeout = time.Second
	firstBackoff    = 20 * time.Millisecond
	maxBackoff      = 500 * time.Millisecond
)

// Syncer exchanges heartbeats with a control replica.
type Syncer interface {
	Sync(ctx context.Context, r *apiv1.SyncRequest) (*apiv1.SyncResponse, error)
}

// Options are the settings and dependencies of a Loop.
type Options struct {
	Identity   peer.Identity
	Address    string
	DataCentre string
	Syncer     Syncer
	Board      *board.Board
	Local      *registry.Local
	Directory  *registry.Directory
	// AnnounceEarly announces targets before a replica that has completed its warm-up has responded. After
	// a stop of the whole fleet, this saves the time in which replicas wait for heartbeats of all nodes.
	AnnounceEarly bool
	// DataDir is the directory in which the configuration is saved for a restart; if empty, it is not saved.
	DataDir string
	FS      vfs.FS
	Clock   clock.Clock
	Log     telemetry.Logger
}

// Loop exchanges heartbeats with the control replicas.
type Loop struct {
	o        Options
	state    *state
	compiler config.Compiler
	// announced is the version of the local targets that the replica is known to hold.
	announced     uint64
	wantAnnounced bool
	leaving       chan struct{}
}

// New returns a loop that starts with the configuration saved in the folder, if any.
func New(o Options) (*Loop, error) {
	l := &Loop{o: o, state: newState(), wantAnnounced: true, leaving: make(chan struct{})}
	if err := l.restore(); err != nil {
		return nil, err
	}
	return l, nil
}

// AnnounceLeaving makes all further heartbeats announce that the node is about to stop. It must be called at most once.
func (l *Loop) AnnounceLeaving() {
	close(l.leaving)
}

// Run sends heartbeats until ctx is cancelled.
func (l *Loop) Run(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		before := l.state.revision()
		err := l.exchange(ctx)
		if err == nil {
			backoff = firstBackoff
			continue
		}
		if l.state.revision() != before {
			// The replica lags behind a quorum but delivers. Long delays would add to its lag.
			backoff = firstBackoff
		}
		if errors.Is(err, errInterrupted) || ctx.Err() != nil {
			continue
		}
		l.o.Log.Warn("heartbeat failed", "err", err)
		clock.Sleep(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, maxBackoff)
	}
}

// errInterrupted means that a waiting heartbeat was cancelled because the node itself has changes to send.
var errInterrupted = errors.New("heartbeat interrupted")

// exchange sends one heartbeat and applies its response.
func (l *Loop) exchange(ctx context.Context) error {
	_, localChanged := l.o.Local.Section().Watch()
	subscribed := l.o.Directory.SubscriptionsChanged()
	req := l.request()
	ctx, cancel := context.WithTimeout(ctx, longPollWait+responseTimeout)
	defer cancel()
	stop := cancelOnClose(ctx, cancel, localChanged, subscribed, l.leavingSignal(req))
	defer stop()
	sentAt := l.o.Clock.Now()
	resp, err := l.o.Syncer.Sync(ctx, req)
	if err != nil {
		if isClosed(localChanged) || isClosed(subscribed) {
			return errInterrupted
		}
		return err
	}
	if resp.GetError() != "" {
		// Changes are committed also where no quorum confirms that there are no later ones.
		if err := l.applyConfiguration(resp); err != nil {
			return err
		}
		return errors.New(resp.GetError())
	}
	return l.apply(sentAt, req, resp)
}

// leavingSignal returns the channel that is closed by AnnounceLeaving, or nil if the heartbeat already
// announces that the node is leaving.
func (l *Loop) leavingSignal(req *apiv1.SyncRequest) <-chan struct{} {
	if req.GetLeaving() {
		return nil
	}
	return l.leaving
}

// cancelOnClose calls cancel when one of the channels is closed, until ctx ends or stop is called.
func cancelOnClose(ctx context.Context, cancel context.CancelFunc, a, b, c <-chan struct{}) (stop func()) {
	done := make(chan struct{})
	go func() {
		select {
		case <-a:
			cancel()
		case <-b:
			cancel()
		case <-c:
			cancel()
		case <-ctx.Done():
		case <-done:
		}
	}()
	return func() { close(done) }
}

// isClosed reports whether a channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// request builds the next heartbeat.
func (l *Loop) request() *apiv1.SyncRequest {
	req := &apiv1.SyncRequest{
		Node:        l.o.Identity.Node,
		Incarnation: l.o.Identity.Incarnation,
		Address:     l.o.Address,
		DataCentre:  l.o.DataCentre,
		Revision:    l.state.revision(),
		Leaving:     isClosed(l.leaving),
		WaitNs:      int64(longPollWait),

		PlacementVersion: l.o.Board.Placement.Load().GetVersion(),
	}
	l.o.Directory.FillRequest(req)
	if !l.confirmed() || (!l.o.AnnounceEarly && !l.o.Directory.HasSynced()) {
		// The host's targets are not announced yet: before its configuration is confirmed, the node would
		// refuse their requests, and before it has the complete registry, their sub-calls could find no target.
		req.WaitNs = 0
		return req
	}
	if l.o.Local.Restored() {
		l.o.Local.FillRequest(req, l.announced, l.wantAnnounced)
	}
	return req
}

// confirmed reports whether the configuration has been confirmed since the process started.
func (l *Loop) confirmed() bool {
	_, ok := l.o.Board.Freshness.Load().Age(l.o.Clock.Now())
	return ok
}

// apply applies the response to a heartbeat that was sent at a time.
func (l *Loop) apply(sentAt time.Time, req *apiv1.SyncRequest, resp *apiv1.SyncResponse) error {
	l.announced = req.GetAnnouncedVersion()
	l.wantAnnounced = resp.GetWantAnnounced()
	l.o.Directory.Apply(resp)
	if resp.GetPlacement() != nil {
		l.o.Board.Placement.Publish(resp.GetPlacement())
	}
	if err := l.applyConfiguration(resp); err != nil {
		return err
	}
	if resp.GetVouched() && l.state.revision() >= resp.GetVouchedRevision() {
		l.o.Board.Freshness.Publish(&board.Freshness{RequestedAt: sentAt, RespondedAt: l.o.Clock.Now()})
	}
	return nil
}
