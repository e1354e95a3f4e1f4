package fleet

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/node"
	"github.com/guavaford/guavaford/internal/settings"
	"github.com/guavaford/guavaford/internal/vfs"
)

// Host is one host: its files and targets outlive the processes of the system.
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
	// callers is the listener of the callers' address.
	callers *idleListener
}

// Start starts the process of the host unless one runs.
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

// take removes the running process.
func (h *Host) take() *node.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.process
	h.process = nil
	return p
}

// Crash ends the process without notice and loses what was not synced.
func (h *Host) Crash() {
	p := h.take()
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
	for _, t := range h.allTargets() {
		t.end()
	}
	if p := h.take(); p != nil {
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

// SetClock gives the next process of the host another clock.
func (h *Host) SetClock(c clock.Clock) {
	h.clock = c
}

// idleListener accepts nothing. Requests reach the handlers as function calls.
type idleListener struct {
	once   sync.Once
	closed chan struct{}
}

// listen opens an address of the host. Requests reach its handler while it is open.
func (h *Host) listen(address string) (net.Listener, error) {
	l := &idleListener{closed: make(chan struct{})}
	if address == settings.Default().CallersAddress {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.callers = l
	}
	return l, nil
}

// takesCallers reports whether the callers' address is open.
func (h *Host) takesCallers() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.callers == nil {
		return false
	}
	select {
	case <-h.callers.closed:
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

// renewInterval is how often a target renews its announcement.
const renewInterval = time.Second

// Stop ends the process of the host as planned, within limit.
func (h *Host) Stop(limit time.Duration) error {
	p := h.Process()
	if p == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	err := p.Stop(ctx)
	h.take()
	return err
}
