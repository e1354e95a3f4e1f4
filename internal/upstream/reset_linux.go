package upstream

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpCloseWait is the state of a connection whose other side has ended what it sends, and that is open in the other direction.
const tcpCloseWait = 8

// awaitsClose reports whether a connection is in this state.
func awaitsClose(c syscall.RawConn) bool {
	awaits := false
	err := c.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		awaits = err == nil && info.State == tcpCloseWait
	})
	return err == nil && awaits
}
