package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// failoverLimit is the stated time in which control must be back after a replica is lost.
const failoverLimit = 2 * time.Second

// TestReplicaLossKeepsServing crashes each replica in turn and measures how long callers
// at the other hosts are refused although they are within their rate.
func TestReplicaLossKeepsServing(t *testing.T) {
	for i := range 3 {
		inSite(t, uint64(10+i), func(s *site) {
			time.Sleep(5 * time.Second)
			crashed := s.Hosts[i]
			crashed.Crash()
			start := time.Now()
			var last time.Duration
			refusals := make(map[string]int)
			for time.Since(start) < 10*time.Second {
				for _, h := range s.Hosts {
					if h == crashed {
						continue
					}
					if reply := s.book(h, "/warm"); !reply.OK() {
						last = time.Since(start)
						refusals[string(reply.Code)]++
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
			t.Logf("replica %s: last refusal %v after the crash, %v", crashed.Name, last, refusals)
			assert.LessOrEqual(t, last, failoverLimit, "%s: %v", crashed.Name, refusals)
		})
	}
}
