package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Guards against two attempts that both claim the same run record while a leader crashes.
func TestRunRecordsAreClaimedOnceAmidLeaderChanges(t *testing.T) {
	runWithCluster(t, 3, func(c *cluster) {
		winners := map[string]int{}
		var mu sync.Mutex
		var group sync.WaitGroup
		claim := func(key string, number uint64) {
			defer group.Done()
			request := &apiv1.RunRequest{Shard: uint32(len(key)+int(key[0])) % 3, Claim: &apiv1.RunClaim{
				Organisation: "o", Key: key, Digest: []byte("d"), Node: "n", Incarnation: 1, Number: number,
			}}
			for try := 0; ; try++ {
				name := c.names[(int(number)+try)%3]
				if c.hosts[name].cancel == nil {
					continue
				}
				response, err := c.hosts[name].replica.UpdateRunRecord(context.Background(), request)
				if err == nil && response.Record.State == apiv1.RunState_RUN_STATE_CLAIMED {
					mu.Lock()
					winners[key]++
					mu.Unlock()
				}
				if err == nil && response.Record.State != apiv1.RunState_RUN_STATE_UNAVAILABLE {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
		for i := range 30 {
			key := fmt.Sprint(i)
			for number := range uint64(4) {
				group.Add(1)
				go claim(key, number)
			}
			time.Sleep(100 * time.Millisecond)
			if i == 10 {
				c.crash(c.leader())
			}
		}
		group.Wait()
		for i := range 30 {
			require.Equal(t, 1, winners[fmt.Sprint(i)])
		}
	})
}
