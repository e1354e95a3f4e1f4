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

// serverSession is the accepting end of one connection.
type serverSession struct {
	server  *Server
	session Session
	ctx     context.Context
	lost    context.CancelCauseFunc
	remote  Identity
	control atomic.Pointer[controlWriter]
	streams sync.WaitGroup
	// open counts streams, active those that carry an exchange.
	open   atomic.Int64
	active atomic.Int64
	pings  atomic.Uint64
	// dozing is set while watch waits on wake.
	dozing atomic.Bool
	wake   chan struct{}

	mu      sync.Mutex
	running map[uint64]*incoming
	// early holds cancellations whose exchange has not come yet, oldest first.
	early []uint64
}

// incoming is the accepting end of one exchange.
type incoming struct {
	stream net.Conn
	cancel context.CancelCauseFunc
}

func newServerSession(s *Server, session Session) *serverSession {
	ss := &serverSession{server: s, session: session, wake: make(chan struct{}, 1), running: make(map[uint64]*incoming)}
	ss.ctx, ss.lost = context.WithCancelCause(context.Background())
	return ss
}

// serve runs the session until it ends and its handlers have returned.
func (ss *serverSession) serve() {
	defer ss.server.forget(ss)
	defer ss.streams.Wait()
	defer ss.lose(ErrSessionLost)
	reader, err := ss.greet()
	ss.server.greeted()
	if err != nil {
		return
	}
	control := ss.control.Load()
	ss.streams.Go(func() { control.run(ss.session.Done()) })
	ss.streams.Go(func() { ss.readControl(reader) })
	ss.streams.Go(ss.watch)
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

// greet accepts the control stream and exchanges Hello within helloTimeout.
func (ss *serverSession) greet() (*bufio.Reader, error) {
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
		// The other end closes the connection when it has read why it was refused.
		<-ss.session.Done()
		return nil, err
	}
	ss.control.Store(newControlWriter(stream, traffic, ss.remote))
	return reader, nil
}

// lose ends the connection and the contexts of its handlers.
func (ss *serverSession) lose(cause error) {
	ss.lost(cause)
	_ = ss.session.Close()
}

// goAway asks the other end to close the connection after its running exchanges.
func (ss *serverSession) goAway() {
	if control := ss.control.Load(); control != nil {
		control.goAway()
	}
	ss.wakeWatch()
}

// readControl handles the frames that the opening end sends on the control stream.
func (ss *serverSession) readControl(reader *bufio.Reader) {
	defer ss.lose(ErrSessionLost)
	for {
		var frame apiv1.ControlFrame
		if err := readFrame(reader, &frame, maxControlBytes); err != nil {
			return
		}
		if frame.Ping != 0 {
			ss.pings.Add(1)
			ss.control.Load().pong(frame.Ping)
		}
		if frame.Cancel != 0 {
			ss.cancelExchange(frame.Cancel)
		}
	}
}

// watch ends the connection when no pings come although some are expected.
func (ss *serverSession) watch() {
	defer ss.lost(ErrSessionLost)
	for ss.waitBusy() {
		if !ss.watchBusy() {
			return
		}
	}
}

// expectsPings reports whether the opening end should be heard. While the
// server stops, an idle connection that stays open is silent too.
func (ss *serverSession) expectsPings() bool {
	return ss.inFlight() > 0 || ss.server.isStopping()
}

// waitBusy waits until pings are expected. It returns false when the connection has ended.
func (ss *serverSession) waitBusy() bool {
	ss.dozing.Store(true)
	defer ss.dozing.Store(false)
	for !ss.expectsPings() {
		select {
		case <-ss.session.Done():
			return false
		case <-ss.wake:
		}
	}
	return true
}

// wakeWatch makes waitBusy look again.
func (ss *serverSession) wakeWatch() {
	select {
	case ss.wake <- struct{}{}:
	default:
	}
}

// watchBusy counts intervals without a ping. It returns true once none are
// expected, and false when the connection has ended.
func (ss *serverSession) watchBusy() bool {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	heard := ss.pings.Load()
	for quiet := 0; quiet < quietIntervals; {
		select {
		case <-ss.session.Done():
			return false
		case <-ticker.C:
		}
		if !ss.expectsPings() {
			return true
		}
		quiet++
		if pings := ss.pings.Load(); pings != heard {
			heard = pings
			quiet = 0
		}
	}
	ss.lose(ErrSessionLost)
	return false
}

func (ss *serverSession) inFlight() int {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return len(ss.running)
}

// register makes an exchange cancellable by its number.
func (ss *serverSession) register(number uint64, in *incoming) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	for i, early := range ss.early {
		if early == number {
			ss.early = append(ss.early[:i], ss.early[i+1:]...)
			in.cancel(ErrCancelled)
			return
		}
	}
	ss.running[number] = in
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
		if len(ss.early) >= maxEarlyCancels {
			ss.early = ss.early[1:]
		}
		ss.early = append(ss.early, number)
		return
	}
	delete(ss.running, number)
	in.cancel(ErrCancelled)
	_ = in.stream.SetDeadline(past)
}

// startStream serves a stream on a goroutine of its own, unless there are far too many.
func (ss *serverSession) startStream(stream net.Conn) {
	// Streams up to twice the limit get an honest refusal; those beyond are closed.
	if ss.open.Add(1) > int64(2*ss.server.options.MaxStreams) {
		ss.open.Add(-1)
		_ = stream.Close()
		return
	}
	ss.streams.Go(func() {
		defer ss.open.Add(-1)
		defer func() { _ = stream.Close() }()
		ss.serveStream(stream)
	})
}

// serveStream serves one exchange after the other until one of them does not
// leave the stream ready for the next.
func (ss *serverSession) serveStream(stream net.Conn) {
	reader := newReader(stream)
	defer releaseReader(reader)
	memory := &headerMemory{}
	for ss.serveExchange(stream, reader, memory) {
		if b, ok := stream.(shrinker); ok {
			b.Shrink()
		}
	}
}

// serveExchange reads the headers of an exchange and runs its handler. It
// returns true when the other end was told that the stream can be used again.
func (ss *serverSession) serveExchange(stream net.Conn, reader *bufio.Reader, memory *headerMemory) bool {
	var header apiv1.StreamHeader
	if err := readFrame(reader, &header, maxControlBytes); err != nil {
		return false
	}
	ss.active.Add(1)
	defer ss.active.Add(-1)
	defer ss.server.options.Traffic.settle(header.Method, ss.remote, stream)
	switch header.Method {
	case apiv1.Method_METHOD_CALL:
		return ss.serveCall(stream, reader, &header, memory)
	case apiv1.Method_METHOD_ATTACH:
		return ss.serveAttach(stream, reader, &header, memory)
	default:
		return ss.serveUnary(stream, reader, &header)
	}
}

// begin returns the context of an exchange and the function that ends it.
func (ss *serverSession) begin(number uint64, stream net.Conn) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ss.ctx)
	ss.register(number, &incoming{stream: stream, cancel: cancel})
	if ss.dozing.Load() {
		ss.wakeWatch()
	}
	return ctx, func() {
		ss.unregister(number)
		cancel(nil)
	}
}

func (ss *serverSession) full() bool {
	return ss.active.Load() > int64(ss.server.options.MaxStreams)
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
	ctx, end := ss.begin(header.Number, stream)
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

// refuseUnary answers without reading the request, so the stream can't be used again.
func (ss *serverSession) refuseUnary(stream net.Conn, reason string) bool {
	_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	_ = writeFrames(stream, &apiv1.RpcStatus{Error: reason})
	return false
}
