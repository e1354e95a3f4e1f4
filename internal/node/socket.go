package node

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unacknowledgedLimit is how long sent bytes may stay unacknowledged by the other end
// before the operating system ends a connection. Without it a connection that went silent
// holds a request for many minutes.
const unacknowledgedLimit = 5 * time.Second

// limitUnacknowledged sets the limit on a socket before it is used. Connections that a
// listener accepts inherit it.
func limitUnacknowledged(_, _ string, conn syscall.RawConn) error {
	var failure error
	err := conn.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedLimit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
