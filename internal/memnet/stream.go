package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// streamWindow is the number of bytes that a writer may send before the reader at the other end reads.
const streamWindow = 256 << 10

// stream is one end of a stream. It implements net.Conn.
type stream struct {
	session *session
	number  uint32

	mu   sync.Mutex
	cond *sync.Cond
	// received holds the bytes that have arrived and were not read yet.
	received []byte
	// consumed counts the bytes read since the last kindWindow message was sent.
	consumed int
	// sendWindow is the number of bytes that may be written before the other end reads.
	sendWindow int
	// finished is true when the other end has closed the stream, closed when this end has, and sessionEnded when the
	// session has ended.
	finished      bool
	closed        bool
	sessionEnded  bool
	readDeadline  deadline
	writeDeadline deadline
}

var _ net.Conn = (*stream)(nil)

func newStream(s *session, number uint32) *stream {
	st := &stream{session: s, number: number, sendWindow: streamWindow}
	st.cond = sync.NewCond(&st.mu)
	return st
}

// Read returns bytes that have arrived. It blocks while there are none.
func (st *stream) Read(p []byte) (int, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for len(st.received) == 0 {
		switch {
		case st.closed:
			return 0, io.ErrClosedPipe
		case st.finished, st.sessionEnded:
			return 0, io.EOF
		case st.readDeadline.passed():
			return 0, os.ErrDeadlineExceeded
		}
		st.cond.Wait()
	}
	n := copy(p, st.received)
	st.received = st.received[n:]
	st.consumed += n
	if st.consumed >= streamWindow/2 {
		st.session.out.send(message{kind: kindWindow, stream: st.number, window: st.consumed})
		st.consumed = 0
	}
	return n, nil
}

// Write sends p. It blocks while the send window is empty.
func (st *stream) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n, err := st.writePart(p[written:])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// writePart sends as much of p as the send window allows, and at least one byte unless it fails.
func (st *stream) writePart(p []byte) (int, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for {
		switch {
		case st.closed, st.sessionEnded:
			return 0, io.ErrClosedPipe
		case st.writeDeadline.passed():
			return 0, os.ErrDeadlineExceeded
		}
		if st.sendWindow > 0 {
			break
		}
		st.cond.Wait()
	}
	n := min(len(p), st.sendWindow)
	st.sendWindow -= n
	st.session.out.send(message{kind: kindData, stream: st.number, data: append([]byte(nil), p[:n]...)})
	return n, nil
}

// Close ends the stream at this end. The other end reads what was sent, and then io.EOF.
func (st *stream) Close() error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.closed {
		return nil
	}
	st.closed = true
	st.readDeadline.stop()
	st.writeDeadline.stop()
	if !st.sessionEnded {
		st.session.out.send(message{kind: kindFinish, stream: st.number})
	}
	if st.finished {
		st.session.removeStream(st.number)
	}
	st.cond.Broadcast()
	return nil
}

// receive handles a message that has arrived for the stream.
func (st *stream) receive(m message) {
	st.mu.Lock()
	defer st.mu.Unlock()
	switch m.kind {
	case kindData:
		if !st.closed {
			st.received = append(st.received, m.data...)
		}
	case kindWindow:
		st.sendWindow += m.window
	case kindFinish:
		st.finished = true
		if st.closed {
			st.session.removeStream(st.number)
		}
	}
	st.cond.Broadcast()
}

// reset ends the stream because its session has ended.
func (st *stream) reset() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.sessionEnded = true
	st.readDeadline.stop()
	st.writeDeadline.stop()
	st.cond.Broadcast()
}

// SetDeadline sets the deadlines of Read and Write.
func (st *stream) SetDeadline(t time.Time) error {
	_ = st.SetReadDeadline(t)
	return st.SetWriteDeadline(t)
}

// SetReadDeadline makes Read return os.ErrDeadlineExceeded from t on.
func (st *stream) SetReadDeadline(t time.Time) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.setDeadline(&st.readDeadline, t)
	return nil
}

// SetWriteDeadline makes Write return os.ErrDeadlineExceeded from t on.
func (st *stream) SetWriteDeadline(t time.Time) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.setDeadline(&st.writeDeadline, t)
	return nil
}

func (st *stream) setDeadline(d *deadline, t time.Time) {
	d.stop()
	d.at = t
	if !t.IsZero() && !st.sessionEnded && !st.closed {
		d.timer = time.AfterFunc(time.Until(t), st.cond.Broadcast)
	}
	st.cond.Broadcast()
}

// LocalAddr returns the name of this end's host.
func (st *stream) LocalAddr() net.Addr { return address(st.session.out.dir.from) }

// RemoteAddr returns the name of the other end's host.
func (st *stream) RemoteAddr() net.Addr { return address(st.session.out.dir.to) }

// deadline is the deadline of Read or Write and the timer that wakes blocked calls when it passes.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) passed() bool {
	return !d.at.IsZero() && !time.Now().Before(d.at)
}

func (d *deadline) stop() {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
}

// address is the name of a host.
type address string

func (a address) Network() string { return "memnet" }
func (a address) String() string  { return string(a) }
