package node

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/outcome"
)

// link is one direction of the link between the nodes. All connections share its rate.
type link struct {
	mu   sync.Mutex
	next time.Time
}

// reserve returns when the last of n bytes has passed at a rate.
func (l *link) reserve(n, rate int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.next.Before(now) {
		l.next = now
	}
	l.next = l.next.Add(time.Duration(n) * time.Second / time.Duration(rate))
	return l.next
}

// relay passes bytes between a connection and an address at linkRate.
func (f *bodyFleet) relay(conn net.Conn, address string) {
	defer conn.Close()
	other, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer other.Close()
	var wg sync.WaitGroup
	wg.Go(func() { f.pass(conn, other, &f.there) })
	wg.Go(func() { f.pass(other, conn, &f.back) })
	wg.Wait()
}

// pass copies in packets of 1,400 bytes. What waits is bounded by small socket buffers, as at a switch.
func (f *bodyFleet) pass(from, to net.Conn, over *link) {
	defer to.Close()
	_ = from.(*net.TCPConn).SetReadBuffer(32 << 10)
	part := make([]byte, 1400)
	for {
		n, err := from.Read(part)
		if err != nil {
			return
		}
		time.Sleep(time.Until(over.reserve(n, f.linkRate)))
		if _, err := to.Write(part[:n]); err != nil {
			return
		}
	}
}

// heap returns the bytes of reachable objects.
func heap() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// TestUploadsAreStreamedInBoundedMemory guards against a node that holds whole bodies: 50 uploads of 8 MiB wait for targets that
// read nothing, through one node and through two.
func TestUploadsAreStreamedInBoundedMemory(t *testing.T) {
	const uploads, size = 50, 8 << 20
	// A body takes its buffered start and two parts of 32 KiB at the entry, and buffers of a part at both ends of an exchange.
	// Between nodes most is the window of its stream, 256 KiB, in a buffer that grows to several times that. The bound keeps
	// 50 uploads below half of the 184 MB that a process may have.
	const perUpload = 1536 << 10
	for nodes := 1; nodes <= 2; nodes++ {
		t.Run(fmt.Sprintf("through %d", nodes), func(t *testing.T) {
			f := newBodyFleet(t, nodes)
			_ = bodyPattern(size)
			before := heap()
			var wg sync.WaitGroup
			for i := range uploads {
				wg.Go(func() {
					id := fmt.Sprintf("upload-%d", i)
					p := plan{size: size, refuse: "stall", answer: 100, ends: "after"}
					a, err := f.send(t.Context(), "book", id, p, i%2 == 0, pace{})
					if assert.NoError(t, err) {
						assert.Equal(t, http.StatusOK, a.status, a.problem)
						assert.Equal(t, 1, checkRuns(t, f, id, p))
					}
				})
			}
			require.Eventually(t, func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return len(f.runs) == uploads
			}, 20*time.Second, 10*time.Millisecond)
			time.Sleep(300 * time.Millisecond)
			used := heap() - before
			close(f.stalled)
			wg.Wait()
			t.Logf("%d KiB for each upload", used/uploads>>10)
			require.Less(t, used, uploads*perUpload)
		})
	}
}

// TestUploadsThatCantArriveInTimeAreRefusedAsNotRun guards against uploads that fill a narrowed link and come too late: what is sent in the
// last 3 s before a time limit takes 5 s on the link. Those that are refused reach no target.
func TestUploadsThatCantArriveInTimeAreRefusedAsNotRun(t *testing.T) {
	const first, second, size = 20, 40, 60_000
	f := newNarrowBodyFleet(t, 2, 700_000)
	var wg sync.WaitGroup
	answers := make([]bodyAnswer, first+second)
	upload := func(i int) {
		wg.Go(func() {
			a, err := f.send(t.Context(), "book", fmt.Sprintf("u-%d", i), plan{size: size, refuse: "no", answer: 100, ends: "after"}, false, pace{limit: 3 * time.Second})
			if assert.NoError(t, err) {
				answers[i] = a
			}
		})
	}
	for i := range first {
		upload(i)
	}
	time.Sleep(600 * time.Millisecond)
	for i := range second {
		upload(first + i)
	}
	wg.Wait()
	served, refused := 0, 0
	for i, a := range answers {
		switch {
		case a.status == http.StatusOK:
			served++
		case strings.Contains(a.problem, string(outcome.LinkTooSlow)):
			refused++
			require.Contains(t, a.problem, `"ran":"no"`)
			require.NotEmpty(t, a.retryAfter)
			f.mu.Lock()
			require.Empty(t, f.runs[fmt.Sprintf("u-%d", i)])
			f.mu.Unlock()
		}
	}
	t.Logf("%d of %d served, %d refused", served, len(answers), refused)
	require.Positive(t, refused)
	require.GreaterOrEqual(t, served, first/2)
}

// BenchmarkSmallCallBesideUploads measures small calls between two nodes beside 50 callers that upload 60,000 bytes again and
// again, over a link of 200 Mbit/s and one of 5.6 Mbit/s.
func BenchmarkSmallCallBesideUploads(b *testing.B) {
	for _, uploads := range []int{0, 50} {
		for _, rate := range []int{25_000_000, 700_000} {
			b.Run(fmt.Sprintf("%d uploads, %d bytes per s", uploads, rate), func(b *testing.B) {
				f := newNarrowBodyFleet(b, 2, rate)
				stop := make(chan struct{})
				var wg sync.WaitGroup
				var mu sync.Mutex
				var finished []time.Duration
				lost := 0
				for u := range uploads {
					wg.Go(func() {
						for i := 0; ; i++ {
							select {
							case <-stop:
								return
							default:
							}
							p := plan{size: 60_000, refuse: "no", answer: 100, ends: "after"}
							a, err := f.send(b.Context(), "book", fmt.Sprintf("u-%d-%d", u, i), p, false, pace{})
							mu.Lock()
							if err == nil && a.status == http.StatusOK {
								finished = append(finished, a.all)
							} else {
								lost++
							}
							mu.Unlock()
						}
					})
				}
				time.Sleep(time.Second)
				var took []time.Duration
				failed := 0
				for i := 0; b.Loop(); i++ {
					a, err := f.send(b.Context(), "get", fmt.Sprintf("s-%d", i), plan{size: 100, refuse: "no", answer: 100, ends: "after"}, false, pace{})
					if err != nil || a.status != http.StatusOK {
						failed++
						continue
					}
					took = append(took, a.all)
				}
				close(stop)
				wg.Wait()
				report(b, "small", took)
				report(b, "upload", finished)
				b.ReportMetric(float64(failed), "failed")
				b.ReportMetric(float64(len(finished)), "uploads-served")
				b.ReportMetric(float64(lost), "uploads-not-served")
			})
		}
	}
}

// report reports the median and the 99th percentile of times.
func report(b *testing.B, name string, took []time.Duration) {
	if len(took) == 0 {
		return
	}
	slices.Sort(took)
	b.ReportMetric(took[len(took)/2].Seconds()*1000, name+"-p50-ms")
	b.ReportMetric(took[len(took)*99/100].Seconds()*1000, name+"-p99-ms")
}
