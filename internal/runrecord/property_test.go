package runrecord

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20250211", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// oracle checks the responses for one key. Until the record expires, no attempt may run while
// another one runs, after one that may have run, or after its own release.
type oracle struct {
	holder   string
	state    apiv1.RunState
	changed  time.Duration
	released []string
}

func attemptName(node string, number uint64) string {
	return fmt.Sprintf("%s/%d", node, number)
}

func (o *oracle) checkClaim(t *rapid.T, name string, now, keep time.Duration) {
	if now-o.changed >= keep {
		*o = oracle{}
	}
	if o.holder == name && o.state == apiv1.RunState_RUN_STATE_RUNNING {
		return
	}
	if o.holder != "" {
		t.Fatalf("%s claimed the record although %s is %s", name, o.holder, o.state)
	}
	if slices.Contains(o.released, name) {
		t.Fatalf("%s claimed the record after its release", name)
	}
	o.holder = name
	o.state = apiv1.RunState_RUN_STATE_RUNNING
	o.changed = now
}

func (o *oracle) applyOutcome(name string, state apiv1.RunState, now, keep time.Duration) {
	if o.holder != name || o.state == state || now-o.changed >= keep {
		return
	}
	o.state = state
	o.changed = now
	if state == apiv1.RunState_RUN_STATE_UNSPECIFIED {
		o.released = append(o.released, name)
		o.holder = ""
	}
}

// TestAtMostOneRun guards against two runs of one key and against replicas that differ. The log may
// contain a request twice or late, and a replica may restore a snapshot at any point.
func TestAtMostOneRun(t *testing.T) {
	const keep = time.Minute
	claims := 0
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(Config{Retention: keep})
		replica := NewTable(Config{Retention: keep})
		keys := map[string]*oracle{"k1": {}, "k2": {}}
		var log []*apiv1.RunRequest
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 5).Draw(t, "seconds")) * time.Second
			req := drawRequest(t, log, now)
			log = append(log, proto.Clone(req).(*apiv1.RunRequest))
			record := apply(t, table, req)
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				data, err := replica.Snapshot()
				require.NoError(t, err)
				replica = NewTable(Config{Retention: keep})
				require.NoError(t, replica.Restore(data))
			}
			require.True(t, proto.Equal(record, apply(t, replica, req)), "replicas return different records")
			if c := req.GetClaim(); c != nil && record.GetState() == apiv1.RunState_RUN_STATE_CLAIMED {
				claims++
				keys[c.GetKey()].checkClaim(t, attemptName(c.GetNode(), c.GetNumber()), now, keep)
			}
			if f := req.GetFinish(); f != nil {
				keys[f.GetKey()].applyOutcome(attemptName(f.GetNode(), f.GetNumber()), record.GetState(), now, keep)
			}
		}
	})
	require.Positive(t, claims)
}

// drawRequest returns a new request or one from the log, with now as its time.
func drawRequest(t *rapid.T, log []*apiv1.RunRequest, now time.Duration) *apiv1.RunRequest {
	if len(log) > 0 && rapid.IntRange(0, 3).Draw(t, "repeat") == 0 {
		old := proto.Clone(rapid.SampledFrom(log).Draw(t, "old")).(*apiv1.RunRequest)
		if old.GetClaim() != nil {
			old.Claim.NowUnixNs = int64(now)
		} else {
			old.Finish.NowUnixNs = int64(now)
		}
		return old
	}
	key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
	node := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node")
	number := rapid.Uint64Range(1, 3).Draw(t, "number")
	if rapid.Bool().Draw(t, "claim") {
		return claimBy(node, number, key, now)
	}
	ran := rapid.SampledFrom([]apiv1.Ran{apiv1.Ran_RAN_NO, apiv1.Ran_RAN_YES, apiv1.Ran_RAN_UNKNOWN}).Draw(t, "ran")
	return finishBy(node, number, key, ran, now)
}

// TestLostRunIsNotRunAgain guards against a second run of a request that may have run, by any attempt,
// and against a late answer that does not replace the lost state.
func TestLostRunIsNotRunAgain(t *testing.T) {
	table := NewTable(Config{})
	apply(t, table, claimBy("a", 1, "k", 0))
	apply(t, table, finishBy("a", 1, "k", apiv1.Ran_RAN_UNKNOWN, time.Second))
	require.Equal(t, apiv1.RunState_RUN_STATE_LOST, apply(t, table, claimBy("b", 1, "k", time.Second)).GetState())
	require.Equal(t, apiv1.RunState_RUN_STATE_LOST, apply(t, table, claimBy("a", 1, "k", time.Second)).GetState())
	apply(t, table, finishBy("a", 1, "k", apiv1.Ran_RAN_YES, 2*time.Second))
	require.Equal(t, apiv1.RunState_RUN_STATE_FINISHED, apply(t, table, claimBy("b", 2, "k", 2*time.Second)).GetState())
}

// TestRunWithoutOutcomeIsLost guards against a record that stays RUNNING after its node has crashed.
func TestRunWithoutOutcomeIsLost(t *testing.T) {
	table := NewTable(Config{})
	first := claimBy("a", 1, "k", 0)
	first.Claim.TimeoutNs = int64(5 * time.Second)
	apply(t, table, first)
	require.Equal(t, apiv1.RunState_RUN_STATE_RUNNING, apply(t, table, claimBy("b", 1, "k", 5*time.Second+outcomeGrace)).GetState())
	require.Equal(t, apiv1.RunState_RUN_STATE_LOST, apply(t, table, claimBy("b", 1, "k", 6*time.Second+outcomeGrace)).GetState())
	apply(t, table, finishBy("a", 1, "k", apiv1.Ran_RAN_YES, time.Minute))
	require.Equal(t, apiv1.RunState_RUN_STATE_FINISHED, apply(t, table, claimBy("b", 1, "k", time.Minute)).GetState())
}

// TestLateClaimOfReleasedAttemptIsRefused guards against a claim that arrives after the release of its
// attempt and then blocks the key.
func TestLateClaimOfReleasedAttemptIsRefused(t *testing.T) {
	table := NewTable(Config{})
	apply(t, table, finishBy("a", 1, "k", apiv1.Ran_RAN_NO, 0))
	require.Equal(t, apiv1.RunState_RUN_STATE_UNSPECIFIED, apply(t, table, claimBy("a", 1, "k", 0)).GetState())
	require.Equal(t, apiv1.RunState_RUN_STATE_CLAIMED, apply(t, table, claimBy("b", 1, "k", 0)).GetState())
}

// TestMaxBytesRefusesClaimsAndOmitsBodies guards against a table that grows beyond MaxBytes, or that
// loses the state of a run whose answer does not fit.
func TestMaxBytesRefusesClaimsAndOmitsBodies(t *testing.T) {
	table := NewTable(Config{MaxBytes: 3000})
	require.Equal(t, apiv1.RunState_RUN_STATE_CLAIMED, apply(t, table, claimBy("a", 1, "k", 0)).GetState())
	big := finishBy("a", 1, "k", apiv1.Ran_RAN_YES, 0)
	big.Finish.Body = make([]byte, 4000)
	require.True(t, apply(t, table, big).GetFinish().GetBodyOmitted())
	for i := uint64(2); table.Bytes()+recordOverhead+100 < 3000; i++ {
		require.Equal(t, apiv1.RunState_RUN_STATE_CLAIMED, apply(t, table, claimBy("a", i, fmt.Sprint("k", i), 0)).GetState())
	}
	require.Equal(t, apiv1.RunState_RUN_STATE_FULL, apply(t, table, claimBy("a", 99, "last", 0)).GetState())
	require.Equal(t, apiv1.RunState_RUN_STATE_FINISHED, apply(t, table, claimBy("b", 1, "k", 0)).GetState())
	require.Error(t, table.Restore([]byte{0xff}))
	require.LessOrEqual(t, table.Bytes(), int64(3000))
}

// flakyService executes requests and drops some of the responses.
type flakyService struct {
	mu    sync.Mutex
	table *Table
	// dropped is the number of responses still to drop.
	dropped int
}

func (s *flakyService) dropResponses(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped = count
}

func (s *flakyService) UpdateRunRecord(_ context.Context, r *apiv1.RunRequest) (*apiv1.RunResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.table.execute(proto.Clone(r).(*apiv1.RunRequest))
	if s.dropped > 0 {
		s.dropped--
		return nil, errors.New("response dropped")
	}
	return &apiv1.RunResponse{Record: record}, nil
}

// TestClientResendsAndReleases guards against a claim that fails or blocks its key for good because its
// response was lost.
func TestClientResendsAndReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &flakyService{table: NewTable(Config{}), dropped: 3}
		c := NewClient(s, func() uint32 { return 4 })
		record, err := c.Claim(t.Context(), claimBy("a", 1, "k", 0).GetClaim())
		require.NoError(t, err)
		require.Equal(t, apiv1.RunState_RUN_STATE_CLAIMED, record.GetState())

		s.dropResponses(100)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		record, err = c.Claim(ctx, claimBy("a", 2, "other", 0).GetClaim())
		require.NoError(t, err)
		require.Equal(t, apiv1.RunState_RUN_STATE_UNAVAILABLE, record.GetState())
		s.dropResponses(0)
		time.Sleep(releaseTimeout)
		synctest.Wait()
		record, err = c.Claim(t.Context(), claimBy("b", 1, "other", 0).GetClaim())
		require.NoError(t, err)
		require.Equal(t, apiv1.RunState_RUN_STATE_CLAIMED, record.GetState(), "the claim without a response was not released")

		large := finishBy("b", 1, "other", apiv1.Ran_RAN_YES, 0).GetFinish()
		large.Body = make([]byte, MaxRecordedBody+1)
		require.NoError(t, c.Finish(t.Context(), large))
		record, err = c.Claim(t.Context(), claimBy("c", 1, "other", 0).GetClaim())
		require.NoError(t, err)
		require.True(t, record.GetFinish().GetBodyOmitted())
	})
}

// FuzzApply guards against entries and snapshots that cause a panic.
func FuzzApply(f *testing.F) {
	seed, err := proto.Marshal(claimBy("a", 1, "k", 0))
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		table := NewTable(Config{})
		var resp apiv1.RunResponse
		require.NoError(t, proto.Unmarshal(table.Apply(1, data), &resp))
		_ = table.Restore(data)
		_, err := table.Snapshot()
		require.NoError(t, err)
	})
}

// BenchmarkClaim measures claims through Apply, and the memory of a record with a 512-byte response body.
func BenchmarkClaim(b *testing.B) {
	for _, records := range []int{10_000, 100_000, 500_000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			benchmarkClaim(b, records)
		})
	}
}

func benchmarkClaim(b *testing.B, records int) {
	before := heapBytes()
	table := NewTable(Config{Retention: time.Hour, MaxBytes: 1 << 40, MaxRecords: 1 << 30})
	for i := range records {
		key := fmt.Sprintf("8c5f6b0e-4a7b-4b52-9a53-%012d", i)
		apply(b, table, claimBy("node-kl-01", uint64(i), key, 0))
		finish := finishBy("node-kl-01", uint64(i), key, apiv1.Ran_RAN_YES, 0)
		finish.Finish.Body = make([]byte, 512)
		apply(b, table, finish)
	}
	perRecord := float64(heapBytes()-before) / float64(records)
	estimated := float64(table.Bytes()) / float64(records)
	requests := make([][]byte, b.N)
	for i := range requests {
		data, err := proto.Marshal(claimBy("node-kl-01", uint64(i), fmt.Sprintf("new-key-of-a-client-%016d", i), 0))
		require.NoError(b, err)
		requests[i] = data
	}
	b.ResetTimer()
	for i := range requests {
		table.Apply(uint64(i), requests[i])
	}
	b.ReportMetric(perRecord, "heap-B/record")
	b.ReportMetric(estimated, "estimated-B/record")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	runtime.KeepAlive(table)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
