package buffer

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// TestChunksReturnWhatTheyHold guards against bytes that are lost, repeated or mixed up at the ends of chunks.
func TestChunksReturnWhatTheyHold(t *testing.T) {
	for _, size := range []int{0, 1, ChunkSize - 1, ChunkSize, ChunkSize + 1, 5*ChunkSize + 7} {
		want := make([]byte, size)
		for i := range want {
			want[i] = byte(i*7 + i>>8)
		}
		for name, wrap := range map[string]func(io.Reader) io.Reader{"whole": func(r io.Reader) io.Reader { return r }, "halves": iotest.HalfReader, "eof": iotest.DataErrReader} {
			var c Chunks
			require.NoError(t, c.Fill(wrap(bytes.NewReader(want)), size+1), name)
			require.Equal(t, size, c.Len())
			got, err := io.ReadAll(iotest.HalfReader(&c))
			require.NoError(t, err)
			require.True(t, bytes.Equal(want, got), "%s of %d", name, size)
			require.Zero(t, c.Len())
		}
	}
	var c Chunks
	require.NoError(t, c.Fill(bytes.NewReader(make([]byte, 100)), 40))
	require.NoError(t, c.Fill(bytes.NewReader(make([]byte, 100)), 2))
	require.Equal(t, 42, c.Len(), "no more than the limit is read")
	broken := errors.New("broken")
	require.ErrorIs(t, c.Fill(iotest.ErrReader(broken), 1), broken)
	c.Discard()
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}
