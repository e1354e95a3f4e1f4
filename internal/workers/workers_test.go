package workers

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// TestJobsRunConcurrently guards against a job that waits for another one to end, and against leaked workers.
func TestJobsRunConcurrently(t *testing.T) {
	defer goleak.VerifyNone(t)
	p := New()
	defer p.Close()
	var running sync.WaitGroup
	all := make(chan struct{})
	running.Add(20)
	for range 20 {
		p.Go(func() {
			running.Done()
			<-all
		})
	}
	running.Wait()
	close(all)
}

// TestJobsRunInSequenceAndAfterClose guards against jobs that are lost when they follow each other at once or start
// after the pool was closed, and against leaked workers.
func TestJobsRunInSequenceAndAfterClose(t *testing.T) {
	defer goleak.VerifyNone(t)
	p := New()
	for range 100 {
		done := make(chan struct{})
		p.Go(func() { close(done) })
		<-done
	}
	p.Close()
	ran := make(chan struct{})
	p.Go(func() { close(ran) })
	select {
	case <-ran:
	case <-time.After(5 * time.Second):
		require.Fail(t, "a job that was started after Close did not run")
	}
}

// BenchmarkDeepStacks compares jobs that need a larger stack than a new goroutine has, on workers and on new
// goroutines.
func BenchmarkDeepStacks(b *testing.B) {
	job := func(done chan<- byte) func() { return func() { done <- recurse(40) } }
	b.Run("workers", func(b *testing.B) {
		p := New()
		defer p.Close()
		done := make(chan byte)
		for b.Loop() {
			p.Go(job(done))
			<-done
		}
	})
	b.Run("goroutines", func(b *testing.B) {
		done := make(chan byte)
		for b.Loop() {
			go job(done)()
			<-done
		}
	})
}

// recurse calls itself n times; with n = 40 it uses about 8 kB of stack.
func recurse(n int) byte {
	var frame [200]byte
	if n == 0 {
		return frame[0]
	}
	frame[n] = byte(n)
	return recurse(n-1) + frame[n]
}
