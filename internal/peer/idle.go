package peer

import (
	"bufio"
	"net"
	"sync"
)

// maxIdleStreams bounds the streams of a connection that wait for another exchange.
const maxIdleStreams = 256

// clientStream is the opening end of a stream. An exchange that ends well
// leaves its stream to the next one, which saves opening and closing streams.
type clientStream struct {
	stream net.Conn
	reader *bufio.Reader
	memory *headerMemory
}

func (s clientStream) close() {
	_ = s.stream.Close()
	releaseReader(s.reader)
}

// shrinker is a stream that can give back unused buffers.
type shrinker interface {
	Shrink()
}

// idleStreams holds the streams of a connection that wait for an exchange.
type idleStreams struct {
	mu      sync.Mutex
	streams []clientStream
	// spare is the smallest number of idle streams since the last trim.
	spare  int
	closed bool
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
	i.spare = min(i.spare, last)
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

// trim closes half of the streams that were not needed since the last trim,
// those unused for longest.
func (i *idleStreams) trim() {
	i.mu.Lock()
	surplus := (i.spare + 1) / 2
	unused := append([]clientStream(nil), i.streams[:surplus]...)
	i.streams = append(i.streams[:0], i.streams[surplus:]...)
	i.spare = len(i.streams)
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
