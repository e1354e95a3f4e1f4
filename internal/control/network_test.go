package control

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Guards against messages that reach the wrong replica. A host that lost its disk comes back as a new replica
// at the same address; one batch may hold messages to both, and each must keep its sender and receiver.
func TestBatchKeepsEveryReceiver(t *testing.T) {
	messages := func() []*apiv1.RaftMessage {
		return []*apiv1.RaftMessage{
			{From: 1 << 60, To: 1 << 61, Term: 3}, {From: 1 << 60, To: 1<<61 + 1, Term: 3}, {From: 1<<60 + 1, To: 1 << 61, Term: 3},
		}
	}
	batch := &apiv1.RaftBatch{From: 1 << 60, To: 1 << 61, Messages: messages()}
	compactBatch(batch)
	require.Less(t, proto.Size(batch.Messages[0]), 5)
	expandBatch(batch)
	for i, m := range messages() {
		require.True(t, proto.Equal(m, batch.Messages[i]))
	}
}
