package node

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unacknowledgedLimit is how long sent bytes may stay unacknowledged by the other end before the operating
// system closes the connection. Without it a connection whose other end is gone blocks a request for many
// minutes.
const unacknowledgedLimit = 5 * time.Second

// limitUnacknowledged sets unacknowledgedLimit on a socket before it connects or listens. Connections that a
// listener accepts inherit it.
func limitUnacknowledged(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	err := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedLimit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
