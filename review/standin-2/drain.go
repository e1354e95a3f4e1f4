package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// send sends one request on a new connection and returns the status, 0 without an answer.
func send(m *machine, method, path, id, key string, limit time.Duration) (int, error) {
	c, err := net.DialTimeout("tcp", m.addr(m.fleet.ports.outbound), time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	auth := ""
	if key != "" {
		auth = "Authorization: Bearer " + key + "\r\n"
	}
	length := ""
	if method == "POST" {
		length = "Content-Length: 0\r\n"
	}
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nGuavaford-Attempt-Id: %s\r\nGuavaford-Deadline-Ms: %d\r\n%s%s\r\n", method, path, prefixHost, id, limit.Milliseconds(), auth, length)
	_ = c.SetReadDeadline(time.Now().Add(limit + 500*time.Millisecond))
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return 0, err
	}
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, err
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// drainUnderLoad: one of three backends turns slow, and calls that another backend makes for its requests wait for a slot of it. It then reports that
// it drains. With the disruption off, it does not turn slow.
func drainUnderLoad(rec *record, root string, trouble bool) verdict {
	const (
		slots = 10
		drain = 2 * time.Second
		quick = 280 * time.Millisecond
		// The site file has srv_slow with x = 12 for 9 s.
		slow    = 12 * quick
		slowFor = 9 * time.Second
	)
	routes := []route{
		{Name: "hearing", Authority: prefixHost, Prefix: "/hearing/", Kind: "idempotent", Timeout: "5000ms", Target: "1200ms", Attempts: 2, Service: "jadual"},
		{Name: "venue", Authority: prefixHost, Prefix: "/venue/", Kind: "idempotent", Timeout: "6000ms", Target: "1500ms", Attempts: 2, Service: "premis"},
		{Name: "status", Authority: prefixHost, Prefix: "/status/", Kind: "idempotent", Timeout: "5000ms", Target: "1000ms", Attempts: 2, Public: true, Service: "premis"},
	}
	f := setup(rec, root, []string{"jadual", "premis", "premis", "premis"}, routes, []string{"jadual", "premis"})
	if f == nil {
		return cannotRun
	}
	defer f.close()
	var slowNow atomic.Bool
	var mu sync.Mutex
	var confirmed time.Time // when the backend that drains got its confirmation
	late, inTime := 0, 0
	handler := func(leaves bool) func(b *backend, c *backendConn, r *http.Request) bool {
		return func(b *backend, c *backendConn, r *http.Request) bool {
			id, work := r.Header.Get("Guavaford-Attempt-Id"), quick
			b.ran(id)
			rec.logf("backend %s: runs request %s (%s)", b.id, id, r.URL.Path)
			if leaves && slowNow.Load() {
				work = slow
			}
			if leaves {
				mu.Lock()
				if !confirmed.IsZero() {
					since := time.Since(confirmed)
					if since > drain {
						late++
						rec.logf("backend %s: request %s (%s) arrives %.3f s after the confirmation", b.id, id, r.URL.Path, since.Seconds())
					} else {
						inTime++
					}
				}
				mu.Unlock()
			}
			time.Sleep(work)
			return c.answer(r, 200, []byte("ok")) == nil
		}
	}
	// The backend of jadual makes one call for each request, within the time that the request has left.
	caller, err := startBackend(f.sides[0], "i-jadual", 267, func(b *backend, c *backendConn, r *http.Request) bool {
		left, _ := strconv.Atoi(r.Header.Get("Guavaford-Deadline-Ms"))
		id := r.Header.Get("Guavaford-Attempt-Id")
		status, _ := send(b.machine, "GET", "/status/x", id+"."+newID(), "", time.Duration(left)*time.Millisecond)
		if status != 200 {
			return c.answer(r, 500, nil) == nil
		}
		return c.answer(r, 200, []byte("ok")) == nil
	})
	if err != nil {
		rec.logf("cannot run: %v", err)
		return cannotRun
	}
	defer caller.close()
	for i, m := range f.sides[1:3] {
		stays, err := startBackend(m, fmt.Sprintf("i-stays-%d", i+1), slots, handler(false))
		if err != nil {
			rec.logf("cannot run: %v", err)
			return cannotRun
		}
		defer stays.close()
	}
	leaves, err := startBackend(f.sides[3], "i-leaves", slots, handler(true))
	if err != nil {
		return cannotRun
	}
	defer leaves.close()
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	var answers sync.Map
	count := func(what string, status int, err error) {
		key := fmt.Sprintf("%s: status %d, error %v", what, status, err != nil)
		n, _ := answers.LoadOrStore(key, new(atomic.Int64))
		n.(*atomic.Int64).Add(1)
	}
	client := func(path, key string, limit time.Duration) {
		wg.Go(func() {
			id := newID()
			status, err := send(f.sides[0], "GET", path, id, key, limit)
			rec.logf("client: request %s for %s -> %d", id, path, status)
			count(path[:3], status, err)
		})
	}
	// A calm start, in which nothing is slow.
	for range 100 {
		client("/venue/a", "key-one", 6*time.Second)
		client("/hearing/a", "key-one", 5*time.Second)
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	if trouble {
		slowNow.Store(true)
		time.AfterFunc(slowFor, func() { slowNow.Store(false) })
		rec.logf("backend i-leaves turns slow")
	}
	for range 24 {
		client("/venue/b", "key-one", 6*time.Second)
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	for range 16 {
		client("/hearing/b", "key-one", 5*time.Second)
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	leaves.mu.Lock()
	leaves.state = "draining"
	leaves.mu.Unlock()
	status := 0
	for until := time.Now().Add(3 * time.Second); status != 200 && time.Now().Before(until); {
		status = leaves.report("draining")
	}
	if status != 200 {
		rec.logf("cannot run: draining is not confirmed (%d)", status)
		return cannotRun
	}
	mu.Lock()
	confirmed = time.Now()
	mu.Unlock()
	rec.logf("backend i-leaves: draining is confirmed")
	// New requests go on.
	for range 40 {
		client("/venue/c", "key-one", 3*time.Second)
		client("/hearing/c", "key-one", 5*time.Second)
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	rec.logf("backend i-leaves: DELETE -> %d", leaves.remove())
	leaves.mu.Lock()
	leaves.state = ""
	leaves.mu.Unlock()
	answers.Range(func(k, v any) bool { rec.logf("clients: %v: %d", k, v.(*atomic.Int64).Load()); return true })
	mu.Lock()
	defer mu.Unlock()
	rec.logf("requests at the backend after its confirmation: %d within %v, %d later", inTime, drain, late)
	if late > 0 {
		return broken
	}
	return held
}
