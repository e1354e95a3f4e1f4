package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// answerBurst: clients book, and many of them come at once. The answers are long; the clients read them as fast as they can. Meanwhile the
// machines that take the requests get SIGHUP, as planned work. With the disruption off, the same requests come evenly at the usual pace.
func answerBurst(rec *record, root string, trouble bool) verdict {
	const (
		// interp-booking has 187 requests a second at three backends, 62 at each. A burst of x = 1.6 is 100 in each second.
		waves, wave = 3, 100
		usualPace   = time.Second / 62
		answerSize  = 960000
		limit       = 5 * time.Second
	)
	routes := []route{{Name: "booking", Authority: prefixHost, Prefix: "/booking/", Kind: "non_idempotent", Timeout: "5000ms", Target: "1200ms", Attempts: 2, Service: "tempahan"}}
	f := setup(rec, root, []string{"jadual", "tempahan", "jadual"}, routes, []string{"jadual", "tempahan"})
	if f == nil {
		return cannotRun
	}
	defer f.close()
	answer := bytes.Repeat([]byte("answer--"), answerSize/8)
	b, err := startBackend(f.sides[1], "i-tempahan", 355, func(b *backend, c *backendConn, r *http.Request) bool {
		id := r.Header.Get("Guavaford-Attempt-Id")
		b.ran(id)
		time.Sleep(78 * time.Millisecond)
		err := c.answer(r, 200, answer)
		rec.logf("backend: request %s has run, whole answer sent, error: %v", id, err)
		return err == nil
	})
	if err != nil {
		rec.logf("cannot run: %v", err)
		return cannotRun
	}
	defer b.close()
	time.Sleep(4 * time.Second)
	entries := []*machine{f.sides[0], f.sides[2]}
	for _, m := range entries {
		m.signal(syscall.SIGHUP)
		rec.logf("platform: SIGHUP to %s", m.name)
	}
	var whole, cut, other atomic.Int64
	var wg sync.WaitGroup
	client := func(m *machine) {
		id, start := newID(), time.Now()
		status, got, err := book(m, id, limit)
		took := time.Since(start)
		rec.logf("client on %s: request %s: status %d, %d bytes of the answer after %.3f s, error: %v", m.name, id, status, got, took.Seconds(), err)
		switch {
		case status == 200 && err == nil && got == len(answer):
			whole.Add(1)
		case b.runsOf(id) > 0 && took < limit && (status == 200 || status == 0):
			cut.Add(1)
		default:
			other.Add(1)
		}
	}
	for range waves {
		// Planned work counts for requests sent up to config-apply (2 s) after it.
		for _, m := range entries {
			m.signal(syscall.SIGHUP)
			rec.logf("platform: SIGHUP to %s", m.name)
		}
		began := time.Now()
		for i := range wave {
			wg.Go(func() { client(entries[i%len(entries)]) })
			if !trouble {
				time.Sleep(usualPace)
			}
		}
		time.Sleep(time.Second - time.Since(began))
	}
	wg.Wait()
	rec.logf("requests: %d answered in full, %d that have run and whose connection ended without a complete answer before the time limit, %d others", whole.Load(), cut.Load(), other.Load())
	switch {
	case cut.Load() > 3:
		return broken
	case whole.Load() < waves*wave/4:
		rec.logf("cannot run: too few answers")
		return cannotRun
	}
	return held
}

// book sends a request on a connection that it keeps, and reads the answer.
func book(m *machine, id string, limit time.Duration) (status, got int, err error) {
	c, err := net.Dial("tcp", m.addr(m.fleet.ports.outbound))
	if err != nil {
		return 0, 0, err
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /booking/x HTTP/1.1\r\nHost: %s\r\nGuavaford-Attempt-Id: %s\r\nGuavaford-Deadline-Ms: %d\r\nAuthorization: Bearer key-one\r\nContent-Length: 0\r\n\r\n", prefixHost, id, limit.Milliseconds())
	_ = c.SetReadDeadline(time.Now().Add(limit))
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: "POST"})
	if err != nil {
		return 0, 0, err
	}
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, len(body), err
}
