package peer

import (
	"context"
	"sync/atomic"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// past is a deadline that makes blocked reads and writes of a stream return.
var past = time.Unix(1, 0)

// exchange is the opening end of one exchange: a stream and its place on a connection.
type exchange struct {
	conn    *conn
	address string
	clientStream
	method apiv1.Method
	number uint64
	stop   func() bool
	ended  atomic.Bool
	ctx    context.Context
	// sentWhole is set once the whole request was sent, reuse when the other end waits for
	// the next exchange on the stream.
	sentWhole atomic.Bool
	reuse     bool
	// unheard is set when the other end answered nothing, not even pings.
	unheard atomic.Bool
	// watch is nil for an exchange that waits as long as its context does.
	watch *unheardWatch
}

// openExchange reserves a connection and opens a stream on it. An error means
// that nothing was sent.
func (p *Pool) openExchange(ctx context.Context, address string, m apiv1.Method) (*exchange, error) {
	patience := time.Duration(0)
	if m == apiv1.Method_METHOD_CALL {
		patience = connectPatience
	}
	c, err := p.reserve(ctx, address, patience)
	if err != nil {
		return nil, &CallError{Address: address, Err: err}
	}
	stream, err := c.openStream(ctx)
	if err != nil {
		c.end()
		return nil, &CallError{Address: address, Silent: c.silent.Load(), Err: err}
	}
	x := &exchange{
		conn:         c,
		address:      address,
		clientStream: stream,
		method:       m,
		number:       c.nextNumber.Add(1),
		ctx:          ctx,
	}
	x.stop = context.AfterFunc(ctx, x.interrupt)
	return x, nil
}

// interrupt tells the other end that the caller gave up, and unblocks the local reader.
func (x *exchange) interrupt() {
	x.conn.control.cancel(x.number)
	_ = x.stream.SetDeadline(past)
}

// close ends the exchange. Completed is true when the whole answer was read.
// The caller must be the goroutine that reads.
func (x *exchange) close(completed bool) {
	if x.ended.Swap(true) {
		return
	}
	uninterrupted := x.stop()
	if uninterrupted && !completed {
		x.interrupt()
	}
	if completed {
		x.conn.hear()
	}
	x.conn.traffic.settle(x.method, x.conn.remote, x.stream)
	if completed && uninterrupted && x.reuse && x.sentWhole.Load() {
		x.conn.idle.put(x.clientStream)
	} else {
		x.clientStream.close()
	}
	x.conn.end()
}

// failure returns err as a CallError of an exchange that may have left this process.
func (x *exchange) failure(err error) *CallError {
	if ctxErr := x.ctx.Err(); ctxErr != nil {
		err = ctxErr
	}
	silent := x.conn.silent.Load()
	switch {
	case silent:
		err = errSilent
	case x.unheard.Load() && x.ctx.Err() == nil:
		err = errUnheard
	}
	return &CallError{Sent: true, Silent: silent, Address: x.address, Err: err}
}

// timeoutOf returns the remaining time of ctx in nanoseconds, or 0 without a deadline.
func timeoutOf(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(int64(time.Until(deadline)), 1)
}
