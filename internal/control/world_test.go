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

// simulation drives the engines of several replicas message by message, in virtual time and without
// goroutines, and checks the invariants in each step. All random choices come from one seed.
type simulation struct {
	t            *testing.T
	rnd          *rand.Rand
	now          time.Time
	hosts        []*simHost
	inFlight     []inFlightMessage
	faults       faultSet
	blocked      map[[2]int]bool
	incarnations uint64
	// voters is the fixed number of voters; 0 lets every replica vote.
	voters int

	// ids maps the ids of replicas, current and former, to the indexes of their hosts.
	ids map[uint64]int
	// accepted maps the ids of changes acknowledged to any operator to their revisions.
	accepted map[string]uint64
	// history maps each revision that any replica applied to the id of its change.
	history map[uint64]string
	// claims maps the key of each claimed run record to the attempt that claimed it.
	claims map[string]uint64
	// highest is the highest revision that any outcome has named.
	highest uint64
	// leaders maps group and term to the replica that led.
	leaders   map[[2]uint64]uint64
	operators []*operator
}

// faultSet selects the faults that are injected.
type faultSet struct {
	loss, duplicates, reordering, partitions, crashes, wipes, freezes bool
}

type simHost struct {
	index             int
	fs                *vfs.Mem
	replica           *Replica // nil while down
	restartAt         time.Time
	revision          uint64
	confirmedRevision uint64
	nextJoin          time.Time
	// frozenUntil is the time until which the host runs no step and receives no message.
	frozenUntil time.Time
	// gone is set on a host that never starts again.
	gone bool
}

// inFlightMessage is a message that has not been delivered yet.
type inFlightMessage struct {
	at       time.Time
	to, from int
	message  *apiv1.RaftMessage
}

const simulationStep = 10 * time.Millisecond

// Now implements clock.Clock, for the replicas.
func (sim *simulation) Now() time.Time { return sim.now }

func newSimulation(t *testing.T, seed uint64, hosts int, faults faultSet) *simulation {
	return newSimulationWithVoters(t, seed, hosts, 0, faults)
}

// newSimulationWithVoters is newSimulation with a fixed number of voters.
func newSimulationWithVoters(t *testing.T, seed uint64, hosts, voters int, faults faultSet) *simulation {
	sim := &simulation{
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
		h := &simHost{index: i, fs: vfs.NewMem()}
		sim.hosts = append(sim.hosts, h)
		sim.startHost(h)
	}
	require.NoError(t, sim.hosts[0].replica.bootstrap(sim.now))
	for i := range 3 {
		sim.operators = append(sim.operators, &operator{sim: sim, number: i})
	}
	return sim
}

func hostName(i int) string { return fmt.Sprintf("host-%d", i) }

// startHost starts a process on a host.
func (sim *simulation) startHost(h *simHost) {
	sim.incarnations++
	r, err := Open(Options{
		DataFolder: "data",
		FS:         h.fs,
		Identity:   peer.Identity{Node: hostName(h.index), Incarnation: sim.incarnations},
		Address:    hostName(h.index),
		Check:      func([]*apiv1.Resource) []string { return nil },
		Voters:     sim.voters,
		RateShards: 2,
		RunShards:  1,
		Clock:      sim,
		Seed:       sim.rnd.Uint64() | 1,
	})
	require.NoError(sim.t, err)
	h.replica = r
	// Small thresholds, so that snapshots, their transfer and log rewrites occur all the time.
	r.engine.thresholds = compactionThresholds{rewriteBytes: 4 << 10, snapshotBytes: 1 << 20, snapshotEntries: 7, keepEntries: 3, keepBytes: 1 << 20}
	r.engine.rewriteAt = r.engine.thresholds.rewriteBytes
	r.engine.writeSnapshot = nil // snapshots are written synchronously
	r.engine.beforeSync = func() { sim.sendOutbox(h) }
	sim.ids[r.log.Identity().Replica] = h.index
}

// step advances the time by 10 ms.
func (sim *simulation) step() {
	sim.now = sim.now.Add(simulationStep)
	sim.deliver()
	for _, h := range sim.hosts {
		sim.runHost(h)
	}
	for _, o := range sim.operators {
		o.step()
	}
}

func (sim *simulation) runHost(h *simHost) {
	if h.replica == nil {
		if !h.gone && sim.now.After(h.restartAt) {
			h.fs.Restart(sim.rnd)
			sim.startHost(h)
		}
		return
	}
	if sim.now.Before(h.frozenUntil) {
		return
	}
	r := h.replica
	if !h.frozenUntil.IsZero() {
		// Requests may arrive before the timers show the process how long it was paused.
		h.frozenUntil = time.Time{}
		sim.checkRead(h, 1)
		sim.process(h)
		return
	}
	r.engine.tick(sim.now)
	for i := range r.engine.groups {
		r.advanceMembership(sim.now, uint32(i))
	}
	sim.join(h)
	sim.checkRead(h, 20)
	sim.process(h)
}

// process executes the pending work of a host and checks the result.
func (sim *simulation) process(h *simHost) {
	r := h.replica
	err := r.engine.process()
	if err == nil {
		err = r.failure
	}
	if err != nil {
		require.ErrorIs(sim.t, err, vfs.ErrCrashed)
		sim.crashHost(h)
		return
	}
	r.publish()
	sim.checkHost(h)
	sim.sendOutbox(h)
}

func (sim *simulation) crashHost(h *simHost) {
	h.fs.Crash()
	h.replica = nil
	h.restartAt = sim.now.Add(time.Duration(sim.rnd.IntN(1500)) * time.Millisecond)
}

// join asks the leader to admit a host that needs it, as Replica.join does over the network.
func (sim *simulation) join(h *simHost) {
	r := h.replica
	if sim.now.Before(h.nextJoin) || !r.needsAdmission(r.view.Load()) {
		return
	}
	h.nextJoin = sim.now.Add(200 * time.Millisecond)
	for _, leader := range sim.hosts {
		if leader == h || leader.replica == nil || sim.blocked[[2]int{h.index, leader.index}] {
			continue
		}
		if !leader.replica.view.Load().leads(0) {
			continue
		}
		if joined, _ := leader.replica.admit(sim.now, r.info()); joined {
			r.adoptIdentity(leader.replica.log.Identity())
			return
		}
	}
}

// checkRead starts a read in one of oneOf calls, at random, and checks that the revision it confirms is not
// older than any acknowledged before the read began.
func (sim *simulation) checkRead(h *simHost, oneOf int) {
	if len(h.replica.engine.groups) == 0 || sim.rnd.IntN(oneOf) > 0 {
		return
	}
	r, floor := h.replica, max(sim.highest, h.confirmedRevision)
	r.engine.read(sim.now, 0, func(ok bool) {
		if !ok {
			return
		}
		revision := r.store.PublishedState().Load().Revision
		require.GreaterOrEqual(sim.t, revision, floor, "a confirmed revision is older than an acknowledged one")
		h.confirmedRevision = max(h.confirmedRevision, revision)
	})
}

// sendOutbox sends the messages of a host, subject to the selected faults.
func (sim *simulation) sendOutbox(h *simHost) {
	outbox := h.replica.engine.outbox
	ids := make([]uint64, 0, len(outbox))
	for id := range outbox {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		for _, m := range outbox[id] {
			to := sim.ids[id]
			sim.transmit(h.index, to, m)
			if sim.faults.duplicates && sim.rnd.IntN(10) == 0 {
				sim.transmit(h.index, to, m)
			}
		}
		delete(outbox, id)
	}
}

func (sim *simulation) transmit(from, to int, m *apiv1.RaftMessage) {
	if sim.faults.loss && sim.rnd.IntN(12) == 0 {
		return
	}
	delay := time.Duration(1+sim.rnd.IntN(5)) * time.Millisecond
	if sim.faults.reordering && sim.rnd.IntN(8) == 0 {
		delay += time.Duration(sim.rnd.IntN(900)) * time.Millisecond
	}
	sim.inFlight = append(sim.inFlight, inFlightMessage{at: sim.now.Add(delay), from: from, to: to, message: m})
}

// deliver delivers the messages that are due. Messages across a partition are lost.
func (sim *simulation) deliver() {
	arrived := sim.inFlight
	sim.inFlight = nil
	for _, f := range arrived {
		if f.at.After(sim.now) || sim.now.Before(sim.hosts[f.to].frozenUntil) {
			sim.inFlight = append(sim.inFlight, f)
			continue
		}
		r := sim.hosts[f.to].replica
		if r == nil || sim.blocked[[2]int{f.from, f.to}] || r.log.Identity().Replica != f.message.To {
			continue
		}
		r.engine.step(sim.now, proto.CloneOf(f.message))
	}
}

// checkHost checks the leadership of a host and the revisions that it has applied.
func (sim *simulation) checkHost(h *simHost) {
	r := h.replica
	for _, g := range r.engine.groups[:min(1, len(r.engine.groups))] {
		if g.core.Role() == replica.Leader {
			key := [2]uint64{0, g.core.Term()}
			if other, ok := sim.leaders[key]; ok {
				require.Equal(sim.t, other, r.log.Identity().Replica, "two replicas lead group 0 in the same term")
			}
			sim.leaders[key] = r.log.Identity().Replica
		}
	}
	revision := r.store.PublishedState().Load().Revision
	if revision == h.revision {
		return
	}
	for _, delta := range r.store.UpdateSince(min(h.revision, revision)).Deltas {
		id := delta.Upserts[0].Name
		if earlier, ok := sim.history[delta.Revision]; ok {
			require.Equal(sim.t, earlier, id, "two replicas applied different changes as revision %d", delta.Revision)
		}
		sim.history[delta.Revision] = id
	}
	h.revision = revision
}

// injectFaults starts faults at random; each lasts a short time.
func (sim *simulation) injectFaults() {
	if sim.faults.partitions && sim.rnd.IntN(150) == 0 {
		sim.blocked = map[[2]int]bool{}
		if sim.rnd.IntN(3) > 0 {
			sim.isolate(sim.rnd.IntN(len(sim.hosts)))
		}
	}
	if sim.faults.crashes && sim.rnd.IntN(120) == 0 {
		h := sim.hosts[sim.rnd.IntN(len(sim.hosts))]
		if h.replica != nil {
			h.fs.SetFaults(vfs.Faults{CrashAtStep: 1 + sim.rnd.IntN(4), CrashAfter: sim.rnd.IntN(2) == 0})
		}
	}
	if sim.faults.freezes && sim.rnd.IntN(100) == 0 {
		h := sim.hosts[sim.rnd.IntN(len(sim.hosts))]
		if h.replica != nil && !sim.now.Before(h.frozenUntil) {
			h.frozenUntil = sim.now.Add(time.Duration(sim.rnd.IntN(2500)) * time.Millisecond)
		}
	}
	if sim.faults.wipes && sim.rnd.IntN(400) == 0 && sim.complete() {
		h := sim.hosts[sim.rnd.IntN(len(sim.hosts))]
		h.fs.Wipe()
		sim.crashHost(h)
		h.fs.Wipe()
		h.revision, h.confirmedRevision = 0, 0
	}
}

// isolate blocks the messages of a host in one direction or both.
func (sim *simulation) isolate(host int) {
	direction := sim.rnd.IntN(3)
	for other := range sim.hosts {
		if other == host {
			continue
		}
		sim.blocked[[2]int{host, other}] = direction != 1
		sim.blocked[[2]int{other, host}] = direction != 2
	}
}

// complete reports whether every host runs and is a member of every group, and every group has its full
// number of voters, so that the loss of one host affects only a minority.
func (sim *simulation) complete() bool {
	for _, h := range sim.hosts {
		if h.replica == nil || len(h.replica.engine.groups) != 2 {
			return false
		}
		for _, g := range h.replica.engine.groups {
			members := g.core.Membership()
			voters, learners := memberNodes(members)
			wanted := sim.voters
			if wanted == 0 {
				wanted = len(sim.hosts)
			}
			if len(voters) != wanted || len(voters)+len(learners) != len(sim.hosts) {
				return false
			}
		}
	}
	return true
}

// clearFaults ends all faults.
func (sim *simulation) clearFaults() {
	sim.faults = faultSet{}
	sim.blocked = map[[2]int]bool{}
	for _, h := range sim.hosts {
		h.fs.SetFaults(vfs.Faults{})
	}
}

// runUntil steps until the condition holds, and fails the test if that takes longer than the limit.
func (sim *simulation) runUntil(limit time.Duration, condition func() bool, what string) {
	sim.t.Helper()
	for end := sim.now.Add(limit); !condition(); sim.step() {
		if sim.now.After(end) {
			for _, h := range sim.hosts {
				if h.replica == nil {
					sim.t.Logf("host %d is down", h.index)
					continue
				}
				for i, g := range h.replica.engine.groups {
					last, commit, applied := g.core.Indexes()
					sim.t.Logf("host %d id %x group %d role %d term %d leader %x last %d commit %d applied %d members %v", h.index, h.replica.log.Identity().Replica, i, g.core.Role(), g.core.Term(), g.core.Leader(), last, commit, applied, g.core.Membership())
				}
			}
			for _, o := range sim.operators {
				sim.t.Logf("operator %d: change %v, next attempt in %v", o.number, o.current, o.retry.Sub(sim.now))
			}
			sim.t.Fatalf("not reached within %v: %s", limit, what)
		}
	}
}

// converged reports whether all hosts run and hold the same revision.
func (sim *simulation) converged() bool {
	if !sim.complete() {
		return false
	}
	for _, h := range sim.hosts {
		if h.replica.store.PublishedState().Load().Revision != sim.hosts[0].replica.store.PublishedState().Load().Revision {
			return false
		}
	}
	return true
}
