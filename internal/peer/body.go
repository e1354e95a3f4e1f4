package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// bodyWriter splits a body into frames and computes its length and checksum.
type bodyWriter struct {
	length uint64
	digest xxhash.Digest
	frame  apiv1.BodyFrame
}

func (w *bodyWriter) reset() {
	w.length = 0
	w.digest.Reset()
}

// add appends data to buf as one or more frames and flushes each full frame to dst.
func (w *bodyWriter) add(buf *frameBuffer, dst io.Writer, data []byte) error {
	for len(data) > 0 {
		n := min(len(data), maxFrameData)
		w.count(data[:n])
		w.frame = apiv1.BodyFrame{Data: data[:n]}
		if err := buf.add(&w.frame); err != nil {
			return err
		}
		data = data[n:]
		if len(data) == 0 {
			return nil
		}
		if err := buf.flush(dst); err != nil {
			return err
		}
	}
	return nil
}

func (w *bodyWriter) count(data []byte) {
	w.length += uint64(len(data))
	_, _ = w.digest.Write(data)
}

// finish appends the last frame of a request, which may carry the last bytes of the body.
func (w *bodyWriter) finish(buf *frameBuffer, data []byte) error {
	w.setLast(data)
	return buf.add(&w.frame)
}

// finishAnswer appends the last frame of an answer.
func (w *bodyWriter) finishAnswer(buf *frameBuffer, allowanceLeft int, reuse bool) error {
	w.setLast(nil)
	w.frame.AllowanceLeft = uint32(max(allowanceLeft, 0))
	w.frame.Reuse = reuse
	return buf.add(&w.frame)
}

func (w *bodyWriter) setLast(data []byte) {
	w.count(data)
	w.frame = apiv1.BodyFrame{Data: data, Last: true, Length: w.length, Checksum: w.digest.Sum64()}
}

// abort appends a last frame that marks the body as incomplete.
func (w *bodyWriter) abort(buf *frameBuffer) error {
	return buf.add(&apiv1.BodyFrame{Last: true, Aborted: true})
}

// bodyReader reassembles a body from frames and verifies its length and checksum.
type bodyReader struct {
	src *bufio.Reader
	// window is nil if the sender may send any number of bytes.
	window *receiveWindow
	frame  bodyFrame
	unread []byte
	length uint64
	digest xxhash.Digest
	// scratch holds a frame that is larger than the read buffer of the stream.
	scratch *[]byte
	// err is set at the end of the body: io.EOF if it is complete, io.ErrUnexpectedEOF otherwise.
	err           error
	allowanceLeft int
	// reuse is true when the peer accepts another exchange on the stream.
	reuse bool
}

// scratchPool holds buffers for one body frame.
var scratchPool = sync.Pool{New: func() any {
	buf := make([]byte, maxFrameBytes)
	return &buf
}}

func (r *bodyReader) reset(src *bufio.Reader) {
	*r = bodyReader{src: src}
	r.digest.Reset()
}

// Read returns the next part of the body, io.EOF after a complete body, and
// io.ErrUnexpectedEOF when the body is incomplete.
func (r *bodyReader) Read(p []byte) (int, error) {
	if err := r.fill(); err != nil {
		return 0, err
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

// WriteTo writes the rest of the body to w without an intermediate copy.
func (r *bodyReader) WriteTo(w io.Writer) (int64, error) {
	var total int64
	for {
		if err := r.fill(); err == io.EOF {
			return total, nil
		} else if err != nil {
			return total, err
		}
		n, err := w.Write(r.unread)
		total += int64(n)
		r.unread = r.unread[n:]
		if err != nil {
			return total, err
		}
	}
}

// fill reads frames until there is unread data, or returns err at the end of the body.
func (r *bodyReader) fill() error {
	for len(r.unread) == 0 {
		if r.err != nil {
			r.release()
			return r.err
		}
		r.next()
	}
	return nil
}

// release returns the scratch buffer to its pool. unread must be empty, as it may point into the buffer.
func (r *bodyReader) release() {
	if r.scratch != nil {
		scratchPool.Put(r.scratch)
		r.scratch = nil
	}
}

// next reads one frame. Its data stays valid until the following frame is read.
func (r *bodyReader) next() {
	r.window.read(r.length)
	data, err := r.readRaw()
	if err == nil {
		r.frame, err = parseBodyFrame(data)
	}
	if err != nil || r.frame.aborted {
		r.err = io.ErrUnexpectedEOF
		return
	}
	r.unread = r.frame.data
	r.length += uint64(len(r.unread))
	_, _ = r.digest.Write(r.unread)
	if r.frame.last {
		r.end()
	}
}

// readRaw returns the bytes of the next frame, without copying if they fit into the read buffer.
func (r *bodyReader) readRaw() ([]byte, error) {
	size, err := binary.ReadUvarint(r.src)
	if err != nil {
		return nil, err
	}
	if size > maxFrameBytes {
		return nil, errors.Errorf("body frame has %d bytes; at most %d are accepted", size, maxFrameBytes)
	}
	if int(size) <= r.src.Size() {
		data, err := r.src.Peek(int(size))
		_, _ = r.src.Discard(len(data))
		return data, err
	}
	if r.scratch == nil {
		r.scratch = scratchPool.Get().(*[]byte)
	}
	data := (*r.scratch)[:size]
	_, err = io.ReadFull(r.src, data)
	return data, err
}

// end checks the length and checksum in the last frame. If they don't match, the last frame's data is dropped.
func (r *bodyReader) end() {
	if r.frame.length != r.length || r.frame.checksum != r.digest.Sum64() {
		r.unread = nil
		r.err = io.ErrUnexpectedEOF
		return
	}
	r.allowanceLeft = int(r.frame.allowanceLeft)
	r.reuse = r.frame.reuse
	r.err = io.EOF
}

// discardBuffered discards the frames of the body that are already in the read buffer. It does not block.
func (r *bodyReader) discardBuffered() {
	for r.err == nil && r.frameArrived() {
		r.next()
	}
	if r.complete() {
		r.unread = nil
	}
}

// frameArrived reports whether the next frame is completely in the read buffer.
func (r *bodyReader) frameArrived() bool {
	buffered, _ := r.src.Peek(r.src.Buffered())
	size, n := protowire.ConsumeVarint(buffered)
	return n > 0 && uint64(len(buffered)-n) >= size
}

// complete reports whether the body was read to its end with the right length and checksum.
func (r *bodyReader) complete() bool { return r.err == io.EOF }
