package faultsoak

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/vfs"
	"github.com/guavaford/guavaford/internal/wal"
)

// TestLoseDiskRemovesReplicaState guards against a fault without effect because control replicas keep their state in
// another folder.
func TestLoseDiskRemovesReplicaState(t *testing.T) {
	data := t.TempDir()
	open := func() (fresh bool) {
		log, _, err := wal.Open(vfs.OS{}, filepath.Join(data, controlFolder), "n1", func() *apiv1.ReplicaIdentity {
			fresh = true
			return &apiv1.ReplicaIdentity{Node: "n1"}
		})
		require.NoError(t, err)
		require.NoError(t, log.Close())
		return fresh
	}
	require.True(t, open())
	require.False(t, open())
	require.NoError(t, loseDisk(data))
	require.True(t, open(), "the state of the replica was not removed")
	require.NoError(t, loseDisk(t.TempDir()), "a node without a replica has no state to remove")
}
