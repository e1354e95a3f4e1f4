// Package workers provides a pool of goroutines that run one job after another.
//
// A new goroutine starts with a small stack, which is copied each time it grows. A request makes it
// grow several times, which costs more than handing the request to a goroutine whose stack has already grown.
package workers

import (
	"sync"
	"time"
)

// idleTimeout is how long an idle worker waits for another job before it ends. It is long enough to keep workers
// during pauses between requests, and short enough that the additional workers of a burst end soon after it.
const idleTimeout = 2 * time.Second

// Pool runs jobs on workers. It starts a worker whenever no idle one takes a job, so the number of workers is
// not limited. It is safe for concurrent use.
type Pool struct {
	jobs      chan func()
	closed    chan struct{}
	closeOnce sync.Once
}

// New returns a pool without workers.
func New() *Pool {
	return &Pool{jobs: make(chan func()), closed: make(chan struct{})}
}

// Go runs a job on an idle worker or on a new one. It does not block.
func (p *Pool) Go(job func()) {
	select {
	case p.jobs <- job:
	default:
		go p.work(job)
	}
}

// work runs a job, and then others until none has arrived for idleTimeout or the pool is closed.
func (p *Pool) work(job func()) {
	timer := time.NewTimer(idleTimeout)
	defer timer.Stop()
	for {
		job()
		timer.Reset(idleTimeout)
		select {
		case job = <-p.jobs:
		case <-timer.C:
			return
		case <-p.closed:
			return
		}
	}
}

// Close ends idle workers. Running jobs go on. A job that is started later runs on a goroutine of its own.
func (p *Pool) Close() {
	p.closeOnce.Do(func() { close(p.closed) })
}
