package peer

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// FuzzBodyFrame guards against differences between parseBodyFrame and the generated decoder.
func FuzzBodyFrame(f *testing.F) {
	whole, err := proto.Marshal(&apiv1.BodyFrame{
		Data: []byte("x"), Last: true, Length: 1, Checksum: 1 << 63, AllowanceLeft: 2, Aborted: true, Reuse: true,
	})
	require.NoError(f, err)
	f.Add(whole)
	f.Add(whole[:len(whole)-1])
	f.Add([]byte{0x9a, 0x01, 0x00, 0x0a, 0x02, 'h'})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var want apiv1.BodyFrame
		wantErr := proto.Unmarshal(raw, &want)
		got, err := parseBodyFrame(raw)
		if wantErr != nil || len(want.ProtoReflect().GetUnknown()) > 0 {
			// The generated decoder rejects some unknown fields that parseBodyFrame skips.
			return
		}
		require.NoError(t, err)
		require.True(t, bytes.Equal(want.Data, got.data))
		require.Equal(t, bodyFrame{
			data: got.data, last: want.Last, length: want.Length, checksum: want.Checksum,
			allowanceLeft: want.AllowanceLeft, aborted: want.Aborted, reuse: want.Reuse,
		}, got)
	})
}

// FuzzReadBody guards against a bodyReader that hangs on arbitrary bytes, or that reports a
// body as complete although its length differs from that in the last frame.
func FuzzReadBody(f *testing.F) {
	buf := &frameBuffer{}
	var w bodyWriter
	w.reset()
	require.NoError(f, w.add(buf, io.Discard, []byte("part")))
	require.NoError(f, w.finish(buf, []byte("end")))
	f.Add(buf.data)
	f.Add(buf.data[:5])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var r bodyReader
		r.reset(bufio.NewReader(bytes.NewReader(raw)))
		got, err := io.ReadAll(&r)
		if err != nil {
			require.Equal(t, io.ErrUnexpectedEOF, err)
			return
		}
		require.Equal(t, uint64(len(got)), r.frame.length)
	})
}

// FuzzHeaders guards against panics when header frames are decoded from arbitrary bytes.
func FuzzHeaders(f *testing.F) {
	buf := &frameBuffer{}
	require.NoError(f, buf.add(newCall(1, 1)))
	f.Add(buf.data)
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, raw []byte) {
		for _, m := range []proto.Message{
			&apiv1.StreamHeader{}, &apiv1.ControlFrame{}, &apiv1.CallHeader{}, &apiv1.AnswerHeader{}, &apiv1.AttachRequest{}, &apiv1.RpcStatus{},
		} {
			_ = readFrame(bufio.NewReader(bytes.NewReader(raw)), m, maxHeaderBytes)
		}
	})
}
