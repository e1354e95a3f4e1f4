package peer

import (
	"bufio"
	"net"
	"sync"
)

// maxIdleStreams limits the idle streams that a connection keeps for reuse.
const maxIdleStreams = 256

// clientStream is the client side of a stream. The stream of a successful exchange is
// reused by a later one, which saves opening and closing streams.
type clientStream struct {
	stream  net.Conn
	reader  *bufio.Reader
	history *headerHistory
}

func (s clientStream) close() {
	_ = s.stream.Close()
	releaseReader(s.reader)
}

// shrinker is a stream that can release unused buffers.
type shrinker interface {
	Shrink()
}

// idleStreams holds the streams of a connection that can be reused, last used last.
type idleStreams struct {
	mu      sync.Mutex
	streams []clientStream
	// minIdle is the smallest number of idle streams since the last trim.
	minIdle int
	closed  bool
}

func (i *idleStreams) take() (clientStream, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	last := len(i.streams) - 1
	if last < 0 {
		return clientStream{}, false
	}
	stream := i.streams[last]
	i.streams = i.streams[:last]
	i.minIdle = min(i.minIdle, last)
	return stream, true
}

func (i *idleStreams) put(s clientStream) {
	if b, ok := s.stream.(shrinker); ok {
		b.Shrink()
	}
	i.mu.Lock()
	full := i.closed || len(i.streams) >= maxIdleStreams
	if !full {
		i.streams = append(i.streams, s)
	}
	i.mu.Unlock()
	if full {
		s.close()
	}
}

// trim closes half of the streams that were not needed since the last trim, the least
// recently used ones.
func (i *idleStreams) trim() {
	i.mu.Lock()
	surplus := (i.minIdle + 1) / 2
	unused := append([]clientStream(nil), i.streams[:surplus]...)
	i.streams = append(i.streams[:0], i.streams[surplus:]...)
	i.minIdle = len(i.streams)
	i.mu.Unlock()
	for _, s := range unused {
		s.close()
	}
}

func (i *idleStreams) closeAll() {
	i.mu.Lock()
	streams := i.streams
	i.streams = nil
	i.closed = true
	i.mu.Unlock()
	for _, s := range streams {
		s.close()
	}
}
