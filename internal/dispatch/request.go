package dispatch

import (
	"bytes"
	"io"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/callctx"
	"github.com/guavaford/guavaford/internal/gate"
	"github.com/guavaford/guavaford/internal/homeregion"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/quarantine"
	"github.com/guavaford/guavaford/internal/reqbody"
)

// Request is one call that a node dispatches for a caller or for a target on its own host.
type Request struct {
	Origin   *callctx.Origin
	Service  string
	Selector labels.Selector
	Method   string
	// Path holds path and query.
	Path    string
	Headers []*apiv1.HeaderField
	// Host is the host of the request as its sender wrote it; empty if the targets don't need it.
	Host string
	// CallerService is passed to the target as the service on whose host the request was made.
	CallerService string
	// MaxWait is the longest total time to wait for slots of targets; 0 leaves that to the gates.
	MaxWait time.Duration
	// MaxTargets is the largest number of targets that the request may reach. With 0 the allowance of the
	// call tree and the retry budget of the service bound the attempts.
	MaxTargets int
	// Idempotent means that running the request twice is harmless.
	Idempotent bool
	// HomeRegions are the regions whose targets the request may reach.
	HomeRegions homeregion.Regions
	Body        *Body
}

// Result is the final answer of a call. Its body, if it has one, must be closed.
type Result struct {
	*gate.Answer
	// Attempts is the number of attempts that this node made.
	Attempts int
	// Cold is true if the call was refused because all targets of its service are cold.
	Cold bool
	// QueueTime is the time for which the attempts, and the calls made for them, waited for slots.
	QueueTime time.Duration
	// Replayed is true when the answer was taken from a run record.
	Replayed bool
}

// MaxBufferedBody is the largest body that is buffered, so that it can be sent again.
const MaxBufferedBody = 64 << 10

// Body is a request body. It can be sent again if it is small enough to be buffered, or if no more than its buffered
// start was sent. It has one reader at a time, as package reqbody says: an attempt borrows it, and the next one begins
// after the lease was returned.
type Body struct {
	source *reqbody.Body
	// digested is the digest of the body, once it was asked for.
	digested []byte
}

// recallTimeout bounds how long a finished attempt is waited for to return the body. Its exchange has ended by then, so
// that it neither waits for the caller nor for the target; a write to a connection that is stuck between nodes may take longer.
const recallTimeout = 250 * time.Millisecond

// digest returns the digest of the body; nil if it is empty. Of a body that is not held in full it covers the start and the length.
func (b *Body) digest() []byte {
	if start, _ := b.source.Start(); b.digested == nil && len(start) > 0 {
		b.digested = quarantine.DigestBody(start, b.source.Length())
	}
	return b.digested
}

// NewBody reads the start of a body into memory: all of it if it has at most MaxBufferedBody bytes, otherwise one byte
// more. The caller may use source again only after it has recalled it.
func NewBody(source *reqbody.Body) (*Body, error) {
	if err := source.Buffer(MaxBufferedBody + 1); err != nil {
		return nil, err
	}
	return &Body{source: source}, nil
}

// BufferedBody returns a body whose data is all in memory.
func BufferedBody(data []byte) *Body {
	return &Body{source: reqbody.InMemory(data)}
}

// Length returns the length in bytes; -1 if it is not known in advance.
func (b *Body) Length() int64 { return b.source.Length() }

// Bytes returns what is in memory of the body, and whether that is all of it.
func (b *Body) Bytes() ([]byte, bool) { return b.source.Start() }

// Replayable reports whether the body can be sent from its start: no attempt has it, and none has taken more than its
// buffered start.
func (b *Body) Replayable() bool { return b.source.Replayable() }

// Lend lends the body to an attempt.
func (b *Body) Lend() (*reqbody.Lease, error) { return b.source.Lend() }

// recall takes the body back from an attempt that has ended. It reports whether the attempt has returned it.
func (b *Body) recall() bool { return b.source.Recall(recallTimeout) }

// ReadAll reads the complete body into memory, up to limit bytes.
func (b *Body) ReadAll(limit int64) ([]byte, error) { return b.source.ReadAll(limit) }

// RefusedResult returns the result of a request that is refused without an attempt.
func RefusedResult(r *outcome.Refusal) *Result {
	return refused(r, 0)
}

// refused returns a result with a refusal by this node.
func refused(r *outcome.Refusal, attempts int) *Result {
	answer := &gate.Answer{
		Header:        &apiv1.AnswerHeader{Refusal: r.Message()},
		AllowanceLeft: func() (int, bool) { return 0, true },
	}
	return &Result{Answer: answer, Attempts: attempts}
}

// ReplaceBody replaces the answer by a copy whose body is another with the same content.
func (r *Result) ReplaceBody(body io.ReadCloser) {
	replaced := *r.Answer
	replaced.Body = body
	r.Answer = &replaced
}

// RecordedResult returns a result for an answer that was taken from a run record.
func RecordedResult(status uint32, fields []*apiv1.HeaderField, body []byte) *Result {
	return &Result{
		Answer: &gate.Answer{
			Header:        &apiv1.AnswerHeader{Status: status, Headers: fields, ContentLength: int64(len(body))},
			Body:          io.NopCloser(bytes.NewReader(body)),
			AllowanceLeft: func() (int, bool) { return 0, true },
		},
		Replayed: true,
	}
}
