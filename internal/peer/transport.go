package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"time"
)

// Identity identifies one process of a node, from its start to its end.
type Identity struct {
	// Node is the name of the node.
	Node string
	// Incarnation is generated at each process start; see NewIncarnation.
	Incarnation uint64
	// DataCentre is the data centre of the node; empty if unknown.
	DataCentre string
}

// incarnationRandomBits is the number of random low bits of an incarnation.
const incarnationRandomBits = 20

// NewIncarnation returns the incarnation of a process that starts now: the time
// in milliseconds followed by random bits. Later starts of a node get higher numbers.
func NewIncarnation(now time.Time) uint64 {
	return uint64(now.UnixMilli())<<incarnationRandomBits | rand.Uint64N(1<<incarnationRandomBits)
}

// Transport opens and accepts sessions.
type Transport interface {
	// Dial opens a session to address. The context bounds only the dialling.
	Dial(ctx context.Context, address string) (Session, error)
	// Listen accepts sessions at address.
	Listen(address string) (Listener, error)
}

// Listener accepts sessions at one address.
type Listener interface {
	Accept() (Session, error)
	Close() error
	// Addr returns the address that others can dial.
	Addr() string
}

// Session is one connection that carries many streams.
type Session interface {
	// Open opens a stream. The peer sees it once data is written.
	Open(ctx context.Context) (net.Conn, error)
	// Accept returns the next stream that the peer opened.
	Accept() (net.Conn, error)
	// Close ends the session and all its streams.
	Close() error
	// Done is closed when the session has ended.
	Done() <-chan struct{}
}
