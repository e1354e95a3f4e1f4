package peer

import (
	"net"
	"strings"
	"sync/atomic"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/linkshare"
)

// MethodCount is the number of methods that Traffic counts separately.
const MethodCount = int(apiv1.Method_METHOD_DEPARTURES) + 1

// controlFrames is the method under which the frames of control streams are counted: pings, cancellations, hellos.
const controlFrames = apiv1.Method_METHOD_UNSPECIFIED

// Distance tells whether the peer of a connection is in the same data centre.
type Distance int

// Distances of another node.
const (
	// Near is the data centre of this node.
	Near Distance = iota
	// Far is another data centre, or an unknown one if the peer does not name it.
	Far
	distanceCount
)

// Counter counts the exchanges of one method and their bytes, without the framing of yamux and TLS.
type Counter struct {
	Exchanges atomic.Int64
	Sent      atomic.Int64
	Received  atomic.Int64
}

// Traffic counts what a node exchanges with other nodes, by method and by distance. Both sides of an
// exchange count it. It is safe for concurrent use; a nil Traffic counts nothing.
type Traffic struct {
	dataCentre string
	methods    [distanceCount][MethodCount]Counter
}

// NewTraffic returns counters for a node in the given data centre.
func NewTraffic(dataCentre string) *Traffic {
	return &Traffic{dataCentre: dataCentre}
}

// String returns the name of a distance in metrics.
func (d Distance) String() string {
	if d == Near {
		return "near"
	}
	return "far"
}

// MethodName returns the name of a method in metrics.
func MethodName(m apiv1.Method) string {
	if m == controlFrames {
		return "pings"
	}
	return strings.ToLower(strings.TrimPrefix(m.String(), "METHOD_"))
}

// Each calls fn for each method and distance with at least one exchange.
func (t *Traffic) Each(fn func(m apiv1.Method, d Distance, c *Counter)) {
	for d := range t.methods {
		for m := range t.methods[d] {
			if c := &t.methods[d][m]; c.Exchanges.Load() > 0 {
				fn(apiv1.Method(m), Distance(d), c)
			}
		}
	}
}

// distance returns the distance of a remote node.
func (t *Traffic) distance(remote Identity) Distance {
	if remote.DataCentre != "" && remote.DataCentre == t.dataCentre {
		return Near
	}
	return Far
}

// recordExchange counts one exchange and the bytes that its stream has carried since the previous one.
func (t *Traffic) recordExchange(m apiv1.Method, remote Identity, stream net.Conn) {
	counted, ok := stream.(*countedStream)
	if t == nil || !ok || int(m) >= MethodCount || m < 0 {
		return
	}
	c := &t.methods[t.distance(remote)][m]
	c.Exchanges.Add(1)
	c.Sent.Add(counted.sent.Swap(0))
	c.Received.Add(counted.received.Swap(0))
}

// count returns a stream that counts its bytes, or the stream itself if t is nil.
func (t *Traffic) count(stream net.Conn) net.Conn {
	if t == nil {
		return stream
	}
	return &countedStream{Conn: stream}
}

// countedStream counts the bytes of a stream.
type countedStream struct {
	net.Conn
	sent     atomic.Int64
	received atomic.Int64
}

// Read reads from the stream.
func (s *countedStream) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	s.received.Add(int64(n))
	return n, err
}

// Write writes to the stream.
func (s *countedStream) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	s.sent.Add(int64(n))
	return n, err
}

// Shrink releases unused buffers of the stream.
func (s *countedStream) Shrink() {
	if b, ok := s.Conn.(shrinker); ok {
		b.Shrink()
	}
}

// BeginBody announces a body; see scheduledStream.
func (s *countedStream) BeginBody(class linkshare.Class, length int64) {
	beginBody(s.Conn, class, length)
}

// EndBody announces the end of a body; see scheduledStream.
func (s *countedStream) EndBody() { endBody(s.Conn) }
