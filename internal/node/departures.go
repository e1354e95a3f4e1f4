package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/control"
	"github.com/guavaford/guavaford/internal/peer"
)

const (
	// confirmTimeout bounds the time in which the control replicas must store a departure. Targets wait a second for the confirmation.
	confirmTimeout = control.DepartureTimeout
	// restoreTimeout bounds one round of questions to the control replicas, so that a process that has just started soon asks again.
	restoreTimeout = 600 * time.Millisecond
	// replicaRetryDelay is the time until a replica that has failed is called again within a round.
	replicaRetryDelay = 100 * time.Millisecond
	// restoreRetryDelay and maxRestoreRetryDelay are the shortest and the longest time between two rounds of a process that has just started. Each
	// round doubles it: while a cluster is founded, all its nodes ask.
	restoreRetryDelay    = 100 * time.Millisecond
	maxRestoreRetryDelay = 400 * time.Millisecond
)

// ErrNotStored means that too few control replicas have stored a departure, so that a later process of this node might not know it.
var ErrNotStored = errors.New("too few control replicas have stored the departure")

// departures stores which targets of this host leave at control replicas, and restores it from there. A majority stores each departure durably, and
// a process that has just started asks a majority, so that one replica at least knows. Replicas that may have lost records answer with an error.
type departures struct {
	process *Process

	mu sync.Mutex
	// stored holds the version of each record that a majority of the replicas has stored.
	stored map[string]uint64
}

func newDepartures(p *Process) *departures {
	return &departures{process: p, stored: make(map[string]uint64)}
}

// ConfirmDepartures returns once a majority of the control replicas has stored all departures of targets of this host.
func (p *Process) ConfirmDepartures(ctx context.Context) error {
	return p.departures.confirm(ctx)
}

// confirm stores the departures that are not stored yet.
func (d *departures) confirm(ctx context.Context) error {
	records := d.notStored(d.process.local.Departures())
	if len(records) == 0 {
		return nil
	}
	began := d.process.env.Clock.Now()
	round := d.call(ctx, records, confirmTimeout)
	fields := []any{"departures", len(records), "target", records[0].GetName(), "version", records[0].GetVersion(), "replicas", round.answered, "voters", round.voters,
		"took", d.process.env.Clock.Now().Sub(began)}
	if !round.complete() {
		d.process.env.Log.Warn("departures not stored", append(fields, "failed", round.failures)...)
		return ErrNotStored
	}
	d.process.env.Log.Info("departures stored", fields...)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range records {
		d.stored[r.GetName()] = max(d.stored[r.GetName()], r.GetVersion())
	}
	return nil
}

// notStored returns the records that are not stored yet, and forgets those that are no departures any more.
func (d *departures) notStored(all []*apiv1.TargetRecord) []*apiv1.TargetRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	stored := make(map[string]uint64, len(all))
	var missing []*apiv1.TargetRecord
	for _, r := range all {
		if version := d.stored[r.GetName()]; version >= r.GetVersion() {
			stored[r.GetName()] = version
		} else {
			missing = append(missing, r)
		}
	}
	d.stored = stored
	return missing
}

// restore asks the control replicas what they hold of this node until a majority has answered.
func (d *departures) restore(ctx context.Context) {
	p, delay := d.process, restoreRetryDelay
	for !p.local.Restored() {
		placement, changed := p.board.Placement.Watch()
		if len(placement.GetReplicas()) == 0 {
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
			continue
		}
		round := d.call(ctx, nil, restoreTimeout)
		if round.complete() {
			departed, results := p.local.Restore(p.env.Clock.Now(), round.records)
			p.env.Log.Info("departures restored", "records", len(round.records), "departed", departed, "held", results, "replicas", round.answered, "voters", round.voters)
			return
		}
		p.env.Log.Warn("departures not restored, reports are held back", "replicas", round.answered, "voters", round.voters, "failed", round.failures)
		// A new placement, as when a cluster has been founded, may bring the majority that was missing.
		timer := time.NewTimer(delay)
		select {
		case <-changed:
			delay = restoreRetryDelay
		case <-timer.C:
			delay = min(2*delay, maxRestoreRetryDelay)
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

func majority(n, of int) bool { return 2*n > of }

// votersOf returns the voting replicas of a placement, and the number of which a majority counts. A placement from before the first change may name the
// few voters that a cluster has while it is founded; then a majority of those counts with which it is being founded.
func votersOf(placement *apiv1.Placement, founding int) (replicas []*apiv1.ReplicaInfo, voters int) {
	for _, r := range placement.GetReplicas() {
		if !r.GetLearner() {
			replicas = append(replicas, r)
		}
	}
	if placement.GetRevision() == 0 {
		return replicas, max(len(replicas), founding)
	}
	return replicas, len(replicas)
}

// round is the result of one call to all voting replicas.
type round struct {
	records []*apiv1.TargetRecord
	// answered counts the replicas that answered without an error. Of voters a majority must.
	answered, voters int
	// failures states why other replicas did not count. It is set if too few have answered.
	failures []string
}

// complete reports whether a majority has answered.
func (r *round) complete() bool { return majority(r.answered, r.voters) }

// answer is that of one replica.
type answer struct {
	replica  string
	response *apiv1.DepartureResponse
	err      error
}

// call sends departures to all voting replicas, or asks them for those of this node, and waits until a majority has answered or all have failed. The
// other calls go on within the limit, so that more replicas know. A replica that has not stored a departure is called again within the limit; a process
// that restores asks them all again, with growing delays.
func (d *departures) call(ctx context.Context, departed []*apiv1.TargetRecord, limit time.Duration) *round {
	p := d.process
	request := &apiv1.DepartureRequest{Node: p.env.identity.Node, Departed: departed}
	replicas, voters := votersOf(p.board.Placement.Load(), p.env.settings.MinVoters)
	answers := make(chan answer, len(replicas))
	for _, r := range replicas {
		started := p.goCall(func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
			defer cancel()
			response, err := d.callReplica(ctx, r, request)
			for err != nil && len(departed) > 0 && d.awaitRetry(ctx) {
				again, retryErr := d.callReplica(ctx, r, request)
				if retryErr != nil && ctx.Err() != nil {
					break // the former error says more than that the time is over
				}
				response, err = again, retryErr
			}
			answers <- answer{r.GetNode(), response, err}
		})
		if !started {
			answers <- answer{r.GetNode(), nil, peer.ErrClosed}
		}
	}
	result := &round{voters: voters}
	for range replicas {
		a := <-answers
		if a.err != nil {
			result.failures = append(result.failures, a.replica+": "+a.err.Error())
			continue
		}
		result.answered++
		result.records = append(result.records, a.response.GetRecords()...)
		if result.complete() {
			break
		}
	}
	return result
}

// awaitRetry waits until a replica that has not stored a departure may be called again: a lost connection must not cost the target its confirmation while
// there is time. It returns false once the context or the process has ended.
func (d *departures) awaitRetry(ctx context.Context) bool {
	return clock.Sleep(ctx, replicaRetryDelay) && !d.process.closed()
}

// callReplica calls one replica, which may be that of this process.
func (d *departures) callReplica(ctx context.Context, r *apiv1.ReplicaInfo, request *apiv1.DepartureRequest) (*apiv1.DepartureResponse, error) {
	p := d.process
	if p.replica != nil && r.GetNode() == p.env.identity.Node {
		return p.replica.Departures(ctx, request)
	}
	response := &apiv1.DepartureResponse{}
	err := peer.Unary(ctx, p.pool, r.GetAddress(), apiv1.Method_METHOD_DEPARTURES, request, response)
	if err != nil {
		p.env.Log.Debug("departures not exchanged", "replica", r.GetNode(), "err", err)
	}
	return response, err
}
