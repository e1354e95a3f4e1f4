package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// backend is a stand-in for an application backend beside a sidecar machine, as PROTOCOL.md describes it.
type backend struct {
	host    *host
	id      string
	handler http.HandlerFunc
	born    int64

	mu       sync.Mutex
	sequence uint64
	state    string
	server   *http.Server
	stop     chan struct{}
}

// startBackend starts a backend that reports itself to its machine every heartbeat.
func startBackend(h *host, handler http.HandlerFunc) (*backend, error) {
	l, err := net.Listen("tcp", h.at(appPort))
	if err != nil {
		return nil, err
	}
	b := &backend{host: h, id: "i-" + h.name, handler: handler, born: time.Now().UnixMilli(), state: "ready", stop: make(chan struct{})}
	b.server = &http.Server{Handler: b, IdleTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(l) }()
	go b.report()
	return b, nil
}

// ServeHTTP answers health probes and requests for other instances, and passes the rest to the handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Guavaford-Instance-Id", b.id)
		return
	}
	id := r.Header.Get("Guavaford-Attempt-Id")
	if id != "" {
		w.Header().Set("Guavaford-Attempt-Id", id)
	}
	if want := r.Header.Get("Guavaford-Expect-Instance"); want != "" && want != b.id {
		w.Header().Set("Guavaford-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.host.fleet.record.note("run %s at %s %s %s", id, b.id, r.Method, r.URL.Path)
	b.handler(w, r)
}

// body returns the text of the next liveness report.
func (b *backend) nextReport() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	return fmt.Sprintf(`{"address":"%s","born":%d,"info":{"service":"%s","version":"v1","zone":"%s","slots":87},"status":{"state":"%s","sequence":%d,"cold-left":"0ms"}}`,
		b.host.at(appPort), b.born, b.host.service, b.host.zone, b.state, b.sequence)
}

// send sends a report to the control address of the own machine and returns the status; 0 without an answer.
func (b *backend) send(text string) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPut, "http://"+b.host.at(controlPort)+"/instances/"+b.id, bytes.NewReader([]byte(text)))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (b *backend) report() {
	for {
		pause := 1500 * time.Millisecond
		if status := b.send(b.nextReport()); status/100 != 2 {
			pause = 200 * time.Millisecond
		}
		select {
		case <-b.stop:
			return
		case <-time.After(pause):
		}
	}
}

func (b *backend) close() {
	close(b.stop)
	_ = b.server.Close()
}
