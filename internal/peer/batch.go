package peer

import (
	"encoding/binary"
	"net"
	"sync"
)

const (
	// maxBatchBytes is the number of queued bytes at which writers to a connection block.
	maxBatchBytes = 64 << 10
	// batchBufferBytes holds maxBatchBytes and one more body frame.
	batchBufferBytes = maxBatchBytes + maxFrameBytes + yamuxHeaderBytes

	// Each yamux frame starts with a header of this size; its second byte is the type,
	// and its last four bytes are the length.
	yamuxHeaderBytes  = 12
	yamuxTypeOffset   = 1
	yamuxLengthOffset = 8
	yamuxTypeData     = 0
)

// batchPool holds the buffers of batches. A connection holds none while its queue is empty.
var batchPool = sync.Pool{New: func() any {
	batch := make([]byte, 0, batchBufferBytes)
	return &batch
}}

// batchConn coalesces the writes that arrive while an earlier write is in progress,
// which saves TLS records and system calls.
type batchConn struct {
	net.Conn

	mu sync.Mutex
	// filled is signalled when bytes are queued, drained when the queue has room again.
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

// Write queues p and blocks while the queue is full. A write error of the connection is returned by a later Write.
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

// precedesData reports whether p is the header of a data frame, whose payload yamux
// passes in the next Write.
func precedesData(p []byte) bool {
	return len(p) == yamuxHeaderBytes &&
		p[yamuxTypeOffset] == yamuxTypeData &&
		binary.BigEndian.Uint32(p[yamuxLengthOffset:]) > 0
}

// Close closes the connection and drops queued bytes.
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

// run writes queued batches until the connection fails or is closed.
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

// take waits for queued bytes and returns them. It returns nil when the connection has failed.
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
