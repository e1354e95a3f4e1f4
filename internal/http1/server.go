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

// Limits bound what a caller may send.
type Limits struct {
	// MaxHeader is the longest header of a request in bytes.
	MaxHeader int
	// HeaderTimeout is the longest time from the first to the last byte of a header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay without a request.
	IdleTimeout time.Duration
	// Connections is the number of open connections above which they end with the answer that they have no
	// request behind, so that descriptors stay free for new callers; 0 sets no bound.
	Connections int
}

// Options are the parts of a Server.
type Options struct {
	Handler Handler
	// Limits is asked at each request.
	Limits func() Limits
	// AcceptFailed is told that a connection could not be accepted. It must not block; nil is told nothing.
	AcceptFailed func(error)
}

// Handler answers one request. The context ends when the caller closes the connection.
type Handler interface {
	Serve(ctx context.Context, r *Request) *Response
}

// Server serves connections of callers.
type Server struct {
	handler      Handler
	limits       func() Limits
	acceptFailed func(error)

	mu        sync.Mutex
	conns     map[*conn]struct{}
	listeners map[net.Listener]struct{}
	closed    bool
	running   sync.WaitGroup
	// turns runs the requests of all connections.
	turns    *workers.Pool
	draining atomic.Bool
	requests atomic.Int64
	open     atomic.Int64
}

// NewServer returns a server.
func NewServer(o Options) *Server {
	if o.AcceptFailed == nil {
		o.AcceptFailed = func(error) {}
	}
	return &Server{
		handler: o.Handler, limits: o.Limits, acceptFailed: o.AcceptFailed,
		conns: map[*conn]struct{}{}, listeners: map[net.Listener]struct{}{}, turns: workers.New(),
	}
}

// acceptPause is the pause after a failed accept: the process may be out of descriptors for a moment.
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

// start serves one connection on a goroutine of its own.
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

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.open.Add(-1)
}

// Open returns the number of open connections.
func (s *Server) Open() int { return int(s.open.Load()) }

// crowded reports whether connections are to end early.
func (s *Server) crowded() bool {
	bound := s.limits().Connections
	return bound > 0 && s.Open() > bound
}

// Running returns the number of requests that were read and not yet answered.
func (s *Server) Running() int { return int(s.requests.Load()) }

// Drain makes each connection end with the answer that it has no request behind. Connections
// stay open until then, and new ones are accepted.
func (s *Server) Drain() { s.draining.Store(true) }

// Connection ends that are looked for during a shutdown.
const shutdownPoll = 10 * time.Millisecond

// Shutdown accepts no more connections, closes those without a request, and waits for the others.
// When ctx ends first it closes what is left and returns the context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	for _, c := range s.stop() {
		c.closeIfIdle()
	}
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		s.turns.Close()
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

// Close ends all connections at once.
func (s *Server) Close() {
	for _, c := range s.stop() {
		c.abort()
	}
	s.turns.Close()
}
