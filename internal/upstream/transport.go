package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// readBuffer is the size of the read buffer of a connection in bytes.
	readBuffer = 4 << 10
	// defaultIdle is the idle timeout assumed for targets that announce none.
	defaultIdle = 4 * time.Second
	// idleShare is the fraction of the target's idle timeout for which a connection may be reused, so
	// that the target does not close it just as a request is sent.
	idleShare = 0.5
	// maxLateResponses limits the responses to earlier requests that are discarded before the right one.
	maxLateResponses = 4
	// maxLateBody limits the body of such a response in bytes.
	maxLateBody = 1 << 20
	// maxHead limits the bytes from the end of one body to the start of the next: the head of a response together with
	// the interim responses (1xx) before it.
	maxHead = 64 << 10
)

// Errors of an exchange.
var (
	// ErrMismatchedResponse means that the response does not belong to the request that was sent.
	ErrMismatchedResponse = errors.New("the response belongs to another request")
	// ErrNotSent means that no byte of the request was sent, as RoundTripIf was told so.
	ErrNotSent = errors.New("the request was not sent")
	// ErrHeadTooLong means that the target sent too many bytes without the end of a head.
	ErrHeadTooLong = errors.New("the head of the response is too long")
)

// Transport sends requests to targets and reads their responses. It implements http.RoundTripper.
type Transport struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// IDField is the header field that carries the identifier of the request, in requests and in responses; empty turns
	// the check of responses off.
	IDField string

	mu    sync.Mutex
	pools map[string]*pool
}

// pool holds the idle connections to one address, the most recently used last.
type pool struct {
	idle []*conn
}

// conn is one connection to a target.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	// headLeft is the number of bytes that may still be read while readingHead is set.
	headLeft    int
	readingHead bool
	head        headChecker
	// reuseUntil is when the connection has been idle for too long to be reused.
	reuseUntil time.Time
	// used is set once the connection has carried a whole exchange.
	used bool
	// idleTime is the target's timeout for idle connections.
	idleTime time.Duration
}

// RoundTrip sends the request once and returns its response, whose body is read from the connection.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	return t.RoundTripIf(r, func() bool { return true })
}

// RoundTripIf is like RoundTrip, but asks once it has a connection whether the request may be sent. If not, it closes
// the connection and returns ErrNotSent.
func (t *Transport) RoundTripIf(r *http.Request, mayBegin func() bool) (*http.Response, error) {
	c, err := t.connect(r.Context(), r.URL.Host)
	if err != nil {
		closeBody(r)
		return nil, err
	}
	if !mayBegin() {
		closeBody(r)
		_ = c.Close()
		return nil, ErrNotSent
	}
	x := &exchange{transport: t, conn: c, request: r}
	x.stopCancel = context.AfterFunc(r.Context(), func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	response, err := x.run()
	if err != nil {
		x.stopCancel()
		_ = c.Close()
		return nil, err
	}
	return response, nil
}

func closeBody(r *http.Request) {
	if r.Body != nil {
		_ = r.Body.Close()
	}
}

// connect returns an idle connection that can be reused, or a new one.
func (t *Transport) connect(ctx context.Context, address string) (*conn, error) {
	for {
		c := t.takeIdle(address)
		if c == nil {
			break
		}
		if c.nothingReceived() {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := t.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, dialError(err)
	}
	c := &conn{Conn: reportResets(raw), address: address, idleTime: defaultIdle}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c, nil
}

// beginHead begins the reading of a head, which is limited to maxHead bytes and checked. Its start may have arrived behind the response before.
func (c *conn) beginHead() error {
	c.readingHead, c.headLeft = true, maxHead
	c.head.begin()
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if _, fault := c.head.check(buffered); fault != nil {
		return fault
	}
	return nil
}

// endHead ends the reading of a head.
func (c *conn) endHead() { c.readingHead = false }

// Read reads from the target. While a head is read, it fails once the limit is reached or the head is invalid.
func (c *conn) Read(p []byte) (int, error) {
	if !c.readingHead {
		return c.Conn.Read(p)
	}
	if c.head.fault != nil {
		return 0, c.head.fault
	}
	if c.headLeft <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := c.Conn.Read(p[:min(len(p), c.headLeft)])
	c.headLeft -= n
	if valid, fault := c.head.check(p[:n]); fault != nil {
		return valid, fault
	}
	return n, err
}

// closedByTarget reports whether a write has found that the target has closed the connection.
func (c *conn) closedByTarget() bool {
	r, ok := c.Conn.(*resetConn)
	return ok && r.closedByTarget()
}

// dialError returns err as a *net.OpError of the operation dial, which tells the caller that nothing was sent.
func dialError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return err
	}
	return &net.OpError{Op: "dial", Net: "tcp", Err: err}
}

// takeIdle returns the most recently used idle connection to an address, or nil. It closes those that were idle for too
// long.
func (t *Transport) takeIdle(address string) *conn {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[address]
	if p == nil {
		return nil
	}
	for n := len(p.idle) - 1; n >= 0; n-- {
		c := p.idle[n]
		p.idle = p.idle[:n]
		if now.Before(c.reuseUntil) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// putIdle keeps a connection for another request, and closes those that were idle for too long.
func (t *Transport) putIdle(c *conn) {
	now := time.Now()
	c.reuseUntil = now.Add(time.Duration(idleShare * float64(c.idleTime)))
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pools == nil {
		t.pools = make(map[string]*pool)
	}
	p := t.pools[c.address]
	if p == nil {
		p = &pool{}
		t.pools[c.address] = p
	}
	old := 0
	for old < len(p.idle) && !now.Before(p.idle[old].reuseUntil) {
		_ = p.idle[old].Close()
		old++
	}
	p.idle = append(p.idle[old:], c)
}

// CloseIdle closes the idle connections to an address.
func (t *Transport) CloseIdle(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pools[address]; p != nil {
		for _, c := range p.idle {
			_ = c.Close()
		}
		delete(t.pools, address)
	}
}

// nothingReceived reports whether neither bytes nor the end of the connection have arrived on an idle connection.
func (c *conn) nothingReceived() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	nothing := false
	var probe [1]byte
	err = control.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		nothing = err == unix.EAGAIN
		return true
	})
	return err == nil && nothing
}

// idleTimeOf returns the idle timeout that the target announces in the Keep-Alive field, if any.
func idleTimeOf(h http.Header) (time.Duration, bool) {
	for _, option := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(option), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}
