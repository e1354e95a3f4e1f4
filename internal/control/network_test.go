package control

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// TestBatchKeepsEveryReceiver: a host that lost its disk is a new replica at the address of the former one. Messages
// to both may leave in one batch, and each must come back as it was.
func TestBatchKeepsEveryReceiver(t *testing.T) {
	messages := func() []*apiv1.RaftMessage {
		return []*apiv1.RaftMessage{
			{From: 1 << 60, To: 1 << 61, Term: 3}, {From: 1 << 60, To: 1<<61 + 1, Term: 3}, {From: 1<<60 + 1, To: 1 << 61, Term: 3},
		}
	}
	batch := &apiv1.RaftBatch{From: 1 << 60, To: 1 << 61, Messages: messages()}
	shrinkBatch(batch)
	require.Less(t, proto.Size(batch.Messages[0]), 5)
	restoreBatch(batch)
	for i, m := range messages() {
		require.True(t, proto.Equal(m, batch.Messages[i]))
	}
}
