package reqbody

import (
	"io"
	"sync"
	"sync/atomic"
)

const (
	// partSize is the size in bytes of the largest part that the pump hands over.
	partSize = 32 << 10
	// maxPumped is the largest number of bytes that are in memory of a body beyond its start: a part that is being taken and
	// the next one.
	maxPumped = 2 * partSize
)

var partPool = sync.Pool{New: func() any {
	buf := make([]byte, partSize)
	return &buf
}}

// part is a piece of a body, or its end.
type part struct {
	buffer *[]byte
	unread []byte
	err    error
}

func (p *part) empty() bool { return len(p.unread) == 0 }

// take copies the next bytes of the part, and releases its buffer after the last.
func (p *part) take(to []byte) int {
	n := copy(to, p.unread)
	p.unread = p.unread[n:]
	if p.empty() && p.buffer != nil {
		partPool.Put(p.buffer)
		p.buffer = nil
	}
	return n
}

// pump reads the source of a body in a goroutine of its own, which begins with the first read that needs it.
type pump struct {
	source io.Reader
	begin  sync.Once
	begun  atomic.Bool
	// reading is set while the source is read.
	reading atomic.Bool
	parts   chan part
	// quit is closed to end the pump, done when it reads the source no more.
	quit chan struct{}
	done chan struct{}
}

func newPump(source io.Reader) *pump {
	return &pump{source: source, parts: make(chan part), quit: make(chan struct{}), done: make(chan struct{})}
}

// start begins to read the source. A body without a pump has nil.
func (p *pump) start() {
	if p == nil {
		return
	}
	p.begin.Do(func() {
		p.begun.Store(true)
		go p.run()
	})
}

func (p *pump) started() bool { return p != nil && p.begun.Load() }

// run reads the source until it ends or the pump is stopped.
func (p *pump) run() {
	defer close(p.done)
	for {
		buffer := partPool.Get().(*[]byte)
		n, err := p.read(*buffer)
		if n == 0 && err == nil {
			partPool.Put(buffer)
			continue
		}
		select {
		case p.parts <- part{buffer: buffer, unread: (*buffer)[:n], err: err}:
		case <-p.quit:
			return
		}
		if err != nil {
			return
		}
	}
}

// read reads the source, unless the pump was stopped.
func (p *pump) read(buffer []byte) (int, error) {
	p.reading.Store(true)
	defer p.reading.Store(false)
	select {
	case <-p.quit:
		return 0, io.ErrClosedPipe
	default:
		return p.source.Read(buffer)
	}
}

// stop ends the pump, and returns when it reads the source no more. It calls interrupt if the source is being read.
func (p *pump) stop(interrupt func()) {
	select {
	case <-p.quit:
	default:
		close(p.quit)
	}
	if p.reading.Load() && interrupt != nil {
		interrupt()
	}
	<-p.done
}
