package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/vfs"
)

// lossInjector crashes, isolates, wipes and replaces hosts of a simulation with a fixed number of voters, as
// many at once as the cluster must tolerate. A host counts as lost while it is down or isolated, and for the
// time to catch up after that. A host that stops permanently is no longer counted once its replacement has
// had that time.
type lossInjector struct {
	sim *simulation
	// maxLost is how many hosts may be lost at once.
	maxLost int
	// lostUntil is when each host stops counting as lost.
	lostUntil map[int]time.Time
	// isolatedUntil is when the isolation of a host ends.
	isolatedUntil map[int]time.Time
	// replacement is the one in progress; nil if there is none.
	replacement *replacement
	// accepted is the number of accepted changes, and advanced is when it last rose.
	accepted int
	advanced time.Time
}

// replacement replaces a host by a new one, which is added before the old one announces its stop.
type replacement struct {
	old, successor    *simHost
	leavesAt, stopsAt time.Time
	leaving           bool
}

const maxSimHosts = 16

func newLossInjector(sim *simulation, maxLost int) *lossInjector {
	return &lossInjector{sim: sim, maxLost: maxLost, lostUntil: map[int]time.Time{}, isolatedUntil: map[int]time.Time{}}
}

func (l *lossInjector) lostCount() int {
	n := 0
	for _, h := range l.sim.hosts {
		if l.isLost(h) {
			n++
		}
	}
	return n
}

func (l *lossInjector) isLost(h *simHost) bool {
	return l.sim.now.Before(l.lostUntil[h.index]) || h.replica == nil && !h.gone
}

// pickHost returns a random host that is not lost, preferably a voter.
func (l *lossInjector) pickHost(not ...*simHost) *simHost {
	var available, availableVoters []*simHost
	voters := l.voters()
	for _, h := range l.sim.hosts {
		if h.gone || l.isLost(h) || slices.Contains(not, h) {
			continue
		}
		available = append(available, h)
		if slices.Contains(voters, hostName(h.index)) {
			availableVoters = append(availableVoters, h)
		}
	}
	if len(availableVoters) > 0 && l.sim.rnd.IntN(4) > 0 {
		available = availableVoters
	}
	return available[l.sim.rnd.IntN(len(available))]
}

func (l *lossInjector) voters() []string {
	for _, h := range l.sim.hosts {
		if h.replica != nil && h.replica.view.Load().leads(0) {
			voters, _ := memberNodes(h.replica.engine.groups[0].core.Membership())
			return voters
		}
	}
	return nil
}

// step starts and ends losses at random.
func (l *lossInjector) step() {
	sim := l.sim
	l.endIsolations()
	l.advanceReplacement()
	if l.lostCount() >= l.maxLost || sim.rnd.IntN(80) > 0 {
		return
	}
	h := l.pickHost()
	switch sim.rnd.IntN(6) {
	case 0, 1, 2:
		pause := time.Duration(500+sim.rnd.IntN(6500)) * time.Millisecond
		l.isolatedUntil[h.index] = sim.now.Add(pause)
		l.lostUntil[h.index] = l.isolatedUntil[h.index].Add(catchUpBound)
		l.setIsolated(h.index, true)
	case 3:
		l.stop(h, false)
	case 4:
		l.stop(h, true)
	default:
		l.startReplacement(h)
	}
}

// checkProgress checks that changes are still accepted.
func (l *lossInjector) checkProgress() {
	sim := l.sim
	if n := len(sim.accepted); n > l.accepted || l.advanced.IsZero() {
		l.accepted, l.advanced = n, sim.now
	}
	require.LessOrEqual(sim.t, sim.now.Sub(l.advanced), acceptBound, "no change was accepted for too long, with %d hosts lost", l.lostCount())
}

// endIsolations reconnects the hosts whose isolation is over.
func (l *lossInjector) endIsolations() {
	for index, end := range l.isolatedUntil {
		if l.sim.now.After(end) {
			delete(l.isolatedUntil, index)
			l.setIsolated(index, false)
		}
	}
}

// stop crashes a host, which starts again after a random delay, with an empty disk if wiped.
func (l *lossInjector) stop(h *simHost, wiped bool) {
	if wiped {
		h.fs.Wipe()
	}
	l.sim.crashHost(h)
	if wiped {
		h.fs.Wipe()
		h.revision, h.confirmedRevision = 0, 0
	}
	l.lostUntil[h.index] = h.restartAt.Add(catchUpBound)
}

func (l *lossInjector) setIsolated(index int, isolated bool) {
	for other := range maxSimHosts {
		if _, otherIsolated := l.isolatedUntil[other]; other == index || otherIsolated {
			continue
		}
		l.sim.blocked[[2]int{index, other}] = isolated
		l.sim.blocked[[2]int{other, index}] = isolated
	}
}

func (l *lossInjector) startReplacement(old *simHost) {
	sim := l.sim
	if l.replacement != nil || len(sim.hosts) == maxSimHosts {
		return
	}
	successor := &simHost{index: len(sim.hosts), fs: vfs.NewMem()}
	sim.hosts = append(sim.hosts, successor)
	sim.startHost(successor)
	leavesAt := sim.now.Add(catchUpBound + time.Duration(sim.rnd.IntN(2000))*time.Millisecond)
	l.replacement = &replacement{old: old, successor: successor, leavesAt: leavesAt,
		stopsAt: leavesAt.Add(time.Duration(500+sim.rnd.IntN(2500)) * time.Millisecond)}
}

// advanceReplacement takes the next step of a replacement. The old host stops only while its successor
// is not lost.
func (l *lossInjector) advanceReplacement() {
	sim, p := l.sim, l.replacement
	if p == nil || sim.now.Before(p.leavesAt) {
		return
	}
	if !p.leaving {
		if l.isLost(p.old) || l.isLost(p.successor) {
			return
		}
		p.leaving = true
		p.stopsAt = sim.now.Add(p.stopsAt.Sub(p.leavesAt))
		old := p.old.replica
		for _, h := range sim.hosts {
			if h.replica != nil {
				h.replica.relay.HandleHeartbeat(sim.now, &apiv1.SyncRequest{
					Node: hostName(p.old.index), Incarnation: old.o.Identity.Incarnation, Leaving: true,
				})
			}
		}
		old.stopping.Store(true)
		old.transferAll(sim.now)
		return
	}
	if p.old.replica != nil && sim.now.Before(p.stopsAt) {
		return
	}
	p.old.gone = true
	if p.old.replica != nil {
		sim.crashHost(p.old)
	}
	l.lostUntil[p.old.index] = time.Time{}
	l.replacement = nil
}

// crashAll crashes all hosts at the same moment, as many of them with the loss of their disks as may still
// be lost.
func (l *lossInjector) crashAll() {
	wiped := map[*simHost]bool{}
	for l.lostCount()+len(wiped) < l.maxLost {
		var chosen []*simHost
		for h := range wiped {
			chosen = append(chosen, h)
		}
		wiped[l.pickHost(chosen...)] = true
	}
	for _, h := range l.sim.hosts {
		if h.replica != nil {
			l.stop(h, wiped[h])
		}
	}
	for index := range l.isolatedUntil {
		l.isolatedUntil[index] = l.sim.now
	}
}

// recovered reports whether all hosts that have not left hold all accepted changes, and more than the given
// number have been accepted.
func (l *lossInjector) recovered(accepted int) bool {
	if len(l.sim.accepted) <= accepted {
		return false
	}
	for _, h := range l.sim.hosts {
		if h.gone {
			continue
		}
		if h.replica == nil || h.replica.store.PublishedState().Load().Revision < l.sim.highest {
			return false
		}
	}
	return true
}

// Guards against changes that stall or are lost although no more hosts are lost than the cluster must
// tolerate. That happens if a running host is not a voter when it is needed, or if the quorum depends on
// hosts that are lost or have left.
func TestChangesContinueWhileHostsAreLost(t *testing.T) {
	seeds := 100
	if testing.Short() {
		seeds = 6
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			runLosses(t, uint64(seed+1), 1+seed%2)
		})
	}
}

// Guards against a new host that is refused because hosts that have left fill the membership. The new host
// had lost its disk, and no change was accepted once two more hosts were lost.
func TestChangesContinueWhileHostsAreLostAndMembershipIsFull(t *testing.T) {
	for _, seed := range []uint64{5120, 5526} {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runLosses(t, seed, 2) })
	}
}

// runLosses loses and replaces hosts, crashes all of them at once three times, and checks that changes are
// still accepted and none is lost.
func runLosses(t *testing.T, seed uint64, maxLost int) {
	sim := newSimulationWithVoters(t, seed, 2*maxLost+1, 2*maxLost+1, faultSet{})
	sim.runUntil(10*time.Second, sim.complete, "all hosts are voters")
	l := newLossInjector(sim, maxLost)
	for range 3 {
		l.advanced = time.Time{}
		for end := sim.now.Add(time.Duration(5+sim.rnd.IntN(25)) * time.Second); sim.now.Before(end); sim.step() {
			l.step()
			l.checkProgress()
		}
		l.crashAll()
		accepted := len(sim.accepted)
		sim.runUntil(recoveryBound, func() bool {
			l.endIsolations()
			return l.recovered(accepted)
		}, "changes are accepted again and every host holds them")
	}
	require.NotEmpty(t, sim.accepted)
}
