package peer

import (
	"encoding/binary"
	"net"
	"sync"
)

const (
	// maxBatchBytes is the number of waiting bytes from which writers to a connection block.
	maxBatchBytes = 64 << 10
	// batchBufferBytes has room for one more body frame beyond that.
	batchBufferBytes = maxBatchBytes + maxFrameBytes + yamuxHeaderBytes

	// yamux precedes each frame with a header of this size; its second byte is the type,
	// and its last four bytes are the length.
	yamuxHeaderBytes  = 12
	yamuxTypeOffset   = 1
	yamuxLengthOffset = 8
	yamuxTypeData     = 0
)

// batchPool holds the buffers of batches. A connection has none while nothing waits.
var batchPool = sync.Pool{New: func() any {
	batch := make([]byte, 0, batchBufferBytes)
	return &batch
}}

// batchConn joins the writes that come while an earlier one is under way into
// one, which saves records and system calls.
type batchConn struct {
	net.Conn

	mu sync.Mutex
	// filled is signalled when there is something to write, drained when there is room.
	filled  *sync.Cond
	drained *sync.Cond
	pending *[]byte
	err     error
}

func newBatchConn(conn net.Conn) *batchConn {
	b := &batchConn{Conn: conn}
	b.filled = sync.NewCond(&b.mu)
	b.drained = sync.NewCond(&b.mu)
	go b.run()
	return b
}

// Write queues p. An error of the connection is returned by a later Write.
func (b *batchConn) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.pending != nil && len(*b.pending) >= maxBatchBytes && b.err == nil {
		b.drained.Wait()
	}
	if b.err != nil {
		return 0, b.err
	}
	if b.pending == nil {
		b.pending = batchPool.Get().(*[]byte)
	}
	*b.pending = append(*b.pending, p...)
	if !precedesData(p) {
		b.filled.Signal()
	}
	return len(p), nil
}

// precedesData reports whether p is the header of a data frame, whose data yamux
// passes to the next Write.
func precedesData(p []byte) bool {
	return len(p) == yamuxHeaderBytes &&
		p[yamuxTypeOffset] == yamuxTypeData &&
		binary.BigEndian.Uint32(p[yamuxLengthOffset:]) > 0
}

// Close closes the connection. What is still queued is dropped.
func (b *batchConn) Close() error {
	b.fail(net.ErrClosed)
	return b.Conn.Close()
}

// fail makes all writes return err from now on.
func (b *batchConn) fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.err = err
	}
	b.filled.Signal()
	b.drained.Broadcast()
}

// run writes what is queued until the connection fails or is closed.
func (b *batchConn) run() {
	for {
		batch := b.take()
		if batch == nil {
			return
		}
		_, err := b.Conn.Write(*batch)
		*batch = (*batch)[:0]
		batchPool.Put(batch)
		if err != nil {
			b.fail(err)
			return
		}
	}
}

// take waits for queued bytes. It returns nil when the connection has failed.
func (b *batchConn) take() *[]byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.pending == nil && b.err == nil {
		b.filled.Wait()
	}
	if b.err != nil {
		return nil
	}
	batch := b.pending
	b.pending = nil
	b.drained.Broadcast()
	return batch
}
