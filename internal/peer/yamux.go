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

// yamuxTransport carries yamux sessions over TLS over TCP, or over plain TCP.
type yamuxTransport struct {
	// tls is nil for plain TCP.
	tls    *tls.Config
	yamux  *yamux.Config
	dialer net.Dialer
	// stats is nil if bodies are not scheduled.
	stats *LinkStats
}

// YamuxOption changes the transport of a running node.
type YamuxOption func(*yamuxTransport)

// WithLinkStats counts what the scheduler of the links does.
func WithLinkStats(stats *LinkStats) YamuxOption {
	return func(t *yamuxTransport) { t.stats = stats }
}

// WithoutLinkSharing sends the frames of all streams in the order in which they are written. It takes precedence over the options before
// it.
func WithoutLinkSharing() YamuxOption {
	return func(t *yamuxTransport) { t.stats = nil }
}

// NewYamux returns the transport of a running node. Both sides of a session
// prove to each other that they hold secret. It fails if secret is too short.
func NewYamux(secret []byte, options ...YamuxOption) (Transport, error) {
	tlsConfig, err := newTLSConfig(secret)
	if err != nil {
		return nil, err
	}
	return newYamuxTransport(tlsConfig, options), nil
}

// NewPlaintextYamux returns a transport without encryption and authentication, for a network that only
// nodes can reach.
func NewPlaintextYamux(options ...YamuxOption) Transport {
	return newYamuxTransport(nil, options)
}

func newYamuxTransport(secure *tls.Config, options []YamuxOption) *yamuxTransport {
	t := &yamuxTransport{
		tls:    secure,
		yamux:  newYamuxConfig(),
		dialer: net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Minute}},
		stats:  &LinkStats{},
	}
	for _, option := range options {
		option(t)
	}
	return t
}

// server wraps an accepted connection in TLS, if enabled.
func (t *yamuxTransport) server(raw net.Conn) net.Conn {
	if t.tls == nil {
		return raw
	}
	return tls.Server(raw, t.tls)
}

// client wraps a dialled connection in TLS and runs its handshake, if enabled.
func (t *yamuxTransport) client(ctx context.Context, raw net.Conn) (net.Conn, error) {
	if t.tls == nil {
		return raw, nil
	}
	secure := tls.Client(raw, t.tls)
	return secure, secure.HandshakeContext(ctx)
}

// newYamuxConfig turns off the keepalives and stream-open timeout of yamux, since this package has its own.
func newYamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = defaultMaxStreams
	c.EnableKeepAlive = false
	c.StreamOpenTimeout = 0
	c.MaxStreamWindowSize = StreamWindow
	c.ConnectionWriteTimeout = writeTimeout
	c.LogOutput = io.Discard
	return c
}

// Dial connects, authenticates and starts a session.
func (t *yamuxTransport) Dial(ctx context.Context, address string) (Session, error) {
	raw, err := redial(ctx, t.dialer.DialContext, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	conn, err := t.client(ctx, raw)
	if err != nil {
		_ = raw.Close()
		return nil, errors.Wrap(err, "authenticate")
	}
	session, err := newYamuxSession(yamux.Client, raw, conn, t.yamux, t.stats)
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "start session")
	}
	return session, nil
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

// Accept returns the next session. Its TLS handshake runs at the first read or write.
func (l *yamuxListener) Accept() (Session, error) {
	raw, err := l.listener.Accept()
	if err != nil {
		return nil, err
	}
	session, err := newYamuxSession(yamux.Server, raw, l.transport.server(raw), l.transport.yamux, l.transport.stats)
	if err != nil {
		_ = raw.Close()
		return nil, errors.Wrap(err, "start session")
	}
	return session, nil
}

func (l *yamuxListener) Close() error { return l.listener.Close() }

func (l *yamuxListener) Addr() string { return l.listener.Addr().String() }
