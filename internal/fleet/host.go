package fleet

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/node"
	"github.com/guavaford/guavaford/internal/settings"
	"github.com/guavaford/guavaford/internal/vfs"
)

// Host is one host of a fleet. Its files and targets survive crashes and restarts of its process.
type Host struct {
	Name       string
	DataCentre string
	FS         *vfs.Mem

	fleet   *Fleet
	replica bool
	clock   clock.Clock

	mu      sync.Mutex
	process *node.Process
	targets map[string]*Target
	// closed is set by Close: crashed targets no longer start again.
	closed atomic.Bool
	// callersListener is the listener of the callers' address.
	callersListener *idleListener
}

// Start starts the process of the host, unless it runs already.
func (h *Host) Start() error {
	if h.Process() != nil {
		return nil
	}
	p, err := h.fleet.start(h)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process = p
	return nil
}

// Process returns the running process, or nil while there is none.
func (h *Host) Process() *node.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// detachProcess returns the running process, or nil, and marks the host as having none.
func (h *Host) detachProcess() *node.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.process
	h.process = nil
	return p
}

// Crash ends the process without a shutdown. Writes that were not synced may be lost.
func (h *Host) Crash() {
	p := h.detachProcess()
	if p == nil {
		return
	}
	h.FS.Crash()
	h.fleet.Net.Crash(h.Name)
	p.Close()
	h.FS.Restart(h.fleet.rnd)
}

// Close ends the process and the targets of the host.
func (h *Host) Close() {
	h.closed.Store(true)
	for _, t := range h.allTargets() {
		t.stopAnnouncing()
	}
	if p := h.detachProcess(); p != nil {
		p.Close()
	}
}

// allTargets returns the targets of the host.
func (h *Host) allTargets() []*Target {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]*Target, 0, len(h.targets))
	for _, t := range h.targets {
		all = append(all, t)
	}
	return all
}

// SetClock sets the clock of the next process that is started on the host.
func (h *Host) SetClock(c clock.Clock) {
	h.clock = c
}

// idleListener is a net.Listener that never accepts a connection, as requests reach the handlers as function calls.
type idleListener struct {
	once   sync.Once
	closed chan struct{}
}

// listen returns a listener without connections. Callers' requests are served until the process closes the listener of
// the callers' address.
func (h *Host) listen(address string) (net.Listener, error) {
	l := &idleListener{closed: make(chan struct{})}
	if address == settings.Default().CallersAddress {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.callersListener = l
	}
	return l, nil
}

// acceptsCallers reports whether the callers' address is open.
func (h *Host) acceptsCallers() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.callersListener == nil {
		return false
	}
	select {
	case <-h.callersListener.closed:
		return false
	default:
		return true
	}
}

func (l *idleListener) Accept() (net.Conn, error) {
	<-l.closed
	return nil, net.ErrClosed
}

func (l *idleListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *idleListener) Addr() net.Addr { return &net.TCPAddr{} }

// renewInterval is the time between two announcements of a target.
const renewInterval = time.Second

// Stop shuts down the process of the host gracefully, within limit.
func (h *Host) Stop(limit time.Duration) error {
	p := h.Process()
	if p == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	err := p.Stop(ctx)
	h.detachProcess()
	return err
}
