package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headClients  = 8
	headRequests = 6
	// headPause is the time between the two parts of a head.
	headPause = 50 * time.Millisecond
	// headTimeout is the timeout of the route, headLate how much later an answer is due at the latest.
	headTimeout = 800 * time.Millisecond
	headLate    = 500 * time.Millisecond
)

// runHead lets clients send requests whose head arrives in two parts.
func runHead(env *environment) int {
	f, err := newFleet(env.program, env.folder, 5, []string{"huvo11a", "kafi81c"}, env.record)
	if err != nil {
		env.record.note("fleet: %v", err)
		return notRun
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		env.record.note("start: %v", err)
		return notRun
	}
	for _, h := range f.sides {
		b, err := startBackend(h, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Guavaford-Response-Signature", "sig-"+r.Header.Get("Guavaford-Attempt-Id"))
			fmt.Fprint(w, h.service)
		})
		if err != nil {
			env.record.note("backend: %v", err)
			return notRun
		}
		defer b.close()
	}
	o := newOperator(f)
	routes := []string{route("r-main", "/leny950/", "idempotent", fmt.Sprintf("%dms", headTimeout.Milliseconds()), "kafi81c", false)}
	if !eventually(30*time.Second, func() bool { return o.change(routes, []string{"huvo11a", "kafi81c"}, 5*time.Second) }) {
		return notRun
	}
	entry := f.sides[0]
	probe := &client{address: entry.at(outboundPort)}
	if !eventually(20*time.Second, func() bool {
		return isReady(entry) && probe.send(http.MethodGet, "hulo84.example", "/leny950/x", "probe", 6*time.Second).status == http.StatusOK
	}) {
		env.record.note("no request is served")
		return notRun
	}
	probe.close()
	time.Sleep(4 * time.Second)
	var all, unanswered, stillUnanswered atomic.Int64
	var clients sync.WaitGroup
	for n := range headClients {
		clients.Go(func() {
			for i := range headRequests {
				id := fmt.Sprintf("c%d-%d", n, i)
				took, status := sendHead(env, entry, id)
				all.Add(1)
				if took > headTimeout {
					unanswered.Add(1)
				}
				if took > headTimeout+headLate {
					stillUnanswered.Add(1)
				}
				env.record.note("answered %s: status %d, %v after its last byte", id, status, took.Round(time.Millisecond))
			}
		})
	}
	clients.Wait()
	env.record.note("%d requests, %d unanswered at the timeout of their route, %d of these half a second later", all.Load(), unanswered.Load(), stillUnanswered.Load())
	if 2*stillUnanswered.Load() > unanswered.Load() {
		return broken
	}
	return held
}

// sendHead sends one request on a new connection, its head in one part or in two, and returns the time from its last byte to the answer
// and the status of that; 0 for a connection that was closed.
func sendHead(env *environment, h *host, id string) (time.Duration, int) {
	c, err := net.DialTimeout("tcp", h.at(outboundPort), time.Second)
	if err != nil {
		return 0, 0
	}
	defer c.Close()
	text := fmt.Sprintf("GET /leny950/%s HTTP/1.1\r\nHost: hulo84.example\r\nGuavaford-Attempt-Id: %s\r\nGuavaford-Deadline-Ms: 6000\r\nAuthorization: Bearer %s\r\nUser-Agent: review\r\n\r\n", id, id, apiKey)
	if env.trouble {
		_, _ = io.WriteString(c, text[:len(text)/2])
		time.Sleep(headPause)
		text = text[len(text)/2:]
	}
	_, _ = io.WriteString(c, text)
	sent := time.Now()
	env.record.note("sent %s", id)
	_ = c.SetReadDeadline(sent.Add(7 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return time.Since(sent), 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return time.Since(sent), resp.StatusCode
}
