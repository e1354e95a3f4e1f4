package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// controlBudget limits the control traffic that one node may cause, in bytes per second. It holds for the fleet size
	// that is planned for two years from now.
	controlBudget = 20 << 10
	// foundingTime is the time from the start of a fleet to its first regular requests.
	foundingTime = 10 * time.Second
	// locateBudget limits the bytes that a node may cause between data centres until it has found the replica in its
	// own: a few responses that list the replicas, of half a kilobyte each.
	locateBudget = 4 << 10
	// announceInterval is the time between the first announcements of two targets. The nodes follow the services by then, so
	// that they receive an update for each.
	announceInterval = 10 * time.Millisecond
)

// TestFoundingCostsEachNodeTheSame guards against startup traffic per node that grows with the number of changes that
// other nodes make meanwhile. For each of three fleet sizes it starts all nodes at once, and counts the bytes that
// nodes and replicas send until all nodes know all targets of the services that they call. The bytes per node may grow
// with the number of these targets, by a few hundred bytes each.
func TestFoundingCostsEachNodeTheSame(t *testing.T) {
	sizes := []int{30, 100, 300}
	if testing.Short() {
		sizes = sizes[:2]
	}
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testFounding(t, n) })
		})
	}
}

// testFounding starts a fleet of the given size and checks its traffic per node.
func testFounding(t *testing.T, nodes int) {
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
	require.NoError(t, f.Hosts[0].Apply("documents", documents, settleTimeout))
	for _, h := range f.Hosts[5:] {
		// The first call makes a node subscribe to updates of the service.
		h.Call(Request{Method: "GET", Path: "/open/1", Timeout: time.Second})
	}
	for i, h := range f.Hosts[5:] {
		service := []string{"premis", "tempahan"}[i%2]
		h.AddTarget(&Target{Name: service + "-" + h.Name, Service: service, Slots: 10, ServiceTime: time.Millisecond})
		time.Sleep(announceInterval)
	}
	time.Sleep(foundingTime)
	sums := map[string]int64{}
	for _, h := range f.Hosts {
		for _, row := range h.Process().Traffic() {
			sums[row.Kind+" "+row.Distance] += row.Sent
		}
	}
	t.Logf("%d nodes, bytes sent by kind and distance: %v", nodes, sums)
	perNode := func(kind string) float64 { return float64(sums[kind]) / float64(nodes) }
	budget := controlBudget * foundingTime.Seconds()
	require.Less(t, perNode("sync near")+perNode("sync far"), budget)
	require.Less(t, perNode("sync far"), float64(locateBudget))
	for _, h := range f.Hosts[5:] {
		require.True(t, Eventually(time.Second, func() bool { return h.Call(Request{Method: "GET", Path: "/open/1", Timeout: time.Second}).OK() }), h.Name)
	}
}
