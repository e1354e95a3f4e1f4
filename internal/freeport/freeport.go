// Package freeport finds TCP ports of the loopback address for processes that start a moment later.
//
// The ports differ and lie below the ephemeral port range, from which the system takes the local ports of
// outgoing connections, so that no connection takes one before its server listens there.
package freeport

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/pkg/errors"
)

const (
	// Ports are drawn from lowestPort up to but not including portLimit: above the registered ports in
	// common use, and below 32768, where the ephemeral port range of Linux starts by default.
	lowestPort = 20000
	portLimit  = 32768

	// maxDraws is the highest average number of ports that are tried for each port wanted.
	maxDraws = 100
)

// Ports returns count different ports that were free during the call. It keeps a listener open on each one that it
// found until it has all of them, so that none is found twice.
func Ports(count int) ([]int, error) {
	ports := make([]int, 0, count)
	for draws := 0; len(ports) < count; draws++ {
		if draws == count*maxDraws {
			return nil, errors.Errorf("found only %d of %d free ports in %d draws", len(ports), count, draws)
		}
		port := lowestPort + rand.IntN(portLimit-lowestPort)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue // in use
		}
		defer listener.Close()
		ports = append(ports, port)
	}
	return ports, nil
}
