package memnet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/guavaford/guavaford/internal/peer"
)

// Link describes one direction between two hosts.
type Link struct {
	// Delay is the time that a message travels.
	Delay time.Duration
	// Jitter is the largest random addition to Delay.
	Jitter time.Duration
}

// Traffic counts what one host has sent.
type Traffic struct {
	Messages uint64
	Bytes    uint64
	Dials    uint64
}

// direction names the way from one host to another.
type direction struct {
	from, to string
}

// Network connects hosts. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	rnd       *rand.Rand
	latency   func(from, to string) Link
	listeners map[string]*listener
	sessions  map[*session]struct{}
	blocked   map[direction]struct{}
	traffic   map[string]*Traffic
	// changed is closed when a block ends.
	changed chan struct{}
	done    chan struct{}
}

// New returns a network without delay. Equal seeds give equal jitter.
func New(seed uint64) *Network {
	return &Network{
		rnd:       rand.New(rand.NewPCG(seed, seed)),
		latency:   func(string, string) Link { return Link{} },
		listeners: make(map[string]*listener),
		sessions:  make(map[*session]struct{}),
		blocked:   make(map[direction]struct{}),
		traffic:   make(map[string]*Traffic),
		changed:   make(chan struct{}),
		done:      make(chan struct{}),
	}
}

// SetLatency sets the function that describes each link.
func (n *Network) SetLatency(latency func(from, to string) Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latency = latency
}

// Host returns the transport of the named host.
func (n *Network) Host(name string) *Host {
	return &Host{network: n, name: name}
}

// Block holds back everything from one host to another until Unblock.
func (n *Network) Block(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[direction{from, to}] = struct{}{}
}

// Unblock ends Block. What was held back arrives.
func (n *Network) Unblock(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.blocked, direction{from, to})
	n.wake()
}

// Partition blocks both directions between each host of one side and each of the other.
func (n *Network) Partition(one, other []string) {
	for _, a := range one {
		for _, b := range other {
			n.Block(a, b)
			n.Block(b, a)
		}
	}
}

// Heal ends all blocks.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.blocked)
	n.wake()
}

// Stall holds back everything from one host to another for a while, as a loss
// of packets does.
func (n *Network) Stall(from, to string, d time.Duration) {
	n.Block(from, to)
	time.AfterFunc(d, func() { n.Unblock(from, to) })
}

// Silence makes the open sessions between two hosts drop everything that is
// sent from one to the other, for good and without a reset. New sessions work.
func (n *Network) Silence(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for s := range n.sessions {
		if s.out.way == (direction{from, to}) {
			s.out.silent.Store(true)
		}
	}
}

// Crash ends the process on a host: its listeners close, and its sessions are
// reset as far as the other ends can be reached.
func (n *Network) Crash(host string) {
	n.mu.Lock()
	var ended []interface{ Close() error }
	for _, l := range n.listeners {
		if l.host == host {
			ended = append(ended, l)
		}
	}
	for s := range n.sessions {
		if s.out.way.from == host {
			ended = append(ended, s)
		}
	}
	n.mu.Unlock()
	for _, e := range ended {
		_ = e.Close()
	}
}

// Traffic returns what a host has sent so far.
func (n *Network) Traffic(host string) Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t := n.traffic[host]; t != nil {
		return *t
	}
	return Traffic{}
}

// Close ends all sessions and listeners and the goroutines of the network.
func (n *Network) Close() {
	n.mu.Lock()
	select {
	case <-n.done:
	default:
		close(n.done)
	}
	sessions := n.sessions
	n.sessions = make(map[*session]struct{})
	listeners := n.listeners
	n.listeners = make(map[string]*listener)
	n.mu.Unlock()
	for s := range sessions {
		s.end()
	}
	for _, l := range listeners {
		l.end()
	}
}

// wake makes held messages look again. The caller holds the lock.
func (n *Network) wake() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// passable returns nil when a direction is open, and otherwise a channel that
// is closed when that may have changed.
func (n *Network) passable(way direction) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.blocked[way]; ok {
		return n.changed
	}
	return nil
}

// await waits until a direction is open. It returns false when stop was closed first.
func (n *Network) await(way direction, stop <-chan struct{}) bool {
	for {
		changed := n.passable(way)
		if changed == nil {
			return true
		}
		select {
		case <-changed:
		case <-stop:
			return false
		case <-n.done:
			return false
		}
	}
}

// travelTime draws the delay of one message and counts it.
func (n *Network) travelTime(way direction, size int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.count(way.from)
	t.Messages++
	t.Bytes += uint64(size)
	return n.draw(way)
}

func (n *Network) draw(way direction) time.Duration {
	link := n.latency(way.from, way.to)
	if link.Jitter <= 0 {
		return link.Delay
	}
	return link.Delay + time.Duration(n.rnd.Int64N(int64(link.Jitter)))
}

func (n *Network) count(host string) *Traffic {
	t := n.traffic[host]
	if t == nil {
		t = &Traffic{}
		n.traffic[host] = t
	}
	return t
}

// Host is the transport of one host.
type Host struct {
	network *Network
	name    string
}

var (
	errRefused = errors.New("connection refused")
	errClosed  = errors.New("closed")
	errInUse   = errors.New("address already in use")
)

// Listen accepts sessions at address. Any text will do for an address.
func (h *Host) Listen(address string) (peer.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.listeners[address]; ok {
		return nil, errInUse
	}
	l := &listener{
		network: n,
		host:    h.name,
		address: address,
		backlog: make(chan *session, backlogSessions),
		done:    make(chan struct{}),
	}
	n.listeners[address] = l
	return l, nil
}

// Dial opens a session after one round trip. While the other host can't be
// reached it waits, until ctx ends.
func (h *Host) Dial(ctx context.Context, address string) (peer.Session, error) {
	n := h.network
	n.mu.Lock()
	n.count(h.name).Dials++
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	there, back := direction{h.name, l.host}, direction{l.host, h.name}
	if !n.await(there, ctx.Done()) || !n.await(back, ctx.Done()) {
		return nil, errors.Wrap(context.Cause(ctx), "connect")
	}
	if err := sleep(ctx, n.travelTime(there, 0)+n.travelTime(back, 0)); err != nil {
		return nil, err
	}
	return n.connect(l, there, back)
}

// connect makes both ends of a session.
func (n *Network) connect(l *listener, there, back direction) (peer.Session, error) {
	client, server := newSession(n, there, 1), newSession(n, back, 2)
	client.out.destination = server
	server.out.destination = client
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-l.done:
		return nil, errRefused
	case <-n.done:
		return nil, errClosed
	default:
	}
	select {
	case l.backlog <- server:
	default:
		return nil, errRefused
	}
	n.sessions[client] = struct{}{}
	n.sessions[server] = struct{}{}
	go client.out.run()
	go server.out.run()
	return client, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// backlogSessions bounds the sessions of a listener that wait for Accept.
const backlogSessions = 4096

type listener struct {
	network *Network
	host    string
	address string
	backlog chan *session
	done    chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (peer.Session, error) {
	select {
	case s := <-l.backlog:
		return s, nil
	case <-l.done:
		return nil, errClosed
	}
}

func (l *listener) Close() error {
	l.network.mu.Lock()
	if l.network.listeners[l.address] == l {
		delete(l.network.listeners, l.address)
	}
	l.network.mu.Unlock()
	l.end()
	return nil
}

func (l *listener) end() {
	l.once.Do(func() { close(l.done) })
	for {
		select {
		case s := <-l.backlog:
			_ = s.Close()
		default:
			return
		}
	}
}

func (l *listener) Addr() string { return l.address }
