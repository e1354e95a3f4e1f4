// Package follow keeps a node in step with the control replicas.
//
// One loop exchanges heartbeats with a replica: it announces the targets of the host,
// and takes the configuration, the registry and the placement of control duties from
// the answers. It writes the sections Configuration, Freshness and Placement of the
// blackboard, and feeds the registry's directory.
//
// A configuration is only ever replaced by one with a higher revision. The freshness of
// the configuration counts from when the node asked the question whose answer confirmed
// it, on the node's own clock.
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
	// heartbeatWait is how long a replica may hold back an answer without news.
	heartbeatWait = time.Second
	// answerTimeout is how long the answer may take beyond that.
	answerTimeout = time.Second
	firstBackoff  = 20 * time.Millisecond
	maxBackoff    = 500 * time.Millisecond
)

// Syncer exchanges heartbeats with a control replica.
type Syncer interface {
	Sync(ctx context.Context, r *apiv1.SyncRequest) (*apiv1.SyncResponse, error)
}

// Options are the parts that a Loop works with.
type Options struct {
	Identity   peer.Identity
	Address    string
	DataCentre string
	Syncer     Syncer
	Board      *board.Board
	Local      *registry.Local
	Directory  *registry.Directory
	// AnnounceEarly announces targets before a replica vouches for its registry. After a stop of the
	// whole fleet that spares the time in which replicas wait for nodes that they have not heard.
	AnnounceEarly bool
	// Folder keeps the configuration over a restart; empty keeps nothing.
	Folder string
	FS     vfs.FS
	Clock  clock.Clock
	Log    telemetry.Logger
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

// New returns a loop that starts from the configuration kept in the folder.
func New(o Options) (*Loop, error) {
	l := &Loop{o: o, state: newState(), wantAnnounced: true, leaving: make(chan struct{})}
	if err := l.restore(); err != nil {
		return nil, err
	}
	return l, nil
}

// Leave makes the next heartbeats say that the node is about to stop. It is called once.
func (l *Loop) Leave() {
	close(l.leaving)
}

// Run exchanges heartbeats until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		err := l.exchange(ctx)
		if err == nil {
			backoff = firstBackoff
			continue
		}
		if errors.Is(err, errInterrupted) || ctx.Err() != nil {
			continue
		}
		l.o.Log.Warn("heartbeat failed", "err", err)
		clock.Sleep(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, maxBackoff)
	}
}

// errInterrupted ends a heartbeat that waits for news when the node has news itself.
var errInterrupted = errors.New("heartbeat interrupted")

// exchange sends one heartbeat and takes its answer over.
func (l *Loop) exchange(ctx context.Context) error {
	_, localChanged := l.o.Local.Section().Watch()
	wanted := l.o.Directory.Wanted()
	req := l.request()
	ctx, cancel := context.WithTimeout(ctx, heartbeatWait+answerTimeout)
	defer cancel()
	stop := interruptOn(ctx, cancel, localChanged, wanted, l.leavingOnce(req))
	defer stop()
	asked := l.o.Clock.Now()
	resp, err := l.o.Syncer.Sync(ctx, req)
	if err != nil {
		if closed(localChanged) || closed(wanted) {
			return errInterrupted
		}
		return err
	}
	if resp.GetError() != "" {
		return errors.New(resp.GetError())
	}
	return l.apply(asked, req, resp)
}

// leavingOnce returns a channel that interrupts a heartbeat which does not say yet that
// the node is leaving.
func (l *Loop) leavingOnce(req *apiv1.SyncRequest) <-chan struct{} {
	if req.GetLeaving() {
		return nil
	}
	return l.leaving
}

// interruptOn cancels a heartbeat when one of the channels is closed.
func interruptOn(ctx context.Context, cancel context.CancelFunc, a, b, c <-chan struct{}) (stop func()) {
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

// closed reports whether a channel is closed.
func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// request builds a heartbeat.
func (l *Loop) request() *apiv1.SyncRequest {
	req := &apiv1.SyncRequest{
		Node:        l.o.Identity.Node,
		Incarnation: l.o.Identity.Incarnation,
		Address:     l.o.Address,
		DataCentre:  l.o.DataCentre,
		Revision:    l.state.revision(),
		Leaving:     closed(l.leaving),
		WaitNs:      int64(heartbeatWait),

		PlacementVersion: l.o.Board.Placement.Load().GetVersion(),
	}
	l.o.Directory.Fill(req)
	if !l.confirmed() || (!l.o.AnnounceEarly && !l.o.Directory.Vouched()) {
		// Until its configuration is confirmed the node would refuse what its targets are sent,
		// and until a replica vouches for its registry their sub-calls would find no target.
		req.WaitNs = 0
		return req
	}
	l.o.Local.Fill(req, l.announced, l.wantAnnounced)
	return req
}

// confirmed reports whether the configuration was confirmed since the process started.
func (l *Loop) confirmed() bool {
	_, ok := l.o.Board.Freshness.Load().Age(l.o.Clock.Now())
	return ok
}

// apply takes an answer over.
func (l *Loop) apply(asked time.Time, req *apiv1.SyncRequest, resp *apiv1.SyncResponse) error {
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
		l.o.Board.Freshness.Publish(&board.Freshness{AskedAt: asked, HeardAt: l.o.Clock.Now()})
	}
	return nil
}
