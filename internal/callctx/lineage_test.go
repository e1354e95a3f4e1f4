package callctx

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLineageFindsTheLatestRunOfARequest: a request may run twice at the same time. The end of the first run must not
// remove the entry of the second.
func TestLineageFindsTheLatestRunOfARequest(t *testing.T) {
	l := NewCallIndex()
	first := &RunningCall{Origin: Origin{RequestID: "r"}}
	second := &RunningCall{Origin: Origin{RequestID: "r"}}
	l.Add(first)
	l.Add(second)
	l.Remove(first)
	found, ok := l.Find("r")
	require.True(t, ok)
	require.Same(t, second, found, "the end of the first run must not remove the second")
	l.Remove(second)
	_, ok = l.Find("r")
	require.False(t, ok)
	require.Empty(t, l.byID)
}

// TestLineageIgnoresRequestsWithoutID: calls without a request id must not be mistaken for one another, and a nil
// CallIndex must be usable.
func TestLineageIgnoresRequestsWithoutID(t *testing.T) {
	l := NewCallIndex()
	l.Add(&RunningCall{})
	_, ok := l.Find("")
	require.False(t, ok)
	var none *CallIndex
	none.Add(&RunningCall{Origin: Origin{RequestID: "r"}})
	_, ok = none.Find("r")
	require.False(t, ok)
}
