package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// bigRoutes is the number of routes by which the desired state grows.
	bigRoutes = 1400
	// memoryChanges is the number of changes of one route that follow.
	memoryChanges = 1000
	memoryLimit   = 105 * time.Second
	// fatalEnds is how often processes must end on half of the core for the rule.
	fatalEnds = 3
)

// runMemory sends hundreds of changes of a desired state with many routes. The platform kills a process whose memory is over its limit.
func runMemory(env *environment) int {
	f, err := newFleet(env.program, env.folder, 5, []string{"huvo11a"}, env.record)
	if err != nil {
		env.record.note("fleet: %v", err)
		return notRun
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		env.record.note("start: %v", err)
		return notRun
	}
	services := []string{"huvo11a"}
	o := newOperator(f)
	main := func(n int) string {
		return route("r-main", "/leny950/", "idempotent", fmt.Sprintf("%dms", 6000+n%2), "huvo11a", false)
	}
	if !eventually(30*time.Second, func() bool { return o.change([]string{main(0)}, services, 5*time.Second) }) {
		return notRun
	}
	w := &memoryWatch{fleet: f, ends: make([]int, len(f.core)), stop: make(chan struct{})}
	var watching sync.WaitGroup
	watching.Go(w.run)
	rows := []string{}
	if env.trouble {
		for i := range bigRoutes {
			rows = append(rows, bigRoute(i))
		}
	}
	began := time.Now()
	acknowledged := 0
	for n := 1; n <= memoryChanges && time.Since(began) < memoryLimit && !w.fatal(); n++ {
		if o.change(append([]string{main(n)}, rows...), services, 5*time.Second) {
			acknowledged++
		}
		if n%25 == 0 {
			env.record.note("%d changes sent, %d acknowledged, resident MB %v", n, acknowledged, memoryOf(f))
		}
	}
	env.record.note("%d changes acknowledged in %v", acknowledged, time.Since(began).Round(time.Second))
	close(w.stop)
	watching.Wait()
	for i, h := range f.core {
		env.record.note("%s: ended %d times with its memory over %d MB", h.name, w.ends[i], coreMemoryMB)
	}
	if acknowledged == 0 {
		return notRun
	}
	if w.fatal() {
		return broken
	}
	return held
}

func memoryOf(f *fleet) []int {
	var all []int
	for _, h := range f.core {
		pid, _ := h.running()
		all = append(all, residentMB(pid))
	}
	return all
}

// memoryWatch kills each core process whose memory is over the limit and starts it again after a short delay, as the platform does.
type memoryWatch struct {
	fleet *fleet
	stop  chan struct{}

	mu   sync.Mutex
	ends []int
}

// fatal reports whether processes have ended by themselves on half of the core or more, and at least fatalEnds times.
func (w *memoryWatch) fatal() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	machines, all := 0, 0
	for _, n := range w.ends {
		all += n
		if n > 0 {
			machines++
		}
	}
	return 2*machines >= len(w.ends) && all >= fatalEnds
}

func (w *memoryWatch) run() {
	f := w.fleet
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for i, h := range f.core {
			pid, ok := h.running()
			mb := residentMB(pid)
			if ok && mb <= coreMemoryMB {
				continue
			}
			f.record.note("%s: memory %d MB, over %d MB, killed", h.name, mb, coreMemoryMB)
			h.kill()
			w.mu.Lock()
			w.ends[i]++
			w.mu.Unlock()
			f.bootstrap = false
			time.Sleep(300 * time.Millisecond)
			if err := h.start(); err != nil {
				f.record.note("%s: start: %v", h.name, err)
			}
		}
	}
}

// bigRoute is one of the routes by which the desired state grows. Each has a host of its own.
func bigRoute(i int) string {
	return fmt.Sprintf(`["r-accommodation-booking-court-%04d","accommodation-booking.court-%04d.semenanjung.akses-mahkamah.example",`+
		`"/accommodation/bookings/court-%04d/interpreters/","idempotent","6000ms","1500ms",2,null,2,false,"huvo11a"]`, i, i, i)
}
