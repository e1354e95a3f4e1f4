package buffer

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

func TestCopyPassesAllBytesAndTheFirstError(t *testing.T) {
	text := strings.Repeat("abc", Size)
	var got strings.Builder
	keep := func(part []byte) error {
		got.Write(part)
		return nil
	}
	require.NoError(t, Copy(iotest.DataErrReader(strings.NewReader(text)), keep))
	require.Equal(t, text, got.String())

	cut := io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrUnexpectedEOF))
	require.ErrorIs(t, Copy(cut, keep), io.ErrUnexpectedEOF)
	refused := errors.New("refused")
	require.ErrorIs(t, Copy(strings.NewReader("x"), func([]byte) error { return refused }), refused)
}
