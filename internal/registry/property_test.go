package registry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// inFlight is a message that the test delivers late, more than once, or never.
type inFlight func()

// chaos is a fleet whose messages arrive in any order.
type chaos struct {
	t        *rapid.T
	now      time.Time
	replicas []*Relay
	hosts    []*host
	starts   []uint64
	alive    []bool
	pending  []inFlight
	// views are of nodes that ask now this replica and now that one.
	views []*Directory
}

func newChaos(t *rapid.T) *chaos {
	c := &chaos{t: t, now: epoch, starts: []uint64{1, 1, 1}, alive: []bool{true, true, true}}
	for i := range 3 {
		c.replicas = append(c.replicas, newReplica(fmt.Sprintf("r%d", i)))
		c.hosts = append(c.hosts, newHost(fmt.Sprintf("h%d", i), 1))
		c.views = append(c.views, NewDirectory())
		c.views[i].Want("jadual")
	}
	return c
}

func (c *chaos) host() (int, *host) {
	i := rapid.IntRange(0, len(c.hosts)-1).Draw(c.t, "host")
	return i, c.hosts[i]
}

func (c *chaos) replica(label string) *Relay {
	return rapid.SampledFrom(c.replicas).Draw(c.t, label)
}

func (c *chaos) target() string {
	return rapid.SampledFrom([]string{"t", "u"}).Draw(c.t, "target")
}

func (c *chaos) announce() {
	_, h := c.host()
	name := c.target()
	address := map[string]string{"t": "127.0.0.1:80", "u": "127.0.0.1:81"}[name]
	_, _ = h.local.Announce(c.now, Announcement{Name: name, Service: "jadual", Address: address})
}

func (c *chaos) leave() {
	_, h := c.host()
	_ = h.local.Leave(c.target())
}

func (c *chaos) restart() {
	i, h := c.host()
	c.starts[i]++
	c.hosts[i] = newHost(h.name, c.starts[i])
}

func (c *chaos) stopOrStart() {
	i, _ := c.host()
	c.alive[i] = !c.alive[i]
}

// send puts a heartbeat on its way. The host learns at once whether the set is wanted.
func (c *chaos) send() {
	i, h := c.host()
	if !c.alive[i] {
		return
	}
	req := h.request()
	h.held = req.AnnouncedVersion
	h.wanted = true
	r := c.replica("replica")
	c.pending = append(c.pending, func() { r.Announced(c.now, req) })
}

func (c *chaos) relay() {
	a, b := c.replica("from"), c.replica("to")
	if a == b {
		return
	}
	m := a.Outgoing(c.now, b.options.Node)
	c.pending = append(c.pending, func() {
		reply := b.Merge(c.now, m)
		c.pending = append(c.pending, func() { a.Acknowledged(c.now, reply) })
	})
}

// deliver hands over any message on its way, which may come once more.
func (c *chaos) deliver() {
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

// pull sends a view's heartbeat to any replica. The answer may be lost.
func (c *chaos) pull() {
	view, r := rapid.SampledFrom(c.views).Draw(c.t, "view"), c.replica("asked")
	req, resp := &apiv1.SyncRequest{}, &apiv1.SyncResponse{}
	view.Fill(req)
	r.Fill(req, resp)
	if rapid.IntRange(0, 3).Draw(c.t, "lost") > 0 {
		view.Apply(resp)
	}
}

func (c *chaos) pass() {
	c.now = c.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(c.t, "ms")) * time.Millisecond)
	for _, r := range c.replicas {
		r.Expire(c.now)
	}
}

// settle lets the messages that are left come late, amid regular heartbeats.
func (c *chaos) settle() {
	for second := range 90 {
		c.now = c.now.Add(time.Second)
		for i, h := range c.hosts {
			h.local.forgetTombstones(c.now)
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

// want returns the targets that exist.
func (c *chaos) want() []string {
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

// TestReplicasAgreeWhateverArrives lets hosts come, go and restart while
// messages are lost, repeated and delivered in any order. In the end each
// replica shows exactly what exists, and messages that come later change nothing.
func TestReplicasAgreeWhateverArrives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newChaos(t)
		steps := map[string]func(){
			"announce": c.announce, "leave": c.leave, "restart": c.restart, "stop": c.stopOrStart,
			"send": c.send, "send more": c.send, "relay": c.relay, "relay more": c.relay,
			"deliver": c.deliver, "deliver more": c.deliver, "deliver most": c.deliver, "pass": c.pass,
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

func (c *chaos) check(when string) {
	want := c.want()
	for _, r := range c.replicas {
		got := names(r, "jadual")
		if !slices.Equal(want, got) {
			c.t.Fatalf("%s, replica %s shows %v; %v exist", when, r.options.Node, got, want)
		}
		for i, view := range c.views {
			pull(r, view)
			if got := viewNames(view, "jadual"); !slices.Equal(want, got) {
				c.t.Fatalf("%s, node %d holds %v by replica %s; %v exist", when, i, got, r.options.Node, want)
			}
		}
	}
}
