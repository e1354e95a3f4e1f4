package peer

import (
	"net"
	"sync"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// maxPendingControl limits the queue of control frames.
const maxPendingControl = 4 * defaultMaxStreams

// controlWriter writes control frames without blocking its callers.
type controlWriter struct {
	stream  net.Conn
	traffic *Traffic
	remote  Identity
	wake    chan struct{}

	mu      sync.Mutex
	pending []*apiv1.ControlFrame
}

func newControlWriter(stream net.Conn, traffic *Traffic, remote Identity) *controlWriter {
	return &controlWriter{stream: stream, traffic: traffic, remote: remote, wake: make(chan struct{}, 1)}
}

func (w *controlWriter) ping(number uint64)   { w.send(&apiv1.ControlFrame{Ping: number}) }
func (w *controlWriter) pong(number uint64)   { w.send(&apiv1.ControlFrame{Pong: number}) }
func (w *controlWriter) cancel(number uint64) { w.send(&apiv1.ControlFrame{Cancel: number}) }
func (w *controlWriter) grant(number, offset uint64) {
	w.send(&apiv1.ControlFrame{Grant: number, Granted: offset})
}
func (w *controlWriter) goAway() { w.send(&apiv1.ControlFrame{GoAway: true}) }

// send queues a frame. When the queue is full the frame is dropped: the connection is
// stuck then, and closing it cancels every exchange on it.
func (w *controlWriter) send(frame *apiv1.ControlFrame) {
	w.mu.Lock()
	if len(w.pending) < maxPendingControl {
		w.pending = append(w.pending, frame)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *controlWriter) take() []*apiv1.ControlFrame {
	w.mu.Lock()
	defer w.mu.Unlock()
	frames := w.pending
	w.pending = nil
	return frames
}

// run writes queued frames until done is closed or a write fails.
func (w *controlWriter) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-w.wake:
		}
		if err := w.write(w.take()); err != nil {
			return
		}
	}
}

func (w *controlWriter) write(frames []*apiv1.ControlFrame) error {
	defer w.traffic.recordExchange(controlFrames, w.remote, w.stream)
	return writeFrames(w.stream, frames...)
}

// writeFrames writes messages to a stream in one write.
func writeFrames[M proto.Message](stream net.Conn, frames ...M) error {
	buf := newFrameBuffer()
	defer buf.release()
	for _, frame := range frames {
		if err := buf.add(frame); err != nil {
			return err
		}
	}
	return buf.flush(stream)
}
