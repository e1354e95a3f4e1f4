package peer

import (
	"net"
	"strings"
	"sync/atomic"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// TrafficMethods is the number of kinds of exchanges that Traffic tells apart.
const TrafficMethods = int(apiv1.Method_METHOD_LOADS) + 1

// controlFrames is the kind under which the frames of the control streams are counted: pings, cancellations, hellos.
const controlFrames = apiv1.Method_METHOD_UNSPECIFIED

// Distance tells whether the other end of a connection is in the own data centre.
type Distance int

// Distances of another node.
const (
	// Near is the own data centre.
	Near Distance = iota
	// Far is another data centre, or one that the other end does not name.
	Far
	distances
)

// Counter counts the exchanges of one kind and their bytes, without the framing of the connection.
type Counter struct {
	Exchanges atomic.Int64
	Sent      atomic.Int64
	Received  atomic.Int64
}

// Traffic counts what a node exchanges with other nodes, by kind of exchange and by distance. Both ends
// of an exchange count it. It is safe for concurrent use; a nil Traffic counts nothing.
type Traffic struct {
	dataCentre string
	methods    [distances][TrafficMethods]Counter
}

// NewTraffic returns counters for a node in a data centre.
func NewTraffic(dataCentre string) *Traffic {
	return &Traffic{dataCentre: dataCentre}
}

// String names a distance.
func (d Distance) String() string {
	if d == Near {
		return "near"
	}
	return "far"
}

// KindName names a kind of exchange in metrics.
func KindName(m apiv1.Method) string {
	if m == controlFrames {
		return "pings"
	}
	return strings.ToLower(strings.TrimPrefix(m.String(), "METHOD_"))
}

// Each calls fn for every kind of exchange that has occurred.
func (t *Traffic) Each(fn func(m apiv1.Method, d Distance, c *Counter)) {
	for d := range t.methods {
		for m := range t.methods[d] {
			if c := &t.methods[d][m]; c.Exchanges.Load() > 0 {
				fn(apiv1.Method(m), Distance(d), c)
			}
		}
	}
}

// distance returns how far away a node is.
func (t *Traffic) distance(remote Identity) Distance {
	if remote.DataCentre != "" && remote.DataCentre == t.dataCentre {
		return Near
	}
	return Far
}

// settle adds what a stream has carried since the last exchange on it.
func (t *Traffic) settle(m apiv1.Method, remote Identity, stream net.Conn) {
	counted, ok := stream.(*countedStream)
	if t == nil || !ok || int(m) >= TrafficMethods || m < 0 {
		return
	}
	c := &t.methods[t.distance(remote)][m]
	c.Exchanges.Add(1)
	c.Sent.Add(counted.sent.Swap(0))
	c.Received.Add(counted.received.Swap(0))
}

// count returns a stream whose bytes are counted, or the stream itself if nothing counts them.
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

// Shrink gives back unused buffers of the stream.
func (s *countedStream) Shrink() {
	if b, ok := s.Conn.(shrinker); ok {
		b.Shrink()
	}
}
