package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

var epoch = time.Unix(1_000_000, 0)

// host is a node with a target, as the registry sees it.
type host struct {
	name  string
	local *Local
	full  bool
}

func newHost(name string, incarnation uint64) *host {
	return &host{name: name, full: true, local: NewLocal(LocalOptions{
		Node: name, NodeAddress: name + ":1", DataCentre: "kl", Incarnation: incarnation,
	})}
}

func (h *host) announce(t require.TestingT, now time.Time, name, service string) {
	_, refusal := h.local.Announce(now, Announcement{Name: name, Service: service, Address: "127.0.0.1:80", Slots: 4})
	require.Nil(t, refusal)
}

func (h *host) request() *apiv1.SyncRequest {
	req := &apiv1.SyncRequest{
		Node: h.name, Incarnation: h.local.options.Incarnation,
		Address: h.local.options.NodeAddress, DataCentre: "kl",
	}
	h.local.Fill(req, h.full)
	return req
}

// heartbeat announces the host to a replica until it has the whole set.
func (h *host) heartbeat(now time.Time, r *Relay) {
	h.full = false
	h.full = r.Announced(now, h.request())
	if h.full {
		r.Announced(now, h.request())
	}
}

// exchange passes the news of a on to b.
func exchange(now time.Time, a, b *Relay) {
	a.Acknowledged(b.Merge(now, a.Outgoing(now, b.options.Node)))
}

// names returns the targets of a service as a fresh node would see them.
func names(r *Relay, serviceName string) []string {
	d := NewDirectory()
	d.Want(serviceName)
	pull(r, d)
	return viewNames(d, serviceName)
}

func viewNames(d *Directory, serviceName string) []string {
	var ids []string
	for _, target := range d.Section().Load().Services[serviceName] {
		ids = append(ids, target.ID()+" "+target.State.String()[len("TARGET_STATE_"):])
	}
	return ids
}

func pull(r *Relay, d *Directory) {
	req, resp := &apiv1.SyncRequest{}, &apiv1.SyncResponse{}
	d.Fill(req)
	r.Fill(req, resp)
	d.Apply(resp)
}

func newReplica(name string) *Relay {
	return NewRelay(RelayOptions{Node: name, Incarnation: 1})
}

func TestAnnouncementReachesAllReplicas(t *testing.T) {
	now := epoch
	a, b := newReplica("a"), newReplica("b")
	h := newHost("h", 10)
	h.announce(t, now, "t1", "jadual")
	changed := b.Changed()
	for range 3 {
		h.heartbeat(now, a)
		exchange(now, a, b)
		exchange(now, b, a)
		now = now.Add(time.Second)
	}
	require.Equal(t, []string{"h/t1 READY"}, names(a, "jadual"))
	require.Equal(t, []string{"h/t1 READY"}, names(b, "jadual"))
	<-changed

	require.Nil(t, h.local.SetState("t1", apiv1.TargetState_TARGET_STATE_LEAVING))
	h.heartbeat(now, a)
	exchange(now, a, b)
	require.Equal(t, []string{"h/t1 LEAVING"}, names(b, "jadual"))

	require.Nil(t, h.local.Leave("t1"))
	h.heartbeat(now, a)
	exchange(now, a, b)
	require.Empty(t, names(a, "jadual"))
	require.Empty(t, names(b, "jadual"))
}
