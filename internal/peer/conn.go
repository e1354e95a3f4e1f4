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

// conn is the dialling side of one connection.
type conn struct {
	session Session
	self    Identity
	remote  Identity
	control *controlWriter
	idle    idleStreams
	traffic *Traffic

	inFlight   atomic.Int64
	nextNumber atomic.Uint64
	// retired is set when the connection accepts no new exchanges.
	retired atomic.Bool
	// silent is set before the connection is closed for not answering pings.
	silent atomic.Bool
	// silence measures the time since the last complete answer or pong.
	silence silence
	// pingSent and pongReceived are the numbers of the last ping sent and of the last ping answered.
	pingSent     atomic.Uint64
	pongReceived atomic.Uint64
	pong         chan struct{}
	// waiting is set while the monitor waits on wake.
	waiting atomic.Bool
	wake    chan struct{}
	// probe holds one element while an exchange probes the connection.
	probe chan struct{}
}

// openConn exchanges Hello frames on a new session and starts the connection's goroutines.
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
		silence: silence{began: time.Now()},
		session: session,
		self:    id,
		remote:  remote,
		control: newControlWriter(stream, traffic, remote),
		traffic: traffic,
		pong:    make(chan struct{}, 1),
		wake:    make(chan struct{}, 1),
		probe:   make(chan struct{}, 1),
	}
	c.noteReceived()
	go c.control.run(session.Done())
	go c.readControl(reader)
	go c.monitor()
	return c, nil
}

// exchangeHello sends this node's identity and returns that of the peer.
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

// checkHello validates a Hello and returns the identity in it.
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
// connection accepts no new exchanges.
func (c *conn) begin() bool {
	c.inFlight.Add(1)
	if c.retired.Load() {
		c.end()
		return false
	}
	if c.waiting.Load() {
		c.wakeMonitor()
	}
	return true
}

// end releases the reservation made by begin.
func (c *conn) end() {
	if c.inFlight.Add(-1) == 0 && c.retired.Load() {
		_ = c.session.Close()
	}
}

// retire stops new exchanges on the connection and closes it once the running ones have ended.
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
	return clientStream{stream: stream, reader: newReader(stream), history: &headerHistory{}}, nil
}

// readControl handles the frames that the accepting side sends on the control stream.
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
			c.pongReceived.Store(frame.Pong)
			c.noteReceived()
			select {
			case c.pong <- struct{}{}:
			default:
			}
		}
	}
}

// monitor sends pings while exchanges are in flight, and closes the connection when
// pings stay unanswered or the connection has been idle for too long.
func (c *conn) monitor() {
	defer c.idle.closeAll()
	for c.pingWhileBusy() && c.waitForExchange() {
	}
}

// waitForExchange waits, without sending pings, until the next exchange begins or the
// connection is retired as idle. It returns false when the connection has ended.
func (c *conn) waitForExchange() bool {
	c.waiting.Store(true)
	defer c.waiting.Store(false)
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

// pingWhileBusy sends a ping in each interval while exchanges are in flight. It returns
// true once there are none, and false when the connection has ended.
func (c *conn) pingWhileBusy() bool {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	missed := 0
	// awaited is the number of the last ping of this loop; exchanges send pings of their own.
	awaited := c.pongReceived.Load()
	for {
		select {
		case <-c.session.Done():
			return false
		case <-ticker.C:
		}
		c.idle.trim()
		if c.pongReceived.Load() >= awaited {
			missed = 0
		} else {
			missed++
		}
		// Intervals are counted instead of time, so that a pause of this process does not count as silence.
		if missed >= silentAfterMissed {
			c.silent.Store(true)
			_ = c.session.Close()
			return false
		}
		if missed >= suspectAfterMissed {
			c.retired.Store(true)
		}
		if c.inFlight.Load() == 0 {
			return c.closeIfRetired()
		}
		if missed == 0 {
			awaited = c.pingSent.Add(1)
			c.control.ping(awaited)
		}
	}
}

// closeIfRetired is called with no exchange in flight. It closes a retired connection and returns false then.
func (c *conn) closeIfRetired() bool {
	if c.retired.Load() {
		_ = c.session.Close()
		return false
	}
	return true
}

// verifyResponsive reports whether the connection still works. A connection that answered
// within probeAfterIdle is assumed to work; otherwise it is probed with a ping.
func (c *conn) verifyResponsive(ctx context.Context) bool {
	if !c.needsProbe() {
		return true
	}
	select {
	case c.probe <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-c.probe }()
	if !c.needsProbe() || !c.alive() {
		return c.alive()
	}
	if !c.answersPing(ctx) {
		c.retire()
		return false
	}
	return true
}

// noteReceived records that the peer has just answered.
func (c *conn) noteReceived() { c.silence.end(time.Now()) }

// sinceReceived returns the time since the peer last answered.
func (c *conn) sinceReceived() time.Duration { return c.silence.length(time.Now()) }

func (c *conn) needsProbe() bool {
	return c.sinceReceived() > probeAfterIdle
}

// answersPing sends a ping and waits up to probeTimeout for the pong.
func (c *conn) answersPing(ctx context.Context) bool {
	number := c.pingSent.Add(1)
	c.control.ping(number)
	timeout := time.NewTimer(probeTimeout)
	defer timeout.Stop()
	for {
		select {
		case <-c.pong:
			if c.pongReceived.Load() >= number {
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
