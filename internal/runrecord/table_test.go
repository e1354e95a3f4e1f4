package runrecord

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

func apply(t require.TestingT, table *Table, req *apiv1.RunRequest) *apiv1.RunRecord {
	data, err := proto.Marshal(req)
	require.NoError(t, err)
	var resp apiv1.RunResponse
	require.NoError(t, proto.Unmarshal(table.Apply(0, data), &resp))
	return resp.GetRecord()
}

func claimBy(node string, number uint64, key string, at time.Duration) *apiv1.RunRequest {
	return &apiv1.RunRequest{Claim: &apiv1.RunClaim{
		Organisation: "kanzlei", Key: key, Digest: []byte("d"), Node: node, Number: number, NowUnixNs: int64(at),
	}}
}

func finishBy(node string, number uint64, key string, ran apiv1.Ran, at time.Duration) *apiv1.RunRequest {
	return &apiv1.RunRequest{Finish: &apiv1.RunFinish{
		Organisation: "kanzlei", Key: key, Node: node, Number: number, Ran: ran, Status: 201, NowUnixNs: int64(at),
	}}
}

// TestClaimJoinFinish guards against a second run of the same key while the record is kept, a key
// that is accepted for another request, and records beyond the limit.
func TestClaimJoinFinish(t *testing.T) {
	table := NewTable(Config{Retention: time.Minute, MaxRecords: 1})
	require.Equal(t, apiv1.RunState_RUN_STATE_CLAIMED, apply(t, table, claimBy("a", 1, "k", 0)).GetState())
	require.Equal(t, apiv1.RunState_RUN_STATE_CLAIMED, apply(t, table, claimBy("a", 1, "k", 0)).GetState())
	joined := apply(t, table, claimBy("b", 1, "k", 0))
	require.Equal(t, apiv1.RunState_RUN_STATE_RUNNING, joined.GetState())
	require.Equal(t, "a", joined.GetClaim().GetNode())

	other := claimBy("b", 2, "k", 0)
	other.Claim.Digest = []byte("other")
	require.Equal(t, apiv1.RunState_RUN_STATE_MISMATCH, apply(t, table, other).GetState())
	require.Equal(t, apiv1.RunState_RUN_STATE_FULL, apply(t, table, claimBy("b", 3, "k2", 0)).GetState())

	apply(t, table, finishBy("a", 1, "k", apiv1.Ran_RAN_YES, time.Second))
	apply(t, table, finishBy("a", 1, "k", apiv1.Ran_RAN_UNKNOWN, time.Second))
	recorded := apply(t, table, claimBy("b", 4, "k", 60*time.Second))
	require.Equal(t, apiv1.RunState_RUN_STATE_FINISHED, recorded.GetState())
	require.EqualValues(t, 201, recorded.GetFinish().GetStatus())
	require.Equal(t, apiv1.RunState_RUN_STATE_CLAIMED, apply(t, table, claimBy("b", 5, "k", 61*time.Second)).GetState())
}
