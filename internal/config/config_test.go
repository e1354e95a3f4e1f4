package config

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"k8s.io/apimachinery/pkg/labels"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/outcome"
)

const sample = `
kind: Organisation
name: court
labels: {size: large}
spec: {weight: 4}
---
kind: Rate
name: large
spec: {selector: size=large, perSecond: 200, burst: 50}
---
kind: Class
name: urgent
spec: {selector: work in (booking), priority: 0}
---
kind: Class
name: public
spec: {selector: "!work", priority: 9}
---
kind: Route
name: booking
labels: {work: booking}
spec: {service: jadual, pathPrefix: /jadual, methods: [GET, POST], targets: zone!=old, timeout: 2s, maxBody: 64KiB}
---
kind: Route
name: notices
spec: {service: jadual, pathPrefix: /jadual/notices/, methods: [GET], open: true}
---
kind: Route
name: notices-host
spec: {service: transkrip, host: notices.example, open: true}
---
kind: Route
name: lookup
labels: {work: booking}
spec: {service: jadual, pathPrefix: /lookup, internal: true, idempotent: true}
---
kind: Target
name: old-hosts
spec: {service: jadual, selector: gen=1, slots: 10, coldStart: 5s, labels: {zone: old}}
---
kind: Target
name: one
spec: {service: jadual, target: jadual-1, slots: 300, maxConnections: 7, labels: {zone: new}}
---
kind: Target
name: drain-n4
spec: {service: "*", selector: guavaford/node=n4, drain: true}
`

// compileSample parses, checks and compiles the sample.
func compileSample(t *testing.T) *Snapshot {
	t.Helper()
	resources, problems := Parse("sample.yaml", []byte(sample))
	require.Empty(t, problems)
	require.Empty(t, Check(resources))
	snapshot, err := Compile(7, resources)
	require.NoError(t, err)
	return snapshot
}

// TestCompileResolvesSelectors guards against routes and organisations that get the class or rate of
// another selector, or lose a field of their spec.
func TestCompileResolvesSelectors(t *testing.T) {
	s := compileSample(t)
	require.Equal(t, &Organisation{Name: "court", Labels: labels.Set{"size": "large"}, Weight: 4, Rate: 200, Burst: 50}, s.Organisations["court"])
	r, code := s.Match(http.MethodPost, "any.example:8080", "/jadual/7")
	require.Empty(t, code)
	require.Equal(t, "urgent", r.Class.Name)
	require.Equal(t, 2*time.Second, r.Timeout)
	require.Equal(t, int64(64<<10), r.MaxBody)
	require.False(t, r.Selector.Matches(labels.Set{"zone": "old"}))
	require.False(t, r.Idempotent(http.MethodPost))
	require.True(t, r.Idempotent(http.MethodPut))
}

// TestStateFollowsRevisionsInOrder guards against a state that skips a revision, goes back to an
// older one, or changes its clones.
func TestStateFollowsRevisionsInOrder(t *testing.T) {
	class := func(name string, revision uint64) *apiv1.Resource {
		return &apiv1.Resource{Kind: KindClass, Name: name, Revision: revision}
	}
	s := &State{}
	require.NoError(t, s.LoadSnapshot(&apiv1.ConfigSnapshot{Revision: 3, Resources: []*apiv1.Resource{class("a", 1), class("b", 3)}}))
	old := s.Clone()
	require.Error(t, s.ApplyDelta(&apiv1.ConfigDelta{Revision: 5}), "a delta that skips a revision")
	require.Error(t, s.ApplyDelta(&apiv1.ConfigDelta{Revision: 3}), "a delta of the current revision")
	require.Error(t, s.LoadSnapshot(&apiv1.ConfigSnapshot{Revision: 2}), "a snapshot of an older revision")
	// The store applies deletes before upserts, so a document in both remains.
	require.NoError(t, s.ApplyDelta(&apiv1.ConfigDelta{
		Revision: 4,
		Deletes:  []*apiv1.ResourceRef{{Kind: KindClass, Name: "a"}, {Kind: KindClass, Name: "b"}},
		Upserts:  []*apiv1.Resource{class("a", 4)},
	}))
	require.Equal(t, []*apiv1.Resource{class("a", 4)}, s.Resources())
	require.Equal(t, uint64(4), s.Revision())
	require.Len(t, old.Resources(), 2)
	require.Equal(t, uint64(3), old.Revision())
}

// TestMatch guards against requests that take the wrong route: by a partial path segment, host or
// method, through an internal route, or by a path that a target could resolve differently.
func TestMatch(t *testing.T) {
	s := compileSample(t)
	for _, c := range []struct {
		method, host, path string
		route              string
		code               outcome.Code
	}{
		{"GET", "x", "/jadual", "booking", ""},
		{"GET", "x", "/jadual/", "booking", ""},
		{"GET", "x", "/jadualx", "", outcome.RouteUnknown},
		{"GET", "x", "/jadual/notices", "notices", ""},
		{"HEAD", "x", "/jadual/notices/9", "notices", ""},
		{"POST", "x", "/jadual/notices/9", "", outcome.MethodNotAllowed},
		{"POST", "Notices.Example.:443", "/jadual/notices/9", "notices-host", ""},
		{"GET", "x", "/lookup", "", outcome.RouteUnknown},
		{"GET", "x", "/", "", outcome.RouteUnknown},
		{"GET", "x", "/jadual/notices/../7", "", outcome.BadRequest},
		{"GET", "x", "//jadual", "", outcome.BadRequest},
		{"GET", "x", `/jadual/notices/..\7`, "", outcome.BadRequest},
		{"GET", "x", "/jadual/.hidden/..a", "booking", ""},
		{"GET", "x", "/jadual/.", "", outcome.BadRequest},
		{"GET", "x", "", "", outcome.BadRequest},
	} {
		r, code := s.Match(c.method, c.host, c.path)
		require.Equal(t, c.code, code, "%+v", c)
		if c.route != "" {
			require.Equal(t, c.route, r.Name, "%+v", c)
		}
	}
}

// TestLookUpsDoNotAllocate guards against allocations in the lookups that each request makes.
func TestLookUpsDoNotAllocate(t *testing.T) {
	s := compileSample(t)
	announced := labels.Set{LabelNode: "n1"}
	require.Zero(t, testing.AllocsPerRun(100, func() { s.Match(http.MethodGet, "x.example:8080", "/jadual/notices/9") }))
	require.Zero(t, testing.AllocsPerRun(100, func() { s.ServiceRoute("jadual", http.MethodGet, "/lookup/1") }))
	require.Zero(t, testing.AllocsPerRun(100, func() { s.TargetPolicy("jadual", "jadual-2", announced, 230) }))
}

// TestServiceRoute guards against sub-calls that can't reach internal routes, or that reach routes of
// other methods or services.
func TestServiceRoute(t *testing.T) {
	s := compileSample(t)
	r, code := s.ServiceRoute("jadual", "POST", "/lookup/1")
	require.Empty(t, code)
	require.Equal(t, "lookup", r.Name)
	require.True(t, r.Idempotent(http.MethodPost))
	_, code = s.ServiceRoute("jadual", "DELETE", "/jadual/1")
	require.Equal(t, outcome.MethodNotAllowed, code)
	_, code = s.ServiceRoute("premis", "GET", "/")
	require.Equal(t, outcome.RouteUnknown, code)
}

// TestTargetPolicy guards against Target documents that apply in the wrong order or raise the number
// of concurrent requests above what the target announced.
func TestTargetPolicy(t *testing.T) {
	s := compileSample(t)
	old := s.TargetPolicy("jadual", "jadual-2", labels.Set{"gen": "1"}, 230)
	require.Equal(t, TargetPolicy{Labels: labels.Set{"gen": "1", "zone": "old"}, Slots: 10, ColdStart: 5 * time.Second}, old)
	named := s.TargetPolicy("jadual", "jadual-1", labels.Set{"gen": "1", LabelNode: "n4"}, 230)
	require.Equal(t, "new", named.Labels["zone"], "a document for a single target must override one by selector")
	require.Equal(t, 7, named.Slots, "maxConnections must limit the slots: a connection carries one request at a time")
	require.Equal(t, 230, s.TargetPolicy("jadual", "jadual-3", nil, 230).Slots)
	require.Equal(t, 5, s.TargetPolicy("jadual", "jadual-2", labels.Set{"gen": "1"}, 5).Slots, "slots must not exceed what the target announced")
	require.Equal(t, 10, s.TargetPolicy("jadual", "jadual-2", labels.Set{"gen": "1"}, 0).Slots)
	require.Equal(t, 7, named.MaxConnections)
	require.True(t, named.Draining)
	require.False(t, old.Draining)
}
