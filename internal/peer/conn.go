package peer

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// conn is the opening end of one connection.
type conn struct {
	session Session
	self    Identity
	remote  Identity
	control *controlWriter
	idle    idleStreams
	traffic *Traffic

	inFlight   atomic.Int64
	nextNumber atomic.Uint64
	// retired is set when the connection takes no new exchanges.
	retired atomic.Bool
	// silent is set before a silent connection is closed.
	silent atomic.Bool
	// lastHeard is the time of the last whole answer or pong, in Unix nanoseconds.
	lastHeard atomic.Int64
	// pingSent and pongHeard are the numbers of the last ping sent and answered.
	pingSent  atomic.Uint64
	pongHeard atomic.Uint64
	pong      chan struct{}
	// dozing is set while the monitor waits on wake.
	dozing atomic.Bool
	wake   chan struct{}
	// probe holds one element while an exchange probes the connection.
	probe chan struct{}
}

// openConn says Hello on a new session and starts the connection's goroutines.
func openConn(ctx context.Context, id Identity, session Session, traffic *Traffic) (*conn, error) {
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	stream, err := session.Open(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "open control stream")
	}
	stream = traffic.count(stream)
	reader := bufio.NewReaderSize(stream, maxControlBytes)
	remote, err := exchangeHello(id, stream, reader)
	if err != nil {
		return nil, err
	}
	c := &conn{
		session: session,
		self:    id,
		remote:  remote,
		control: newControlWriter(stream, traffic, remote),
		traffic: traffic,
		pong:    make(chan struct{}, 1),
		wake:    make(chan struct{}, 1),
		probe:   make(chan struct{}, 1),
	}
	c.hear()
	go c.control.run(session.Done())
	go c.readControl(reader)
	go c.monitor()
	return c, nil
}

// exchangeHello sends the own identity and returns that of the other end.
func exchangeHello(id Identity, stream net.Conn, reader *bufio.Reader) (Identity, error) {
	buf := newFrameBuffer()
	defer buf.release()
	if err := buf.add(&apiv1.StreamHeader{Method: apiv1.Method_METHOD_CONTROL}); err != nil {
		return Identity{}, err
	}
	if err := buf.add(&apiv1.ControlFrame{Hello: newHello(id)}); err != nil {
		return Identity{}, err
	}
	if err := buf.flush(stream); err != nil {
		return Identity{}, errors.Wrap(err, "send hello")
	}
	var frame apiv1.ControlFrame
	if err := readFrame(reader, &frame, maxControlBytes); err != nil {
		return Identity{}, errors.Wrap(err, "receive hello")
	}
	return checkHello(frame.GetHello())
}

func newHello(id Identity) *apiv1.Hello {
	return &apiv1.Hello{Node: id.Node, Incarnation: id.Incarnation, DataCentre: id.DataCentre, ProtocolVersion: protocolVersion}
}

// checkHello returns the identity that a Hello names.
func checkHello(h *apiv1.Hello) (Identity, error) {
	if h == nil {
		return Identity{}, errors.New("the other end sent no hello")
	}
	if h.Error != "" {
		return Identity{}, errors.Errorf("the other end refused the connection: %s", h.Error)
	}
	if h.ProtocolVersion != protocolVersion {
		return Identity{}, errors.Errorf("the other end speaks protocol version %d, this node %d", h.ProtocolVersion, protocolVersion)
	}
	return Identity{Node: h.Node, Incarnation: h.Incarnation, DataCentre: h.DataCentre}, nil
}

// begin reserves the connection for one exchange. It returns false when the
// connection takes no new ones.
func (c *conn) begin() bool {
	c.inFlight.Add(1)
	if c.retired.Load() {
		c.end()
		return false
	}
	if c.dozing.Load() {
		c.wakeMonitor()
	}
	return true
}

// end gives back what begin reserved.
func (c *conn) end() {
	if c.inFlight.Add(-1) == 0 && c.retired.Load() {
		_ = c.session.Close()
	}
}

// retire keeps new exchanges off the connection and closes it once the running ones have ended.
func (c *conn) retire() {
	c.retired.Store(true)
	if c.inFlight.Load() == 0 {
		_ = c.session.Close()
	}
}

// alive reports whether new exchanges may use the connection.
func (c *conn) alive() bool {
	return !c.retired.Load() && !c.closed()
}

func (c *conn) closed() bool {
	select {
	case <-c.session.Done():
		return true
	default:
		return false
	}
}

func (c *conn) wakeMonitor() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// openStream returns an idle stream, or a new one.
func (c *conn) openStream(ctx context.Context) (clientStream, error) {
	if c.closed() {
		return clientStream{}, ErrClosed
	}
	if stream, ok := c.idle.take(); ok {
		return stream, nil
	}
	stream, err := c.session.Open(ctx)
	if err != nil {
		return clientStream{}, err
	}
	stream = c.traffic.count(stream)
	return clientStream{stream: stream, reader: newReader(stream), memory: &headerMemory{}}, nil
}

// readControl handles the frames that the accepting end sends on the control stream.
func (c *conn) readControl(reader *bufio.Reader) {
	defer func() { _ = c.session.Close() }()
	for {
		var frame apiv1.ControlFrame
		if err := readFrame(reader, &frame, maxControlBytes); err != nil {
			return
		}
		if frame.GoAway {
			c.retire()
		}
		if frame.Pong != 0 {
			c.pongHeard.Store(frame.Pong)
			c.hear()
			select {
			case c.pong <- struct{}{}:
			default:
			}
		}
	}
}

// monitor pings while exchanges are in flight, and closes the connection when
// it has been silent or idle for too long.
func (c *conn) monitor() {
	defer c.idle.closeAll()
	for c.watchBusy() && c.doze() {
	}
}

// doze waits without pings until the next exchange. It returns false when the
// connection has ended.
func (c *conn) doze() bool {
	c.dozing.Store(true)
	defer c.dozing.Store(false)
	if c.inFlight.Load() > 0 {
		return true
	}
	c.idle.trim()
	unused := time.NewTimer(idleTimeout)
	defer unused.Stop()
	select {
	case <-c.session.Done():
		return false
	case <-c.wake:
		return true
	case <-unused.C:
		c.retire()
		return true
	}
}

// watchBusy pings at each interval at which exchanges are in flight. It returns
// true once there are none, and false when the connection has ended.
func (c *conn) watchBusy() bool {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	missed := 0
	// asked is the number of the last ping of this loop; exchanges send pings of their own.
	asked := c.pongHeard.Load()
	for {
		select {
		case <-c.session.Done():
			return false
		case <-ticker.C:
		}
		c.idle.trim()
		if c.pongHeard.Load() >= asked {
			missed = 0
		} else {
			missed++
		}
		// Intervals are counted, not time, so that a pause of this process is no evidence.
		if missed >= silentPings {
			c.silent.Store(true)
			_ = c.session.Close()
			return false
		}
		if missed >= suspectPings {
			c.retired.Store(true)
		}
		if c.inFlight.Load() == 0 {
			return c.drained()
		}
		if missed == 0 {
			asked = c.pingSent.Add(1)
			c.control.ping(asked)
		}
	}
}

// drained is called with no exchange in flight. It closes a retired connection.
func (c *conn) drained() bool {
	if c.retired.Load() {
		_ = c.session.Close()
		return false
	}
	return true
}

// fresh reports whether the connection still answers. A connection that answered
// lately is trusted; one that was idle for long is probed with a ping.
func (c *conn) fresh(ctx context.Context) bool {
	if !c.longIdle() {
		return true
	}
	select {
	case c.probe <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-c.probe }()
	if !c.longIdle() || !c.alive() {
		return c.alive()
	}
	if !c.answersPing(ctx) {
		c.retire()
		return false
	}
	return true
}

// hear notes that the other end has just answered.
func (c *conn) hear() {
	c.lastHeard.Store(time.Now().UnixNano())
}

// quietFor returns how long nothing was heard from the other end.
func (c *conn) quietFor() time.Duration {
	return time.Duration(time.Now().UnixNano() - c.lastHeard.Load())
}

func (c *conn) longIdle() bool {
	return c.quietFor() > probeAfterIdle
}

// answersPing sends a ping and waits for its answer for probeTimeout at most.
func (c *conn) answersPing(ctx context.Context) bool {
	number := c.pingSent.Add(1)
	c.control.ping(number)
	timeout := time.NewTimer(probeTimeout)
	defer timeout.Stop()
	for {
		select {
		case <-c.pong:
			if c.pongHeard.Load() >= number {
				return true
			}
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		case <-c.session.Done():
			return false
		}
	}
}
