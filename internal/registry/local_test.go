package registry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"k8s.io/apimachinery/pkg/labels"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/outcome"
)

func valid() Announcement {
	return Announcement{Name: "t", Service: "jadual", Address: "127.0.0.1:80", Slots: 4, Instance: "1"}
}

func TestAnnouncementsExpireWithoutRenewal(t *testing.T) {
	l := newHost("h", 10).local
	first, refusal := l.Announce(epoch, valid())
	require.Nil(t, refusal)
	now := epoch.Add(DefaultTTL - time.Second)
	require.Nil(t, l.Renew(now, "t", "1"))
	require.NotNil(t, l.Renew(now, "t", "2"), "another run announces itself first")
	require.Empty(t, l.Expire(epoch.Add(DefaultTTL)))

	same, refusal := l.Announce(now, valid())
	require.Nil(t, refusal)
	require.Equal(t, first.Version, same.Version, "a repeated announcement is a renewal")

	restarted := valid()
	restarted.Instance = "2"
	second, refusal := l.Announce(now, restarted)
	require.Nil(t, refusal)
	require.Greater(t, second.Version, first.Version)
	require.Equal(t, now, second.Started, "a restarted target is cold again")

	expired := l.Expire(now.Add(DefaultTTL))
	require.Len(t, expired, 1)
	require.NotNil(t, l.Renew(now, "t", "2"))
	require.Empty(t, l.Section().Load().Targets)
}

func TestTwoTargetsOnAHost(t *testing.T) {
	l := newHost("h", 10).local
	_, refusal := l.Announce(epoch, valid())
	require.Nil(t, refusal)
	other := valid()
	other.Name, other.Address = "u", "127.0.0.1:81"
	_, refusal = l.Announce(epoch, other)
	require.Nil(t, refusal)
	require.Len(t, l.Section().Load().Targets, 2)

	// A target under the address of another one has taken its place.
	other.Name, other.Service = "v", "premis"
	_, refusal = l.Announce(epoch, other)
	require.Nil(t, refusal)
	require.NotContains(t, l.Section().Load().Targets, "u")
	_, records := l.Records()
	require.Len(t, records, 3)
	require.Equal(t, apiv1.TargetState_TARGET_STATE_GONE, records[2].State)
}

func TestBadAnnouncementsAreRefused(t *testing.T) {
	cases := map[string]func(*Announcement){
		"name is missing":               func(a *Announcement) { a.Name = "" },
		`name "a/b" contains a slash`:   func(a *Announcement) { a.Name = "a/b" },
		"service is longer than 253":    func(a *Announcement) { a.Service = strings.Repeat("x", 254) },
		`address "localhost:80" is not`: func(a *Announcement) { a.Address = "localhost:80" },
		"slots -1 is not between":       func(a *Announcement) { a.Slots = -1 },
		"is gone does not announce":     func(a *Announcement) { a.State = apiv1.TargetState_TARGET_STATE_GONE },
		`health path "x" does not`:      func(a *Announcement) { a.HealthPath = "x" },
		"65 labels; at most 64":         func(a *Announcement) { a.Labels = manyLabels(65) },
	}
	for want, spoil := range cases {
		l := newHost("h", 10).local
		a := valid()
		spoil(&a)
		_, refusal := l.Announce(epoch, a)
		require.NotNil(t, refusal, want)
		require.Equal(t, outcome.BadRequest, refusal.Code)
		require.Contains(t, refusal.Detail, want)
		require.Zero(t, l.Section().Load().Version)
	}
}

func manyLabels(n int) labels.Set {
	set := labels.Set{}
	for i := range n {
		set[fmt.Sprintf("label-%d", i)] = "x"
	}
	return set
}

// TestSizesAreBounded announces more than one host may, and churns names.
func TestSizesAreBounded(t *testing.T) {
	h := newHost("h", 10)
	r := newReplica("a")
	for i := range 3 * maxRecordsPerNode {
		a := valid()
		a.Name, a.Address = fmt.Sprintf("t%d", i), fmt.Sprintf("127.0.0.1:%d", i+1)
		_, refusal := h.local.Announce(epoch, a)
		if i >= maxLocalTargets {
			require.NotNil(t, refusal)
			require.Nil(t, h.local.Leave(fmt.Sprintf("t%d", i-maxLocalTargets)))
			_, refusal = h.local.Announce(epoch, a)
		}
		require.Nil(t, refusal)
		h.heartbeat(epoch, r)
	}
	_, records := h.local.Records()
	require.Len(t, records, maxLocalTargets+maxLocalTombstones)
	require.LessOrEqual(t, len(r.nodes["h"].records), maxRecordsPerNode)
	require.Equal(t, map[string]int{"jadual": maxLocalTargets}, r.Targets())
}
