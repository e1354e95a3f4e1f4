package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// fleetOf returns two replicas and n hosts with a target each, heard by the first.
func fleetOf(t *testing.T, n int) *fleet {
	var hosts []*host
	for i := range n {
		h := newHost(fmt.Sprintf("h%03d", i), 10)
		h.announce(t, epoch, "t", "jadual")
		hosts = append(hosts, h)
	}
	f := newFleet(hosts...)
	f.run(6 * time.Second)
	return f
}

// follower returns a view of a service and what a replica answers to its next heartbeat.
func follower(r *Relay) (*Directory, func(r *Relay) *apiv1.SyncResponse) {
	d := NewDirectory()
	d.Want("jadual")
	pull(r, d)
	return d, func(r *Relay) *apiv1.SyncResponse {
		req, resp := &apiv1.SyncRequest{}, &apiv1.SyncResponse{}
		d.Fill(req)
		r.Fill(req, resp)
		return resp
	}
}

// TestChangeOfOneTargetCostsOneRecord: the targets of a large service change one after the other, as in a release. Each
// node that calls the service must get what changed, not the whole service each time.
func TestChangeOfOneTargetCostsOneRecord(t *testing.T) {
	f := fleetOf(t, 100)
	d, ask := follower(f.a)
	require.Len(t, viewNames(d, "jadual"), 100)
	require.Nil(t, f.hosts[7].local.SetState("t", apiv1.TargetState_TARGET_STATE_LEAVING))
	f.run(time.Second)
	resp := ask(f.a)
	require.Len(t, resp.Services, 1)
	require.Len(t, resp.Services[0].Targets, 1)
	require.Less(t, proto.Size(resp), 300)
	d.Apply(resp)
	require.Contains(t, viewNames(d, "jadual"), "h007/t LEAVING")

	require.Nil(t, f.hosts[7].local.Leave("t"))
	f.run(time.Second)
	resp = ask(f.a)
	require.Less(t, proto.Size(resp), 100)
	d.Apply(resp)
	require.Len(t, viewNames(d, "jadual"), 99)
	require.NotContains(t, viewNames(d, "jadual"), "h007/t LEAVING")
}

// TestReplicaThatShowsTheSameSendsNothing: the nodes of a lost replica go to another one, which shows the same targets.
func TestReplicaThatShowsTheSameSendsNothing(t *testing.T) {
	f := fleetOf(t, 100)
	d, ask := follower(f.a)
	resp := ask(f.b)
	require.Less(t, proto.Size(resp), 100)
	d.Apply(resp)
	require.Len(t, viewNames(d, "jadual"), 100)
	require.Empty(t, ask(f.b).Services, "the node holds the version of the other replica now")
}

// TestWarmUpSendsEachTargetOnce: while a fleet starts, its replicas have not heard all nodes. What they know already
// must not be sent again with each target that comes.
func TestWarmUpSendsEachTargetOnce(t *testing.T) {
	r := newReplica("a")
	d := NewDirectory()
	d.Want("jadual")
	bytes := 0
	for i := range 50 {
		h := newHost(fmt.Sprintf("h%03d", i), 10)
		h.announce(t, epoch, "t", "jadual")
		h.heartbeat(epoch.Add(time.Duration(i)*time.Millisecond), r)
		req, resp := &apiv1.SyncRequest{}, &apiv1.SyncResponse{}
		d.Fill(req)
		r.Fill(req, resp)
		bytes += proto.Size(resp)
		d.Apply(resp)
		require.Len(t, viewNames(d, "jadual"), i+1)
	}
	require.False(t, d.Vouched())
	require.Less(t, bytes, 50*200)
}

// TestUpdateThatBuildsOnAnotherVersion is not taken, and all targets come with the next answer.
func TestUpdateThatBuildsOnAnotherVersion(t *testing.T) {
	f := fleetOf(t, 3)
	d, ask := follower(f.a)
	resp := ask(f.a)
	resp.Services = []*apiv1.ServiceUpdate{{Service: "jadual", Version: 900, Base: 899, Hidden: []string{"h001/t"}}}
	d.Apply(resp)
	require.Len(t, viewNames(d, "jadual"), 3)
	require.Zero(t, ask(f.a).Services[0].Base)
	d.Apply(ask(f.a))
	require.Empty(t, ask(f.a).Services)
}

// TestHiddenTargetsAreForgotten: a node that was away while many targets went gets the whole service.
func TestHiddenTargetsAreForgotten(t *testing.T) {
	s := newService()
	for i := range 3 * maxHidden {
		s.note(fmt.Sprint(i), &record{shown: &apiv1.TargetRecord{}})
		s.note(fmt.Sprint(i), &record{})
	}
	require.LessOrEqual(t, len(s.hidden), maxHidden)
	r := newReplica("a")
	r.warm = true
	require.Zero(t, r.update(&apiv1.ServiceVersion{Version: 2}, s, true).Base)
	recent := r.update(&apiv1.ServiceVersion{Version: s.version - 2}, s, true)
	require.NotZero(t, recent.Base)
	require.Len(t, recent.Hidden, 1)
}
