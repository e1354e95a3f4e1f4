package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

var epoch = time.Unix(1_000_000, 0)

// host is a node with its targets, and what its replica holds of them.
type host struct {
	name   string
	local  *Local
	held   uint64
	wanted bool
}

func newHost(name string, incarnation uint64) *host {
	return &host{name: name, wanted: true, local: NewLocal(LocalOptions{
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
	h.local.FillRequest(req, h.held, h.wanted)
	return req
}

// heartbeat sends a heartbeat to a replica, and the full set in another one if the replica wants it.
func (h *host) heartbeat(now time.Time, r *Relay) {
	for range 2 {
		req := h.request()
		h.held = req.AnnouncedVersion
		if h.wanted = r.HandleHeartbeat(now, req); !h.wanted {
			return
		}
	}
}

// exchange sends the changes of a to b.
func exchange(now time.Time, a, b *Relay) {
	a.HandleReply(now, b.Merge(now, a.BuildMessage(now, b.options.Node)))
}

// names returns the targets of a service as a newly started node gets them.
func names(r *Relay, serviceName string) []string {
	d := NewDirectory()
	d.Subscribe(serviceName)
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
	d.FillRequest(req)
	r.FillResponse(req, resp)
	d.Apply(resp)
}

func newReplica(name string) *Relay {
	return NewRelay(RelayOptions{Node: name, Incarnation: 1})
}

// TestAnnouncementReachesAllReplicas guards against replicas that miss the announcement, state change or removal of a
// target whose node sends its heartbeats to another replica.
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

	require.Nil(t, h.local.Remove("t1"))
	h.heartbeat(now, a)
	exchange(now, a, b)
	require.Empty(t, names(a, "jadual"))
	require.Empty(t, names(b, "jadual"))
}

// fleet holds two replicas and the hosts that send their heartbeats to the first one.
type fleet struct {
	now   time.Time
	a, b  *Relay
	hosts []*host
}

func newFleet(hosts ...*host) *fleet {
	return &fleet{now: epoch, a: newReplica("a"), b: newReplica("b"), hosts: hosts}
}

// run advances the time in steps of half a second, with heartbeats and exchanges in each step.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(500 * time.Millisecond) {
		for _, h := range f.hosts {
			h.heartbeat(f.now, f.a)
		}
		exchange(f.now, f.a, f.b)
		exchange(f.now, f.b, f.a)
		f.a.Expire(f.now)
		f.b.Expire(f.now)
	}
}

func (f *fleet) requireBoth(t *testing.T, service string, want ...string) {
	t.Helper()
	require.ElementsMatch(t, want, names(f.a, service))
	require.ElementsMatch(t, want, names(f.b, service))
}

// TestDeadNodeIsHidden guards against targets of dead nodes that stay listed. When
// the heartbeats of a host stop, every replica must hide its targets within the
// node timeout, and list them again when the heartbeats resume.
func TestDeadNodeIsHidden(t *testing.T) {
	h := newHost("h", 10)
	h.announce(t, epoch, "t", "jadual")
	f := newFleet(h)
	f.run(6 * time.Second)
	f.requireBoth(t, "jadual", "h/t READY")
	f.hosts = nil
	f.run(DefaultNodeTimeout + 500*time.Millisecond)
	f.requireBoth(t, "jadual")
	f.hosts = []*host{h}
	f.run(2 * time.Second)
	f.requireBoth(t, "jadual", "h/t READY")
}

// TestLateMessagesDoNotRestoreRemovedTargets guards against delayed messages that restore
// removed targets. It repeats every message that named a target after the target
// has left, after its node has died, and after the node has restarted without it.
func TestLateMessagesDoNotRestoreRemovedTargets(t *testing.T) {
	h := newHost("h", 10)
	h.announce(t, epoch, "t", "jadual")
	f := newFleet(h)
	f.run(6 * time.Second)
	lateRequest := h.request()
	h.held, h.wanted = 0, true
	lateFull := h.request()
	f.run(time.Second)
	lateMessage := f.a.BuildMessage(f.now.Add(livenessInterval), "b")
	lateMessage.Base = 0
	lateMessage.Records = []*apiv1.TargetRecord{h.local.Section().Load().Targets["t"].Record()}
	require.NotEmpty(t, lateMessage.Nodes)
	replay := func() {
		f.a.HandleHeartbeat(f.now, lateRequest)
		f.a.HandleHeartbeat(f.now, lateFull)
		f.b.Merge(f.now, lateMessage)
	}

	require.Nil(t, h.local.Remove("t"))
	f.run(time.Second)
	replay()
	f.requireBoth(t, "jadual")

	h.announce(t, f.now, "t", "jadual")
	f.run(time.Second)
	f.requireBoth(t, "jadual", "h/t READY")
	f.hosts = nil
	f.run(5 * time.Second)
	replay()
	f.requireBoth(t, "jadual")

	// The node restarts without the target: messages of its earlier process must have no effect.
	f.hosts = []*host{newHost("h", 11)}
	f.run(time.Second)
	replay()
	f.requireBoth(t, "jadual")
}

// TestReplacedHostTakesOverItsAddress guards against sending requests for a dead
// host's targets to the host that was just started under the same IP address.
func TestReplacedHostTakesOverItsAddress(t *testing.T) {
	old, replacement := newHost("old", 10), newHost("new", 20)
	replacement.local.options.NodeAddress = old.local.options.NodeAddress
	old.announce(t, epoch, "t", "jadual")
	replacement.announce(t, epoch, "u", "premis")
	f := newFleet(old)
	f.run(6 * time.Second)
	f.requireBoth(t, "jadual", "old/t READY")
	f.hosts = []*host{replacement}
	f.run(1500 * time.Millisecond)
	f.requireBoth(t, "jadual")
	f.requireBoth(t, "premis", "new/u READY")
}

// TestFlappingTargetIsSuppressed guards against a flapping target causing constant
// changes, and against suppression that never ends. A target that repeatedly leaves
// is suppressed while its service has another target. It must become visible after
// a while, or at once if it is the only one.
func TestFlappingTargetIsSuppressed(t *testing.T) {
	steady, flapping := newHost("steady", 10), newHost("flapping", 10)
	steady.announce(t, epoch, "s", "jadual")
	f := newFleet(steady, flapping)
	for range 5 {
		flapping.announce(t, f.now, "f", "jadual")
		f.run(time.Second)
		require.Nil(t, flapping.local.Remove("f"))
		f.run(time.Second)
	}
	flapping.announce(t, f.now, "f", "jadual")
	f.run(time.Second)
	f.requireBoth(t, "jadual", "steady/s READY")
	f.hosts = []*host{flapping}
	f.run(5 * time.Second)
	f.requireBoth(t, "jadual", "flapping/f READY")

	f.hosts = []*host{steady, flapping}
	f.run(time.Second)
	require.Nil(t, flapping.local.Remove("f"))
	f.run(time.Second)
	flapping.announce(t, f.now, "f", "jadual")
	f.run(time.Minute)
	f.requireBoth(t, "jadual", "steady/s READY", "flapping/f READY")
}

// TestPartitionedReplicasDoNotRestoreRemovedTargets guards against replicas that restore each other's removed
// targets after a network partition. A target leaves and a node dies while the two
// replicas exchange no messages, for periods around each retention time.
func TestPartitionedReplicasDoNotRestoreRemovedTargets(t *testing.T) {
	stays, leaves, dies := newHost("stays", 10), newHost("leaves", 10), newHost("dies", 10)
	for _, h := range []*host{stays, leaves, dies} {
		h.announce(t, epoch, "t", "jadual")
	}
	f := newFleet(stays, leaves, dies)
	f.run(6 * time.Second)
	for _, apart := range []time.Duration{10 * time.Second, nodeRetention + time.Minute, 2*tombstoneRetention + time.Minute} {
		require.Nil(t, leaves.local.Remove("t"))
		f.hosts = []*host{stays, leaves}
		for end := f.now.Add(apart); f.now.Before(end); f.now = f.now.Add(time.Second) {
			stays.heartbeat(f.now, f.a)
			leaves.heartbeat(f.now, f.a)
			f.a.Expire(f.now)
			f.b.Expire(f.now)
		}
		require.Equal(t, []string{"stays/t READY"}, names(f.a, "jadual"))
		require.Empty(t, names(f.b, "jadual"))
		f.run(2 * time.Second)
		f.requireBoth(t, "jadual", "stays/t READY")
		leaves.announce(t, f.now, "t", "jadual")
		f.hosts = []*host{stays, leaves, dies}
		f.run(time.Minute)
		f.requireBoth(t, "jadual", "stays/t READY", "leaves/t READY", "dies/t READY")
	}
}

// TestRestartedReplicaIgnoresEchoesOfItsFormerProcess guards against dead nodes that a restarted
// replica keeps listing. The other replica still echoes a clock reading of the former process,
// far ahead of the new one's clock, so that ages relative to it would lie in the future.
func TestRestartedReplicaIgnoresEchoesOfItsFormerProcess(t *testing.T) {
	stays, dies := newHost("stays", 10), newHost("dies", 10)
	stays.announce(t, epoch, "t", "jadual")
	dies.announce(t, epoch, "t", "jadual")
	f := newFleet(stays, dies)
	f.run(5 * time.Minute)
	f.a = NewRelay(RelayOptions{Node: "a", Incarnation: 2})
	for range 3 {
		for _, h := range f.hosts {
			h.heartbeat(f.now, f.b)
		}
		exchange(f.now, f.b, f.a)
		f.now = f.now.Add(time.Second)
	}
	require.Equal(t, []string{"dies/t READY", "stays/t READY"}, names(f.a, "jadual"))
	for range 10 {
		stays.heartbeat(f.now, f.b)
		exchange(f.now, f.b, f.a)
		f.a.Expire(f.now)
		f.b.Expire(f.now)
		f.now = f.now.Add(time.Second)
	}
	f.requireBoth(t, "jadual", "stays/t READY")
}

// TestDirectoryKeepsItsViewThroughARestartedReplica guards against a node dropping
// targets because a restarted replica knows only part of the fleet so far.
func TestDirectoryKeepsItsViewThroughARestartedReplica(t *testing.T) {
	h, g := newHost("h", 10), newHost("g", 10)
	h.announce(t, epoch, "t", "jadual")
	g.announce(t, epoch, "t", "jadual")
	f := newFleet(h, g)
	f.run(6 * time.Second)
	d := NewDirectory()
	d.Subscribe("jadual")
	pull(f.a, d)
	all := []string{"g/t READY", "h/t READY"}
	require.Equal(t, all, viewNames(d, "jadual"))
	d.Apply(&apiv1.SyncResponse{})
	require.Equal(t, all, viewNames(d, "jadual"))

	f.a = NewRelay(RelayOptions{Node: "a", Incarnation: 2})
	f.b = NewRelay(RelayOptions{Node: "b", Incarnation: 2})
	require.Nil(t, h.local.SetState("t", apiv1.TargetState_TARGET_STATE_LEAVING))
	f.hosts = []*host{h}
	f.run(time.Second)
	pull(f.a, d)
	require.Equal(t, []string{"g/t READY", "h/t LEAVING"}, viewNames(d, "jadual"))
	f.run(DefaultWarmUp)
	pull(f.a, d)
	require.Equal(t, []string{"h/t LEAVING"}, viewNames(d, "jadual"))
}

// TestUpdatesContainOnlyChanges guards against updates for services to which a node
// does not subscribe or whose targets have not changed.
func TestUpdatesContainOnlyChanges(t *testing.T) {
	h := newHost("h", 10)
	h.announce(t, epoch, "t", "jadual")
	f := newFleet(h)
	f.run(6 * time.Second)
	_, refusal := h.local.Announce(f.now, Announcement{Name: "u", Service: "premis", Address: "127.0.0.1:81"})
	require.Nil(t, refusal)
	f.run(time.Second)
	f.requireBoth(t, "premis", "h/u READY")
	d := NewDirectory()
	d.Subscribe("jadual")
	request := func() *apiv1.SyncRequest {
		req := &apiv1.SyncRequest{}
		d.FillRequest(req)
		return req
	}
	require.Len(t, f.a.Updates(request()), 1)
	pull(f.a, d)
	require.Empty(t, f.a.Updates(request()))
	f.run(10 * time.Second)
	require.Empty(t, f.a.Updates(request()), "heartbeats alone must not cause updates")
	require.Nil(t, h.local.Remove("t"))
	f.run(time.Second)
	require.Len(t, f.a.Updates(request()), 1)
}
