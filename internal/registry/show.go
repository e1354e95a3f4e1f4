package registry

import (
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// alive reports whether a node was heard within the node timeout.
func (r *Relay) alive(now time.Time, n *node) bool {
	return !n.heard.IsZero() && now.Sub(n.heard) <= r.options.NodeTimeout
}

// ownsAddress reports whether no live node that started later claims the
// node's address, as happens when a host is replaced under the same IP number.
func (r *Relay) ownsAddress(now time.Time, n *node) bool {
	claims := r.addresses[n.address]
	if len(claims) < 2 {
		return true
	}
	for name := range claims {
		other := r.nodes[name]
		if other != n && other.incarnation > n.incarnation && r.alive(now, other) {
			return false
		}
	}
	return true
}

// refresh is show for a node of which nothing was received: only time has passed.
func (r *Relay) refresh(now time.Time, n *node) {
	if n.holding || n.usable != (r.alive(now, n) && r.ownsAddress(now, n)) {
		r.show(now, n)
	}
}

// show brings the shown targets of a node up to date.
func (r *Relay) show(now time.Time, n *node) {
	usable := r.alive(now, n) && r.ownsAddress(now, n)
	n.usable = usable
	n.holding = false
	for _, rec := range n.records {
		r.showRecord(now, n, rec, usable)
	}
}

func (r *Relay) showRecord(now time.Time, n *node, rec *record, usable bool) {
	if !usable || n.outdated(rec) {
		if rec.shown != nil {
			rec.flaps.vanished(now)
			r.setShown(rec, nil)
		}
		return
	}
	if rec.shown == nil && rec.flaps.held(now) && r.hasOther(rec) {
		n.holding = true
		return
	}
	want := rec.message
	if n.leaving && want.State != apiv1.TargetState_TARGET_STATE_LEAVING {
		want = proto.CloneOf(want)
		want.State = apiv1.TargetState_TARGET_STATE_LEAVING
	}
	if rec.shown == nil || rec.shown.State != want.State || rec.shown.Version != want.Version || rec.shown.Incarnation != want.Incarnation {
		r.setShown(rec, want)
	}
}

// hasOther reports whether the service of a hidden target has a shown one.
func (r *Relay) hasOther(rec *record) bool {
	s := r.services[rec.message.Service]
	return s != nil && len(s.targets) > 0
}

// setShown changes what nodes see of a target and wakes those who wait for news.
func (r *Relay) setShown(rec *record, shown *apiv1.TargetRecord) {
	if rec.shown == nil && shown == nil {
		return
	}
	name := rec.message.Service
	if rec.shown != nil {
		name = rec.shown.Service
	}
	s := r.services[name]
	if s == nil {
		s = newService()
		r.services[name] = s
	}
	rec.shown = shown
	s.note(targetID(rec.message.Node, rec.message.Name), rec)
	r.wake()
}
