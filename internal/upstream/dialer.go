package upstream

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Dialer returns dial with connections for http.Transport as another client of targets. Their reads return io.EOF only at the end of what the
// target sends, a target that closes its connection early does not cost its answer, and invalid heads end with an InvalidAnswerError.
func Dialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if c, ok := reportResets(raw).(*resetConn); ok {
			return newDialedConn(c), nil
		}
		return raw, nil
	}
}

// dialedConn is a connection of http.Transport, which closes it when a write fails, with the answer that has arrived. So a write returns the
// error that the target has closed the connection only after the reader has closed it too.
type dialedConn struct {
	*resetConn
	closing sync.Once
	closed  chan struct{}
	// expecting is set when the next byte that is read begins an answer. head is used by the reader alone; fault is its error.
	expecting atomic.Bool
	head      headChecker
	fault     atomic.Pointer[InvalidAnswerError]
}

func newDialedConn(c *resetConn) *dialedConn {
	d := &dialedConn{resetConn: c, closed: make(chan struct{})}
	d.expecting.Store(true)
	return d
}

// ExpectAnswer tells a connection of Dialer that the answer to another request follows. It must be called before the request is sent.
func ExpectAnswer(c net.Conn) {
	if d, ok := c.(*dialedConn); ok {
		d.expecting.Store(true)
	}
}

// Read reads from the target. It fails at an invalid head, after the bytes before the fault.
func (c *dialedConn) Read(p []byte) (int, error) {
	if fault := c.fault.Load(); fault != nil {
		return 0, fault
	}
	n, err := c.resetConn.Read(p)
	if n > 0 && c.expecting.Swap(false) {
		c.head.begin()
	}
	if valid, invalid := c.head.check(p[:n]); invalid != nil {
		c.fault.Store(invalid)
		return valid, invalid
	}
	return n, err
}

// AnswerError returns the error of an exchange that failed with err on a connection of Dialer: an InvalidAnswerError if the head of the answer is
// invalid, as the parser may state another reason.
func AnswerError(c net.Conn, err error) error {
	if d, ok := c.(*dialedConn); ok {
		if fault := d.fault.Load(); fault != nil {
			return errors.WithStack(fault)
		}
	}
	return err
}

// Write writes to the connection.
func (c *dialedConn) Write(p []byte) (int, error) {
	n, err := c.resetConn.Write(p)
	if err != nil && c.closedByTarget() {
		<-c.closed
	}
	return n, err
}

// Close closes the connection.
func (c *dialedConn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return c.resetConn.Close()
}
