package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// controlBudget is what a node may spend for control by the size stated for two years from now, in bytes a second.
	controlBudget = 20 << 10
	// foundingTime is the time that a fleet has from its start until requests come.
	foundingTime = 10 * time.Second
	// locateBytes is what a node may cause between data centres until it knows the replica of its own: a few answers
	// that say where the replicas are, at half a kilobyte each.
	locateBytes = 4 << 10
	// announceGap is the time between the announcements of two targets. Nodes follow the services by then.
	announceGap = 10 * time.Millisecond
)

// TestFoundingCostsEachNodeTheSame starts fleets of three sizes at once and counts what nodes and replicas send until all
// nodes know all targets of the services that they call. What a node causes may grow with the targets that it needs to know,
// a few hundred bytes each, but not with the number of changes that others make meanwhile.
func TestFoundingCostsEachNodeTheSame(t *testing.T) {
	sizes := []int{30, 100, 300}
	if testing.Short() {
		sizes = sizes[:2]
	}
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { found(t, n) })
		})
	}
}

func found(t *testing.T, nodes int) {
	f, err := New(Options{
		Seed:        1,
		Replicas:    5,
		Nodes:       nodes,
		DataCentres: []string{"kl", "shah-alam", "putrajaya", "johor-bahru", "penang"},
		Delay:       500 * time.Microsecond,
		Log:         logger(),
	})
	require.NoError(t, err)
	defer f.Close()
	require.NoError(t, f.Hosts[0].Apply("documents", documents, settleTime))
	for _, h := range f.Hosts[5:] {
		// The first call makes a node follow the service.
		h.Call(Request{Method: "GET", Path: "/open/1", Timeout: time.Second})
	}
	for i, h := range f.Hosts[5:] {
		service := []string{"premis", "tempahan"}[i%2]
		h.Add(&Target{Name: service + "-" + h.Name, Service: service, Slots: 10, ServiceTime: time.Millisecond})
		time.Sleep(announceGap)
	}
	time.Sleep(foundingTime)
	sums := map[string]int64{}
	for _, h := range f.Hosts {
		for _, row := range h.Process().Traffic() {
			sums[row.Kind+" "+row.Distance] += row.Sent
		}
	}
	t.Logf("%d nodes, bytes by kind: %v", nodes, sums)
	perNode := func(kind string) float64 { return float64(sums[kind]) / float64(nodes) }
	budget := controlBudget * foundingTime.Seconds()
	require.Less(t, perNode("sync near")+perNode("sync far"), budget)
	require.Less(t, perNode("sync far"), float64(locateBytes))
	for _, h := range f.Hosts[5:] {
		require.True(t, Eventually(time.Second, func() bool { return h.Call(Request{Method: "GET", Path: "/open/1", Timeout: time.Second}).OK() }), h.Name)
	}
}
