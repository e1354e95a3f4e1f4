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
	set := []func(*faultSet){
		func(f *faultSet) { f.loss = true },
		func(f *faultSet) { f.duplicates = true },
		func(f *faultSet) { f.reordering = true },
		func(f *faultSet) { f.partitions = true },
		func(f *faultSet) { f.crashes = true },
		func(f *faultSet) { f.wipes = true },
		func(f *faultSet) { f.freezes = true },
	}
	var pairs []faultSet
	for i := range set {
		for j := i; j < len(set); j++ {
			var f faultSet
			set[i](&f)
			set[j](&f)
			pairs = append(pairs, f)
		}
	}
	return pairs
}

const (
	seedsOfEachPair = 8
	// shortSeeds is the number of seeds of each pair in short runs. The seeds keep their numbers.
	shortSeeds    = 1
	disturbedTime = 8 * time.Second
)

// TestInvariantsUnderFaults runs every fault alone and in pairs, over a fixed list of seeds.
func TestInvariantsUnderFaults(t *testing.T) {
	var snapshots, installed, rewrites atomic.Uint64
	t.Cleanup(func() {
		require.Positive(t, snapshots.Load())
		require.Positive(t, installed.Load(), "some replica got a snapshot from its leader")
		require.Positive(t, rewrites.Load())
	})
	seeds := seedsOfEachPair
	if testing.Short() {
		seeds = shortSeeds
	}
	for i, faults := range faultPairs() {
		for s := range seeds {
			seed := uint64(i*seedsOfEachPair + s + 1)
			t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
				t.Parallel()
				hosts := 3 + 2*(s%2)
				w := runFaults(t, seed, hosts, faults)
				for _, h := range w.hosts {
					metrics := h.replica.Metrics()
					snapshots.Add(metrics.Snapshots)
					installed.Add(metrics.Installed)
					rewrites.Add(metrics.Log.Rewrites)
				}
			})
		}
	}
}

// TestInvariantsWhileVotersAreReplaced runs the faults with replicas that stand by: a voter that is silent loses its
// place, and a replica that returns takes one.
func TestInvariantsWhileVotersAreReplaced(t *testing.T) {
	var replaced atomic.Uint64
	t.Cleanup(func() { require.Positive(t, replaced.Load(), "some standby took the place of a voter") })
	seeds := seedsOfEachPair
	if testing.Short() {
		seeds = shortSeeds
	}
	for i, faults := range faultPairs() {
		for s := range seeds {
			seed := uint64(i*seedsOfEachPair + s + 1)
			t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
				t.Parallel()
				w := newWorldOf(t, seed, 4+s%3, 3, faultSet{})
				w.until(10*time.Second, w.whole, "all hosts are members")
				before, _ := memberNodes(w.hosts[0].replica.engine.groups[0].core.Membership())
				w.run(faults)
				after, _ := memberNodes(w.hosts[0].replica.engine.groups[0].core.Membership())
				if !slices.Equal(before, after) {
					replaced.Add(1)
				}
			})
		}
	}
}

func runFaults(t *testing.T, seed uint64, hosts int, faults faultSet) *world {
	w := newWorld(t, seed, hosts, faultSet{})
	w.until(10*time.Second, w.whole, "all hosts are voters")
	w.run(faults)
	return w
}

// run disturbs the hosts, lets them recover, and checks what they hold.
func (w *world) run(faults faultSet) {
	w.faults = faults
	for end := w.now.Add(disturbedTime); w.now.Before(end); w.step() {
		w.disturb()
	}
	w.heal()
	acknowledged := len(w.accepted)
	w.until(5*time.Second, func() bool { return len(w.accepted) > acknowledged }, "changes are accepted again")
	for _, o := range w.operators {
		o.stopped = true
	}
	idle := func() bool {
		for _, o := range w.operators {
			if o.current != nil {
				return false
			}
		}
		return true
	}
	w.until(10*time.Second, idle, "all outcomes are known")
	w.until(10*time.Second, w.converged, "all replicas hold the same revision")
	w.checkAccepted()
}

// checkAccepted checks that every replica holds every acknowledged change, under its revision.
func (w *world) checkAccepted() {
	require.NotEmpty(w.t, w.accepted)
	for _, h := range w.hosts {
		held := map[string]uint64{}
		for _, resource := range h.replica.store.ConfigSnapshot().Resources {
			held[resource.Name] = resource.Revision
		}
		for id, revision := range w.accepted {
			require.Equal(w.t, revision, held[id], "%s at host %d", id, h.index)
			outcome := h.replica.store.Recorded(&apiv1.Change{Id: id})
			require.NotNil(w.t, outcome, "the outcome of %s is recorded", id)
		}
		require.Len(w.t, held, int(h.replica.store.Head().Load().Revision), "each revision is one change")
	}
}

func TestNoChangeIsAcceptedBeforeAMajorityOfTheFounders(t *testing.T) {
	w := newWorld(t, 1, 3, faultSet{})
	founder := w.hosts[0].replica
	founder.o.InitialReplicas = []string{hostName(0), hostName(1), hostName(2)}
	founder.publish()
	require.Contains(t, founder.tooFewFounders(), "1 of 3 initial replicas vote")
	w.until(10*time.Second, w.whole, "all hosts are voters")
	require.Empty(t, founder.tooFewFounders())
}
