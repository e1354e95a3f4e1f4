package bench

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const echoConfiguration = `
kind: Class
name: standard
spec: {selector: "", priority: 5}
---
kind: Route
name: echo
spec: {pathPrefix: /echo, service: echo, timeout: 10s, maxBody: 8MiB, open: true}
`

// TestAnswerMayBeginBeforeTheRequestEnds guards against nodes that hold an answer back,
// or drop the rest of the request, when a target answers before the request body has
// ended. It sends the rest of a body through two nodes only once the answer has begun.
func TestAnswerMayBeginBeforeTheRequestEnds(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	fleet, err := Start(ctx, Options{Nodes: 2, Replicas: 1})
	require.NoError(t, err)
	defer fleet.Stop()
	require.NoError(t, fleet.Apply(ctx, "echo.yaml", []byte(echoConfiguration)))
	_, err = fleet.AddTarget(ctx, 1, "echo-1", "echo", 8, http.HandlerFunc(echoAtOnce))
	require.NoError(t, err)
	client := NewClient(1)
	defer client.CloseIdleConnections()
	post := func(body io.Reader) (*http.Response, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, fleet.CallersURL(0)+"/echo", body)
		require.NoError(t, err)
		return client.Do(req)
	}
	require.Eventually(t, func() bool {
		resp, err := post(bytes.NewReader(nil))
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, 20*time.Second, 100*time.Millisecond)

	// The start is larger than the part of a body that a node keeps for a retry. The rest is smaller than
	// what net/http would drain before it sends the header of an answer.
	start, rest := bytes.Repeat([]byte("s"), 70_000), bytes.Repeat([]byte("r"), 100_000)
	reader, writer := io.Pipe()
	go func() { _, _ = writer.Write(start) }()
	resp, err := post(reader)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	go func() {
		_, _ = writer.Write(rest)
		_ = writer.Close()
	}()
	got, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.True(t, bytes.Equal(append(start, rest...), got), "%d bytes came back", len(got))
}

// echoAtOnce answers with the body of the request while it is still being received.
func echoAtOnce(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex()
	part := make([]byte, 4<<10)
	for {
		n, err := r.Body.Read(part)
		if n > 0 {
			_, _ = w.Write(part[:n])
			_ = controller.Flush()
		}
		if err != nil {
			return
		}
	}
}
