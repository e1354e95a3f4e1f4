package peer

import (
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavaford/guavaford/internal/linkshare"
)

const (
	// maxBatchBytes is the number of queued bytes of small frames at which their writers block.
	maxBatchBytes = 64 << 10
	// batchBufferBytes holds maxBatchBytes and one more frame.
	batchBufferBytes = maxBatchBytes + maxFrameBytes + yamuxHeaderBytes
	// smallWriteBytes is the largest write that goes before bodies: a header with an inline body.
	smallWriteBytes = inlineBodyBytes + 4<<10
	// maxUnsentBytes is the number of unsent bytes in the socket at which a write blocks. A small frame waits behind them: 23 ms
	// on a link of 5.6 Mbit/s. On a link of 200 Mbit/s they last 0.6 ms, longer than it takes to write the next chunk.
	maxUnsentBytes = 16 << 10

	// Each yamux frame starts with a header of this size: version, type, flags (2 bytes), stream (4), length (4).
	yamuxHeaderBytes  = 12
	yamuxTypeOffset   = 1
	yamuxFlagsOffset  = 2
	yamuxStreamOffset = 4
	yamuxLengthOffset = 8
	yamuxTypeData     = 0
	yamuxTypeWindow   = 1
	// yamuxFlagsEnd are the flags FIN and RST, which end a stream.
	yamuxFlagsEnd = 4 | 8
)

// LinkStats counts what the links of this node to others do. It is safe for concurrent use.
type LinkStats struct {
	// Chunks and ChunkBytes count the parts of bodies that were sent in turn.
	Chunks     atomic.Int64
	ChunkBytes atomic.Int64
	// Queued is the number of bytes of bodies that wait in this process.
	Queued atomic.Int64
	// Waits counts the writes of body parts that had to wait for room.
	Waits atomic.Int64
	// Refused counts the bodies that were refused as they could not arrive in time.
	Refused atomic.Int64
}

// batchPool holds the buffers of batches. A connection holds none while its queue is empty.
var batchPool = sync.Pool{New: func() any {
	batch := make([]byte, 0, batchBufferBytes)
	return &batch
}}

// chunkPool holds the buffers of body chunks and their headers.
var chunkPool = sync.Pool{New: func() any { return new([yamuxHeaderBytes + linkshare.ChunkBytes]byte) }}

// linkConn orders the yamux frames that are written to a connection. Small frames are collected while an earlier write is in
// progress, which saves TLS records and system calls, and go before bodies. Frames of bodies are split into chunks, which
// a linkshare.Schedule orders. The frames of one stream stay in order, except that a window update may overtake data.
type linkConn struct {
	net.Conn
	stats *LinkStats

	mu sync.Mutex
	// filled is signalled when bytes are queued, drained when the queue of small frames has room again.
	filled  *sync.Cond
	drained *sync.Cond
	pending *[]byte
	// schedule holds the bodies; it is nil if they are sent in the order of the writes.
	schedule *linkshare.Schedule
	meter    linkshare.Meter
	// writing is the number of bytes of small frames in the write under way.
	writing int
	// header is the header of a data frame whose payload yamux passes in the next Write, if split is true.
	header [yamuxHeaderBytes]byte
	split  bool
	// waiters are the streams whose writers wait for room.
	waiters map[uint32]*yamuxStream
	err     error
}

// newLinkConn starts the writer of conn. stats is nil if bodies are not scheduled.
func newLinkConn(conn net.Conn, stats *LinkStats) *linkConn {
	l := &linkConn{Conn: conn, stats: stats, waiters: make(map[uint32]*yamuxStream)}
	if stats != nil {
		l.schedule = linkshare.NewSchedule()
	}
	l.filled = sync.NewCond(&l.mu)
	l.drained = sync.NewCond(&l.mu)
	go l.run()
	return l
}

// Write queues a header or a payload, as yamux passes them one after the other. It blocks while the queue of small frames is
// full. A write error of the connection is returned by a later Write.
func (l *linkConn) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.split && precedesData(p) {
		// A frame is queued as a whole, so that no other comes between its header and its payload.
		l.split = true
		copy(l.header[:], p)
		return len(p), l.err
	}
	header, payload := p, []byte(nil)
	if l.split {
		l.split = false
		header, payload = l.header[:], p
	}
	if err := l.queue(header, payload); err != nil {
		return 0, err
	}
	return len(p), nil
}

// queue queues one frame.
func (l *linkConn) queue(header, payload []byte) error {
	if l.schedule != nil {
		stream := binary.BigEndian.Uint32(header[yamuxStreamOffset:])
		if payload != nil && l.schedule.Has(stream) {
			return l.pushBody(stream, header, payload)
		}
		if payload == nil && endsStream(header) && l.schedule.Waits(stream) {
			return l.push(stream, header, nil)
		}
	}
	for l.pending != nil && len(*l.pending) >= maxBatchBytes && l.err == nil {
		l.drained.Wait()
	}
	if l.err != nil {
		return l.err
	}
	if l.pending == nil {
		l.pending = batchPool.Get().(*[]byte)
	}
	*l.pending = append(append(*l.pending, header...), payload...)
	l.filled.Signal()
	return nil
}

// endsStream reports whether a frame without payload ends a stream, and so must not overtake its data.
func endsStream(header []byte) bool {
	return len(header) == yamuxHeaderBytes && header[yamuxTypeOffset] <= yamuxTypeWindow &&
		binary.BigEndian.Uint16(header[yamuxFlagsOffset:])&yamuxFlagsEnd != 0
}

// precedesData reports whether p is the header of a data frame, whose payload yamux
// passes in the next Write.
func precedesData(p []byte) bool {
	return len(p) == yamuxHeaderBytes &&
		p[yamuxTypeOffset] == yamuxTypeData &&
		binary.BigEndian.Uint32(p[yamuxLengthOffset:]) > 0
}

// pushBody queues a data frame in the schedule, as frames of one chunk each.
func (l *linkConn) pushBody(stream uint32, header, payload []byte) error {
	for len(payload) > 0 {
		n := min(len(payload), linkshare.ChunkBytes)
		binary.BigEndian.PutUint32(header[yamuxLengthOffset:], uint32(n))
		if err := l.push(stream, header, payload[:n]); err != nil {
			return err
		}
		// The flags open the stream; the first frame carries them.
		binary.BigEndian.PutUint16(header[yamuxFlagsOffset:], 0)
		payload = payload[n:]
	}
	return nil
}

// push queues one frame in the schedule.
func (l *linkConn) push(stream uint32, header, payload []byte) error {
	if l.err != nil {
		return l.err
	}
	chunk := chunkPool.Get().(*[yamuxHeaderBytes + linkshare.ChunkBytes]byte)
	n := copy(chunk[:], header)
	n += copy(chunk[n:], payload)
	l.schedule.Push(stream, chunk[:n])
	l.stats.Queued.Add(int64(n))
	l.filled.Signal()
	return nil
}

// Close closes the connection and drops queued bytes.
func (l *linkConn) Close() error {
	l.fail(net.ErrClosed)
	return l.Conn.Close()
}

// fail makes all writes return err from now on.
func (l *linkConn) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err == nil {
		l.err = err
		if l.schedule != nil {
			l.stats.Queued.Add(int64(-l.schedule.Queued()))
			l.schedule = linkshare.NewSchedule()
		}
	}
	l.filled.Signal()
	l.drained.Broadcast()
	l.wakeAll()
}

// run writes queued frames until the connection fails or is closed.
func (l *linkConn) run() {
	for {
		batch, chunk := l.take()
		if batch == nil && chunk == nil {
			return
		}
		var err error
		if batch != nil {
			_, err = l.Conn.Write(*batch)
			l.wrote(len(*batch))
			*batch = (*batch)[:0]
			batchPool.Put(batch)
		} else {
			_, err = l.Conn.Write(chunk)
			l.wrote(len(chunk))
			chunkPool.Put((*[yamuxHeaderBytes + linkshare.ChunkBytes]byte)(chunk[:cap(chunk)]))
		}
		if err != nil {
			l.fail(err)
			return
		}
	}
}

// take waits for queued frames and returns all small ones or, if there are none, the next chunk. It returns neither when the connection
// has failed.
func (l *linkConn) take() (batch *[]byte, chunk []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.err == nil {
		now := time.Now()
		if batch = l.pending; batch != nil {
			l.pending = nil
			l.writing = len(*batch)
			l.meter.Begin(now)
			l.drained.Broadcast()
			return batch, nil
		}
		if l.schedule != nil {
			if stream, chunk, ok := l.schedule.Next(now); ok {
				l.meter.Begin(now)
				l.took(stream, len(chunk))
				return nil, chunk
			}
		}
		l.filled.Wait()
	}
	return nil, nil
}

// took counts a chunk and wakes the writers that have room now.
func (l *linkConn) took(stream uint32, n int) {
	l.stats.Chunks.Add(1)
	l.stats.ChunkBytes.Add(int64(n))
	l.stats.Queued.Add(int64(-n))
	if queued := l.schedule.Queued(); queued < linkshare.TotalBytes && queued+n >= linkshare.TotalBytes {
		l.wakeAll()
	} else if t := l.waiters[stream]; t != nil {
		t.wakeWriter()
	}
}

func (l *linkConn) wakeAll() {
	for _, t := range l.waiters {
		t.wakeWriter()
	}
}

// wrote records the end of a write of n bytes.
func (l *linkConn) wrote(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writing = 0
	l.meter.End(time.Now(), n)
}

// schedules reports whether bodies are sent in turn.
func (l *linkConn) schedules() bool { return l.stats != nil }

// begin announces a body on a stream. Its length is -1 if not known.
func (l *linkConn) begin(stream uint32, class linkshare.Class, length int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.schedule.Begin(time.Now(), stream, class, length)
}

// end announces the end of the body on a stream.
func (l *linkConn) end(stream uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.schedule.End(stream)
}

// room reports whether a stream may write another chunk. If not, its writer is woken when that changes.
func (l *linkConn) room(t *yamuxStream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil || l.schedule.Room(t.StreamID()) {
		return true
	}
	if l.waiters[t.StreamID()] == nil {
		l.stats.Waits.Add(1)
		l.waiters[t.StreamID()] = t
	}
	return false
}

// stopWaiting ends the wait of a stream's writer.
func (l *linkConn) stopWaiting(t *yamuxStream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiters, t.StreamID())
}

// judge estimates whether a body that is sent now arrives in time. One that does is expected to begin.
func (l *linkConn) judge(class linkshare.Class, length int64) linkshare.Verdict {
	if !l.schedules() {
		return linkshare.Verdict{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	small := l.writing
	if l.pending != nil {
		small += len(*l.pending)
	}
	now := time.Now()
	verdict := linkshare.Judge(now, l.schedule, &l.meter, class, length, small)
	if !verdict.TooLate {
		l.schedule.Expect(now, class, length)
	}
	return verdict
}
