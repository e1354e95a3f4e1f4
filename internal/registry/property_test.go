package registry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// inFlight delivers a message. The test calls it late, more than once, or never.
type inFlight func()

// simulation is a fleet whose messages are delayed, lost, repeated and reordered.
type simulation struct {
	t        *rapid.T
	now      time.Time
	replicas []*Relay
	hosts    []*host
	starts   []uint64
	alive    []bool
	pending  []inFlight
	// views are the directories of nodes that send each heartbeat to a random replica.
	views []*Directory
}

func newSimulation(t *rapid.T) *simulation {
	c := &simulation{t: t, now: epoch, starts: []uint64{1, 1, 1}, alive: []bool{true, true, true}}
	for i := range 3 {
		c.replicas = append(c.replicas, newReplica(fmt.Sprintf("r%d", i)))
		c.hosts = append(c.hosts, newHost(fmt.Sprintf("h%d", i), 1))
		c.views = append(c.views, NewDirectory())
		c.views[i].Subscribe("jadual")
	}
	return c
}

func (c *simulation) host() (int, *host) {
	i := rapid.IntRange(0, len(c.hosts)-1).Draw(c.t, "host")
	return i, c.hosts[i]
}

func (c *simulation) replica(label string) *Relay {
	return rapid.SampledFrom(c.replicas).Draw(c.t, label)
}

func (c *simulation) target() string {
	return rapid.SampledFrom([]string{"t", "u"}).Draw(c.t, "target")
}

func (c *simulation) announce() {
	_, h := c.host()
	name := c.target()
	address := map[string]string{"t": "127.0.0.1:80", "u": "127.0.0.1:81"}[name]
	_, _ = h.local.Announce(c.now, Announcement{Name: name, Service: "jadual", Address: address})
}

func (c *simulation) leave() {
	_, h := c.host()
	_ = h.local.Remove(c.target())
}

func (c *simulation) restart() {
	i, h := c.host()
	c.starts[i]++
	c.hosts[i] = newHost(h.name, c.starts[i])
}

func (c *simulation) stopOrStart() {
	i, _ := c.host()
	c.alive[i] = !c.alive[i]
}

// send queues a heartbeat for delivery. The host sends its full set with each heartbeat.
func (c *simulation) send() {
	i, h := c.host()
	if !c.alive[i] {
		return
	}
	req := h.request()
	h.held = req.AnnouncedVersion
	h.wanted = true
	r := c.replica("replica")
	c.pending = append(c.pending, func() { r.HandleHeartbeat(c.now, req) })
}

func (c *simulation) relay() {
	a, b := c.replica("from"), c.replica("to")
	if a == b {
		return
	}
	m := a.BuildMessage(c.now, b.options.Node)
	c.pending = append(c.pending, func() {
		reply := b.Merge(c.now, m)
		c.pending = append(c.pending, func() { a.HandleReply(c.now, reply) })
	})
}

// deliver delivers a random message in flight, which may stay queued for another delivery.
func (c *simulation) deliver() {
	if len(c.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.pending)-1).Draw(c.t, "message")
	m := c.pending[i]
	if rapid.IntRange(0, 3).Draw(c.t, "again") > 0 {
		c.pending = slices.Delete(c.pending, i, i+1)
	}
	m()
}

// pull sends a view's heartbeat to a random replica. The response may be lost.
func (c *simulation) pull() {
	view, r := rapid.SampledFrom(c.views).Draw(c.t, "view"), c.replica("asked")
	req, resp := &apiv1.SyncRequest{}, &apiv1.SyncResponse{}
	view.FillRequest(req)
	r.FillResponse(req, resp)
	if rapid.IntRange(0, 3).Draw(c.t, "lost") > 0 {
		view.Apply(resp)
	}
}

// passTime advances the clock by a random time and runs the periodic checks of the replicas.
func (c *simulation) passTime() {
	c.now = c.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(c.t, "ms")) * time.Millisecond)
	for _, r := range c.replicas {
		r.Expire(c.now)
	}
}

// settle runs regular heartbeats and exchanges, and delivers pending messages late meanwhile.
func (c *simulation) settle() {
	for second := range 90 {
		c.now = c.now.Add(time.Second)
		for i, h := range c.hosts {
			h.local.pruneTombstones(c.now)
			if c.alive[i] {
				h.heartbeat(c.now, c.replicas[i])
			}
		}
		for _, a := range c.replicas {
			for _, b := range c.replicas {
				if a != b {
					exchange(c.now, a, b)
				}
			}
			a.Expire(c.now)
		}
		if second%2 == 0 && len(c.pending) > 0 {
			c.pending[0]()
			c.pending = c.pending[1:]
		}
	}
}

// want returns the targets of the running hosts, which every replica must list.
func (c *simulation) want() []string {
	var want []string
	for i, h := range c.hosts {
		if !c.alive[i] {
			continue
		}
		for name := range h.local.Section().Load().Targets {
			want = append(want, targetID(h.name, name)+" READY")
		}
	}
	slices.Sort(want)
	return want
}

// TestReplicasConvergeUnderMessageFaults starts, stops and restarts hosts while messages
// are lost, repeated and reordered. Afterwards each replica must list exactly the
// existing targets, and messages delivered later must change nothing. It guards
// against replicas that diverge or restore removed targets.
func TestReplicasConvergeUnderMessageFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newSimulation(t)
		steps := map[string]func(){
			"announce": c.announce, "leave": c.leave, "restart": c.restart, "stop": c.stopOrStart,
			"send": c.send, "send more": c.send, "relay": c.relay, "relay more": c.relay,
			"deliver": c.deliver, "deliver more": c.deliver, "deliver most": c.deliver, "pass": c.passTime,
			"pull": c.pull, "pull more": c.pull,
		}
		kinds := make([]string, 0, len(steps))
		for kind := range steps {
			kinds = append(kinds, kind)
		}
		slices.Sort(kinds)
		for range rapid.IntRange(0, 120).Draw(t, "steps") {
			steps[rapid.SampledFrom(kinds).Draw(t, "step")]()
		}
		late := slices.Clone(c.pending)
		c.settle()
		c.check("after settling")
		for _, m := range late {
			m()
			c.check("after a late message")
		}
	})
}

func (c *simulation) check(when string) {
	want := c.want()
	for _, r := range c.replicas {
		got := names(r, "jadual")
		if !slices.Equal(want, got) {
			c.t.Fatalf("%s: replica %s lists targets %v, want %v", when, r.options.Node, got, want)
		}
		for i, view := range c.views {
			pull(r, view)
			if got := viewNames(view, "jadual"); !slices.Equal(want, got) {
				c.t.Fatalf("%s: node %d holds targets %v from replica %s, want %v", when, i, got, r.options.Node, want)
			}
		}
	}
}
