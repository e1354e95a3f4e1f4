package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// backend is a stand-in for an application backend on a sidecar machine.
type backend struct {
	machine  *machine
	id       string
	born     int64
	sequence atomic.Uint64
	slots    int
	listener net.Listener
	// handle answers one request on a connection. It returns false if the connection must end.
	handle func(b *backend, c *backendConn, r *http.Request) bool
	stop   chan struct{}
	once   sync.Once

	mu    sync.Mutex
	runs  map[string]int
	state string
}

type backendConn struct {
	net.Conn
	reader *bufio.Reader
	number int64
}

var connNumbers atomic.Int64

// startBackend listens at the address of the machine and reports itself every heartbeat.
func startBackend(m *machine, id string, slots int, handle func(*backend, *backendConn, *http.Request) bool) (*backend, error) {
	l, err := net.Listen("tcp", m.addr(m.fleet.ports.app))
	if err != nil {
		return nil, err
	}
	b := &backend{machine: m, id: id, born: time.Now().UnixMilli(), slots: slots, listener: l, handle: handle, stop: make(chan struct{}), runs: map[string]int{}, state: "ready"}
	go b.accept()
	go b.beat()
	return b, nil
}

func (b *backend) accept() {
	for {
		raw, err := b.listener.Accept()
		if err != nil {
			return
		}
		c := &backendConn{Conn: raw, reader: bufio.NewReaderSize(raw, 64<<10), number: connNumbers.Add(1)}
		go b.serve(c)
	}
}

func (b *backend) serve(c *backendConn) {
	defer c.Close()
	for {
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		if expect := r.Header.Get("Guavaford-Expect-Instance"); expect != "" && expect != b.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nGuavaford-Attempt-Id: %s\r\nGuavaford-Not-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", r.Header.Get("Guavaford-Attempt-Id"))
			return
		}
		if r.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nGuavaford-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", b.id)
			continue
		}
		if !b.handle(b, c, r) {
			return
		}
		if r.Close {
			return
		}
	}
}

// ran counts one run of a request.
func (b *backend) ran(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id]++
	return b.runs[id]
}

func (b *backend) runsOf(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// report sends one liveness report and returns the status.
func (b *backend) report(state string) int {
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"sequence":%d,"cold-left":"0ms"}}`,
		b.machine.addr(b.machine.fleet.ports.app), b.born, b.machine.service, b.machine.zone, b.slots, state, b.sequence.Add(1))
	req, _ := http.NewRequest("PUT", "http://"+b.machine.addr(b.machine.fleet.ports.control)+"/instances/"+b.id, bytes.NewReader([]byte(body)))
	req.Header.Set("Content-Type", "application/json")
	resp, err := operatorClient.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (b *backend) remove() int {
	req, _ := http.NewRequest("DELETE", "http://"+b.machine.addr(b.machine.fleet.ports.control)+"/instances/"+b.id, nil)
	resp, err := operatorClient.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (b *backend) beat() {
	for {
		b.mu.Lock()
		state := b.state
		b.mu.Unlock()
		wait := 1500 * time.Millisecond
		if state != "" && b.report(state) != 200 {
			wait = 200 * time.Millisecond
		}
		select {
		case <-b.stop:
			return
		case <-time.After(wait):
		}
	}
}

func (b *backend) close() {
	b.once.Do(func() {
		close(b.stop)
		_ = b.listener.Close()
	})
}

// signature is a digest of a body.
func signature(body []byte) string {
	return fmt.Sprintf("%08x.%d", crc32.ChecksumIEEE(body), len(body))
}

// answer writes a complete answer with a length.
func (c *backendConn) answer(r *http.Request, status int, body []byte) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nGuavaford-Attempt-Id: %s\r\nGuavaford-Response-Signature: %s\r\nContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), r.Header.Get("Guavaford-Attempt-Id"), signature(body), len(body))
	b.Write(body)
	_, err := c.Write(b.Bytes())
	return err
}
