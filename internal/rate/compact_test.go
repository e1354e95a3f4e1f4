package rate

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// TestRequestWithoutIdentityIsRestored guards against a request that reaches the owner under another identity
// than it was sent with: the owner would keep a second lease for the node.
func TestRequestWithoutIdentityIsRestored(t *testing.T) {
	connection := Identity{Node: "kl-1", Incarnation: 7}
	for name, identity := range map[string]Identity{
		"same as the connection":      connection,
		"leases started anew":         {Node: "kl-1", Incarnation: 8},
		"passed on for another node":  {Node: "kl-2", Incarnation: 7},
		"another node and its leases": {Node: "kl-2", Incarnation: 9},
	} {
		t.Run(name, func(t *testing.T) {
			r := &apiv1.LeaseRequest{
				Node: identity.Node, Incarnation: identity.Incarnation, Sequence: 3, Shard: 2, Epoch: 5,
				Demands: []*apiv1.TokenDemand{{Organisation: "kanzlei", Waiting: 1, Want: 1}},
			}
			sent := OmitIdentity(r, connection)
			data, err := proto.Marshal(sent)
			require.NoError(t, err)
			got := &apiv1.LeaseRequest{}
			require.NoError(t, proto.Unmarshal(data, got))
			FillIdentity(got, connection)
			require.True(t, proto.Equal(r, got), "%v", got)
		})
	}
	same := &apiv1.LeaseRequest{Node: "kl-1", Incarnation: 7, Sequence: 1}
	require.Empty(t, OmitIdentity(same, connection).GetNode(), "the request repeats the identity of its connection")
}
