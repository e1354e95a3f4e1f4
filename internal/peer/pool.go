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

// PoolOptions adjust a Pool. The zero value is ready for use.
type PoolOptions struct {
	// Seed makes the jitter of reconnects repeatable; 0 draws one.
	Seed uint64
	// Traffic counts what is exchanged; nil counts nothing.
	Traffic *Traffic
	// Intercept, when set, runs each unary exchange by calling do. Tests use it
	// to lose, delay and repeat messages.
	Intercept func(ctx context.Context, address string, m apiv1.Method, do func() error) error
}

// Pool holds the connections of this node to other nodes.
type Pool struct {
	id        Identity
	transport Transport
	intercept func(ctx context.Context, address string, m apiv1.Method, do func() error) error
	traffic   *Traffic

	// ctx ends when the pool is closed.
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.RWMutex
	routes map[string]*route
	closed bool
	rnd    *rand.Rand
	rndMu  sync.Mutex
}

// route is the state of one address.
type route struct {
	address string
	current atomic.Pointer[conn]

	mu      sync.Mutex
	dialing *dialAttempt
	// failures counts failed attempts in a row; notBefore ends the pause after the last.
	failures  int
	notBefore time.Time
	lastErr   error
}

// dialAttempt is a connection attempt that several exchanges may wait for.
type dialAttempt struct {
	began time.Time
	done  chan struct{}
	conn  *conn
	err   error
}

// NewPool returns a pool of connections opened by id.
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
		routes:    make(map[string]*route),
		rnd:       rand.New(rand.NewPCG(seed, seed)),
	}
}

// Close ends all connections. Running exchanges fail.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	routes := p.routes
	p.routes = nil
	p.mu.Unlock()
	p.cancel()
	for _, r := range routes {
		r.mu.Lock()
		attempt := r.dialing
		r.mu.Unlock()
		if attempt != nil {
			<-attempt.done
		}
		if c := r.current.Load(); c != nil {
			c.retired.Store(true)
			_ = c.session.Close()
		}
	}
}

// Peer returns the identity of the node last connected to at address.
func (p *Pool) Peer(address string) (Identity, bool) {
	p.mu.RLock()
	r := p.routes[address]
	p.mu.RUnlock()
	if r == nil {
		return Identity{}, false
	}
	c := r.current.Load()
	if c == nil {
		return Identity{}, false
	}
	return c.remote, true
}

// reserve returns a connection to address on which an exchange has begun. The
// caller must end it. An error means that nothing was sent. A patience above 0 bounds
// the wait for a new connection.
func (p *Pool) reserve(ctx context.Context, address string, patience time.Duration) (*conn, error) {
	r, err := p.route(address)
	if err != nil {
		return nil, err
	}
	var until time.Time
	if patience > 0 {
		until = time.Now().Add(patience)
	}
	for {
		c := r.current.Load()
		if c == nil || !c.alive() {
			if c, err = p.connect(ctx, r, patience, until); err != nil {
				return nil, err
			}
		}
		if !c.begin() {
			continue
		}
		if c.fresh(ctx) {
			return c, nil
		}
		c.end()
		if err := ctx.Err(); err != nil {
			return nil, err
		}
	}
}

func (p *Pool) route(address string) (*route, error) {
	p.mu.RLock()
	r := p.routes[address]
	closed := p.closed
	p.mu.RUnlock()
	if closed {
		return nil, ErrClosed
	}
	if r != nil {
		return r, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if r = p.routes[address]; r == nil {
		r = &route{address: address}
		p.routes[address] = r
	}
	return r, nil
}

// connect joins or starts the connection attempt of a route and waits for it: with a patience above 0 until
// the given time, and no longer than that after the attempt began.
func (p *Pool) connect(ctx context.Context, r *route, patience time.Duration, until time.Time) (*conn, error) {
	attempt, err := p.attempt(r)
	if err != nil {
		return nil, err
	}
	var late <-chan time.Time
	if patience > 0 {
		if end := attempt.began.Add(patience); end.Before(until) {
			until = end
		}
		timer := time.NewTimer(time.Until(until))
		defer timer.Stop()
		late = timer.C
	}
	select {
	case <-attempt.done:
		return attempt.conn, attempt.err
	case <-late:
		select {
		case <-attempt.done:
			return attempt.conn, attempt.err
		default:
			return nil, errConnecting
		}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *Pool) attempt(r *route) (*dialAttempt, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dialing != nil {
		return r.dialing, nil
	}
	if c := r.current.Load(); c != nil && c.alive() {
		done := make(chan struct{})
		close(done)
		return &dialAttempt{began: time.Now(), done: done, conn: c}, nil
	}
	if time.Now().Before(r.notBefore) {
		return nil, errors.Wrap(r.lastErr, errBackoff.Error())
	}
	attempt := &dialAttempt{began: time.Now(), done: make(chan struct{})}
	r.dialing = attempt
	go p.dial(r, attempt)
	return attempt, nil
}

// dial runs one connection attempt and records its outcome.
func (p *Pool) dial(r *route, attempt *dialAttempt) {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
	defer cancel()
	attempt.conn, attempt.err = p.open(ctx, r.address)
	r.mu.Lock()
	r.dialing = nil
	if attempt.err == nil {
		r.failures = 0
		r.notBefore = time.Time{}
		r.current.Store(attempt.conn)
	} else {
		r.lastErr = attempt.err
		r.notBefore = time.Now().Add(p.backoff(r.failures))
		r.failures++
	}
	r.mu.Unlock()
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

// backoff returns the pause after failures earlier failed attempts: exponential, half of it jittered.
func (p *Pool) backoff(failures int) time.Duration {
	pause := maxBackoff
	if failures < 10 {
		pause = min(firstBackoff<<failures, maxBackoff)
	}
	p.rndMu.Lock()
	defer p.rndMu.Unlock()
	return pause/2 + time.Duration(p.rnd.Int64N(int64(pause/2)))
}
