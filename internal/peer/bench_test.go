package peer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// BenchmarkCall measures one call over loopback, by body size and by calls in flight per processor.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{128, 1 << 20} {
		for _, parallel := range []int{1, 8} {
			b.Run(fmt.Sprintf("bytes=%d/parallel=%d", size, parallel), func(b *testing.B) {
				benchmarkCall(b, size, parallel)
			})
		}
	}
}

func benchmarkCall(b *testing.B, size, parallel int) {
	_, pool, address := startLoopback(b, echo)
	body := make([]byte, size)
	var number atomic.Uint64
	b.SetBytes(int64(size))
	b.ReportAllocs()
	call := func() {
		answer, err := pool.Call(context.Background(), address, newCall(number.Add(1), size), lend(bytes.NewReader(body)))
		require.NoError(b, err)
		_, err = io.Copy(io.Discard, answer.Body)
		require.NoError(b, err)
		_ = answer.Body.Close()
	}
	call()
	b.ResetTimer()
	before := cpuTime(b)
	defer func() { b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N)/1e3, "cpu-us/op") }()
	if parallel == 1 {
		for range b.N {
			call()
		}
		return
	}
	b.SetParallelism(parallel)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			call()
		}
	})
}

// cpuTime returns the processor time used by this process so far, which includes both ends of the calls.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkUnary measures one unary exchange over loopback.
func BenchmarkUnary(b *testing.B) {
	_, pool, address := startLoopback(b, echo)
	b.ReportAllocs()
	for range b.N {
		var resp apiv1.LeaseResponse
		require.NoError(b, Unary(context.Background(), pool, address, apiv1.Method_METHOD_LEASE, &apiv1.LeaseRequest{Sequence: 1}, &resp))
	}
}
