package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// serverSession is the accepting side of one connection.
type serverSession struct {
	server  *Server
	session Session
	ctx     context.Context
	cancel  context.CancelCauseFunc
	remote  Identity
	control atomic.Pointer[controlWriter]
	streams sync.WaitGroup
	// openStreams counts the open streams, activeExchanges those of them that carry an exchange.
	openStreams     atomic.Int64
	activeExchanges atomic.Int64
	// signs counts what only a peer that still works sends: pings and the starts of exchanges.
	signs atomic.Uint64
	// waiting is set while monitorPings waits on wake.
	waiting atomic.Bool
	wake    chan struct{}

	mu      sync.Mutex
	running map[uint64]*runningExchange
	// earlyCancels holds the numbers of cancelled exchanges that have not arrived yet, oldest first.
	earlyCancels []uint64
}

// runningExchange is the server side of one exchange.
type runningExchange struct {
	stream net.Conn
	cancel context.CancelCauseFunc
	// window is nil if the calling end has set none for the answer.
	window *sendWindow
}

func newServerSession(s *Server, session Session) *serverSession {
	ss := &serverSession{server: s, session: session, wake: make(chan struct{}, 1), running: make(map[uint64]*runningExchange)}
	ss.ctx, ss.cancel = context.WithCancelCause(context.Background())
	return ss
}

// serve runs the session until it ends and its handlers have returned.
func (ss *serverSession) serve() {
	defer ss.server.forget(ss)
	defer ss.streams.Wait()
	defer ss.terminate(ErrSessionLost)
	reader, err := ss.handshake()
	ss.server.handshakeDone()
	if err != nil {
		return
	}
	control := ss.control.Load()
	ss.streams.Go(func() { control.run(ss.session.Done()) })
	ss.streams.Go(func() { ss.readControl(reader) })
	ss.streams.Go(ss.monitorPings)
	if ss.server.isStopping() {
		control.goAway()
	}
	for {
		stream, err := ss.session.Accept()
		if err != nil {
			return
		}
		ss.startStream(ss.server.options.Traffic.count(stream))
	}
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// handshake accepts the control stream and exchanges Hello frames within helloTimeout.
func (ss *serverSession) handshake() (*bufio.Reader, error) {
	limit := time.AfterFunc(helloTimeout, func() { _ = ss.session.Close() })
	defer limit.Stop()
	stream, err := ss.session.Accept()
	if err != nil {
		return nil, err
	}
	traffic := ss.server.options.Traffic
	stream = traffic.count(stream)
	reader := bufio.NewReaderSize(stream, maxControlBytes)
	var header apiv1.StreamHeader
	if err := readFrame(reader, &header, maxControlBytes); err != nil {
		return nil, err
	}
	var frame apiv1.ControlFrame
	if err := readFrame(reader, &frame, maxControlBytes); err != nil {
		return nil, err
	}
	ss.remote, err = checkHello(frame.GetHello())
	hello := newHello(ss.server.id)
	if err != nil {
		hello.Error = err.Error()
	}
	if writeErr := writeFrames(stream, &apiv1.ControlFrame{Hello: hello}); writeErr != nil {
		return nil, writeErr
	}
	if err != nil {
		// The peer closes the connection when it has read why it was refused.
		<-ss.session.Done()
		return nil, err
	}
	ss.control.Store(newControlWriter(stream, traffic, ss.remote))
	return reader, nil
}

// terminate closes the connection and ends the contexts of its handlers with the given cause.
func (ss *serverSession) terminate(cause error) {
	ss.cancel(cause)
	_ = ss.session.Close()
}

// goAway asks the peer to close the connection after its running exchanges.
func (ss *serverSession) goAway() {
	if control := ss.control.Load(); control != nil {
		control.goAway()
	}
	ss.wakePingMonitor()
}

// readControl handles the frames that the dialling side sends on the control stream.
func (ss *serverSession) readControl(reader *bufio.Reader) {
	defer ss.terminate(ErrSessionLost)
	for {
		var frame apiv1.ControlFrame
		if err := readFrame(reader, &frame, maxControlBytes); err != nil {
			return
		}
		if frame.Ping != 0 {
			ss.signs.Add(1)
			ss.control.Load().pong(frame.Ping)
		}
		if frame.Cancel != 0 {
			ss.cancelExchange(frame.Cancel)
		}
		if frame.Grant != 0 {
			ss.grant(frame.Grant, frame.Granted)
		}
	}
}

// monitorPings closes the connection when expected pings do not arrive.
func (ss *serverSession) monitorPings() {
	defer ss.cancel(ErrSessionLost)
	for ss.waitBusy() {
		if !ss.checkPings() {
			return
		}
	}
}

// expectsPings reports whether the dialling side should be sending pings. While the
// server stops, an idle connection that the peer does not close counts as silent too.
func (ss *serverSession) expectsPings() bool {
	return ss.inFlight() > 0 || ss.server.isStopping()
}

// waitBusy waits until pings are expected. It returns false when the connection has ended.
func (ss *serverSession) waitBusy() bool {
	ss.waiting.Store(true)
	defer ss.waiting.Store(false)
	for !ss.expectsPings() {
		select {
		case <-ss.session.Done():
			return false
		case <-ss.wake:
		}
	}
	return true
}

// wakePingMonitor makes waitBusy check again whether pings are expected.
func (ss *serverSession) wakePingMonitor() {
	select {
	case ss.wake <- struct{}{}:
	default:
	}
}

// checkPings counts intervals without a sign of the peer. It returns true once none are expected,
// and false when the connection has ended. The start of an exchange counts like a ping, since the peer sends
// no ping in an interval at whose end none of its exchanges is in flight, while short ones may be seen here
// at the end of each interval.
func (ss *serverSession) checkPings() bool {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	heard := ss.signs.Load()
	for quiet := 0; quiet < lostAfterMissed; {
		select {
		case <-ss.session.Done():
			return false
		case <-ticker.C:
		}
		if !ss.expectsPings() {
			return true
		}
		quiet++
		if signs := ss.signs.Load(); signs != heard {
			heard = signs
			quiet = 0
		}
	}
	ss.terminate(ErrSessionLost)
	return false
}

func (ss *serverSession) inFlight() int {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return len(ss.running)
}

// register makes an exchange cancellable by its number.
func (ss *serverSession) register(number uint64, in *runningExchange) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	for i, early := range ss.earlyCancels {
		if early == number {
			ss.earlyCancels = append(ss.earlyCancels[:i], ss.earlyCancels[i+1:]...)
			in.cancel(ErrCancelled)
			return
		}
	}
	ss.running[number] = in
}

// grant allows an exchange to send its answer up to an offset.
func (ss *serverSession) grant(number, offset uint64) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if in := ss.running[number]; in != nil {
		in.window.grant(offset)
	}
}

func (ss *serverSession) unregister(number uint64) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	delete(ss.running, number)
}

func (ss *serverSession) cancelExchange(number uint64) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	in := ss.running[number]
	if in == nil {
		if len(ss.earlyCancels) >= maxEarlyCancels {
			ss.earlyCancels = ss.earlyCancels[1:]
		}
		ss.earlyCancels = append(ss.earlyCancels, number)
		return
	}
	delete(ss.running, number)
	in.cancel(ErrCancelled)
	_ = in.stream.SetDeadline(expiredDeadline)
}

// startStream serves a stream in a new goroutine, or closes it if there are more than twice the allowed number.
func (ss *serverSession) startStream(stream net.Conn) {
	// Streams above the limit get an explicit refusal; those above twice the limit are closed.
	if ss.openStreams.Add(1) > int64(2*ss.server.options.MaxStreams) {
		ss.openStreams.Add(-1)
		_ = stream.Close()
		return
	}
	ss.streams.Go(func() {
		defer ss.openStreams.Add(-1)
		defer func() { _ = stream.Close() }()
		ss.serveStream(stream)
	})
}

// serveStream serves one exchange after another until the stream can't be reused.
func (ss *serverSession) serveStream(stream net.Conn) {
	reader := newReader(stream)
	defer releaseReader(reader)
	history := &headerHistory{}
	for ss.serveExchange(stream, reader, history) {
		if b, ok := stream.(shrinker); ok {
			b.Shrink()
		}
	}
}

// serveExchange reads the headers of an exchange and runs its handler. It returns true
// when the peer was told that the stream can be reused.
func (ss *serverSession) serveExchange(stream net.Conn, reader *bufio.Reader, history *headerHistory) bool {
	var header apiv1.StreamHeader
	if err := readFrame(reader, &header, maxControlBytes); err != nil {
		return false
	}
	ss.activeExchanges.Add(1)
	defer ss.activeExchanges.Add(-1)
	defer ss.server.options.Traffic.recordExchange(header.Method, ss.remote, stream)
	switch header.Method {
	case apiv1.Method_METHOD_CALL:
		return ss.serveCall(stream, reader, &header, history)
	case apiv1.Method_METHOD_ATTACH:
		return ss.serveAttach(stream, reader, &header, history)
	default:
		return ss.serveUnary(stream, reader, &header)
	}
}

// begin returns the context of an exchange and the function that ends it.
func (ss *serverSession) begin(number uint64, stream net.Conn, window *sendWindow) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ss.ctx)
	ss.register(number, &runningExchange{stream: stream, cancel: cancel, window: window})
	ss.signs.Add(1)
	if ss.waiting.Load() {
		ss.wakePingMonitor()
	}
	return ctx, func() {
		ss.unregister(number)
		cancel(nil)
	}
}

func (ss *serverSession) full() bool {
	return ss.activeExchanges.Load() > int64(ss.server.options.MaxStreams)
}

func (ss *serverSession) serveUnary(stream net.Conn, reader *bufio.Reader, header *apiv1.StreamHeader) bool {
	handler, ok := ss.server.unary[header.Method]
	if !ok {
		return ss.refuseUnary(stream, "method "+header.Method.String()+" is not served here")
	}
	if ss.full() {
		return ss.refuseUnary(stream, "too many exchanges on this connection")
	}
	req := handler.newRequest()
	if err := readFrame(reader, req, maxMessageBytes); err != nil {
		return false
	}
	ctx, end := ss.begin(header.Number, stream, nil)
	defer end()
	if header.TimeoutNs > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(header.TimeoutNs))
		defer cancel()
	}
	resp, err := handler.run(ctx, ss.remote, req)
	if cause := context.Cause(ctx); errors.Is(cause, ErrCancelled) || errors.Is(cause, ErrSessionLost) {
		return false
	}
	_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err != nil {
		return writeFrames(stream, &apiv1.RpcStatus{Error: err.Error(), Reuse: true}) == nil
	}
	return writeFrames[proto.Message](stream, &apiv1.RpcStatus{Reuse: true}, resp) == nil
}

// refuseUnary answers without reading the request, so the stream can't be reused.
func (ss *serverSession) refuseUnary(stream net.Conn, reason string) bool {
	_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	_ = writeFrames(stream, &apiv1.RpcStatus{Error: reason})
	return false
}
