package fleet

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// failoverLimit is the documented time within which control must work again after the loss of a replica.
const failoverLimit = 2 * time.Second

// TestReplicaLossKeepsServing guards against a slow failover. It crashes each replica in turn, one per fleet, and
// measures until when callers at the other hosts are refused although they are within their rate limit.
func TestReplicaLossKeepsServing(t *testing.T) {
	replicas := 3
	if testing.Short() {
		replicas = 1
	}
	for i := range replicas {
		withFleet(t, uint64(10+i), func(s *testFleet) {
			keys := s.keysOfSeveralShards()
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
					for _, key := range keys {
						began := time.Since(start)
						reply := h.Call(Request{Method: http.MethodPost, Path: "/bookings/warm", Key: key.Text, Timeout: 500 * time.Millisecond})
						if !reply.OK() {
							last = began
							refusals[string(reply.Code)]++
						}
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
			t.Logf("replica %s crashed: last refusal after %v, refusals by code: %v", crashed.Name, last, refusals)
			assert.LessOrEqual(t, last, failoverLimit, "time of the last refusal after %s crashed; refusals by code: %v", crashed.Name, refusals)
		})
	}
}

// keysOfSeveralShards issues keys of several organisations, so that their rates are counted in different shards with
// different owners.
func (s *testFleet) keysOfSeveralShards() []Key {
	keys := []Key{s.key}
	for i := range 5 {
		name := fmt.Sprintf("shard-%d", i)
		doc := fmt.Sprintf("kind: Organisation\nname: %s\nlabels: {size: large}\n", name)
		require.NoError(s.t, s.Hosts[0].Apply(name, doc, settleTimeout))
		key, err := s.Hosts[0].IssueKey(name, settleTimeout)
		require.NoError(s.t, err)
		keys = append(keys, key)
	}
	return keys
}
