package control

import (
	"github.com/guavaford/guavaford/internal/departure"
	"github.com/guavaford/guavaford/internal/wal"
)

// Metrics counts the work of a replica since it was opened.
type Metrics struct {
	// QueuedEvents is the number of events that are queued for the loop now.
	QueuedEvents int
	// Proposals counts commands that this replica appended as a leader.
	Proposals uint64
	// Applied counts commands that were committed and executed.
	Applied   uint64
	Snapshots uint64
	// SnapshotsInstalled counts snapshots that were received from a leader.
	SnapshotsInstalled uint64
	// Batches, Messages and Bytes count what was sent to other replicas; Dropped counts messages
	// that could not be delivered in time.
	Batches  uint64
	Messages uint64
	Bytes    uint64
	Dropped  uint64
	Log      wal.Metrics
	// Departures counts the durable departures of targets.
	Departures departure.Metrics
}

// Metrics returns the current metrics.
func (r *Replica) Metrics() Metrics {
	return Metrics{
		QueuedEvents:       len(r.events),
		Proposals:          r.engine.metrics.proposals.Load(),
		Applied:            r.engine.metrics.applied.Load(),
		Snapshots:          r.engine.metrics.snapshots.Load(),
		SnapshotsInstalled: r.engine.metrics.installed.Load(),
		Batches:            r.senders.batches.Load(),
		Messages:           r.senders.messages.Load(),
		Bytes:              r.senders.bytes.Load(),
		Dropped:            r.senders.dropped.Load(),
		Log:                r.log.Metrics(),
		Departures:         r.departures.Metrics(),
	}
}
