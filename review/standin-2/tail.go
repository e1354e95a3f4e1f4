package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// refusedBodies: clients book with bodies in chunks, a little longer than what a node keeps of them. For some seconds at a time,
// two of three backends refuse part of the requests at once, as not executed, and the system sends these to another backend. With the disruption off, no backend refuses.
func refusedBodies(rec *record, root string, trouble bool) verdict {
	const (
		size      = 66000
		clients   = 64
		playFor   = 40 * time.Second
		shedShare = 0.45
		shedFor   = 6500 * time.Millisecond
		shedGap   = time.Second
	)
	routes := []route{{Name: "booking", Authority: prefixHost, Prefix: "/booking/", Kind: "non_idempotent", Timeout: "5000ms", Target: "1200ms", Attempts: 3, Service: "tempahan"}}
	f := setup(rec, root, []string{"jadual", "tempahan", "tempahan", "tempahan"}, routes, []string{"jadual", "tempahan"})
	if f == nil {
		return cannotRun
	}
	defer f.close()
	sent := make([]byte, size)
	for i := 0; i+16 <= size; i += 16 {
		copy(sent[i:], fmt.Sprintf("offset %08x;", i))
	}
	// What became of each request.
	type entry struct{ status, refusals, runs, bytes int }
	var mu sync.Mutex
	ledger := map[string]*entry{}
	note := func(id string, change func(*entry)) {
		mu.Lock()
		defer mu.Unlock()
		if ledger[id] == nil {
			ledger[id] = &entry{}
		}
		change(ledger[id])
	}
	var whole, cut, refused, wrong atomic.Int64
	var spared atomic.Pointer[backend] // the backend that does not refuse at the moment; nil while none does
	handle := func(b *backend, c *backendConn, r *http.Request) bool {
		id := r.Header.Get("Guavaford-Attempt-Id")
		if other := spared.Load(); other != nil && other != b && rand.Float64() < shedShare {
			refused.Add(1)
			note(id, func(e *entry) { e.refusals++ })
			fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nGuavaford-Attempt-Id: %s\r\nGuavaford-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			_, err := io.Copy(io.Discard, r.Body)
			return err == nil
		}
		got, err := io.ReadAll(r.Body)
		note(id, func(e *entry) { e.runs, e.bytes = e.runs+1, len(got) })
		switch {
		case err != nil:
			cut.Add(1)
			return false
		case bytes.Equal(got, sent):
			whole.Add(1)
		default:
			wrong.Add(1)
			rec.logf("backend %s: request %s runs with a complete body of %d bytes; the client sent %d", b.id, id, len(got), len(sent))
		}
		time.Sleep(20 * time.Millisecond)
		return c.answer(r, 200, []byte("booked")) == nil
	}
	var backends []*backend
	for i, m := range f.sides[1:] {
		b, err := startBackend(m, fmt.Sprintf("i-tempahan-%d", i+1), 355, handle)
		if err != nil {
			rec.logf("cannot run: %v", err)
			return cannotRun
		}
		defer b.close()
		backends = append(backends, b)
	}
	time.Sleep(3 * time.Second)
	var body bytes.Buffer
	for rest := sent; len(rest) > 0; {
		p := rest[:min(16<<10, len(rest))]
		rest = rest[len(p):]
		fmt.Fprintf(&body, "%x\r\n%s\r\n", len(p), p)
	}
	body.WriteString("0\r\n\r\n")
	var statuses sync.Map
	var wg sync.WaitGroup
	end := time.Now().Add(playFor)
	if trouble {
		wg.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				spared.Store(backends[i%len(backends)])
				rec.logf("all backends but %s refuse %.0f%% of the requests for %v", backends[i%len(backends)].id, 100*shedShare, shedFor)
				time.Sleep(shedFor)
				spared.Store(nil)
				time.Sleep(shedGap)
			}
		})
	}
	for i := range clients {
		wg.Go(func() {
			for time.Now().Before(end) {
				id := newID()
				status := bookInChunks(f.sides[i%4], id, body.Bytes())
				note(id, func(e *entry) { e.status = status })
				n, _ := statuses.LoadOrStore(status, new(atomic.Int64))
				n.(*atomic.Int64).Add(1)
			}
		})
	}
	wg.Wait()
	mu.Lock()
	for id, e := range ledger {
		rec.writef("request %s: %d bytes sent, answered with %d, refused %d times, run %d times with %d bytes", id, size, e.status, e.refusals, e.runs, e.bytes)
	}
	mu.Unlock()
	statuses.Range(func(k, v any) bool { rec.logf("clients: status %v: %d", k, v.(*atomic.Int64).Load()); return true })
	rec.logf("backends: %d refused, %d ran with the whole body, %d bodies broke off, %d ran with another body than was sent", refused.Load(), whole.Load(), cut.Load(), wrong.Load())
	switch {
	case wrong.Load() > 0:
		return broken
	case whole.Load() < 1000:
		return cannotRun
	}
	return held
}

// bookInChunks sends a request whose body is encoded in chunks, and returns the status of its answer, 0 without one.
func bookInChunks(m *machine, id string, chunks []byte) int {
	c, err := net.Dial("tcp", m.addr(m.fleet.ports.outbound))
	if err != nil {
		return 0
	}
	defer c.Close()
	head := fmt.Sprintf("POST /booking/x HTTP/1.1\r\nHost: %s\r\nGuavaford-Attempt-Id: %s\r\nGuavaford-Deadline-Ms: 5000\r\nAuthorization: Bearer key-one\r\nTransfer-Encoding: chunked\r\n\r\n", prefixHost, id)
	go func() { _, _ = c.Write(append([]byte(head), chunks...)) }()
	_ = c.SetReadDeadline(time.Now().Add(6 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: "POST"})
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
