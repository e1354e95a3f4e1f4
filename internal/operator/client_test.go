package operator

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/telemetry"
)

// startServer returns the address of a server that uses the control.
func startServer(t *testing.T, control *scriptedControl, token string) string {
	t.Helper()
	server := httptest.NewServer(NewHandler(control, token, telemetry.Discard(), control))
	t.Cleanup(server.Close)
	return server.URL
}

// startSilentServer returns the address of a server that accepts connections and never answers.
func startSilentServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// acceptingControl returns a control that accepts each change at revision 5.
func acceptingControl() *scriptedControl {
	return &scriptedControl{outcome: &apiv1.ChangeOutcome{Result: apiv1.ChangeResult_CHANGE_RESULT_ACCEPTED, Revision: 5}}
}

// sendChange submits a change through a client that gives each server a short time to answer.
func (c *Client) sendChange(t *testing.T, limit time.Duration) (*AcceptedChange, error) {
	t.Helper()
	c.http.Timeout = 100 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return c.Change(ctx, &Change{ID: "a", AnyRevision: true, WithdrawKeys: []uint64{1}})
}

// TestClientPassesOverSilentAndUnavailableServers guards against a client that fails, or asks a failed
// server again first, although another server answers.
func TestClientPassesOverSilentAndUnavailableServers(t *testing.T) {
	unavailable := &scriptedControl{outcome: &apiv1.ChangeOutcome{Result: apiv1.ChangeResult_CHANGE_RESULT_UNAVAILABLE}}
	live := acceptingControl()
	client, err := NewClient([]string{startSilentServer(t), startServer(t, unavailable, testToken), startServer(t, live, testToken)}, testToken)
	require.NoError(t, err)
	accepted, err := client.sendChange(t, 5*time.Second)
	require.NoError(t, err)
	require.Equal(t, uint64(5), accepted.Revision)
	_, err = client.sendChange(t, 5*time.Second)
	require.NoError(t, err)
	require.Equal(t, []int{1, 2}, []int{unavailable.calls, live.calls}, "the server that answered last must be asked first")
}

// TestClientTellsWhetherAChangeMayHaveApplied guards against a client that reports a change as not
// applied although a server may have applied it.
func TestClientTellsWhetherAChangeMayHaveApplied(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := closed.Addr().String()
	require.NoError(t, closed.Close())
	foreign := httptest.NewServer(http.NotFoundHandler())
	defer foreign.Close()
	unknown := startServer(t, &scriptedControl{outcome: &apiv1.ChangeOutcome{Result: apiv1.ChangeResult_CHANGE_RESULT_UNKNOWN}}, testToken)
	refusing := startServer(t, acceptingControl(), testToken+"other")
	for _, c := range []struct {
		servers []string
		applied Applied
	}{
		{[]string{address}, AppliedNo},
		{[]string{startSilentServer(t)}, AppliedUnknown},
		{[]string{foreign.URL}, AppliedUnknown},
		{[]string{unknown}, AppliedUnknown},
		{[]string{unknown, refusing}, AppliedUnknown},
	} {
		client, err := NewClient(c.servers, testToken)
		require.NoError(t, err)
		_, err = client.sendChange(t, 300*time.Millisecond)
		var noAnswer *NoAnswer
		require.ErrorAs(t, err, &noAnswer, "%v", c.servers)
		require.Equal(t, c.applied, noAnswer.Applied, "%v: %v", c.servers, err)
	}
	client, err := NewClient([]string{refusing}, testToken)
	require.NoError(t, err)
	_, err = client.sendChange(t, time.Second)
	var problem *Problem
	require.ErrorAs(t, err, &problem)
	require.Equal(t, CodeTokenInvalid, problem.Code)
}
