package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/replica"
	"github.com/guavaford/guavaford/internal/vfs"
)

// world drives the engines of several replicas message by message, in virtual time and without
// goroutines, and checks the invariants as it goes.
type world struct {
	t        *testing.T
	rnd      *rand.Rand
	now      time.Time
	hosts    []*worldHost
	flying   []flight
	faults   faultSet
	blocked  map[[2]int]bool
	launched uint64
	// voters is the fixed number of voters; 0 lets every replica vote.
	voters int

	// ids are the hosts of the replica identities, present and past.
	ids map[uint64]int
	// accepted changes by id, as acknowledged to any operator.
	accepted map[string]uint64
	// history is the change id of each revision, as any replica applied it.
	history   map[uint64]string
	claims    map[string]uint64
	highest   uint64
	leaders   map[[2]uint64]uint64
	operators []*operator
}

// faultSet says which faults a run has.
type faultSet struct {
	loss, duplicates, reordering, partitions, crashes, wipes, freezes bool
}

type worldHost struct {
	index    int
	fs       *vfs.Mem
	replica  *Replica // nil while down
	restart  time.Time
	revision uint64
	vouched  uint64
	nextJoin time.Time
	// frozen hosts run no step and take no message until then.
	frozen time.Time
	// gone hosts never start again.
	gone bool
}

// flight is a message on its way.
type flight struct {
	at       time.Time
	to, from int
	message  *apiv1.RaftMessage
}

const worldStep = 10 * time.Millisecond

// Now makes the world the clock of its replicas.
func (w *world) Now() time.Time { return w.now }

func newWorld(t *testing.T, seed uint64, hosts int, faults faultSet) *world {
	return newWorldOf(t, seed, hosts, 0, faults)
}

// newWorldOf is newWorld with a fixed number of voters.
func newWorldOf(t *testing.T, seed uint64, hosts, voters int, faults faultSet) *world {
	w := &world{
		voters:   voters,
		t:        t,
		rnd:      rand.New(rand.NewPCG(seed, 1)),
		now:      time.Unix(1_700_000_000, 0),
		faults:   faults,
		blocked:  map[[2]int]bool{},
		ids:      map[uint64]int{},
		accepted: map[string]uint64{},
		history:  map[uint64]string{},
		claims:   map[string]uint64{},
		leaders:  map[[2]uint64]uint64{},
	}
	for i := range hosts {
		h := &worldHost{index: i, fs: vfs.NewMem()}
		w.hosts = append(w.hosts, h)
		w.launch(h)
	}
	require.NoError(t, w.hosts[0].replica.foundHere(w.now))
	for i := range 3 {
		w.operators = append(w.operators, &operator{w: w, number: i})
	}
	return w
}

func hostName(i int) string { return fmt.Sprintf("host-%d", i) }

// launch starts a process on a host.
func (w *world) launch(h *worldHost) {
	w.launched++
	r, err := Open(Options{
		DataFolder: "data",
		FS:         h.fs,
		Identity:   peer.Identity{Node: hostName(h.index), Incarnation: w.launched},
		Address:    hostName(h.index),
		Check:      func([]*apiv1.Resource) []string { return nil },
		Voters:     w.voters,
		RateShards: 2,
		RunShards:  1,
		Clock:      w,
		Seed:       w.rnd.Uint64() | 1,
	})
	require.NoError(w.t, err)
	h.replica = r
	// Small, so that snapshots, their transfer and rewrites come up all the time.
	r.engine.sizes = engineSizes{rewriteBytes: 4 << 10, snapshotBytes: 1 << 20, snapshotEntries: 7, keepEntries: 3}
	r.engine.rewriteAt = r.engine.sizes.rewriteBytes
	r.engine.writeSnapshot = nil // in step
	r.engine.beforeSync = func() { w.post(h) }
	w.ids[r.log.Identity().Replica] = h.index
}

// step lets 10 ms pass.
func (w *world) step() {
	w.now = w.now.Add(worldStep)
	w.deliver()
	for _, h := range w.hosts {
		w.runHost(h)
	}
	for _, o := range w.operators {
		o.step()
	}
}

func (w *world) runHost(h *worldHost) {
	if h.replica == nil {
		if !h.gone && w.now.After(h.restart) {
			h.fs.Restart(w.rnd)
			w.launch(h)
		}
		return
	}
	if w.now.Before(h.frozen) {
		return
	}
	r := h.replica
	if !h.frozen.IsZero() {
		// Requests may come in before anything tells the process how long it stood still.
		h.frozen = time.Time{}
		w.vouch(h, 1)
		w.process(h)
		return
	}
	r.engine.tick(w.now)
	for i := range r.engine.groups {
		r.advanceMembership(w.now, uint32(i))
	}
	w.admit(h)
	w.vouch(h, 20)
	w.process(h)
}

// process executes the work of a host and checks the result.
func (w *world) process(h *worldHost) {
	r := h.replica
	err := r.engine.process()
	if err == nil {
		err = r.failure
	}
	if err != nil {
		require.ErrorIs(w.t, err, vfs.ErrCrashed)
		w.goDown(h)
		return
	}
	r.publish()
	w.checkHost(h)
	w.post(h)
}

func (w *world) goDown(h *worldHost) {
	h.fs.Crash()
	h.replica = nil
	h.restart = w.now.Add(time.Duration(w.rnd.IntN(1500)) * time.Millisecond)
}

// admit does what joining does over the network.
func (w *world) admit(h *worldHost) {
	r := h.replica
	if w.now.Before(h.nextJoin) || !r.needsAdmission(r.view.Load()) {
		return
	}
	h.nextJoin = w.now.Add(200 * time.Millisecond)
	for _, leader := range w.hosts {
		if leader == h || leader.replica == nil || w.blocked[[2]int{h.index, leader.index}] {
			continue
		}
		if !leader.replica.view.Load().leads(0) {
			continue
		}
		if joined, _ := leader.replica.admit(w.now, r.info()); joined {
			r.adopt(leader.replica.log.Identity())
			return
		}
	}
}

// vouch checks a confirmed read against everything acknowledged before it began.
func (w *world) vouch(h *worldHost, oneOf int) {
	if len(h.replica.engine.groups) == 0 || w.rnd.IntN(oneOf) > 0 {
		return
	}
	r, floor := h.replica, max(w.highest, h.vouched)
	r.engine.read(w.now, 0, func(ok bool) {
		if !ok {
			return
		}
		revision := r.store.Head().Load().Revision
		require.GreaterOrEqual(w.t, revision, floor, "a vouched revision is older than an acknowledged one")
		h.vouched = max(h.vouched, revision)
	})
}

// post sends the messages of a host with the faults of the run.
func (w *world) post(h *worldHost) {
	outbox := h.replica.engine.outbox
	ids := make([]uint64, 0, len(outbox))
	for id := range outbox {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		for _, m := range outbox[id] {
			to := w.ids[id]
			w.fly(h.index, to, m)
			if w.faults.duplicates && w.rnd.IntN(10) == 0 {
				w.fly(h.index, to, m)
			}
		}
		delete(outbox, id)
	}
}

func (w *world) fly(from, to int, m *apiv1.RaftMessage) {
	if w.faults.loss && w.rnd.IntN(12) == 0 {
		return
	}
	delay := time.Duration(1+w.rnd.IntN(5)) * time.Millisecond
	if w.faults.reordering && w.rnd.IntN(8) == 0 {
		delay += time.Duration(w.rnd.IntN(900)) * time.Millisecond
	}
	w.flying = append(w.flying, flight{at: w.now.Add(delay), from: from, to: to, message: m})
}

// deliver hands over what has arrived. What meets a partition is lost.
func (w *world) deliver() {
	arrived := w.flying
	w.flying = nil
	for _, f := range arrived {
		if f.at.After(w.now) || w.now.Before(w.hosts[f.to].frozen) {
			w.flying = append(w.flying, f)
			continue
		}
		r := w.hosts[f.to].replica
		if r == nil || w.blocked[[2]int{f.from, f.to}] || r.log.Identity().Replica != f.message.To {
			continue
		}
		r.engine.step(w.now, proto.CloneOf(f.message))
	}
}

// checkHost checks what a host has applied.
func (w *world) checkHost(h *worldHost) {
	r := h.replica
	for _, g := range r.engine.groups[:min(1, len(r.engine.groups))] {
		if g.core.Role() == replica.Leader {
			key := [2]uint64{0, g.core.Term()}
			if other, ok := w.leaders[key]; ok {
				require.Equal(w.t, other, r.log.Identity().Replica, "two leaders in one term")
			}
			w.leaders[key] = r.log.Identity().Replica
		}
	}
	revision := r.store.Head().Load().Revision
	if revision == h.revision {
		return
	}
	for _, delta := range r.store.Since(min(h.revision, revision)).Deltas {
		id := delta.Upserts[0].Name
		if earlier, ok := w.history[delta.Revision]; ok {
			require.Equal(w.t, earlier, id, "two replicas applied different changes as revision %d", delta.Revision)
		}
		w.history[delta.Revision] = id
	}
	h.revision = revision
}

// disturb starts faults at random; none lasts long.
func (w *world) disturb() {
	if w.faults.partitions && w.rnd.IntN(150) == 0 {
		w.blocked = map[[2]int]bool{}
		if w.rnd.IntN(3) > 0 {
			w.isolate(w.rnd.IntN(len(w.hosts)))
		}
	}
	if w.faults.crashes && w.rnd.IntN(120) == 0 {
		h := w.hosts[w.rnd.IntN(len(w.hosts))]
		if h.replica != nil {
			h.fs.SetFaults(vfs.Faults{CrashAtStep: 1 + w.rnd.IntN(4), CrashAfter: w.rnd.IntN(2) == 0})
		}
	}
	if w.faults.freezes && w.rnd.IntN(100) == 0 {
		h := w.hosts[w.rnd.IntN(len(w.hosts))]
		if h.replica != nil && !w.now.Before(h.frozen) {
			h.frozen = w.now.Add(time.Duration(w.rnd.IntN(2500)) * time.Millisecond)
		}
	}
	if w.faults.wipes && w.rnd.IntN(400) == 0 && w.whole() {
		h := w.hosts[w.rnd.IntN(len(w.hosts))]
		h.fs.Wipe()
		w.goDown(h)
		h.fs.Wipe()
		h.revision, h.vouched = 0, 0
	}
}

// isolate cuts a host off in one direction or both.
func (w *world) isolate(host int) {
	direction := w.rnd.IntN(3)
	for other := range w.hosts {
		if other == host {
			continue
		}
		w.blocked[[2]int{host, other}] = direction != 1
		w.blocked[[2]int{other, host}] = direction != 2
	}
}

// whole reports whether every host runs and is a member of every group, with all voters that there
// should be, so that losing one host loses no more than a minority.
func (w *world) whole() bool {
	for _, h := range w.hosts {
		if h.replica == nil || len(h.replica.engine.groups) != 2 {
			return false
		}
		for _, g := range h.replica.engine.groups {
			members := g.core.Membership()
			voters, learners := memberNodes(members)
			wanted := w.voters
			if wanted == 0 {
				wanted = len(w.hosts)
			}
			if len(voters) != wanted || len(voters)+len(learners) != len(w.hosts) {
				return false
			}
		}
	}
	return true
}

// heal ends all faults.
func (w *world) heal() {
	w.faults = faultSet{}
	w.blocked = map[[2]int]bool{}
	for _, h := range w.hosts {
		h.fs.SetFaults(vfs.Faults{})
	}
}

// until steps until the condition holds.
func (w *world) until(limit time.Duration, condition func() bool, what string) {
	w.t.Helper()
	for end := w.now.Add(limit); !condition(); w.step() {
		if w.now.After(end) {
			for _, h := range w.hosts {
				if h.replica == nil {
					w.t.Logf("%d down", h.index)
					continue
				}
				for i, g := range h.replica.engine.groups {
					last, commit, applied := g.core.Indexes()
					w.t.Logf("host %d id %x group %d role %d term %d leader %x last %d commit %d applied %d members %v", h.index, h.replica.log.Identity().Replica, i, g.core.Role(), g.core.Term(), g.core.Leader(), last, commit, applied, g.core.Membership())
				}
			}
			for _, o := range w.operators {
				w.t.Logf("operator %d: %v %v", o.number, o.current, o.retry.Sub(w.now))
			}
			w.t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// converged reports whether all hosts run and hold the same revision.
func (w *world) converged() bool {
	if !w.whole() {
		return false
	}
	for _, h := range w.hosts {
		if h.replica.store.Head().Load().Revision != w.hosts[0].replica.store.Head().Load().Revision {
			return false
		}
	}
	return true
}
