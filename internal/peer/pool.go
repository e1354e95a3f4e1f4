package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// PoolOptions configures a Pool. The zero value is ready for use.
type PoolOptions struct {
	// Seed makes the jitter of reconnects reproducible; 0 stands for a random seed.
	Seed uint64
	// Traffic counts exchanges and bytes; nil disables counting.
	Traffic *Traffic
	// SendLateBodies sends bodies that can't arrive in time over a connection, instead of failing with a LateBodyError.
	SendLateBodies bool
	// AnswerMemory bounds the bytes of answers that have arrived and were not read, for all calls together: the more calls there are,
	// the smaller are their windows. 0 leaves each call a window of StreamWindow.
	AnswerMemory int64
	// Intercept, if set, is called for each unary exchange and runs it by calling do. Tests
	// use it to drop, delay and repeat messages.
	Intercept func(ctx context.Context, address string, m apiv1.Method, do func() error) error
}

// Pool holds the connections of this node to other nodes.
type Pool struct {
	id        Identity
	transport Transport
	intercept func(ctx context.Context, address string, m apiv1.Method, do func() error) error
	traffic   *Traffic
	answers   answerMemory

	sendLateBodies bool

	// ctx ends when the pool is closed.
	ctx    context.Context
	cancel context.CancelFunc

	mu        sync.RWMutex
	endpoints map[string]*endpoint
	closed    bool
	rnd       *rand.Rand
	rndMu     sync.Mutex
}

// endpoint holds the connection and the dialling state of one address.
type endpoint struct {
	address string
	current atomic.Pointer[conn]

	mu      sync.Mutex
	dialing *dialAttempt
	// failures counts consecutive failed attempts; nextAttempt is the earliest time of the next attempt.
	failures    int
	nextAttempt time.Time
	lastErr     error
}

// dialAttempt is a connection attempt that several exchanges may wait for; conn and err are set when done is closed.
type dialAttempt struct {
	began time.Time
	done  chan struct{}
	conn  *conn
	err   error
}

// NewPool returns a pool whose connections identify this node as id.
func NewPool(id Identity, t Transport, o PoolOptions) *Pool {
	seed := o.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		ctx:       ctx,
		cancel:    cancel,
		id:        id,
		transport: t,
		intercept: o.Intercept,
		traffic:   o.Traffic,
		answers:   answerMemory{limit: o.AnswerMemory},

		sendLateBodies: o.SendLateBodies,

		endpoints: make(map[string]*endpoint),
		rnd:       rand.New(rand.NewPCG(seed, seed)),
	}
}

// Close closes all connections. Running exchanges fail.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	endpoints := p.endpoints
	p.endpoints = nil
	p.mu.Unlock()
	p.cancel()
	for _, e := range endpoints {
		e.mu.Lock()
		attempt := e.dialing
		e.mu.Unlock()
		if attempt != nil {
			<-attempt.done
		}
		if c := e.current.Load(); c != nil {
			c.retired.Store(true)
			_ = c.session.Close()
		}
	}
}

// Peer returns the identity of the node last connected to at address.
func (p *Pool) Peer(address string) (Identity, bool) {
	p.mu.RLock()
	e := p.endpoints[address]
	p.mu.RUnlock()
	if e == nil {
		return Identity{}, false
	}
	c := e.current.Load()
	if c == nil {
		return Identity{}, false
	}
	return c.remote, true
}

// reserve returns a connection to address that is reserved for one exchange, to be released
// with end. If it fails, nothing was sent. A maxWait above 0 limits the wait for a new
// connection.
func (p *Pool) reserve(ctx context.Context, address string, maxWait time.Duration) (*conn, error) {
	e, err := p.endpoint(address)
	if err != nil {
		return nil, err
	}
	var deadline time.Time
	if maxWait > 0 {
		deadline = time.Now().Add(maxWait)
	}
	for {
		c := e.current.Load()
		if c == nil || !c.alive() {
			if c, err = p.connect(ctx, e, maxWait, deadline); err != nil {
				return nil, err
			}
		}
		if !c.begin() {
			continue
		}
		if c.verifyResponsive(ctx) {
			return c, nil
		}
		c.end()
		if err := ctx.Err(); err != nil {
			return nil, err
		}
	}
}

func (p *Pool) endpoint(address string) (*endpoint, error) {
	p.mu.RLock()
	e := p.endpoints[address]
	closed := p.closed
	p.mu.RUnlock()
	if closed {
		return nil, ErrClosed
	}
	if e != nil {
		return e, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if e = p.endpoints[address]; e == nil {
		e = &endpoint{address: address}
		p.endpoints[address] = e
	}
	return e, nil
}

// connect joins or starts the connection attempt of an endpoint and waits for it. With a maxWait above 0 it
// waits until the deadline, but no longer than maxWait after the attempt began.
func (p *Pool) connect(ctx context.Context, e *endpoint, maxWait time.Duration, deadline time.Time) (*conn, error) {
	attempt, err := p.startDial(e)
	if err != nil {
		return nil, err
	}
	var expired <-chan time.Time
	if maxWait > 0 {
		if end := attempt.began.Add(maxWait); end.Before(deadline) {
			deadline = end
		}
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-attempt.done:
		return attempt.conn, attempt.err
	case <-expired:
		select {
		case <-attempt.done:
			return attempt.conn, attempt.err
		default:
			return nil, errConnectTimeout
		}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *Pool) startDial(e *endpoint) (*dialAttempt, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dialing != nil {
		return e.dialing, nil
	}
	if c := e.current.Load(); c != nil && c.alive() {
		done := make(chan struct{})
		close(done)
		return &dialAttempt{began: time.Now(), done: done, conn: c}, nil
	}
	if time.Now().Before(e.nextAttempt) {
		return nil, errors.Wrap(e.lastErr, errBackoff.Error())
	}
	attempt := &dialAttempt{began: time.Now(), done: make(chan struct{})}
	e.dialing = attempt
	go p.dial(e, attempt)
	return attempt, nil
}

// dial runs one connection attempt and records its outcome.
func (p *Pool) dial(e *endpoint, attempt *dialAttempt) {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
	defer cancel()
	attempt.conn, attempt.err = p.open(ctx, e.address)
	e.mu.Lock()
	e.dialing = nil
	if attempt.err == nil {
		e.failures = 0
		e.nextAttempt = time.Time{}
		e.current.Store(attempt.conn)
	} else {
		e.lastErr = attempt.err
		e.nextAttempt = time.Now().Add(p.backoff(e.failures))
		e.failures++
	}
	e.mu.Unlock()
	close(attempt.done)
}

func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	session, err := p.transport.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c, err := openConn(ctx, p.id, session, p.traffic)
	if err != nil {
		_ = session.Close()
		return nil, err
	}
	return c, nil
}

// backoff returns the pause before the next attempt, given the number of failures before the last one: exponential,
// with half of it jittered.
func (p *Pool) backoff(failures int) time.Duration {
	pause := maxBackoff
	if failures < 10 {
		pause = min(firstBackoff<<failures, maxBackoff)
	}
	p.rndMu.Lock()
	defer p.rndMu.Unlock()
	return pause/2 + time.Duration(p.rnd.Int64N(int64(pause/2)))
}
