package knownred

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOnlyTheNamedTestIsListed guards against an entry that also covers other tests: parents, subtests, or tests that
// other lines of the entry name.
func TestOnlyTheNamedTestIsListed(t *testing.T) {
	text := "Tests that fail.\n\ntest: TestA/b\ncommand: go test -run TestC\nseen: test: TestD\n"
	require.True(t, listed(text, "TestA/b"))
	for _, test := range []string{"TestA", "TestA/b/c", "TestC", "TestD", ""} {
		require.False(t, listed(text, test), test)
	}
}
