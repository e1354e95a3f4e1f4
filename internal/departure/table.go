package departure

import (
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

const (
	// Retention is how long a record is kept. It is as long as registry tombstones are; a report is delayed by seconds.
	Retention = 4 * time.Minute
	// maxRecords bounds the records of all nodes: two restarts of each of 6,700 targets within Retention, and as many again.
	maxRecords = 32_768
	// maxRecordsPerNode is four times the number of targets of a host.
	maxRecordsPerNode = 256
	// maxNameBytes is the longest name of a node or target.
	maxNameBytes = 253
)

// ErrFull is returned for a record that exceeds a bound of the table.
var ErrFull = errors.New("too many departures are stored")

// table holds the latest departure of each target. It does no I/O.
type table struct {
	nodes map[string]map[string]entry
	count int
}

type entry struct {
	record *apiv1.TargetRecord
	// confirmedAt is when the departure was last sent, or the start of the process if the record was read then.
	confirmedAt time.Time
}

func newTable() *table { return &table{nodes: make(map[string]map[string]entry)} }

// supersedes reports whether a departure says more than the one held of the same target: it ends a later run, or that run has gone and not only
// said that it leaves.
func supersedes(record, held *apiv1.TargetRecord) bool {
	if record.StartedUnixNs != held.StartedUnixNs {
		return record.StartedUnixNs > held.StartedUnixNs
	}
	gone := apiv1.TargetState_TARGET_STATE_GONE
	return record.State == gone && held.State != gone
}

// lacks reports whether a departure is not held yet.
func (t *table) lacks(record *apiv1.TargetRecord) bool {
	held, ok := t.nodes[record.Node][record.Name]
	return !ok || supersedes(record, held.record)
}

// checkRoom returns ErrFull if the table has no room for more records of a node.
func (t *table) checkRoom(now time.Time, node string, more int) error {
	if t.count+more > maxRecords || len(t.nodes[node])+more > maxRecordsPerNode {
		t.expire(now)
	}
	if t.count+more > maxRecords || len(t.nodes[node])+more > maxRecordsPerNode {
		return ErrFull
	}
	return nil
}

// put adds a departure, or renews the one held if that says as much.
func (t *table) put(now time.Time, record *apiv1.TargetRecord) {
	targets := t.nodes[record.Node]
	if targets == nil {
		targets = make(map[string]entry)
		t.nodes[record.Node] = targets
	}
	held, ok := targets[record.Name]
	if !ok {
		t.count++
	}
	if ok && !supersedes(record, held.record) {
		record = held.record
	}
	targets[record.Name] = entry{record: record, confirmedAt: now}
}

// expire drops the records that are older than Retention.
func (t *table) expire(now time.Time) {
	for node, targets := range t.nodes {
		for name, e := range targets {
			if now.Sub(e.confirmedAt) > Retention {
				delete(targets, name)
				t.count--
			}
		}
		if len(targets) == 0 {
			delete(t.nodes, node)
		}
	}
}

// of returns the records of a node.
func (t *table) of(now time.Time, node string) []*apiv1.TargetRecord {
	var records []*apiv1.TargetRecord
	for _, e := range t.nodes[node] {
		if now.Sub(e.confirmedAt) <= Retention {
			records = append(records, e.record)
		}
	}
	return records
}

// all returns the records of all nodes.
func (t *table) all(now time.Time) []*apiv1.TargetRecord {
	t.expire(now)
	records := make([]*apiv1.TargetRecord, 0, t.count)
	for _, targets := range t.nodes {
		for _, e := range targets {
			records = append(records, e.record)
		}
	}
	return records
}

// valid reports whether a record describes a departure that can be stored.
func valid(record *apiv1.TargetRecord) bool {
	named := record.Node != "" && record.Name != "" && len(record.Node) <= maxNameBytes && len(record.Name) <= maxNameBytes
	return named && utf8.ValidString(record.Node) && utf8.ValidString(record.Name) && record.Departed && record.StartedUnixNs != 0
}

// reduce returns a record with only the fields that a node needs when it restores its departures.
func reduce(record *apiv1.TargetRecord) *apiv1.TargetRecord {
	return &apiv1.TargetRecord{
		Name:          record.Name,
		Node:          record.Node,
		State:         record.State,
		Incarnation:   record.Incarnation,
		Version:       record.Version,
		StartedUnixNs: record.StartedUnixNs,
		Departed:      true,
	}
}
