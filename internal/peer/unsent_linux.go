package peer

import (
	"net"

	"golang.org/x/sys/unix"
)

// limitUnsent makes writes to a TCP connection block while maxUnsentBytes are unsent, so that what waits can still be ordered. Bytes that
// were sent and not acknowledged don't count, so a long round trip costs no throughput.
func limitUnsent(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	// Without the option bodies still take turns, but small frames wait behind what the kernel holds.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
	})
}
