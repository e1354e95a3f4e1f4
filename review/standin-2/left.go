package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// leftBeforeKill: a backend deregisters and is confirmed, and goes on serving for a while. Right after the confirmation all processes are
// killed and started again. One of the backend's reports from before arrives late.
func leftBeforeKill(rec *record, root string, trouble bool) verdict {
	const (
		drain     = 2 * time.Second
		downFor   = 700 * time.Millisecond
		contact   = 3 * time.Second
		reportAt  = 4 * time.Second  // after the confirmation, when the delayed report arrives
		servesFor = 10 * time.Second // after the confirmation
	)
	routes := []route{{Name: "booking", Authority: prefixHost, Prefix: "/booking/", Kind: "non_idempotent", Timeout: "5000ms", Target: "1200ms", Attempts: 2, Service: "tempahan"}}
	f := setup(rec, root, []string{"jadual", "tempahan", "tempahan"}, routes, []string{"jadual", "tempahan"})
	if f == nil {
		return cannotRun
	}
	defer f.close()
	var mu sync.Mutex
	var confirmed, inTouchFrom time.Time
	late := 0
	handler := func(leaves bool) func(b *backend, c *backendConn, r *http.Request) bool {
		return func(b *backend, c *backendConn, r *http.Request) bool {
			mu.Lock()
			since, calm := time.Since(confirmed), time.Now().After(inTouchFrom)
			switch {
			case !leaves:
				rec.logf("backend %s: runs request %s", b.id, r.Header.Get("Guavaford-Attempt-Id"))
			case !confirmed.IsZero():
				rec.logf("backend %s: request %s arrives %.3f s after the confirmation, all machines in touch: %v", b.id, r.Header.Get("Guavaford-Attempt-Id"), since.Seconds(), calm)
				if since > drain && calm {
					late++
				}
			}
			mu.Unlock()
			return c.answer(r, 200, []byte("ok")) == nil
		}
	}
	stays, err := startBackend(f.sides[1], "i-stays", 50, handler(false))
	if err != nil {
		rec.logf("cannot run: %v", err)
		return cannotRun
	}
	defer stays.close()
	leaves, err := startBackend(f.sides[2], "i-leaves", 50, handler(true))
	if err != nil {
		rec.logf("cannot run: %v", err)
		return cannotRun
	}
	defer leaves.close()
	time.Sleep(4 * time.Second)
	leaves.mu.Lock()
	leaves.state = ""
	leaves.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	status := leaves.remove()
	if status != 200 {
		rec.logf("cannot run: DELETE -> %d", status)
		return cannotRun
	}
	mu.Lock()
	confirmed = time.Now()
	inTouchFrom = confirmed
	mu.Unlock()
	rec.logf("backend i-leaves: DELETE is confirmed; it goes on serving for %v", servesFor)
	if trouble {
		for _, m := range f.machines() {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range f.machines() {
			m.kill()
		}
		rec.logf("platform: all processes are killed")
		time.Sleep(downFor)
		f.bootstrap = false
		for _, m := range f.machines() {
			if err := m.start(); err != nil {
				rec.logf("cannot run: %v", err)
				return cannotRun
			}
		}
		mu.Lock()
		inTouchFrom = time.Now().Add(2 * contact)
		mu.Unlock()
		rec.logf("platform: all processes are started again")
	}
	time.Sleep(time.Until(confirmed.Add(reportAt)))
	// The delayed report is the last one before the DELETE.
	leaves.sequence.Add(^uint64(0))
	rec.logf("backend i-leaves: the delayed report (ready) arrives -> %d", leaves.report("ready"))
	var served, failed atomic.Int64
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			for time.Since(confirmed) < servesFor {
				id := newID()
				status, err := send(f.sides[i%3], "POST", "/booking/x", id, "key-one", 2*time.Second)
				rec.logf("client on %s: request %s -> %d", f.sides[i%3].name, id, status)
				if status == 200 && err == nil {
					served.Add(1)
				} else {
					failed.Add(1)
				}
				time.Sleep(40 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	rec.logf("clients: %d bookings answered with 200, %d others", served.Load(), failed.Load())
	mu.Lock()
	defer mu.Unlock()
	rec.logf("requests at the backend that has left, later than %v after the confirmation, with all machines in touch: %d", drain, late)
	switch {
	case late > 0:
		return broken
	case served.Load() < 20:
		return cannotRun
	}
	return held
}
