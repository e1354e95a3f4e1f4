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

// losses takes hosts away from a world with a fixed number of voters, as many at once as it has to bear. A host is lost while
// it is down or cut off, and for the time to catch up after that. One that leaves for good is lost until its
// successor has had that time.
type losses struct {
	w *world
	// borne is how many hosts may be lost at once.
	borne int
	// until is when each host stops being lost.
	until map[int]time.Time
	// cut is when the cut of a host ends.
	cut map[int]time.Time
	// replacement is the one under way; nil if none is.
	replacement *replacement
	// accepted is the number of changes accepted, and advanced is when it rose last.
	accepted int
	advanced time.Time
}

// replacement exchanges a host for a new one, which is added before the old one says that it is stopping.
type replacement struct {
	old, successor *worldHost
	leaves, ends   time.Time
	leaving        bool
}

const maxWorldHosts = 16

func newLosses(w *world, borne int) *losses {
	return &losses{w: w, borne: borne, until: map[int]time.Time{}, cut: map[int]time.Time{}}
}

func (l *losses) lost() int {
	n := 0
	for _, h := range l.w.hosts {
		if l.isLost(h) {
			n++
		}
	}
	return n
}

func (l *losses) isLost(h *worldHost) bool {
	return l.w.now.Before(l.until[h.index]) || h.replica == nil && !h.gone
}

// draw returns a host that is not lost, preferably one that votes.
func (l *losses) draw(not ...*worldHost) *worldHost {
	var sound, voting []*worldHost
	voters := l.voters()
	for _, h := range l.w.hosts {
		if h.gone || l.isLost(h) || slices.Contains(not, h) {
			continue
		}
		sound = append(sound, h)
		if slices.Contains(voters, hostName(h.index)) {
			voting = append(voting, h)
		}
	}
	if len(voting) > 0 && l.w.rnd.IntN(4) > 0 {
		sound = voting
	}
	return sound[l.w.rnd.IntN(len(sound))]
}

func (l *losses) voters() []string {
	for _, h := range l.w.hosts {
		if h.replica != nil && h.replica.view.Load().leads(0) {
			voters, _ := memberNodes(h.replica.engine.groups[0].core.Membership())
			return voters
		}
	}
	return nil
}

// step begins and ends losses.
func (l *losses) step() {
	w := l.w
	l.heal()
	l.replace()
	if l.lost() >= l.borne || w.rnd.IntN(80) > 0 {
		return
	}
	h := l.draw()
	switch w.rnd.IntN(6) {
	case 0, 1, 2:
		pause := time.Duration(500+w.rnd.IntN(6500)) * time.Millisecond
		l.cut[h.index] = w.now.Add(pause)
		l.until[h.index] = l.cut[h.index].Add(catchUpBound)
		l.block(h.index, true)
	case 3:
		l.stop(h, false)
	case 4:
		l.stop(h, true)
	default:
		l.beginReplacement(h)
	}
}

// advances checks that changes go on being accepted.
func (l *losses) advances() {
	w := l.w
	if n := len(w.accepted); n > l.accepted || l.advanced.IsZero() {
		l.accepted, l.advanced = n, w.now
	}
	require.LessOrEqual(w.t, w.now.Sub(l.advanced), acceptBound, "no change is accepted, with %d hosts lost", l.lost())
}

// heal ends the cuts that are over.
func (l *losses) heal() {
	for index, end := range l.cut {
		if l.w.now.After(end) {
			delete(l.cut, index)
			l.block(index, false)
		}
	}
}

// stop takes a host down, which starts again after a moment.
func (l *losses) stop(h *worldHost, wiped bool) {
	if wiped {
		h.fs.Wipe()
	}
	l.w.goDown(h)
	if wiped {
		h.fs.Wipe()
		h.revision, h.vouched = 0, 0
	}
	l.until[h.index] = h.restart.Add(catchUpBound)
}

func (l *losses) block(index int, blocked bool) {
	for other := range maxWorldHosts {
		if _, cut := l.cut[other]; other == index || cut {
			continue
		}
		l.w.blocked[[2]int{index, other}] = blocked
		l.w.blocked[[2]int{other, index}] = blocked
	}
}

func (l *losses) beginReplacement(old *worldHost) {
	w := l.w
	if l.replacement != nil || len(w.hosts) == maxWorldHosts {
		return
	}
	successor := &worldHost{index: len(w.hosts), fs: vfs.NewMem()}
	w.hosts = append(w.hosts, successor)
	w.launch(successor)
	leaves := w.now.Add(catchUpBound + time.Duration(w.rnd.IntN(2000))*time.Millisecond)
	l.replacement = &replacement{old: old, successor: successor, leaves: leaves,
		ends: leaves.Add(time.Duration(500+w.rnd.IntN(2500)) * time.Millisecond)}
}

// replace takes the next step of a replacement. A host leaves only while its successor is not lost.
func (l *losses) replace() {
	w, p := l.w, l.replacement
	if p == nil || w.now.Before(p.leaves) {
		return
	}
	if !p.leaving {
		if l.isLost(p.old) || l.isLost(p.successor) {
			return
		}
		p.leaving = true
		p.ends = w.now.Add(p.ends.Sub(p.leaves))
		old := p.old.replica
		for _, h := range w.hosts {
			if h.replica != nil {
				h.replica.relay.Announced(w.now, &apiv1.SyncRequest{
					Node: hostName(p.old.index), Incarnation: old.o.Identity.Incarnation, Leaving: true,
				})
			}
		}
		old.stopping.Store(true)
		old.handOverAll(w.now)
		return
	}
	if p.old.replica != nil && w.now.Before(p.ends) {
		return
	}
	p.old.gone = true
	if p.old.replica != nil {
		w.goDown(p.old)
	}
	l.until[p.old.index] = time.Time{}
	l.replacement = nil
}

// strike wipes as many hosts as may still be lost, and takes all others down at the same moment.
func (l *losses) strike() {
	wiped := map[*worldHost]bool{}
	for l.lost()+len(wiped) < l.borne {
		var chosen []*worldHost
		for h := range wiped {
			chosen = append(chosen, h)
		}
		wiped[l.draw(chosen...)] = true
	}
	for _, h := range l.w.hosts {
		if h.replica != nil {
			l.stop(h, wiped[h])
		}
	}
	for index := range l.cut {
		l.cut[index] = l.w.now
	}
}

// recovered reports whether every host that is there holds all accepted changes, and another one was accepted since.
func (l *losses) recovered(accepted int) bool {
	if len(l.w.accepted) <= accepted {
		return false
	}
	for _, h := range l.w.hosts {
		if h.gone {
			continue
		}
		if h.replica == nil || h.replica.store.Head().Load().Revision < l.w.highest {
			return false
		}
	}
	return true
}

// Guards against losses of control that the fleet has to bear: no host that counts may be out of the quorum, and no quorum
// may rest on hosts that do not count.
func TestControlBearsItsLosses(t *testing.T) {
	seeds := 100
	if testing.Short() {
		seeds = 6
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			bearLosses(t, uint64(seed+1), 1+seed%2)
		})
	}
}

// Guards against a successor that is refused while hosts that have left fill the membership: it had lost its disk, and
// no change was accepted once two more hosts were lost.
func TestControlBearsItsLossesWhileItsMembershipIsFull(t *testing.T) {
	for _, seed := range []uint64{5120, 5526} {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { bearLosses(t, seed, 2) })
	}
}

// bearLosses takes hosts away, three times all at once, and checks that changes go on and that none is lost.
func bearLosses(t *testing.T, seed uint64, borne int) {
	w := newWorldOf(t, seed, 2*borne+1, 2*borne+1, faultSet{})
	w.until(10*time.Second, w.whole, "all hosts vote")
	l := newLosses(w, borne)
	for range 3 {
		l.advanced = time.Time{}
		for end := w.now.Add(time.Duration(5+w.rnd.IntN(25)) * time.Second); w.now.Before(end); w.step() {
			l.step()
			l.advances()
		}
		l.strike()
		accepted := len(w.accepted)
		w.until(recoveryBound, func() bool {
			l.heal()
			return l.recovered(accepted)
		}, "changes are accepted again, and every host has them")
	}
	require.NotEmpty(t, w.accepted)
}
