package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	lateClients = 8
	// contact and drain are the bounds of these names.
	contact = 3 * time.Second
	drain   = 2 * time.Second
	// lateBy is how late the report arrives that was sent before the backend left.
	lateBy = 1500 * time.Millisecond
	// lateServe is how long the backend that has left goes on serving.
	lateServe = 10 * time.Second
)

// runLate lets a backend leave without a word before, restarts the process on its machine, and delivers a report that the backend sent
// before it left.
func runLate(env *environment) int {
	f, err := newFleet(env.program, env.folder, 5, []string{"huvo11a", "kafi81c", "kafi81c"}, env.record)
	if err != nil {
		env.record.note("fleet: %v", err)
		return notRun
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		env.record.note("start: %v", err)
		return notRun
	}
	leaving := f.sides[1]
	// countFrom is the time from which a request that reaches the leaving backend breaks the rule, in nanoseconds; 0 for none yet.
	var countFrom, afterDrain atomic.Int64
	backends := map[*host]*backend{}
	for _, h := range f.sides {
		b, err := startBackend(h, func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("Guavaford-Attempt-Id")
			if from := countFrom.Load(); h == leaving && from > 0 && time.Now().UnixNano() > from {
				afterDrain.Add(1)
				env.record.note("%s reaches the backend that has left", id)
			}
			time.Sleep(20 * time.Millisecond)
			w.Header().Set("Guavaford-Response-Signature", "sig-"+id)
			fmt.Fprint(w, h.service)
		})
		if err != nil {
			env.record.note("backend: %v", err)
			return notRun
		}
		defer func() { _ = b.server.Close() }()
		backends[h] = b
	}
	o := newOperator(f)
	routes := []string{route("r-main", "/leny950/", "idempotent", "6000ms", "kafi81c", false)}
	if !eventually(30*time.Second, func() bool { return o.change(routes, []string{"huvo11a", "kafi81c"}, 5*time.Second) }) {
		return notRun
	}
	for _, h := range f.sides {
		if !eventually(20*time.Second, func() bool { return isReady(h) }) {
			return notRun
		}
	}
	time.Sleep(contact + time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var served atomic.Int64
	for n := range lateClients {
		clients.Go(func() {
			c := &client{address: f.sides[0].at(outboundPort)}
			defer c.close()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				id := fmt.Sprintf("c%d-%d", n, i)
				env.record.note("sent %s to %s", id, f.sides[0].name)
				got := c.send(http.MethodGet, "hulo84.example", "/leny950/"+id, id, 6*time.Second)
				env.record.note("answered %s: status %d, err %v", id, got.status, got.err)
				if got.status == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	b := backends[leaving]
	close(b.stop)
	late := b.nextReport()
	sent := time.Now()
	env.record.note("%s sends a report (ready), which is delayed on its way by %v", b.id, lateBy)
	status := b.remove()
	left := time.Now()
	env.record.note("%s leaves: DELETE is confirmed with status %d; it goes on serving for %v", b.id, status, lateServe)
	if status/100 != 2 {
		return notRun
	}
	// Without the trouble every machine is in touch all the time.
	inTouch := left
	if env.trouble {
		time.Sleep(200 * time.Millisecond)
		env.record.note("SIGKILL of the process on %s, which starts again", leaving.name)
		leaving.signal(syscall.SIGKILL)
		time.Sleep(300 * time.Millisecond)
		if err := leaving.start(); err != nil {
			return notRun
		}
		inTouch = time.Now().Add(contact)
		time.Sleep(time.Until(sent.Add(lateBy)))
		status := 0
		if !eventually(2*time.Second, func() bool { status = b.send(late); return status != 0 }) {
			return notRun
		}
		env.record.note("the delayed report arrives %v after it was sent: status %d", time.Since(sent).Round(time.Millisecond), status)
	}
	from := left.Add(drain)
	if inTouch.After(from) {
		from = inTouch
	}
	countFrom.Store(from.UnixNano())
	time.Sleep(time.Until(left.Add(lateServe)))
	close(stop)
	clients.Wait()
	env.record.note("%d requests served; %d reached the backend later than drain after it had left, passed on by machines in touch", served.Load(), afterDrain.Load())
	if served.Load() == 0 {
		return notRun
	}
	if afterDrain.Load() > 0 {
		return broken
	}
	return held
}

// remove deregisters the backend and returns the status; 0 without an answer.
func (b *backend) remove() int {
	req, err := http.NewRequest(http.MethodDelete, "http://"+b.host.at(controlPort)+"/instances/"+b.id, nil)
	if err != nil {
		return 0
	}
	resp, err := (&http.Client{Timeout: time.Second}).Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
