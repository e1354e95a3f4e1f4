package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
)

// yamuxSession is a Session over yamux.
//
// From the moment at which yamux shuts a session down until it has closed a stream of it, a read of that stream does not block: it loops until
// another goroutine has closed the stream. Reads are therefore given a deadline in the past first, which ends them.
type yamuxSession struct {
	session *yamux.Session
	raw     net.Conn

	mu sync.Mutex
	// streams are the open streams; nil once the session has ended.
	streams map[*yamuxStream]struct{}
	ended   bool
}

// newYamuxSession starts a session on conn, which runs over the connection raw.
func newYamuxSession(start func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error), raw, conn net.Conn, config *yamux.Config) (*yamuxSession, error) {
	s := &yamuxSession{raw: raw, streams: make(map[*yamuxStream]struct{})}
	session, err := start(&closeNotifyingConn{Conn: newBatchConn(conn), onClose: s.end}, config)
	if err != nil {
		return nil, err
	}
	s.session = session
	return s, nil
}

// closeNotifyingConn calls onClose before it is closed.
type closeNotifyingConn struct {
	net.Conn
	onClose func()
}

func (c *closeNotifyingConn) Close() error {
	c.onClose()
	return c.Conn.Close()
}

func (s *yamuxSession) Open(ctx context.Context) (net.Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return s.track(s.session.OpenStream())
}

func (s *yamuxSession) Accept() (net.Conn, error) { return s.track(s.session.AcceptStream()) }

// track adds an open stream.
func (s *yamuxSession) track(stream *yamux.Stream, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	t := &yamuxStream{Stream: stream, session: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		_ = stream.SetReadDeadline(past)
		return t, nil
	}
	s.streams[t] = struct{}{}
	return t, nil
}

// past is a time in the past.
var past = time.Unix(1, 0)

// end makes the reads of all streams end.
func (s *yamuxSession) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for t := range s.streams {
		_ = t.Stream.SetReadDeadline(past)
	}
	s.streams = nil
}

// Close closes the TCP connection first: an orderly shutdown of yamux and TLS writes to
// the connection, which blocks while it is silent.
func (s *yamuxSession) Close() error {
	s.end()
	err := s.raw.Close()
	_ = s.session.Close()
	return err
}

func (s *yamuxSession) Done() <-chan struct{} { return s.session.CloseChan() }

// yamuxStream is a stream whose reads end with its session.
type yamuxStream struct {
	*yamux.Stream
	session *yamuxSession
}

// Read reads from the stream. It returns io.EOF once the session has ended.
func (t *yamuxStream) Read(p []byte) (int, error) {
	n, err := t.Stream.Read(p)
	if errors.Is(err, yamux.ErrTimeout) && t.sessionEnded() {
		return n, io.EOF
	}
	return n, err
}

func (t *yamuxStream) sessionEnded() bool {
	t.session.mu.Lock()
	defer t.session.mu.Unlock()
	return t.session.ended
}

// Close closes the stream.
func (t *yamuxStream) Close() error {
	t.session.mu.Lock()
	delete(t.session.streams, t)
	t.session.mu.Unlock()
	return t.Stream.Close()
}

// SetDeadline sets the deadlines of reads and writes. Reads that end with the session keep theirs.
func (t *yamuxStream) SetDeadline(deadline time.Time) error {
	if err := t.SetReadDeadline(deadline); err != nil {
		return err
	}
	return t.SetWriteDeadline(deadline)
}

// SetReadDeadline sets the deadline of reads, unless they end with the session.
func (t *yamuxStream) SetReadDeadline(deadline time.Time) error {
	t.session.mu.Lock()
	defer t.session.mu.Unlock()
	if t.session.ended {
		return nil
	}
	return t.Stream.SetReadDeadline(deadline)
}
