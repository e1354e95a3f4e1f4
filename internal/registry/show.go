package registry

import (
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// alive reports whether a node was last seen within the node timeout.
func (r *Relay) alive(now time.Time, n *node) bool {
	return !n.lastSeen.IsZero() && now.Sub(n.lastSeen) <= r.options.NodeTimeout
}

// ownsAddress returns false if a live node that started later claims the same
// address, as happens when a host is replaced under the same IP address.
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

// updateVisibleIfStale calls updateVisible if the passing of time alone can have changed which targets are visible.
func (r *Relay) updateVisibleIfStale(now time.Time, n *node) {
	if n.hasSuppressed || n.usable != (r.alive(now, n) && r.ownsAddress(now, n)) {
		r.updateVisible(now, n)
	}
}

// updateVisible updates which targets of a node are visible, and as what.
func (r *Relay) updateVisible(now time.Time, n *node) {
	usable := r.alive(now, n) && r.ownsAddress(now, n)
	n.usable = usable
	n.hasSuppressed = false
	for _, rec := range n.records {
		r.updateVisibleRecord(now, n, rec, usable)
	}
}

func (r *Relay) updateVisibleRecord(now time.Time, n *node, rec *record, usable bool) {
	if !usable || n.outdated(rec) {
		if rec.visible != nil {
			rec.damping.addDisappearance(now)
			r.setVisible(rec, nil)
		}
		return
	}
	if rec.visible == nil && rec.damping.isSuppressed(now) && r.hasVisibleTarget(rec) {
		n.hasSuppressed = true
		return
	}
	want := rec.message
	if n.leaving && want.State != apiv1.TargetState_TARGET_STATE_LEAVING {
		want = proto.CloneOf(want)
		want.State = apiv1.TargetState_TARGET_STATE_LEAVING
	}
	if rec.visible == nil || rec.visible.State != want.State || rec.visible.Version != want.Version || rec.visible.Incarnation != want.Incarnation {
		r.setVisible(rec, want)
	}
}

// hasVisibleTarget reports whether the service of a record has a visible target.
func (r *Relay) hasVisibleTarget(rec *record) bool {
	s := r.services[rec.message.Service]
	return s != nil && len(s.targets) > 0
}

// setVisible changes the target as sent to nodes, or hides it if visible is nil, and notifies the waiters of Changed.
func (r *Relay) setVisible(rec *record, visible *apiv1.TargetRecord) {
	if rec.visible == nil && visible == nil {
		return
	}
	name := rec.message.Service
	if rec.visible != nil {
		name = rec.visible.Service
	}
	s := r.services[name]
	if s == nil {
		s = newService()
		r.services[name] = s
	}
	rec.visible = visible
	s.recordChange(targetID(rec.message.Node, rec.message.Name), rec)
	r.notifyWaiters()
}
