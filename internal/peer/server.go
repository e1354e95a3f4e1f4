package peer

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// ServerOptions configures a Server. Zero fields stand for their defaults.
type ServerOptions struct {
	// MaxSessions limits the connections that are open at a time.
	MaxSessions int
	// MaxStreams limits the exchanges that are in flight on one connection.
	MaxStreams int
	// Traffic counts exchanges and bytes; nil disables counting.
	Traffic *Traffic
}

// unaryHandler is a registered handler of a unary method, without its message types.
type unaryHandler struct {
	newRequest func() proto.Message
	run        func(ctx context.Context, from Identity, req proto.Message) (proto.Message, error)
}

// Server serves the exchanges that other nodes open. Handlers are registered before Serve.
type Server struct {
	id      Identity
	options ServerOptions
	unary   map[apiv1.Method]unaryHandler
	call    func(ctx context.Context, in *IncomingCall)
	attach  func(ctx context.Context, key *apiv1.CallKey, in *IncomingCall)

	mu         sync.Mutex
	listeners  map[Listener]struct{}
	sessions   map[*serverSession]struct{}
	handshakes int
	stopping   bool
	running    sync.WaitGroup
}

// NewServer returns a server that identifies this node as id.
func NewServer(id Identity, o ServerOptions) *Server {
	if o.MaxSessions == 0 {
		o.MaxSessions = defaultMaxSessions
	}
	if o.MaxStreams == 0 {
		o.MaxStreams = defaultMaxStreams
	}
	return &Server{
		id:        id,
		options:   o,
		unary:     make(map[apiv1.Method]unaryHandler),
		listeners: make(map[Listener]struct{}),
		sessions:  make(map[*serverSession]struct{}),
	}
}

// HandleUnary registers the handler of a unary method. The handler's context ends when
// the caller cancels, when the caller's deadline passes, and when the connection is lost.
// The text of a returned error reaches the caller as a *RemoteError.
func HandleUnary[Req, Resp proto.Message](s *Server, m apiv1.Method, newReq func() Req, fn func(ctx context.Context, from Identity, req Req) (Resp, error)) {
	s.unary[m] = unaryHandler{
		newRequest: func() proto.Message { return newReq() },
		run: func(ctx context.Context, from Identity, req proto.Message) (proto.Message, error) {
			return fn(ctx, from, req.(Req))
		},
	}
}

// HandleCall registers the handler of calls. Its context ends with the cause
// ErrCancelled when the caller cancels, and with ErrSessionLost when the connection
// is lost.
func (s *Server) HandleCall(fn func(ctx context.Context, in *IncomingCall)) {
	s.call = fn
}

// HandleAttach registers the handler that answers attach requests, which ask for the answer to an earlier call.
func (s *Server) HandleAttach(fn func(ctx context.Context, key *apiv1.CallKey, in *IncomingCall)) {
	s.attach = fn
}

// Serve accepts connections until the listener or the server is closed. It
// returns nil after Shutdown or Close.
func (s *Server) Serve(l Listener) error {
	if !s.addListener(l) {
		_ = l.Close()
		return nil
	}
	for {
		session, err := l.Accept()
		if err != nil {
			if s.removeListener(l) {
				return nil
			}
			return errors.Wrap(err, "accept")
		}
		s.start(session)
	}
}

func (s *Server) addListener(l Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

// removeListener unregisters a listener and reports whether the server is stopping.
func (s *Server) removeListener(l Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, l)
	return s.stopping
}

// start serves a session in a new goroutine, or closes it if there are too many.
func (s *Server) start(session Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || s.handshakes >= maxPendingHandshakes || len(s.sessions) >= s.options.MaxSessions {
		_ = session.Close()
		return
	}
	ss := newServerSession(s, session)
	s.sessions[ss] = struct{}{}
	s.handshakes++
	s.running.Go(ss.serve)
}

// handshakeDone records that a session has completed its Hello handshake or failed in it.
func (s *Server) handshakeDone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handshakes--
}

func (s *Server) forget(ss *serverSession) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, ss)
}

// stop closes the listeners and returns the open sessions.
func (s *Server) stop() []*serverSession {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for l := range s.listeners {
		_ = l.Close()
	}
	open := make([]*serverSession, 0, len(s.sessions))
	for ss := range s.sessions {
		open = append(open, ss)
	}
	return open
}

// Shutdown stops accepting connections, tells the peers to open no more exchanges, and
// waits until they have closed their connections after the last running exchange. If ctx
// ends first, it closes the remaining connections and returns the context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	for _, ss := range s.stop() {
		ss.goAway()
	}
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		s.Close()
		<-done
		return ctx.Err()
	}
}

// Close closes all connections immediately. Running exchanges fail.
func (s *Server) Close() {
	for _, ss := range s.stop() {
		ss.terminate(ErrClosed)
	}
}
