package reqbody

import (
	"io"
	"sync"
	"time"
)

// Lease is the right of one forwarder to read a body from its start. The forwarder closes it when it reads no more. A nil
// lease is that of an empty body.
type Lease struct {
	// start is the start of the body, or all of it if loan is nil.
	start  []byte
	offset int
	loan   *loan
}

// loan is the state of a lease of a body that is not in memory as a whole.
type loan struct {
	body *Body
	// stop is closed when reads from the pump must end; nil without a pump.
	stop chan struct{}

	mu sync.Mutex
	// idle is signalled at the end of each read.
	idle sync.Cond
	// begun is set by the first read, reading during each one, closed by the holder, revoked by the owner.
	begun, reading, closed, revoked bool
	// returned is set when the holder has no read in progress and begins no other; waiter, if set, is closed then.
	returned bool
	waiter   chan struct{}
}

func newLease(b *Body) *Lease {
	l := &loan{body: b}
	l.idle.L = &l.mu
	if b.pump != nil {
		l.stop = make(chan struct{})
	}
	b.loan = l
	return &Lease{start: b.start, loan: l}
}

// Read reads the body. It returns io.EOF only at the end of the whole body, and ErrReturned after the end of the lease.
func (l *Lease) Read(p []byte) (int, error) {
	switch {
	case l == nil:
		return 0, io.EOF
	case l.loan == nil:
		return l.readStart(p)
	case !l.loan.enter():
		return 0, ErrReturned
	}
	defer l.loan.leave()
	if l.offset < len(l.start) {
		return l.readStart(p)
	}
	b := l.loan.body
	b.pump.start()
	return b.read(p, l.loan.stop)
}

// readStart reads what is in memory.
func (l *Lease) readStart(p []byte) (int, error) {
	n := copy(p, l.start[l.offset:])
	l.offset += n
	if n == 0 && len(p) > 0 {
		return 0, io.EOF
	}
	return n, nil
}

// Close returns the lease. A Read in another goroutine returns first.
func (l *Lease) Close() error {
	if l != nil && l.loan != nil {
		l.loan.close()
	}
	return nil
}

// enter begins a read. It returns false after the end of the lease.
func (l *loan) enter() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.revoked {
		return false
	}
	l.begun, l.reading = true, true
	return true
}

// leave ends a read.
func (l *loan) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reading = false
	l.idle.Broadcast()
	l.settle()
}

// settle notes whether the lease is returned. The caller holds mu.
func (l *loan) settle() {
	if l.returned || l.reading || (!l.closed && (l.begun || !l.revoked)) {
		return
	}
	l.returned = true
	if l.waiter != nil {
		close(l.waiter)
	}
}

// stopReads makes a read that waits for the pump return. The caller holds mu.
func (l *loan) stopReads() {
	if l.stop == nil {
		return
	}
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
}

func (l *loan) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.stopReads()
	l.settle()
}

// revoke makes reads fail, and ends one that is in progress.
func (l *loan) revoke() {
	l.mu.Lock()
	l.revoked = true
	l.stopReads()
	l.settle()
	reading := l.reading
	l.mu.Unlock()
	if reading && l.body.interrupt != nil {
		l.body.interrupt()
	}
}

// end ends the lease unless a read is in progress.
func (l *loan) end() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reading {
		return false
	}
	l.closed = true
	l.stopReads()
	l.settle()
	return true
}

// awaitIdle waits until no read is in progress. The lease must have been revoked.
func (l *loan) awaitIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.reading {
		l.idle.Wait()
	}
}

// awaitReturn waits until the lease is returned, at most for wait.
func (l *loan) awaitReturn(wait time.Duration) bool {
	l.mu.Lock()
	if l.returned {
		l.mu.Unlock()
		return true
	}
	if l.waiter == nil {
		l.waiter = make(chan struct{})
	}
	waiter := l.waiter
	l.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-waiter:
		return true
	case <-timer.C:
		return false
	}
}
