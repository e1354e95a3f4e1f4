package control

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// faultPairs lists each fault alone and each pair.
func faultPairs() []faultSet {
	setters := []func(*faultSet){
		func(f *faultSet) { f.loss = true },
		func(f *faultSet) { f.duplicates = true },
		func(f *faultSet) { f.reordering = true },
		func(f *faultSet) { f.partitions = true },
		func(f *faultSet) { f.crashes = true },
		func(f *faultSet) { f.wipes = true },
		func(f *faultSet) { f.freezes = true },
	}
	var pairs []faultSet
	for i := range setters {
		for j := i; j < len(setters); j++ {
			var f faultSet
			setters[i](&f)
			setters[j](&f)
			pairs = append(pairs, f)
		}
	}
	return pairs
}

const (
	seedsPerPair = 8
	// shortSeeds is the number of seeds of each pair with -short. They are numbered as in a full run.
	shortSeeds    = 1
	faultDuration = 8 * time.Second
)

// Guards against lost or duplicated changes, two leaders in one term and stale confirmed revisions. It
// injects every fault alone and in pairs, with a fixed list of seeds.
func TestInvariantsUnderFaults(t *testing.T) {
	var snapshots, installed, rewrites atomic.Uint64
	t.Cleanup(func() {
		require.Positive(t, snapshots.Load())
		require.Positive(t, installed.Load(), "at least one replica installed a snapshot from its leader")
		require.Positive(t, rewrites.Load())
	})
	seeds := seedsPerPair
	if testing.Short() {
		seeds = shortSeeds
	}
	for i, faults := range faultPairs() {
		for s := range seeds {
			seed := uint64(i*seedsPerPair + s + 1)
			t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
				t.Parallel()
				hosts := 3 + 2*(s%2)
				sim := runFaults(t, seed, hosts, faults)
				for _, h := range sim.hosts {
					metrics := h.replica.Metrics()
					snapshots.Add(metrics.Snapshots)
					installed.Add(metrics.SnapshotsInstalled)
					rewrites.Add(metrics.Log.Rewrites)
				}
			})
		}
	}
}

// Guards against the same failures as TestInvariantsUnderFaults while silent voters are replaced by
// standbys and returning replicas become standbys or voters.
func TestInvariantsWhileVotersAreReplaced(t *testing.T) {
	var replaced atomic.Uint64
	t.Cleanup(func() { require.Positive(t, replaced.Load(), "at least one standby replaced a voter") })
	seeds := seedsPerPair
	if testing.Short() {
		seeds = shortSeeds
	}
	for i, faults := range faultPairs() {
		for s := range seeds {
			seed := uint64(i*seedsPerPair + s + 1)
			t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
				t.Parallel()
				sim := newSimulationWithVoters(t, seed, 4+s%3, 3, faultSet{})
				sim.runUntil(10*time.Second, sim.complete, "all hosts are members")
				before, _ := memberNodes(sim.hosts[0].replica.engine.groups[0].core.Membership())
				sim.run(faults)
				after, _ := memberNodes(sim.hosts[0].replica.engine.groups[0].core.Membership())
				if !slices.Equal(before, after) {
					replaced.Add(1)
				}
			})
		}
	}
}

func runFaults(t *testing.T, seed uint64, hosts int, faults faultSet) *simulation {
	sim := newSimulation(t, seed, hosts, faultSet{})
	sim.runUntil(10*time.Second, sim.complete, "all hosts are voters")
	sim.run(faults)
	return sim
}

// run injects faults, lets the hosts recover, and checks the state of the replicas.
func (sim *simulation) run(faults faultSet) {
	sim.faults = faults
	for end := sim.now.Add(faultDuration); sim.now.Before(end); sim.step() {
		sim.injectFaults()
	}
	sim.clearFaults()
	acknowledged := len(sim.accepted)
	sim.runUntil(5*time.Second, func() bool { return len(sim.accepted) > acknowledged }, "changes are accepted again")
	for _, o := range sim.operators {
		o.stopped = true
	}
	idle := func() bool {
		for _, o := range sim.operators {
			if o.current != nil {
				return false
			}
		}
		return true
	}
	sim.runUntil(10*time.Second, idle, "all outcomes are known")
	sim.runUntil(10*time.Second, sim.converged, "all replicas hold the same revision")
	sim.checkAccepted()
}

// checkAccepted checks that every replica holds every acknowledged change with its revision.
func (sim *simulation) checkAccepted() {
	require.NotEmpty(sim.t, sim.accepted)
	for _, h := range sim.hosts {
		held := map[string]uint64{}
		for _, resource := range h.replica.store.ConfigSnapshot().Resources {
			held[resource.Name] = resource.Revision
		}
		for id, revision := range sim.accepted {
			require.Equal(sim.t, revision, held[id], "revision of change %s at host %d", id, h.index)
			outcome := h.replica.store.RecordedOutcome(&apiv1.Change{Id: id})
			require.NotNil(sim.t, outcome, "the outcome of change %s is recorded", id)
		}
		require.Len(sim.t, held, int(h.replica.store.PublishedState().Load().Revision), "each revision has one change")
	}
}

// Guards against a change accepted by the first replica of a new cluster alone, which would be lost with
// its disk.
func TestNoChangeIsAcceptedBeforeMajorityOfInitialReplicasVotes(t *testing.T) {
	sim := newSimulation(t, 1, 3, faultSet{})
	first := sim.hosts[0].replica
	first.o.InitialReplicas = []string{hostName(0), hostName(1), hostName(2)}
	first.publish()
	require.Contains(t, first.insufficientVoters(), "1 of 3 initial replicas vote")
	sim.runUntil(10*time.Second, sim.complete, "all hosts are voters")
	require.Empty(t, first.insufficientVoters())
}
