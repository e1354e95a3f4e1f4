package blackboard

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPublishWakesWatchers guards against watchers that miss a change or load the value before it.
func TestPublishWakesWatchers(t *testing.T) {
	first, second := 1, 2
	s := NewSection(&first)
	value, changed := s.Watch()
	require.Equal(t, 1, *value)
	s.Publish(&second)
	<-changed
	require.Equal(t, 2, *s.Load())
	require.Equal(t, uint64(1), s.Version())
}
