package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/guavaford/guavaford/internal/linkshare"
)

// yamuxSession is a Session over yamux.
//
// From the moment at which yamux shuts a session down until it has closed a stream of it, a read of that stream does not block: it loops
// until another goroutine has closed the stream. Reads are therefore given a deadline in the past first, which ends them.
type yamuxSession struct {
	session *yamux.Session
	raw     net.Conn
	link    *linkConn

	mu sync.Mutex
	// streams are the open streams; nil once the session has ended.
	streams map[*yamuxStream]struct{}
	ended   bool
}

// newYamuxSession starts a session on conn, which runs over the connection raw. stats is nil if bodies are not scheduled.
func newYamuxSession(start func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error), raw, conn net.Conn, config *yamux.Config, stats *LinkStats) (*yamuxSession, error) {
	if stats != nil {
		limitUnsent(raw)
	}
	s := &yamuxSession{raw: raw, link: newLinkConn(conn, stats), streams: make(map[*yamuxStream]struct{})}
	session, err := start(&closeNotifyingConn{Conn: s.link, onClose: s.end}, config)
	if err != nil {
		_ = s.link.Close()
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
	t := newYamuxStream(stream, s)
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

// bodyJudge is a session that estimates whether a body arrives in time.
type bodyJudge interface {
	judgeBody(class linkshare.Class, length int64) linkshare.Verdict
}

// judgeBody estimates whether a body that is sent now arrives in time, and counts it if not.
func (s *yamuxSession) judgeBody(class linkshare.Class, length int64) linkshare.Verdict {
	verdict := s.link.judge(class, length)
	if verdict.TooLate {
		s.link.stats.Refused.Add(1)
	}
	return verdict
}

func (s *yamuxSession) Done() <-chan struct{} { return s.session.CloseChan() }
