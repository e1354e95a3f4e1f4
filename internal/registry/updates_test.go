package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// fleetOf returns two replicas and n hosts with one target each, which send their heartbeats to the first replica.
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

// subscriber returns a directory that has synced one service with a replica, and a function that returns a replica's
// response to its next heartbeat.
func subscriber(r *Relay) (*Directory, func(r *Relay) *apiv1.SyncResponse) {
	d := NewDirectory()
	d.Subscribe("jadual")
	pull(r, d)
	return d, func(r *Relay) *apiv1.SyncResponse {
		req, resp := &apiv1.SyncRequest{}, &apiv1.SyncResponse{}
		d.FillRequest(req)
		r.FillResponse(req, resp)
		return resp
	}
}

// TestChangeOfOneTargetSendsOneRecord guards against sending the whole service for each changed target. During a
// release, the targets of a large service change one after the other. Each subscribed node must get only the changes.
func TestChangeOfOneTargetSendsOneRecord(t *testing.T) {
	f := fleetOf(t, 100)
	d, ask := subscriber(f.a)
	require.Len(t, viewNames(d, "jadual"), 100)
	require.Nil(t, f.hosts[7].local.SetState("t", apiv1.TargetState_TARGET_STATE_LEAVING))
	f.run(time.Second)
	resp := ask(f.a)
	require.Len(t, resp.Services, 1)
	require.Len(t, resp.Services[0].Targets, 1)
	require.Less(t, proto.Size(resp), 300)
	d.Apply(resp)
	require.Contains(t, viewNames(d, "jadual"), "h007/t LEAVING")

	require.Nil(t, f.hosts[7].local.Remove("t"))
	f.run(time.Second)
	resp = ask(f.a)
	require.Less(t, proto.Size(resp), 100)
	d.Apply(resp)
	require.Len(t, viewNames(d, "jadual"), 99)
	require.NotContains(t, viewNames(d, "jadual"), "h007/t LEAVING")
}

// TestReplicaWithSameTargetsSendsNoRecords guards against sending all targets again when the nodes of a lost replica
// move to another one that has the same targets.
func TestReplicaWithSameTargetsSendsNoRecords(t *testing.T) {
	f := fleetOf(t, 100)
	d, ask := subscriber(f.a)
	resp := ask(f.b)
	require.Less(t, proto.Size(resp), 100)
	d.Apply(resp)
	require.Len(t, viewNames(d, "jadual"), 100)
	require.Empty(t, ask(f.b).Services, "the node now holds the version of the other replica")
}

// TestWarmUpSendsEachTargetOnce guards against sending all known targets again with each new target while the fleet
// starts and its replicas are warming up.
func TestWarmUpSendsEachTargetOnce(t *testing.T) {
	r := newReplica("a")
	d := NewDirectory()
	d.Subscribe("jadual")
	bytes := 0
	for i := range 50 {
		h := newHost(fmt.Sprintf("h%03d", i), 10)
		h.announce(t, epoch, "t", "jadual")
		h.heartbeat(epoch.Add(time.Duration(i)*time.Millisecond), r)
		req, resp := &apiv1.SyncRequest{}, &apiv1.SyncResponse{}
		d.FillRequest(req)
		r.FillResponse(req, resp)
		bytes += proto.Size(resp)
		d.Apply(resp)
		require.Len(t, viewNames(d, "jadual"), i+1)
	}
	require.False(t, d.HasSynced())
	require.Less(t, bytes, 50*200)
}

// TestUpdateOnUnknownBaseIsIgnored guards against applying an update whose base version the node does not hold. The next
// response must bring all targets.
func TestUpdateOnUnknownBaseIsIgnored(t *testing.T) {
	f := fleetOf(t, 3)
	d, ask := subscriber(f.a)
	resp := ask(f.a)
	resp.Services = []*apiv1.ServiceUpdate{{Service: "jadual", Version: 900, Base: 899, Hidden: []string{"h001/t"}}}
	d.Apply(resp)
	require.Len(t, viewNames(d, "jadual"), 3)
	require.Zero(t, ask(f.a).Services[0].Base)
	d.Apply(ask(f.a))
	require.Empty(t, ask(f.a).Services)
}

// TestHiddenTargetsAreForgotten guards against an incremental update that lacks hidden targets. A node that was away
// while more targets were hidden than are remembered must get the whole service.
func TestHiddenTargetsAreForgotten(t *testing.T) {
	s := newService()
	for i := range 3 * maxHidden {
		s.recordChange(fmt.Sprint(i), &record{visible: &apiv1.TargetRecord{}})
		s.recordChange(fmt.Sprint(i), &record{})
	}
	require.LessOrEqual(t, len(s.hidden), maxHidden)
	r := newReplica("a")
	r.warm = true
	require.Zero(t, r.update(&apiv1.ServiceVersion{Version: 2}, s, true).Base)
	recent := r.update(&apiv1.ServiceVersion{Version: s.version - 2}, s, true)
	require.NotZero(t, recent.Base)
	require.Len(t, recent.Hidden, 1)
}
