package faultsoak

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Mode is how a proxy treats the bytes of its connections.
type Mode string

// The modes of a proxy.
const (
	// Pass forwards everything at once.
	Pass Mode = "pass"
	// Delay holds each chunk that is read for a time before forwarding it. Later chunks of the connection wait meanwhile.
	Delay Mode = "delay"
	// Silent forwards nothing, but leaves connections open and accepts new ones.
	Silent Mode = "silent"
	// OneWay forwards only what the process behind the proxy sends.
	OneWay Mode = "one-way"
)

// bufferBytes is the most that is forwarded at a time.
const bufferBytes = 32 << 10

// Proxy forwards TCP connections to one address and simulates faults of the network. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	to       string

	mu      sync.Mutex
	mode    Mode
	delay   time.Duration
	changed chan struct{}
	conns   map[net.Conn]struct{}
	closed  bool
	running sync.WaitGroup
}

// NewProxy starts a proxy that listens on a free loopback port and forwards to an address.
func NewProxy(to string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &Proxy{listener: listener, to: to, mode: Pass, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	p.running.Go(p.accept)
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the mode, and the time for mode Delay. Held bytes are forwarded once the mode allows it.
func (p *Proxy) Set(mode Mode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.delay = mode, delay
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reset closes all open connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// Closing a connection with a linger time of zero sends a reset.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close stops the proxy, resets its connections and waits for its goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	_ = p.listener.Close()
	p.Reset()
	p.running.Wait()
}

// accept accepts connections and forwards them until the proxy is closed.
func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.to)
		if err != nil {
			if tcp, ok := client.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = client.Close()
			continue
		}
		if !p.add(client, server) {
			return
		}
		p.running.Go(func() { p.forward(server, client, true) })
		p.running.Go(func() { p.forward(client, server, false) })
	}
}

// add adds both connections of a pair to those that Reset closes. If the proxy was closed, it closes them and returns
// false.
func (p *Proxy) add(pair ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range pair {
		if p.closed {
			_ = c.Close()
			continue
		}
		p.conns[c] = struct{}{}
	}
	return !p.closed
}

// forward copies bytes in one direction until either connection closes, and then closes both. inbound is true for the
// direction to the process behind the proxy.
func (p *Proxy) forward(to, from net.Conn, inbound bool) {
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, from)
		_ = from.Close()
		_ = to.Close()
	}()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.await(inbound) {
			_, writeErr := to.Write(buffer[:n])
			if writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// await waits until the mode lets bytes pass. It returns false if the proxy was closed.
func (p *Proxy) await(inbound bool) bool {
	for {
		p.mu.Lock()
		mode, delay, changed, closed := p.mode, p.delay, p.changed, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case mode == Silent, mode == OneWay && inbound:
			<-changed
		case mode == Delay:
			time.Sleep(delay)
			return true
		default:
			return true
		}
	}
}
