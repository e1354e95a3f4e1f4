package runrecord

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Snapshot returns the whole table as a marshalled RunTable.
func (t *Table) Snapshot() ([]byte, error) {
	s := &apiv1.RunTable{NowNs: t.now}
	for e := t.order.Front(); e != nil; e = e.Next() {
		s.Rows = append(s.Rows, e.Value.(*record).toRow())
	}
	data, err := proto.Marshal(s)
	return data, errors.Wrap(err, "marshal run records")
}

// Restore replaces the table by a snapshot. On an error the table does not change.
func (t *Table) Restore(data []byte) error {
	var s apiv1.RunTable
	if err := proto.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "unmarshal run records")
	}
	restored := NewTable(t.cfg)
	restored.now = s.GetNowNs()
	for _, row := range s.GetRows() {
		restored.insert(row)
	}
	*t = *restored
	return nil
}

func (r *record) toRow() *apiv1.RunRow {
	row := &apiv1.RunRow{State: r.state, Claim: r.claim, Finish: r.finish, ChangedNs: r.changed}
	for _, a := range r.released {
		row.Released = append(row.Released, &apiv1.RunAttempt{Node: a.node, Incarnation: a.incarnation, Number: a.number})
	}
	return row
}

func (t *Table) insert(row *apiv1.RunRow) {
	c := row.GetClaim()
	r := &record{
		key:     recordKey{organisation: c.GetOrganisation(), key: c.GetKey()},
		state:   row.GetState(),
		claim:   c,
		finish:  row.GetFinish(),
		changed: row.GetChangedNs(),
	}
	if r.state != apiv1.RunState_RUN_STATE_UNSPECIFIED {
		r.holder = attempt{node: c.GetNode(), incarnation: c.GetIncarnation(), number: c.GetNumber()}
	}
	for _, a := range row.GetReleased() {
		r.released = append(r.released, attempt{node: a.GetNode(), incarnation: a.GetIncarnation(), number: a.GetNumber()})
	}
	r.bytes = r.size()
	r.element = t.order.PushBack(r)
	t.records[r.key] = r
	t.bytes += r.bytes
}
