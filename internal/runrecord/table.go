package runrecord

import (
	"container/list"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Config holds the limits of one table. Zero fields get defaults.
type Config struct {
	// Retention is how long a record is kept after its last change.
	Retention time.Duration
	// MaxRecords bounds the number of records.
	MaxRecords int
	// MaxBytes bounds the estimated memory of the records.
	MaxBytes int64
}

// WithDefaults returns the configuration with defaults for its zero fields.
func (c Config) WithDefaults() Config {
	if c.Retention == 0 {
		c.Retention = time.Hour
	}
	if c.MaxRecords == 0 {
		c.MaxRecords = 1_000_000
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = 256 << 20
	}
	return c
}

// maxReleased is the number of released attempts that a record remembers, to refuse their
// delayed claims.
const maxReleased = 16

// outcomeGrace is how long after the timeout of a run its outcome may still be recorded before the
// run counts as lost. A node retries recording the outcome for about 30 s.
const outcomeGrace = 40 * time.Second

// recordOverhead is the estimated memory of a record, in bytes, without its claim, outcome and
// released attempts.
const recordOverhead = 640

// recordKey identifies a record.
type recordKey struct {
	organisation string
	key          string
}

// attempt identifies an attempt to run a request.
type attempt struct {
	node        string
	incarnation uint64
	number      uint64
}

// record is the state of one idempotency key.
type record struct {
	key recordKey
	// state is UNSPECIFIED when the record is released.
	state apiv1.RunState
	// holder is the attempt that claimed the record; it is empty when the record is released.
	holder   attempt
	claim    *apiv1.RunClaim
	finish   *apiv1.RunFinish
	released []attempt
	// changed is the table's time, in nanoseconds, of the last change.
	changed int64
	bytes   int64
	element *list.Element
}

// Table is the replicated state machine of one shard. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	records map[recordKey]*record
	// order holds the records by the time of their last change, oldest first.
	order *list.List
	bytes int64
	// now is the table's time in nanoseconds.
	now int64
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg.WithDefaults(), records: make(map[recordKey]*record), order: list.New()}
}

// Now returns the table's time in nanoseconds.
func (t *Table) Now() int64 {
	return t.now
}

// Len returns the number of records.
func (t *Table) Len() int {
	return len(t.records)
}

// Bytes returns the estimated memory of the records.
func (t *Table) Bytes() int64 {
	return t.bytes
}

// Apply executes a marshalled RunRequest and returns a marshalled RunResponse.
func (t *Table) Apply(_ uint64, data []byte) []byte {
	var req apiv1.RunRequest
	resp := &apiv1.RunResponse{Record: &apiv1.RunRecord{}}
	if err := proto.Unmarshal(data, &req); err == nil {
		resp.Record = t.execute(&req)
	}
	out, err := proto.Marshal(resp)
	if err != nil {
		panic("runrecord: marshal of a response: " + err.Error())
	}
	return out
}

func (t *Table) execute(req *apiv1.RunRequest) *apiv1.RunRecord {
	if req.GetFinish() != nil {
		t.advance(req.GetFinish().GetNowUnixNs())
		return t.recordOutcome(req.GetFinish())
	}
	if req.GetClaim() != nil {
		t.advance(req.GetClaim().GetNowUnixNs())
		return t.claim(req.GetClaim())
	}
	return &apiv1.RunRecord{}
}

// advance moves the table's time forward and removes the records that have expired.
func (t *Table) advance(now int64) {
	t.now = max(t.now, now)
	for e := t.order.Front(); e != nil; e = t.order.Front() {
		r := e.Value.(*record)
		if t.now-r.changed < int64(t.cfg.Retention) {
			return
		}
		t.remove(r)
	}
}

// claim gives the record to the attempt, or returns its state if another attempt has it.
func (t *Table) claim(c *apiv1.RunClaim) *apiv1.RunRecord {
	key := recordKey{organisation: c.GetOrganisation(), key: c.GetKey()}
	by := attempt{node: c.GetNode(), incarnation: c.GetIncarnation(), number: c.GetNumber()}
	r, ok := t.records[key]
	if !ok {
		return t.create(key, by, c)
	}
	if r.state == apiv1.RunState_RUN_STATE_UNSPECIFIED {
		return t.reclaim(r, by, c)
	}
	if string(r.claim.GetDigest()) != string(c.GetDigest()) {
		return &apiv1.RunRecord{State: apiv1.RunState_RUN_STATE_MISMATCH}
	}
	if r.overdue(t.now) {
		t.markLost(r)
	}
	if r.state == apiv1.RunState_RUN_STATE_RUNNING && r.holder == by {
		return &apiv1.RunRecord{State: apiv1.RunState_RUN_STATE_CLAIMED, Claim: r.claim}
	}
	return r.toMessage()
}

// overdue reports whether a run has no outcome although its timeout and the grace time have passed.
func (r *record) overdue(now int64) bool {
	timeout := r.claim.GetTimeoutNs()
	return r.state == apiv1.RunState_RUN_STATE_RUNNING && timeout > 0 && now-r.changed > timeout+int64(outcomeGrace)
}

// create adds a record that the attempt holds, if the limits allow it.
func (t *Table) create(key recordKey, by attempt, c *apiv1.RunClaim) *apiv1.RunRecord {
	r := &record{key: key, state: apiv1.RunState_RUN_STATE_RUNNING, holder: by, claim: c, changed: t.now}
	r.bytes = r.size()
	if len(t.records) >= t.cfg.MaxRecords || t.bytes+r.bytes > t.cfg.MaxBytes {
		return &apiv1.RunRecord{State: apiv1.RunState_RUN_STATE_FULL}
	}
	t.records[key] = r
	t.bytes += r.bytes
	r.element = t.order.PushBack(r)
	return &apiv1.RunRecord{State: apiv1.RunState_RUN_STATE_CLAIMED, Claim: c}
}

// reclaim gives a released record to another attempt. It refuses the delayed claim of an attempt
// that was released.
func (t *Table) reclaim(r *record, by attempt, c *apiv1.RunClaim) *apiv1.RunRecord {
	for _, old := range r.released {
		if old == by {
			return &apiv1.RunRecord{State: apiv1.RunState_RUN_STATE_UNSPECIFIED}
		}
	}
	r.state = apiv1.RunState_RUN_STATE_RUNNING
	r.holder = by
	r.claim = c
	t.touch(r)
	return &apiv1.RunRecord{State: apiv1.RunState_RUN_STATE_CLAIMED, Claim: c}
}

// recordOutcome records the outcome of a run. It ignores outcomes of attempts that don't hold the record.
func (t *Table) recordOutcome(f *apiv1.RunFinish) *apiv1.RunRecord {
	r, ok := t.records[recordKey{organisation: f.GetOrganisation(), key: f.GetKey()}]
	by := attempt{node: f.GetNode(), incarnation: f.GetIncarnation(), number: f.GetNumber()}
	if !ok && f.GetRan() == apiv1.Ran_RAN_NO {
		t.refuseLateClaim(f, by)
	}
	if !ok || r.holder != by {
		return &apiv1.RunRecord{}
	}
	if r.state != apiv1.RunState_RUN_STATE_RUNNING && r.state != apiv1.RunState_RUN_STATE_LOST {
		return r.toMessage()
	}
	switch f.GetRan() {
	case apiv1.Ran_RAN_YES:
		t.finish(r, f)
	case apiv1.Ran_RAN_NO:
		t.release(r)
	default:
		t.markLost(r)
	}
	return r.toMessage()
}

// refuseLateClaim creates a released record for an attempt whose release arrived before its claim,
// so that the late claim is refused. Without room in the table it does nothing.
func (t *Table) refuseLateClaim(f *apiv1.RunFinish, by attempt) {
	key := recordKey{organisation: f.GetOrganisation(), key: f.GetKey()}
	c := &apiv1.RunClaim{Organisation: key.organisation, Key: key.key}
	if t.create(key, by, c).GetState() == apiv1.RunState_RUN_STATE_CLAIMED {
		t.release(t.records[key])
	}
}

// finish stores the answer. Without room for all of it, headers and body are omitted.
func (t *Table) finish(r *record, f *apiv1.RunFinish) {
	r.state = apiv1.RunState_RUN_STATE_FINISHED
	r.finish = f
	if t.bytes-r.bytes+r.size() > t.cfg.MaxBytes {
		f.Body = nil
		f.Headers = nil
		f.BodyOmitted = true
	}
	t.touch(r)
}

// markLost records that the request may have run and that its answer is lost.
func (t *Table) markLost(r *record) {
	if r.state == apiv1.RunState_RUN_STATE_LOST {
		return
	}
	r.state = apiv1.RunState_RUN_STATE_LOST
	t.touch(r)
}

func (t *Table) release(r *record) {
	r.state = apiv1.RunState_RUN_STATE_UNSPECIFIED
	r.released = append(r.released, r.holder)
	if len(r.released) > maxReleased {
		r.released = r.released[1:]
	}
	r.holder = attempt{}
	t.touch(r)
}

// touch updates the time, position and size of a record that has changed.
func (t *Table) touch(r *record) {
	r.changed = t.now
	t.order.MoveToBack(r.element)
	size := r.size()
	t.bytes += size - r.bytes
	r.bytes = size
}

func (t *Table) remove(r *record) {
	t.order.Remove(r.element)
	delete(t.records, r.key)
	t.bytes -= r.bytes
}

func (r *record) size() int64 {
	return recordOverhead + int64(proto.Size(r.claim)+proto.Size(r.finish)+len(r.released)*64)
}

// toMessage returns the record as the message that claims and outcomes are answered with.
func (r *record) toMessage() *apiv1.RunRecord {
	return &apiv1.RunRecord{State: r.state, Claim: r.claim, Finish: r.finish}
}
