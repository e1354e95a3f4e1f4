package peer

import (
	"io"
	"net"
	"sync"
)

// scopedBody is a request body whose reader goes back to a pool when the handler
// returns. A goroutine that the handler left behind, such as the writing side of an
// HTTP exchange, gets io.ErrUnexpectedEOF from then on.
type scopedBody struct {
	stream net.Conn

	mu     sync.Mutex
	reader io.Reader
}

// Read reads from the body while the handler runs.
func (b *scopedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reader == nil {
		return 0, io.ErrUnexpectedEOF
	}
	return b.reader.Read(p)
}

// end interrupts a Read that waits for bytes, and makes all later ones fail.
func (b *scopedBody) end() {
	_ = b.stream.SetReadDeadline(past)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reader = nil
}
