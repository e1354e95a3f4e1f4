package peer

import (
	"context"
	"sync/atomic"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// expiredDeadline is a deadline in the past, which makes blocked reads and writes of a stream return.
var expiredDeadline = time.Unix(1, 0)

// exchange is the client side of one exchange: a stream and a reservation on its connection.
type exchange struct {
	conn    *conn
	address string
	clientStream
	method apiv1.Method
	number uint64
	stop   func() bool
	ended  atomic.Bool
	ctx    context.Context
	// requestSent is set once the complete request was sent, reuse when the peer accepts
	// another exchange on the stream.
	requestSent atomic.Bool
	reuse       bool
	// pingTimedOut is set by the watchdog when the peer answered neither the call nor a ping.
	pingTimedOut atomic.Bool
	// watchdog is nil for an exchange that only its context and the state of the connection end.
	watchdog *pingWatchdog
	// window is nil if the peer may send an answer of any length.
	window *receiveWindow
}

// openExchange reserves a connection and opens a stream on it. If it fails, nothing
// was sent. A maxWait above 0 limits the wait for a new connection.
func (p *Pool) openExchange(ctx context.Context, address string, m apiv1.Method, maxWait time.Duration) (*exchange, error) {
	c, err := p.reserve(ctx, address, maxWait)
	if err != nil {
		return nil, &CallError{Address: address, Err: err}
	}
	return p.openOn(ctx, c, address, m)
}

// openOn opens a stream on a connection that was reserved for the exchange.
func (p *Pool) openOn(ctx context.Context, c *conn, address string, m apiv1.Method) (*exchange, error) {
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
	if m == apiv1.Method_METHOD_CALL || m == apiv1.Method_METHOD_ATTACH {
		x.window = p.answers.take()
	}
	if x.window != nil {
		x.window.grant = func(offset uint64) { c.control.grant(x.number, offset) }
	}
	x.stop = context.AfterFunc(ctx, x.interrupt)
	return x, nil
}

// interrupt cancels the exchange at the peer and unblocks local reads and writes.
func (x *exchange) interrupt() {
	x.conn.control.cancel(x.number)
	_ = x.stream.SetDeadline(expiredDeadline)
}

// close ends the exchange. completed is true when the complete answer was read. It must
// be called by the goroutine that reads the stream.
func (x *exchange) close(completed bool) {
	if x.ended.Swap(true) {
		return
	}
	x.window.release()
	uninterrupted := x.stop()
	if uninterrupted && !completed {
		x.interrupt()
	}
	if completed {
		x.conn.noteReceived()
	}
	x.conn.traffic.recordExchange(x.method, x.conn.remote, x.stream)
	if completed && uninterrupted && x.reuse && x.requestSent.Load() {
		x.conn.idle.put(x.clientStream)
	} else {
		x.clientStream.close()
	}
	x.conn.end()
}

// failure returns err as a CallError of an exchange of which something may have been sent.
func (x *exchange) failure(err error) *CallError {
	if ctxErr := x.ctx.Err(); ctxErr != nil {
		err = ctxErr
	}
	silent := x.conn.silent.Load()
	switch {
	case silent:
		err = errSilent
	case x.pingTimedOut.Load() && x.ctx.Err() == nil:
		err = errPingTimeout
	}
	return &CallError{Sent: true, Silent: silent, Address: x.address, Err: err}
}

// remainingTimeout returns the remaining time of ctx in nanoseconds, or 0 without a deadline.
func remainingTimeout(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(int64(time.Until(deadline)), 1)
}
