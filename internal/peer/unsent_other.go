//go:build !linux

package peer

import "net"

// limitUnsent does nothing: the option is known for Linux only.
func limitUnsent(net.Conn) {}
