package memnet

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavaford/guavaford/internal/peer"
)

// kind is the type of a message.
type kind int

const (
	kindData kind = iota
	// kindWindow tells the sender that the receiver has read bytes, so that it may send as many again.
	kindWindow
	// kindFinish tells that no more data follows in this direction of a stream.
	kindFinish
	// kindReset ends the session.
	kindReset
)

// message is one message on a wire. It is delivered at due or, while the direction is blocked, later.
type message struct {
	kind   kind
	stream uint32
	data   []byte
	window int
	due    time.Time
}

// wire delivers the messages of one direction of a session in order.
type wire struct {
	network     *Network
	dir         direction
	destination *session
	silent      atomic.Bool
	wake        chan struct{}

	mu    sync.Mutex
	queue []message
	due   time.Time
}

// send queues a message. It never arrives before one that was sent earlier, whatever the jitter.
func (w *wire) send(m message) {
	travel := w.network.travelTime(w.dir, len(m.data))
	w.mu.Lock()
	m.due = time.Now().Add(travel)
	if m.due.Before(w.due) {
		m.due = w.due
	}
	w.due = m.due
	w.queue = append(w.queue, m)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// takeQueue returns the queued messages and empties the queue.
func (w *wire) takeQueue() []message {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue := w.queue
	w.queue = nil
	return queue
}

// run delivers messages until the receiving end or the network has closed.
func (w *wire) run() {
	for {
		select {
		case <-w.wake:
		case <-w.destination.done:
			return
		}
		for _, m := range w.takeQueue() {
			if !w.deliver(m) {
				return
			}
		}
	}
}

// deliver waits until a message is due and its direction is not blocked, and delivers it unless the wire is silent. It
// returns false when the receiving end or the network has closed.
func (w *wire) deliver(m message) bool {
	if wait := time.Until(m.due); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-w.destination.done:
			return false
		}
	}
	if !w.network.awaitUnblocked(w.dir, w.destination.done) {
		return false
	}
	if !w.silent.Load() {
		w.destination.receive(m)
	}
	return true
}

// session is one end of a connection between two hosts. It implements peer.Session.
type session struct {
	network *Network
	out     *wire
	accept  chan *stream
	done    chan struct{}

	mu      sync.Mutex
	ended   bool
	next    uint32
	streams map[uint32]*stream
}

var _ peer.Session = (*session)(nil)

// maxBacklogStreams is the most streams of a session that may wait for Accept. Messages of further ones are dropped.
const maxBacklogStreams = 16384

// newSession returns the end that sends in the given direction. One end numbers the streams that it opens 1, 3, 5 and
// so on, the other 2, 4, 6, so that numbers are unique.
func newSession(n *Network, dir direction, first uint32) *session {
	return &session{
		network: n,
		out:     &wire{network: n, dir: dir, wake: make(chan struct{}, 1)},
		accept:  make(chan *stream, maxBacklogStreams),
		done:    make(chan struct{}),
		next:    first,
		streams: make(map[uint32]*stream),
	}
}

// Open opens a stream. The other end learns of it with the first data.
func (s *session) Open(ctx context.Context) (net.Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return nil, errClosed
	}
	st := newStream(s, s.next)
	s.streams[s.next] = st
	s.next += 2
	return st, nil
}

// Accept returns the next stream that the other end opened.
func (s *session) Accept() (net.Conn, error) {
	select {
	case st := <-s.accept:
		return st, nil
	case <-s.done:
		return nil, errClosed
	}
}

// Done returns a channel that is closed when the session has ended.
func (s *session) Done() <-chan struct{} { return s.done }

// Close ends the session. The other end learns of it only if messages to it are still delivered.
func (s *session) Close() error {
	s.out.send(message{kind: kindReset})
	s.end()
	return nil
}

// end closes this end of the session and resets its streams.
func (s *session) end() {
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return
	}
	s.ended = true
	streams := s.streams
	s.streams = nil
	close(s.done)
	s.mu.Unlock()
	for _, st := range streams {
		st.reset()
	}
	s.network.mu.Lock()
	delete(s.network.sessions, s)
	s.network.mu.Unlock()
}

// receive handles a message that has arrived.
func (s *session) receive(m message) {
	if m.kind == kindReset {
		s.end()
		return
	}
	if st := s.lookup(m); st != nil {
		st.receive(m)
	}
}

// lookup returns the stream of a message, or nil. Data on a stream number that is new and belongs to the other end
// opens a stream.
func (s *session) lookup(m message) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return nil
	}
	if st := s.streams[m.stream]; st != nil {
		return st
	}
	remote := m.stream%2 != s.next%2
	if !remote || m.kind != kindData {
		return nil
	}
	st := newStream(s, m.stream)
	select {
	case s.accept <- st:
		s.streams[m.stream] = st
		return st
	default:
		return nil
	}
}

// removeStream drops a stream that both ends have closed.
func (s *session) removeStream(number uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, number)
}
