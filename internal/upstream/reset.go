package upstream

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// resetConn is a TCP connection whose reader learns that it broke off. The system reports that once: after a write has returned the error,
// reads return io.EOF, as after the end of what the other side sends.
type resetConn struct {
	net.Conn
	raw syscall.RawConn
	// writing is held during a write.
	writing sync.Mutex
	// broken is the first error of the connection that a write has returned, 0 before. It is guarded by writing.
	broken syscall.Errno
}

// reportResets returns the connection with a reader that learns of resets. Connections without a socket are returned as they are.
func reportResets(c net.Conn) net.Conn {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return c
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return c
	}
	return &resetConn{Conn: c, raw: raw}
}

// SyscallConn implements syscall.Conn.
func (c *resetConn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// Write writes to the connection.
func (c *resetConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	var cause syscall.Errno
	if c.broken == 0 && errors.As(err, &cause) {
		c.broken = cause
	}
	return n, err
}

// Read reads from the connection. It returns io.EOF only at the end of what the other side sends.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if cause := c.brokenBy(); cause != 0 {
			err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", cause)}
		}
	}
	return n, err
}

// closedByTarget reports whether a write has found that the other side has closed the connection. What has arrived can be read nevertheless,
// and reads do not wait for more.
func (c *resetConn) closedByTarget() bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.broken == syscall.EPIPE || c.broken == syscall.ECONNRESET
}

// brokenBy returns the error by which the connection ended before the other side had ended what it sends, or 0.
func (c *resetConn) brokenBy() syscall.Errno {
	if awaitsClose(c.raw) {
		return 0
	}
	// The connection is closed in both directions, so a write under way returns at once.
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.broken == syscall.EPIPE {
		// A reset that follows the end of the other side is reported by this error.
		return 0
	}
	return c.broken
}
