package memnet

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavaford/guavaford/internal/peer"
)

// kind tells what a message on a wire does.
type kind int

const (
	kindData kind = iota
	// kindWindow gives back room in the receiver's buffer.
	kindWindow
	// kindFinish ends one direction of a stream.
	kindFinish
	// kindReset ends the session.
	kindReset
)

// message is what travels on a wire.
type message struct {
	kind   kind
	stream uint32
	data   []byte
	window int
	due    time.Time
}

// wire carries messages in order in one direction of a session.
type wire struct {
	network     *Network
	way         direction
	destination *session
	silent      atomic.Bool
	wake        chan struct{}

	mu    sync.Mutex
	queue []message
	due   time.Time
}

// send queues a message. It arrives after those sent before it.
func (w *wire) send(m message) {
	travel := w.network.travelTime(w.way, len(m.data))
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

func (w *wire) take() []message {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue := w.queue
	w.queue = nil
	return queue
}

// run delivers messages until the receiving end has closed.
func (w *wire) run() {
	for {
		select {
		case <-w.wake:
		case <-w.destination.done:
			return
		}
		for _, m := range w.take() {
			if !w.deliver(m) {
				return
			}
		}
	}
}

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
	if !w.network.await(w.way, w.destination.done) {
		return false
	}
	if !w.silent.Load() {
		w.destination.receive(m)
	}
	return true
}

// session is one end of a connection.
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

// acceptBacklog bounds the streams of a session that wait for Accept.
const acceptBacklog = 16384

// newSession returns the end that sends along way. The ends draw odd and even stream numbers.
func newSession(n *Network, way direction, first uint32) *session {
	return &session{
		network: n,
		out:     &wire{network: n, way: way, wake: make(chan struct{}, 1)},
		accept:  make(chan *stream, acceptBacklog),
		done:    make(chan struct{}),
		next:    first,
		streams: make(map[uint32]*stream),
	}
}

// Open opens a stream.
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

// Done is closed when the session has ended.
func (s *session) Done() <-chan struct{} { return s.done }

// Close ends the session. The other end learns it if the wire still delivers.
func (s *session) Close() error {
	s.out.send(message{kind: kindReset})
	s.end()
	return nil
}

// end closes this end of the session and its streams.
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

// receive takes a message that has arrived.
func (s *session) receive(m message) {
	if m.kind == kindReset {
		s.end()
		return
	}
	if st := s.lookup(m); st != nil {
		st.receive(m)
	}
}

// lookup returns the stream of a message. Data on an unknown number of the
// other end opens a stream.
func (s *session) lookup(m message) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return nil
	}
	if st := s.streams[m.stream]; st != nil {
		return st
	}
	foreign := m.stream%2 != s.next%2
	if !foreign || m.kind != kindData {
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

func (s *session) forget(number uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, number)
}
