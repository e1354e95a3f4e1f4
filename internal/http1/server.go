package http1

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/guavaford/guavaford/internal/workers"
)

// Limits are the limits for what a caller may send.
type Limits struct {
	// MaxHeader is the longest allowed header of a request in bytes.
	MaxHeader int
	// HeaderTimeout is the longest allowed time from the first to the last byte of a header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request stays open.
	IdleTimeout time.Duration
	// MaxConnections is the number of open connections above which a connection ends with the next response that has no
	// further request behind it, so that file descriptors stay free for new callers; 0 sets no limit.
	MaxConnections int
	// MaxStreams is the number of streamed responses above which those are ended whose callers read nothing, and half of the largest
	// number; 0 sets no limit.
	MaxStreams int
}

// Options configure a Server.
type Options struct {
	Handler Handler
	// Limits is called for each request, so that limits can change while the server runs.
	Limits func() Limits
	// OnAcceptError, if set, is called when a connection could not be accepted. It must not block.
	OnAcceptError func(error)
	// OnStreamEnded, if set, is called when a streamed response was ended or replaced because of Limits.MaxStreams, with the number of streamed
	// responses and for how long the caller of the ended one had read nothing; 0 for one that was replaced. It must not block.
	OnStreamEnded func(count int, blocked time.Duration)
}

// Handler answers requests. The context of a request ends when its caller closes the connection, or with ErrGivenUp when the server stops.
type Handler interface {
	Serve(ctx context.Context, r *Request) *Response
}

// Server serves connections of callers.
type Server struct {
	handler      Handler
	limits       func() Limits
	acceptFailed func(error)
	streamEnded  func(int, time.Duration)

	mu        sync.Mutex
	conns     map[*conn]struct{}
	listeners map[net.Listener]struct{}
	closed    bool
	// running counts the goroutines of the connections.
	running sync.WaitGroup
	// pool runs the exchanges of all connections.
	pool     *workers.Pool
	draining atomic.Bool
	requests atomic.Int64
	open     atomic.Int64
	streams  streams
}

// NewServer returns a server.
func NewServer(o Options) *Server {
	if o.OnAcceptError == nil {
		o.OnAcceptError = func(error) {}
	}
	if o.OnStreamEnded == nil {
		o.OnStreamEnded = func(int, time.Duration) {}
	}
	return &Server{
		handler: o.Handler, limits: o.Limits, acceptFailed: o.OnAcceptError,
		streamEnded: o.OnStreamEnded, streams: streams{active: map[*exchange]struct{}{}},
		conns: map[*conn]struct{}{}, listeners: map[net.Listener]struct{}{}, pool: workers.New(),
	}
}

// acceptPause is the pause after a failed accept: the process may be out of file descriptors for a moment.
const acceptPause = 10 * time.Millisecond

// Serve accepts connections until the server is closed.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		return l.Close()
	}
	for {
		raw, err := l.Accept()
		if err != nil {
			if s.isClosed() || errors.Is(err, net.ErrClosed) {
				return nil
			}
			s.acceptFailed(err)
			time.Sleep(acceptPause)
			continue
		}
		s.start(raw)
	}
}

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// start serves one connection on its own goroutine.
func (s *Server) start(raw net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = raw.Close()
		return
	}
	c := newConn(s, raw)
	s.conns[c] = struct{}{}
	s.open.Add(1)
	s.running.Go(c.serve)
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.open.Add(-1)
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int { return int(s.open.Load()) }

// overLimit reports whether there are more connections than Limits.MaxConnections allows.
func (s *Server) overLimit() bool {
	bound := s.limits().MaxConnections
	return bound > 0 && s.OpenConnections() > bound
}

// PendingRequests returns the number of requests that were read and are not yet answered.
func (s *Server) PendingRequests() int { return int(s.requests.Load()) }

// Drain makes each connection end with the next response that has no further request behind it. Connections
// stay open until then, and new ones are accepted.
func (s *Server) Drain() { s.draining.Store(true) }

// shutdownPoll is how often a shutdown looks for connections that have become idle.
const shutdownPoll = 10 * time.Millisecond

// Shutdown stops accepting connections, closes those without a request, and waits until the others have ended.
// When ctx ends first, it closes the remaining ones and returns the context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	for _, c := range s.stop() {
		c.closeIfIdle()
	}
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		s.pool.Close()
		close(done)
	}()
	ticker := time.NewTicker(shutdownPoll)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return nil
		case <-ticker.C:
			for _, c := range s.stop() {
				c.closeIfIdle()
			}
		case <-ctx.Done():
			s.Close()
			return ctx.Err()
		}
	}
}

// stop closes the listeners and returns the open connections.
func (s *Server) stop() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for l := range s.listeners {
		_ = l.Close()
		delete(s.listeners, l)
	}
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	return open
}

// ErrGivenUp is the cause of the end of a request's context by GiveUp.
var ErrGivenUp = errors.New("the server stops")

// GiveUp ends the contexts of all requests, and of those that are still read, with ErrGivenUp, so that their handlers respond before the server is closed.
func (s *Server) GiveUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.giveUp(ErrGivenUp)
	}
}

// Close closes the listeners and all connections at once.
func (s *Server) Close() {
	for _, c := range s.stop() {
		c.abort()
	}
	s.pool.Close()
}
