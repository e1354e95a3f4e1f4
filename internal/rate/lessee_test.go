package rate

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
)

// grantTo gives a lessee tokens of an organisation.
func grantTo(l *Lessee, now time.Time, organisation string, tokens uint64, ttl time.Duration) {
	out := PendingRequest{SentAt: now, Request: &apiv1.LeaseRequest{
		Sequence: 1,
		Demands:  []*apiv1.TokenDemand{{Organisation: organisation}},
	}}
	l.ApplyResponse(now, out, &apiv1.LeaseResponse{Sequence: 1, Grants: []*apiv1.TokenGrant{{
		Organisation: organisation, LeaseId: 1, Tokens: tokens, TtlNs: int64(ttl),
	}}})
}

// TestTryTakeAllocatesNothing guards against memory allocations for each admitted request.
func TestTryTakeAllocatesNothing(t *testing.T) {
	now := time.Now()
	l := NewLessee(Config{}, Identity{Node: "n"}, 4, clock.System{})
	grantTo(l, now, "kanzlei", 1<<40, time.Hour)
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		charge, ok := l.TryTake(now, "kanzlei")
		if !ok || !charge.Valid() {
			t.Fatal("TryTake returned no token of a lease with tokens left")
		}
	}))
}

// TestRepeatedAnswersGrantTokensOnce guards against a repeated answer whose tokens are added again, and against tokens
// spent after the end of their lease.
func TestRepeatedAnswersGrantTokensOnce(t *testing.T) {
	now := time.Now()
	l := NewLessee(Config{}, Identity{Node: "n"}, 1, clock.System{})
	for range 3 {
		grantTo(l, now, "kanzlei", 2, time.Second)
	}
	_, first := l.TryTake(now, "kanzlei")
	_, second := l.TryTake(now.Add(time.Second-2), "kanzlei")
	_, third := l.TryTake(now, "kanzlei")
	require.Equal(t, []bool{true, true, false}, []bool{first, second, third})

	grantTo(l, now, "kanzlei", 3, time.Second)
	_, late := l.TryTake(now.Add(time.Second), "kanzlei")
	require.False(t, late, "spent after the lease had ended")
}

// BenchmarkTryTake measures taking tokens from leases in parallel, with a goroutine for each processor (8 with -cpu 8).
func BenchmarkTryTake(b *testing.B) {
	for _, organisations := range []int{1, 8, 1000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			benchmarkTryTake(b, organisations)
		})
	}
}

func benchmarkTryTake(b *testing.B, organisations int) {
	now := time.Now()
	l := NewLessee(Config{}, Identity{Node: "n"}, 4, clock.System{})
	names := make([]string, organisations)
	for i := range names {
		names[i] = fmt.Sprintf("organisation-%d", i)
		grantTo(l, now, names[i], 1<<40, time.Hour)
	}
	var worker atomic.Int64
	b.ReportAllocs()
	b.SetParallelism(1)
	b.RunParallel(func(pb *testing.PB) {
		i := int(worker.Add(1))
		for pb.Next() {
			i++
			if _, ok := l.TryTake(now, names[i%organisations]); !ok {
				b.Fatal("TryTake returned no token of a lease with tokens left")
			}
		}
	})
}

// BenchmarkRequests measures one check for due requests, by the number of active organisations.
func BenchmarkRequests(b *testing.B) {
	for _, organisations := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			l := NewLessee(Config{}, Identity{Node: "n"}, 32, clock.System{})
			now := time.Now()
			for i := range organisations {
				l.TryTake(now, fmt.Sprintf("organisation-%d", i))
			}
			l.Requests(now)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now = now.Add(time.Millisecond)
				l.Requests(now)
			}
		})
	}
}
