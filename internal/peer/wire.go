package peer

import (
	"bufio"
	"io"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Frames are protobuf messages, each preceded by its length as a varint.

var (
	readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}
	writerPool = sync.Pool{New: func() any { return &frameBuffer{} }}
)

// maxPooledBuffer is the largest buffer, in bytes, that is returned to writerPool.
const maxPooledBuffer = 128 << 10

// frameBuffer collects encoded frames, so that several are sent in one write.
type frameBuffer struct {
	data []byte
}

func newFrameBuffer() *frameBuffer {
	return writerPool.Get().(*frameBuffer)
}

func (b *frameBuffer) release() {
	if cap(b.data) > maxPooledBuffer {
		return
	}
	b.data = b.data[:0]
	writerPool.Put(b)
}

// add appends one frame.
func (b *frameBuffer) add(m proto.Message) error {
	size := proto.Size(m)
	b.data = protowire.AppendVarint(b.data, uint64(size))
	data, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b.data, m)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	b.data = data
	return nil
}

// flush sends the collected frames in one write and empties the buffer.
func (b *frameBuffer) flush(w io.Writer) error {
	if len(b.data) == 0 {
		return nil
	}
	_, err := w.Write(b.data)
	b.data = b.data[:0]
	return err
}

// readFrame reads one frame of at most limit bytes. It returns io.EOF only
// when the stream ended before the frame began.
func readFrame(r *bufio.Reader, m proto.Message, limit int64) error {
	options := protodelim.UnmarshalOptions{MaxSize: limit}
	return options.UnmarshalFrom(r, m)
}

func newReader(r io.Reader) *bufio.Reader {
	br := readerPool.Get().(*bufio.Reader)
	br.Reset(r)
	return br
}

func releaseReader(br *bufio.Reader) {
	br.Reset(nil)
	readerPool.Put(br)
}
