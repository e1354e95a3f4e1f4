package bench

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

const (
	// maxLatency is the largest latency that a histogram can record.
	maxLatency = time.Minute
	// idleConnTimeout is the time after which a caller closes connections that only a burst needed.
	idleConnTimeout = 10 * time.Second
	// significantDigits is the precision of histograms, in decimal digits.
	significantDigits = 3
)

// Load describes the HTTP calls of one measurement.
type Load struct {
	Client *http.Client
	URL    string
	// APIKey is the API key sent as bearer token; empty for calls that need none.
	APIKey string
	Body   []byte
	// Calls is the number of calls, Concurrency how many are in flight at a time.
	Calls       int
	Concurrency int
	// Rate is the number of calls started a second, at even intervals; with 0 the next call starts as
	// soon as one has ended.
	Rate float64
}

// Result holds the figures of one measurement.
type Result struct {
	// Latencies holds the latencies of successful calls, in nanoseconds from the time at which each
	// call was due.
	Latencies *hdrhistogram.Histogram
	Elapsed   time.Duration
	// Used is what this process used during the measurement: callers, nodes and targets together.
	Used Usage
	// Failed counts failed calls by their status or error.
	Failed map[string]int
}

// Quantile returns the latency at percentile q, which is from 0 to 100.
func (r *Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Latencies.ValueAtQuantile(q))
}

// Throughput returns successful calls a second.
func (r *Result) Throughput() float64 {
	return float64(r.Latencies.TotalCount()) / r.Elapsed.Seconds()
}

// Run makes the calls and returns when all have ended or ctx is done.
func (l *Load) Run(ctx context.Context) *Result {
	r := &Result{Latencies: newHistogram(), Failed: make(map[string]int)}
	var mu sync.Mutex
	var next atomic.Int64
	var workers sync.WaitGroup
	before := usage()
	start := time.Now()
	for range l.Concurrency {
		workers.Go(func() {
			own := newHistogram()
			failed := make(map[string]int)
			for i := next.Add(1) - 1; i < int64(l.Calls) && ctx.Err() == nil; i = next.Add(1) - 1 {
				due := l.waitUntilDue(start, i)
				if err := l.call(ctx); err != nil {
					failed[err.Error()]++
					continue
				}
				_ = own.RecordValue(int64(time.Since(due)))
			}
			mu.Lock()
			defer mu.Unlock()
			r.Latencies.Merge(own)
			for reason, n := range failed {
				r.Failed[reason] += n
			}
		})
	}
	workers.Wait()
	r.Elapsed = time.Since(start)
	after := usage()
	r.Used = Usage{
		Processor:   after.Processor - before.Processor,
		Allocations: after.Allocations - before.Allocations,
		Bytes:       after.Bytes - before.Bytes,
	}
	return r
}

// waitUntilDue waits until call i is due and returns that time.
func (l *Load) waitUntilDue(start time.Time, i int64) time.Time {
	if l.Rate <= 0 {
		return time.Now()
	}
	due := start.Add(time.Duration(float64(i) / l.Rate * float64(time.Second)))
	time.Sleep(time.Until(due))
	return due
}

func (l *Load) call(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.URL, bytes.NewReader(l.Body))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	if l.APIKey != "" {
		req.Header.Set("Authorization", "Bearer "+l.APIKey)
	}
	resp, err := l.Client.Do(req)
	if err != nil {
		return errors.New("no answer")
	}
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, resp.Body)
	switch {
	case err != nil:
		return errors.New("cut answer")
	case resp.StatusCode != http.StatusOK:
		return errors.New(resp.Status)
	case n != int64(len(l.Body)):
		return fmt.Errorf("answer of %d bytes", n)
	}
	return nil
}

// NewClient returns an HTTP client that keeps up to the given number of idle connections.
func NewClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns:        connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency), significantDigits)
}

// Usage is processor time, and the number and bytes of heap allocations.
type Usage struct {
	Processor   time.Duration
	Allocations uint64
	Bytes       uint64
}

// usage returns what this process has used so far.
func usage() Usage {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		panic("getrusage of this process failed: " + err.Error())
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return Usage{Processor: time.Duration(r.Utime.Nano() + r.Stime.Nano()), Allocations: m.Mallocs, Bytes: m.TotalAlloc}
}
