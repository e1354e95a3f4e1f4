package dispatch

import (
	"bytes"
	"io"
	"time"

	"github.com/pkg/errors"
	"k8s.io/apimachinery/pkg/labels"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/callctx"
	"github.com/guavaford/guavaford/internal/gate"
	"github.com/guavaford/guavaford/internal/homeregion"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/quarantine"
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
	// Replayed is true when the answer was taken from a run record.
	Replayed bool
}

// MaxBufferedBody is the largest body that is buffered, so that it can be sent again.
const MaxBufferedBody = 64 << 10

// Body is a request body. It can be sent again if it is small enough to be buffered, or if no more than its buffered
// start was sent.
type Body struct {
	// Length is the length in bytes; -1 if not known in advance.
	Length int64
	// buffered is the start of the body, or all of it if complete is set.
	buffered []byte
	complete bool
	// rest holds what follows buffered; restRead is set once it is read from.
	rest     io.Reader
	restRead bool
	// digested is the digest of the body, once it was asked for.
	digested []byte
}

// digest returns the digest of the body; nil if it is empty. Of a body that is not held in full it covers the start and the length.
func (b *Body) digest() []byte {
	if b.digested == nil && len(b.buffered) > 0 {
		b.digested = quarantine.DigestBody(b.buffered, b.Length)
	}
	return b.digested
}

// NewBody reads the start of a body into memory: all of it if it has at most MaxBufferedBody bytes, otherwise one byte
// more.
func NewBody(length int64, source io.Reader) (*Body, error) {
	if length == 0 || source == nil {
		return &Body{complete: true}, nil
	}
	buffered, err := io.ReadAll(io.LimitReader(source, MaxBufferedBody+1))
	if err != nil {
		return nil, err
	}
	if len(buffered) <= MaxBufferedBody {
		return &Body{Length: int64(len(buffered)), buffered: buffered, complete: true}, nil
	}
	return &Body{Length: length, buffered: buffered, rest: source}, nil
}

// BufferedBody returns a body whose data is all in memory.
func BufferedBody(data []byte) *Body {
	return &Body{Length: int64(len(data)), buffered: data, complete: true}
}

// Bytes returns what is in memory of the body, and whether that is all of it.
func (b *Body) Bytes() ([]byte, bool) {
	return b.buffered, b.complete
}

// Replayable reports whether the body can be sent from its start.
func (b *Body) Replayable() bool {
	return b.complete || !b.restRead
}

// reader returns a reader of the body from its start.
func (b *Body) reader() io.Reader {
	if b.complete {
		return bytes.NewReader(b.buffered)
	}
	return &bodyReader{body: b, buffered: bytes.NewReader(b.buffered)}
}

// bodyReader reads the buffered start and then the source, and marks the body when it reads from the source.
type bodyReader struct {
	body     *Body
	buffered *bytes.Reader
}

func (r *bodyReader) Read(p []byte) (int, error) {
	if r.buffered.Len() > 0 {
		return r.buffered.Read(p)
	}
	r.body.restRead = true
	return r.body.rest.Read(p)
}

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

// ErrBodyTooLong is returned by ReadAll for a body that exceeds the limit.
var ErrBodyTooLong = errors.New("body too long")

// ReadAll reads the complete body into memory, up to limit bytes.
func (b *Body) ReadAll(limit int64) ([]byte, error) {
	if b.complete {
		return b.buffered, nil
	}
	data, err := io.ReadAll(io.LimitReader(b.reader(), limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, ErrBodyTooLong
	}
	*b = *BufferedBody(data)
	return data, nil
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
