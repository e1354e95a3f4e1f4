package memnet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/guavaford/guavaford/internal/peer"
)

// Latency describes the latency of one direction between two hosts.
type Latency struct {
	// Delay is the smallest latency of a message.
	Delay time.Duration
	// Jitter bounds the random time that is added to Delay.
	Jitter time.Duration
}

// Traffic counts the messages and bytes that one host has sent, and its dials.
type Traffic struct {
	Messages uint64
	Bytes    uint64
	Dials    uint64
}

// direction identifies one direction between two hosts, by their names.
type direction struct {
	from, to string
}

// Network connects hosts. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	rnd       *rand.Rand
	latency   func(from, to string) Latency
	listeners map[string]*listener
	sessions  map[*session]struct{}
	blocked   map[direction]struct{}
	traffic   map[string]*Traffic
	// unblocked is closed and replaced when a block ends.
	unblocked chan struct{}
	done      chan struct{}
}

// New returns a network without delay. Networks with equal seeds draw the same sequence of jitter.
func New(seed uint64) *Network {
	return &Network{
		rnd:       rand.New(rand.NewPCG(seed, seed)),
		latency:   func(string, string) Latency { return Latency{} },
		listeners: make(map[string]*listener),
		sessions:  make(map[*session]struct{}),
		blocked:   make(map[direction]struct{}),
		traffic:   make(map[string]*Traffic),
		unblocked: make(chan struct{}),
		done:      make(chan struct{}),
	}
}

// SetLatency sets the function that returns the latency of each direction.
func (n *Network) SetLatency(latency func(from, to string) Latency) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latency = latency
}

// Host returns the transport of the named host.
func (n *Network) Host(name string) *Host {
	return &Host{network: n, name: name}
}

// Block holds all messages from one host to another until Unblock or Heal.
func (n *Network) Block(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[direction{from, to}] = struct{}{}
}

// Unblock ends Block and delivers the held messages.
func (n *Network) Unblock(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.blocked, direction{from, to})
	n.notifyUnblocked()
}

// Partition blocks both directions between each host of one side and each host of the other.
func (n *Network) Partition(one, other []string) {
	for _, a := range one {
		for _, b := range other {
			n.Block(a, b)
			n.Block(b, a)
		}
	}
}

// Heal ends all blocks and delivers the held messages.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.blocked)
	n.notifyUnblocked()
}

// Stall blocks the direction from one host to another for the time d, as while TCP retransmits lost packets.
func (n *Network) Stall(from, to string, d time.Duration) {
	n.Block(from, to)
	time.AfterFunc(d, func() { n.Unblock(from, to) })
}

// DropOpenSessions makes the open sessions between two hosts drop all messages in the direction from one to the other,
// permanently and without a reset. New sessions work.
func (n *Network) DropOpenSessions(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for s := range n.sessions {
		if s.out.dir == (direction{from, to}) {
			s.out.silent.Store(true)
		}
	}
}

// Crash simulates the end of the process on a host: its listeners close, and its sessions are reset. The other end of a
// session learns of the reset only if the direction to it delivers.
func (n *Network) Crash(host string) {
	n.mu.Lock()
	var ended []interface{ Close() error }
	for _, l := range n.listeners {
		if l.host == host {
			ended = append(ended, l)
		}
	}
	for s := range n.sessions {
		if s.out.dir.from == host {
			ended = append(ended, s)
		}
	}
	n.mu.Unlock()
	for _, e := range ended {
		_ = e.Close()
	}
}

// Traffic returns the counts of a host so far.
func (n *Network) Traffic(host string) Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t := n.traffic[host]; t != nil {
		return *t
	}
	return Traffic{}
}

// Close ends all sessions and listeners, and with them the goroutines of the network.
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

// notifyUnblocked makes held messages check again whether their direction is blocked. The caller holds the lock.
func (n *Network) notifyUnblocked() {
	close(n.unblocked)
	n.unblocked = make(chan struct{})
}

// blockedSignal returns nil when a direction is not blocked, and otherwise a channel that is closed when that may have
// changed.
func (n *Network) blockedSignal(dir direction) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.blocked[dir]; ok {
		return n.unblocked
	}
	return nil
}

// awaitUnblocked waits until a direction is not blocked. It returns false when stop or the network was closed first.
func (n *Network) awaitUnblocked(dir direction, stop <-chan struct{}) bool {
	for {
		changed := n.blockedSignal(dir)
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

// travelTime counts a message and returns its random latency.
func (n *Network) travelTime(dir direction, size int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.trafficOf(dir.from)
	t.Messages++
	t.Bytes += uint64(size)
	return n.randomLatency(dir)
}

// randomLatency returns a random latency of one direction. The caller holds the lock.
func (n *Network) randomLatency(dir direction) time.Duration {
	link := n.latency(dir.from, dir.to)
	if link.Jitter <= 0 {
		return link.Delay
	}
	return link.Delay + time.Duration(n.rnd.Int64N(int64(link.Jitter)))
}

// trafficOf returns the counts of a host. The caller holds the lock.
func (n *Network) trafficOf(host string) *Traffic {
	t := n.traffic[host]
	if t == nil {
		t = &Traffic{}
		n.traffic[host] = t
	}
	return t
}

// Host is the peer.Transport of one host.
type Host struct {
	network *Network
	name    string
}

var (
	errRefused = errors.New("connection refused")
	errClosed  = errors.New("session or listener closed")
	errInUse   = errors.New("address already in use")
)

// Listen accepts sessions at address, which may be any string that is unique in the network.
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
		backlog: make(chan *session, maxBacklogSessions),
		done:    make(chan struct{}),
	}
	n.listeners[address] = l
	return l, nil
}

// Dial opens a session after one round trip. While a direction to or from the other host is blocked, it waits until ctx
// ends.
func (h *Host) Dial(ctx context.Context, address string) (peer.Session, error) {
	n := h.network
	n.mu.Lock()
	n.trafficOf(h.name).Dials++
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	forward, backward := direction{h.name, l.host}, direction{l.host, h.name}
	if !n.awaitUnblocked(forward, ctx.Done()) || !n.awaitUnblocked(backward, ctx.Done()) {
		return nil, errors.Wrap(context.Cause(ctx), "connect")
	}
	if err := sleep(ctx, n.travelTime(forward, 0)+n.travelTime(backward, 0)); err != nil {
		return nil, err
	}
	return n.connect(l, forward, backward)
}

// connect creates both ends of a session and queues the server's end for Accept.
func (n *Network) connect(l *listener, forward, backward direction) (peer.Session, error) {
	client, server := newSession(n, forward, 1), newSession(n, backward, 2)
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

// maxBacklogSessions is the most sessions of a listener that may wait for Accept. Further dials are refused.
const maxBacklogSessions = 4096

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
