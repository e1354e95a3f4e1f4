package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	answerClients = 8
	// largeAnswer and smallAnswer are the sizes of an answer in bytes, with and without the trouble.
	largeAnswer = 200_000
	smallAnswer = 60_000
	// answerWork is how long a backend works between the head and the body of an answer.
	answerWork = 50 * time.Millisecond
	answerRun  = 20 * time.Second
	// allowedUnanswered is how often a kept connection may be closed without an answer.
	allowedUnanswered = 3
	// firstPath begins the paths of requests with short answers.
	firstPath = "/puka111/short/"
)

// runAnswers lets clients of one machine download from sound backends over kept connections. Nothing else happens.
func runAnswers(env *environment) int {
	size := smallAnswer
	if env.trouble {
		size = largeAnswer
	}
	answerTo := func(path, id string) []byte {
		if strings.HasPrefix(path, firstPath) {
			return []byte(id)
		}
		return bytes.Repeat([]byte(fmt.Sprintf("%-20s", id)), size/20)
	}
	var ran sync.Map
	serve := func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Guavaford-Attempt-Id")
		ran.Store(id, true)
		w.Header().Set("Guavaford-Response-Signature", "sig-"+id)
		answer := answerTo(r.URL.Path, id)
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(answerWork)
		_, _ = w.Write(answer)
	}
	f, err := newFleet(env.program, env.folder, 5, []string{"kafi81c", "kafi81c", "kafi81c"}, env.record)
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
		b, err := startBackend(h, serve)
		if err != nil {
			env.record.note("backend: %v", err)
			return notRun
		}
		defer b.close()
	}
	o := newOperator(f)
	routes := []string{route("r-export", "/puka111/", "download", "6000ms", "kafi81c", false)}
	if !eventually(30*time.Second, func() bool { return o.change(routes, []string{"kafi81c"}, 5*time.Second) }) {
		env.record.note("the first desired state is not accepted")
		return notRun
	}
	entry := f.sides[0]
	if !eventually(20*time.Second, func() bool { return isReady(entry) }) {
		env.record.note("%s is not ready", entry.name)
		return notRun
	}
	// Every machine is in touch once nothing has happened to it for the bound contact.
	time.Sleep(4 * time.Second)
	var served, silent, cut, other atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range answerClients {
		clients.Go(func() {
			c := &client{address: entry.at(outboundPort)}
			defer c.close()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				// The first request of a connection is a small one, so that the download comes over a kept connection.
				id, path := fmt.Sprintf("c%d-%d", n, i), "/puka111/export/"
				if c.conn == nil {
					path = firstPath
				}
				env.record.note("sent %s %s%s, on a kept connection: %v", id, path, id, c.conn != nil)
				got := c.send(http.MethodGet, "hulo84.example", path+id, id, 6*time.Second)
				_, hasRun := ran.Load(id)
				whole := got.status == http.StatusOK && got.err == nil && bytes.Equal(got.body, answerTo(path, id))
				env.record.note("answered %s: status %d, %d bytes, body whole %v, run %v, err %v", id, got.status, got.bytes, whole, hasRun, got.err)
				switch {
				case path == firstPath && whole:
				case whole:
					served.Add(1)
				case got.kept && got.bytes == 0 && hasRun:
					silent.Add(1)
				case got.kept && got.err != nil && hasRun:
					cut.Add(1)
				default:
					other.Add(1)
				}
			}
		})
	}
	time.Sleep(answerRun)
	close(stop)
	clients.Wait()
	env.record.note("downloads of %d bytes over kept connections: %d whole, %d connections closed without a byte of the answer, %d within it; %d other failures",
		size, served.Load(), silent.Load(), cut.Load(), other.Load())
	if served.Load()+silent.Load()+cut.Load() == 0 {
		return notRun
	}
	if silent.Load() > allowedUnanswered {
		return broken
	}
	return held
}

// isReady asks a machine as the provider does.
func isReady(h *host) bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + h.at(readyPort) + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
