package upstream

import (
	"context"
	"net"
	"sync"
)

// Dialer returns dial with connections for http.Transport as another client of targets. Their reads return io.EOF only at the end of what the
// target sends, and a target that closes its connection early does not cost its answer.
func Dialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if c, ok := reportResets(raw).(*resetConn); ok {
			return &dialedConn{resetConn: c, closed: make(chan struct{})}, nil
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
