package buffer

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// TestCopyPassesAllBytesAndTheFirstError guards against losing the bytes that a reader returns together with
// io.EOF, and against a truncated stream or a failed write that is reported as success.
func TestCopyPassesAllBytesAndTheFirstError(t *testing.T) {
	text := strings.Repeat("abc", Size)
	var got strings.Builder
	collect := func(chunk []byte) error {
		got.Write(chunk)
		return nil
	}
	require.NoError(t, Copy(iotest.DataErrReader(strings.NewReader(text)), collect))
	require.Equal(t, text, got.String())

	truncated := io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrUnexpectedEOF))
	require.ErrorIs(t, Copy(truncated, collect), io.ErrUnexpectedEOF)
	refused := errors.New("refused")
	require.ErrorIs(t, Copy(strings.NewReader("x"), func([]byte) error { return refused }), refused)
}
