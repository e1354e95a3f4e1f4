package runrecord

import (
	"container/list"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Config bounds one table. Zero fields get defaults.
type Config struct {
	// Keep is how long a record is kept after its last change.
	Keep time.Duration
	// MaxRecords bounds the number of records.
	MaxRecords int
	// MaxBytes bounds the memory that the records take, as estimated by their size.
	MaxBytes int64
}

// WithDefaults returns the configuration with its zero fields filled in.
func (c Config) WithDefaults() Config {
	if c.Keep == 0 {
		c.Keep = time.Hour
	}
	if c.MaxRecords == 0 {
		c.MaxRecords = 1_000_000
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = 256 << 20
	}
	return c
}

// releasedMax is how many released attempts a record remembers, so that their delayed
// claims are not taken for new ones.
const releasedMax = 16

// lostGrace is how long after its longest run time an attempt may still record its outcome
// before the run counts as lost. A node tries for about 30 s.
const lostGrace = 40 * time.Second

// recordOverhead estimates the memory of a record beside its strings and bytes.
const recordOverhead = 640

// recordKey identifies a record.
type recordKey struct {
	organisation string
	key          string
}

// attempt identifies a run.
type attempt struct {
	node        string
	incarnation uint64
	number      uint64
}

// record is the state of one key.
type record struct {
	key      recordKey
	state    apiv1.RunState
	holder   attempt
	claim    *apiv1.RunClaim
	finish   *apiv1.RunFinish
	released []attempt
	// changed is the time of the last change in nanoseconds of the table's time.
	changed int64
	bytes   int64
	element *list.Element
}

// Table is the state machine of one shard. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	records map[recordKey]*record
	// order holds the records by the time of their last change, the oldest first.
	order *list.List
	bytes int64
	now   int64
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
		return t.end(req.GetFinish())
	}
	if req.GetClaim() != nil {
		t.advance(req.GetClaim().GetNowUnixNs())
		return t.claim(req.GetClaim())
	}
	return &apiv1.RunRecord{}
}

// advance moves the table's time forward and drops the records whose time is over.
func (t *Table) advance(now int64) {
	t.now = max(t.now, now)
	for e := t.order.Front(); e != nil; e = t.order.Front() {
		r := e.Value.(*record)
		if t.now-r.changed < int64(t.cfg.Keep) {
			return
		}
		t.remove(r)
	}
}

// claim gives the record to the attempt, or says what became of it.
func (t *Table) claim(c *apiv1.RunClaim) *apiv1.RunRecord {
	key := recordKey{organisation: c.GetOrganisation(), key: c.GetKey()}
	by := attempt{node: c.GetNode(), incarnation: c.GetIncarnation(), number: c.GetNumber()}
	r, ok := t.records[key]
	if !ok {
		return t.open(key, by, c)
	}
	if r.state == apiv1.RunState_RUN_STATE_UNSPECIFIED {
		return t.reclaim(r, by, c)
	}
	if string(r.claim.GetDigest()) != string(c.GetDigest()) {
		return &apiv1.RunRecord{State: apiv1.RunState_RUN_STATE_MISMATCH}
	}
	if r.overdue(t.now) {
		t.lose(r)
	}
	if r.state == apiv1.RunState_RUN_STATE_RUNNING && r.holder == by {
		return &apiv1.RunRecord{State: apiv1.RunState_RUN_STATE_CLAIMED, Claim: r.claim}
	}
	return r.message()
}

// overdue reports whether a run has had no outcome for longer than it can last.
func (r *record) overdue(now int64) bool {
	timeout := r.claim.GetTimeoutNs()
	return r.state == apiv1.RunState_RUN_STATE_RUNNING && timeout > 0 && now-r.changed > timeout+int64(lostGrace)
}

// open makes a record if the bounds allow it.
func (t *Table) open(key recordKey, by attempt, c *apiv1.RunClaim) *apiv1.RunRecord {
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

// reclaim gives a released record to another attempt. A delayed claim of a released attempt
// gets no run.
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

// end records the outcome of a run. Only the outcome of the attempt that holds the record counts.
func (t *Table) end(f *apiv1.RunFinish) *apiv1.RunRecord {
	r, ok := t.records[recordKey{organisation: f.GetOrganisation(), key: f.GetKey()}]
	by := attempt{node: f.GetNode(), incarnation: f.GetIncarnation(), number: f.GetNumber()}
	if !ok && f.GetRan() == apiv1.Ran_RAN_NO {
		t.bar(f, by)
	}
	if !ok || r.holder != by {
		return &apiv1.RunRecord{}
	}
	if r.state != apiv1.RunState_RUN_STATE_RUNNING && r.state != apiv1.RunState_RUN_STATE_LOST {
		return r.message()
	}
	switch f.GetRan() {
	case apiv1.Ran_RAN_YES:
		t.finish(r, f)
	case apiv1.Ran_RAN_NO:
		t.release(r)
	default:
		t.lose(r)
	}
	return r.message()
}

// bar notes that an attempt was given up whose claim has not come yet, so that a late
// claim does not hold the key. Without room for the note it is left out.
func (t *Table) bar(f *apiv1.RunFinish, by attempt) {
	key := recordKey{organisation: f.GetOrganisation(), key: f.GetKey()}
	c := &apiv1.RunClaim{Organisation: key.organisation, Key: key.key}
	if t.open(key, by, c).GetState() == apiv1.RunState_RUN_STATE_CLAIMED {
		t.release(t.records[key])
	}
}

// finish stores the answer. Without room for its body only the fact that it ran is kept.
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

// lose notes that the run may have happened and that its answer is lost.
func (t *Table) lose(r *record) {
	if r.state == apiv1.RunState_RUN_STATE_LOST {
		return
	}
	r.state = apiv1.RunState_RUN_STATE_LOST
	t.touch(r)
}

func (t *Table) release(r *record) {
	r.state = apiv1.RunState_RUN_STATE_UNSPECIFIED
	r.released = append(r.released, r.holder)
	if len(r.released) > releasedMax {
		r.released = r.released[1:]
	}
	r.holder = attempt{}
	t.touch(r)
}

// touch notes a change of the record.
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

// message returns the record as another attempt sees it.
func (r *record) message() *apiv1.RunRecord {
	return &apiv1.RunRecord{State: r.state, Claim: r.claim, Finish: r.finish}
}
