package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
)

// yamuxTransport carries yamux sessions over TLS over TCP.
type yamuxTransport struct {
	tls    *tls.Config
	yamux  *yamux.Config
	dialer net.Dialer
}

// NewYamux returns the transport of a running node. Both ends of a session
// prove to each other that they hold secret. It fails when secret is too short.
func NewYamux(secret []byte) (Transport, error) {
	tlsConfig, err := newTLSConfig(secret)
	if err != nil {
		return nil, err
	}
	return &yamuxTransport{
		tls:    tlsConfig,
		yamux:  newYamuxConfig(),
		dialer: net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Minute}},
	}, nil
}

// newYamuxConfig leaves pings and stream timeouts to this package.
func newYamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = defaultMaxStreams
	c.EnableKeepAlive = false
	c.StreamOpenTimeout = 0
	c.ConnectionWriteTimeout = writeTimeout
	c.LogOutput = io.Discard
	return c
}

// Dial connects, authenticates and starts a session.
func (t *yamuxTransport) Dial(ctx context.Context, address string) (Session, error) {
	raw, err := t.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	secure := tls.Client(raw, t.tls)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, errors.Wrap(err, "authenticate")
	}
	session, err := yamux.Client(newBatchConn(secure), t.yamux)
	if err != nil {
		_ = secure.Close()
		return nil, errors.Wrap(err, "start session")
	}
	return &yamuxSession{session: session, raw: raw}, nil
}

// Listen accepts sessions at address, an IP number and port.
func (t *yamuxTransport) Listen(address string) (Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return &yamuxListener{listener: l, transport: t}, nil
}

type yamuxListener struct {
	listener  net.Listener
	transport *yamuxTransport
}

// Accept returns the next session. Its authentication runs when the session is first read.
func (l *yamuxListener) Accept() (Session, error) {
	raw, err := l.listener.Accept()
	if err != nil {
		return nil, err
	}
	session, err := yamux.Server(newBatchConn(tls.Server(raw, l.transport.tls)), l.transport.yamux)
	if err != nil {
		_ = raw.Close()
		return nil, errors.Wrap(err, "start session")
	}
	return &yamuxSession{session: session, raw: raw}, nil
}

func (l *yamuxListener) Close() error { return l.listener.Close() }

func (l *yamuxListener) Addr() string { return l.listener.Addr().String() }

type yamuxSession struct {
	session *yamux.Session
	raw     net.Conn
}

func (s *yamuxSession) Open(ctx context.Context) (net.Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return s.session.OpenStream()
}

func (s *yamuxSession) Accept() (net.Conn, error) { return s.session.AcceptStream() }

// Close closes the TCP connection first: ending TLS and yamux in order writes
// to the connection, which blocks while it is silent.
func (s *yamuxSession) Close() error {
	err := s.raw.Close()
	_ = s.session.Close()
	return err
}

func (s *yamuxSession) Done() <-chan struct{} { return s.session.CloseChan() }
