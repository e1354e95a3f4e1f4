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

func validAnnouncement() Announcement {
	return Announcement{Name: "t", Service: "jadual", Address: "127.0.0.1:80", Slots: 4, Instance: "1"}
}

// TestAnnouncementsExpireWithoutRenewal guards against targets that stay listed after they stopped renewing, and
// against another process of a target renewing an announcement that is not its own.
func TestAnnouncementsExpireWithoutRenewal(t *testing.T) {
	l := newHost("h", 10).local
	first, refusal := l.Announce(epoch, validAnnouncement())
	require.Nil(t, refusal)
	now := epoch.Add(DefaultTTL - time.Second)
	require.Nil(t, l.Renew(now, "t", "1"))
	require.NotNil(t, l.Renew(now, "t", "2"), "another process must announce itself first")
	require.Empty(t, l.Expire(epoch.Add(DefaultTTL)))

	same, refusal := l.Announce(now, validAnnouncement())
	require.Nil(t, refusal)
	require.Equal(t, first.Version, same.Version, "a repeated announcement is a renewal")

	restarted := validAnnouncement()
	restarted.Instance = "2"
	second, refusal := l.Announce(now, restarted)
	require.Nil(t, refusal)
	require.Greater(t, second.Version, first.Version)
	require.Equal(t, now, second.Started, "a restarted target counts as newly started")

	expired := l.Expire(now.Add(DefaultTTL))
	require.Len(t, expired, 1)
	require.NotNil(t, l.Renew(now, "t", "2"))
	require.Empty(t, l.Section().Load().Targets)
}

// TestNewTargetReplacesTargetAtSameAddress guards against two listed targets with the same address.
func TestNewTargetReplacesTargetAtSameAddress(t *testing.T) {
	l := newHost("h", 10).local
	_, refusal := l.Announce(epoch, validAnnouncement())
	require.Nil(t, refusal)
	other := validAnnouncement()
	other.Name, other.Address = "u", "127.0.0.1:81"
	_, refusal = l.Announce(epoch, other)
	require.Nil(t, refusal)
	require.Len(t, l.Section().Load().Targets, 2)

	// A target that announces the address of another one replaces it.
	other.Name, other.Service = "v", "premis"
	_, refusal = l.Announce(epoch, other)
	require.Nil(t, refusal)
	require.NotContains(t, l.Section().Load().Targets, "u")
	_, records := l.Records()
	require.Len(t, records, 3)
	require.Equal(t, apiv1.TargetState_TARGET_STATE_GONE, records[2].State)
}

// TestBadAnnouncementsAreRefused guards against invalid announcements being listed or changing the set.
func TestBadAnnouncementsAreRefused(t *testing.T) {
	cases := map[string]func(*Announcement){
		"name is missing":               func(a *Announcement) { a.Name = "" },
		`name "a/b" contains a slash`:   func(a *Announcement) { a.Name = "a/b" },
		"service is longer than 253":    func(a *Announcement) { a.Service = strings.Repeat("x", 254) },
		`address "localhost:80" is not`: func(a *Announcement) { a.Address = "localhost:80" },
		"slots -1 is not between":       func(a *Announcement) { a.Slots = -1 },
		"state GONE is not allowed":     func(a *Announcement) { a.State = apiv1.TargetState_TARGET_STATE_GONE },
		`health path "x" does not`:      func(a *Announcement) { a.HealthPath = "x" },
		"65 labels; at most 64":         func(a *Announcement) { a.Labels = manyLabels(65) },
		`name "\xff\xfe" is not UTF-8`:  func(a *Announcement) { a.Name = "\xff\xfe" },
		`service "\xe9" is not UTF-8`:   func(a *Announcement) { a.Service = "\xe9" },
		`instance "\xe9" is not UTF-8`:  func(a *Announcement) { a.Instance = "\xe9" },
		`load path "/\xe9" does not`:    func(a *Announcement) { a.LoadPath = "/\xe9" },
		`label "a"="\xe9" is not UTF-8`: func(a *Announcement) { a.Labels = labels.Set{"a": "\xe9"} },
	}
	for want, invalidate := range cases {
		l := newHost("h", 10).local
		a := validAnnouncement()
		invalidate(&a)
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

// TestSizesAreBounded announces more targets than one host may have, under changing names. It guards against targets,
// tombstones and records that accumulate without limit.
func TestSizesAreBounded(t *testing.T) {
	h := newHost("h", 10)
	r := newReplica("a")
	for i := range 3 * maxRecordsPerNode {
		a := validAnnouncement()
		a.Name, a.Address = fmt.Sprintf("t%d", i), fmt.Sprintf("127.0.0.1:%d", i+1)
		_, refusal := h.local.Announce(epoch, a)
		if i >= maxLocalTargets {
			require.NotNil(t, refusal)
			require.Nil(t, h.local.Remove(fmt.Sprintf("t%d", i-maxLocalTargets)))
			_, refusal = h.local.Announce(epoch, a)
		}
		require.Nil(t, refusal)
		h.heartbeat(epoch, r)
	}
	_, records := h.local.Records()
	require.Len(t, records, maxLocalTargets+maxLocalTombstones)
	require.LessOrEqual(t, len(r.nodes["h"].records), maxRecordsPerNode)
	require.Equal(t, map[string]int{"jadual": maxLocalTargets}, r.TargetCounts())
}
