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

// serve returns the address of a handler over scripted control.
func serve(t *testing.T, control *scriptedControl, token string) string {
	t.Helper()
	server := httptest.NewServer(NewHandler(control, token, telemetry.Discard(), control))
	t.Cleanup(server.Close)
	return server.URL
}

// silent returns the address of a server that takes connections and never answers.
func silent(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// accepting is control that accepts each change at revision 5.
func accepting() *scriptedControl {
	return &scriptedControl{outcome: &apiv1.ChangeOutcome{Result: apiv1.ChangeResult_CHANGE_RESULT_ACCEPTED, Revision: 5}}
}

// sendOne submits a change through servers, each of which gets a short time to answer.
func (c *Client) sendOne(t *testing.T, limit time.Duration) (*Accepted, error) {
	t.Helper()
	c.http.Timeout = 100 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return c.Change(ctx, &Change{ID: "a", AnyRevision: true, WithdrawKeys: []uint64{1}})
}

func TestClientPassesOverSilentAndUnavailableServers(t *testing.T) {
	away := &scriptedControl{outcome: &apiv1.ChangeOutcome{Result: apiv1.ChangeResult_CHANGE_RESULT_UNAVAILABLE}}
	live := accepting()
	client, err := NewClient([]string{silent(t), serve(t, away, testToken), serve(t, live, testToken)}, testToken)
	require.NoError(t, err)
	accepted, err := client.sendOne(t, 5*time.Second)
	require.NoError(t, err)
	require.Equal(t, uint64(5), accepted.Revision)
	_, err = client.sendOne(t, 5*time.Second)
	require.NoError(t, err)
	require.Equal(t, []int{1, 2}, []int{away.calls, live.calls}, "the server that answered is asked first the next time")
}

func TestClientTellsWhetherAChangeMayHaveApplied(t *testing.T) {
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := dead.Addr().String()
	require.NoError(t, dead.Close())
	foreign := httptest.NewServer(http.NotFoundHandler())
	defer foreign.Close()
	unknown := serve(t, &scriptedControl{outcome: &apiv1.ChangeOutcome{Result: apiv1.ChangeResult_CHANGE_RESULT_UNKNOWN}}, testToken)
	refusing := serve(t, accepting(), testToken+"other")
	for _, c := range []struct {
		servers []string
		applied Applied
	}{
		{[]string{address}, AppliedNo},
		{[]string{silent(t)}, AppliedUnknown},
		{[]string{foreign.URL}, AppliedUnknown},
		{[]string{unknown}, AppliedUnknown},
		{[]string{unknown, refusing}, AppliedUnknown},
	} {
		client, err := NewClient(c.servers, testToken)
		require.NoError(t, err)
		_, err = client.sendOne(t, 300*time.Millisecond)
		var noAnswer *NoAnswer
		require.ErrorAs(t, err, &noAnswer, "%v", c.servers)
		require.Equal(t, c.applied, noAnswer.Applied, "%v: %v", c.servers, err)
	}
	client, err := NewClient([]string{refusing}, testToken)
	require.NoError(t, err)
	_, err = client.sendOne(t, time.Second)
	var problem *Problem
	require.ErrorAs(t, err, &problem)
	require.Equal(t, CodeTokenInvalid, problem.Code)
}
