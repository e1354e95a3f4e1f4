package lab

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReplaceTables guards against a page that loses the text around its tables, and against a page without markers
// that is overwritten.
func TestReplaceTables(t *testing.T) {
	file := filepath.Join(t.TempDir(), "page.md")
	require.Error(t, ReplaceTables(file, nil))
	require.NoError(t, os.WriteFile(file, []byte("a\n"), 0o644))
	require.Error(t, ReplaceTables(file, nil), "no markers")
	require.NoError(t, os.WriteFile(file, []byte("a\n"+pageBegin+"old\n"+pageEnd+"b\n"), 0o644))
	require.NoError(t, ReplaceTables(file, []byte("new\n")))
	page, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, "a\n"+pageBegin+"new\n"+pageEnd+"b\n", string(page))
}
