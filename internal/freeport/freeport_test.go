package freeport

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPortsDifferAndLieBelowEphemeralRange guards against two servers with the same port, and against ports that an
// outgoing connection may take before the server listens.
func TestPortsDifferAndLieBelowEphemeralRange(t *testing.T) {
	const count = 500
	ports, err := Ports(count)
	require.NoError(t, err)
	seen := map[int]bool{}
	for _, port := range ports {
		require.False(t, seen[port], "port %d was returned twice", port)
		seen[port] = true
		require.Less(t, port, lowestEphemeralPort(t))
	}
}

// TestPortsAreFreeToListenAt guards against ports whose listener is still open after the call.
func TestPortsAreFreeToListenAt(t *testing.T) {
	ports, err := Ports(50)
	require.NoError(t, err)
	for _, port := range ports {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		require.NoError(t, err)
		require.NoError(t, listener.Close())
	}
}

// lowestEphemeralPort returns the lowest port that Linux takes for outgoing connections.
func lowestEphemeralPort(t *testing.T) int {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip("the ephemeral port range can't be read:", err)
	}
	var low int
	_, err = fmt.Sscan(strings.TrimSpace(string(text)), &low)
	require.NoError(t, err)
	return low
}
