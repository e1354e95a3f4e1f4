package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/outcome"
)

// Sizes and times of the chaos test.
const (
	chaosSeeds = 200
	// shortSeeds is the number of seeds under -short, which is used with the race detector: its runtime aborts when one
	// process synchronises very many goroutines. All seeds run without it.
	shortSeeds      = 3
	chaosDuration   = 10 * time.Second
	bookingCallers  = 6
	bookingPause    = 60 * time.Millisecond
	changePause     = 150 * time.Millisecond
	recoveryTimeout = 25 * time.Second
	freshnessLimit  = 4 * time.Second
	// faultFreeTime is how long the fleet runs before the first fault.
	faultFreeTime = time.Second
)

// fault is one kind of failure. inject causes it and returns the function that ends it, or nil if it ends by itself or
// lasts.
type fault struct {
	name   string
	inject func(s *testFleet, rnd *rand.Rand) (end func())
}

// faults are the kinds of failures of processes, files and the network.
var faults = []fault{
	{"crash", func(s *testFleet, rnd *rand.Rand) func() {
		h := s.Hosts[rnd.IntN(len(s.Hosts))]
		h.Crash()
		return func() { assert.NoError(s.t, h.Start()) }
	}},
	{"crash twice", func(s *testFleet, rnd *rand.Rand) func() {
		h := s.Hosts[rnd.IntN(len(s.Hosts))]
		h.Crash()
		time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
		assert.NoError(s.t, h.Start())
		time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
		h.Crash()
		return func() { assert.NoError(s.t, h.Start()) }
	}},
	{"isolate", func(s *testFleet, rnd *rand.Rand) func() {
		i := rnd.IntN(len(s.Hosts))
		var others []string
		for j, h := range s.Hosts {
			if j != i {
				others = append(others, h.Name)
			}
		}
		s.Net.Partition([]string{s.Hosts[i].Name}, others)
		return s.Net.Heal
	}},
	{"one way", func(s *testFleet, rnd *rand.Rand) func() {
		a, b := randomPair(s, rnd)
		s.Net.Block(a, b)
		return func() { s.Net.Unblock(a, b) }
	}},
	{"silence one way", func(s *testFleet, rnd *rand.Rand) func() {
		a, b := randomPair(s, rnd)
		s.Net.DropOpenSessions(a, b)
		return nil
	}},
	{"silence both ways", func(s *testFleet, rnd *rand.Rand) func() {
		a, b := randomPair(s, rnd)
		s.Net.DropOpenSessions(a, b)
		s.Net.DropOpenSessions(b, a)
		return nil
	}},
	{"stall", func(s *testFleet, rnd *rand.Rand) func() {
		a, b := randomPair(s, rnd)
		s.Net.Stall(a, b, time.Duration(rnd.IntN(3000))*time.Millisecond)
		return nil
	}},
}

// randomPair returns the names of two different hosts.
func randomPair(s *testFleet, rnd *rand.Rand) (string, string) {
	i := rnd.IntN(len(s.Hosts))
	j := (i + 1 + rnd.IntN(len(s.Hosts)-1)) % len(s.Hosts)
	return s.Hosts[i].Name, s.Hosts[j].Name
}

// observations collects which changes were accepted, which bookings succeeded and which faults were injected in a run.
type observations struct {
	mu       sync.Mutex
	accepted []string
	faults   []string
	booked   int
}

func (r *observations) bookings() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.booked
}

func (r *observations) injected() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.faults)
}

func (r *observations) add(to *[]string, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*to = append(*to, what)
}

// TestOverlappingFaults guards against broken guarantees while two random faults overlap and afterwards. Callers and
// an operator run meanwhile. A booking runs at most once, and exactly once if its caller got the answer; a request
// that was refused as not run never runs; no node goes back to an older revision or serves a withdrawn key; every
// accepted change is applied by all nodes in the end.
func TestOverlappingFaults(t *testing.T) {
	seeds := uint64(chaosSeeds)
	if testing.Short() {
		seeds = shortSeeds
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			withFleet(t, seed+1, func(s *testFleet) { runChaos(s, seed) })
		})
	}
}

// runChaos runs one seed of TestOverlappingFaults.
func runChaos(s *testFleet, seed uint64) {
	r := &observations{}
	withdrawn, err := s.Hosts[0].IssueKey("court", settleTimeout)
	assert.NoError(s.t, err)
	stop := time.Now().Add(chaosDuration)
	var wg sync.WaitGroup
	for i := range bookingCallers {
		wg.Go(func() { s.bookUntil(r, stop, i, rand.New(rand.NewPCG(seed, uint64(100+i)))) })
	}
	wg.Go(func() { s.operateUntil(r, stop, rand.New(rand.NewPCG(seed, 200))) })
	wg.Go(func() { s.watchRevisions(stop) })
	wg.Go(func() { s.useWithdrawnKey(withdrawn, stop) })
	time.Sleep(faultFreeTime)
	assert.NotZero(s.t, r.bookings(), "no booking succeeded before any fault")
	rnd := rand.New(rand.NewPCG(seed, 300))
	var ends []func()
	for range 2 {
		f := faults[rnd.IntN(len(faults))]
		r.add(&r.faults, f.name)
		if end := f.inject(s, rnd); end != nil {
			ends = append(ends, end)
		}
		time.Sleep(time.Duration(500+rnd.IntN(2500)) * time.Millisecond)
	}
	for _, end := range ends {
		end()
	}
	wg.Wait()
	s.checkAccepted(r)
	for run, n := range s.Executions.Counts() {
		if run.Service == "tempahan" && run.Path != "/bookings/warm" {
			assert.LessOrEqual(s.t, n, 1, "number of runs of %v, faults %v", run, r.faults)
		}
	}
}

// bookUntil makes bookings. Every second one has an Idempotency-Key and is resent through other hosts if it fails.
func (s *testFleet) bookUntil(r *observations, stop time.Time, caller int, rnd *rand.Rand) {
	for n := 0; time.Now().Before(stop); n++ {
		path := fmt.Sprintf("/%d-%d", caller, n)
		if n%2 == 0 {
			s.bookOnce(r, path, rnd)
		} else {
			s.bookWithResends(r, path, stop, rnd)
		}
		time.Sleep(bookingPause)
	}
}

// bookOnce sends one booking and compares the reply with the runs at the targets.
func (s *testFleet) bookOnce(r *observations, path string, rnd *rand.Rand) {
	run := ExecutionKey{"tempahan", "court", "/bookings" + path}
	reply := s.book(s.Hosts[rnd.IntN(len(s.Hosts))], path)
	switch {
	case reply.OK():
		assert.Equal(s.t, 1, s.Executions.Count(run), path)
		assert.Equal(s.t, "tempahan /bookings"+path+" "+path, reply.Body)
		r.mu.Lock()
		r.booked++
		r.mu.Unlock()
	case reply.Ran == outcome.RanNo:
		assert.Zero(s.t, s.Executions.Count(run), "%s ran although it was refused as not run: %v, faults %v", path, reply, r.injected())
		// It must not run later either, so the count is checked again after 2 s.
		time.AfterFunc(2*time.Second, func() {
			assert.Zero(s.t, s.Executions.Count(run), "%s ran after it was refused as not run", path)
		})
	}
}

// bookWithResends sends a booking through random hosts until it is answered or its outcome is unknown.
func (s *testFleet) bookWithResends(r *observations, path string, stop time.Time, rnd *rand.Rand) {
	for time.Now().Before(stop) {
		reply := s.Hosts[rnd.IntN(len(s.Hosts))].Call(Request{
			Method:         http.MethodPost,
			Path:           "/bookings" + path,
			Key:            s.key.Text,
			IdempotencyKey: path,
			Body:           path,
			Timeout:        time.Second,
		})
		if reply.OK() {
			assert.Equal(s.t, "tempahan /bookings"+path+" "+path, reply.Body)
			assert.Equal(s.t, 1, s.Executions.Count(ExecutionKey{"tempahan", "court", "/bookings" + path}), path)
			r.mu.Lock()
			r.booked++
			r.mu.Unlock()
			return
		}
		if reply.Code == outcome.OutcomeUnknown {
			return
		}
		time.Sleep(bookingPause)
	}
}

// operateUntil proposes changes through random hosts and collects the accepted ones.
func (s *testFleet) operateUntil(r *observations, stop time.Time, rnd *rand.Rand) {
	for n := 0; time.Now().Before(stop); n++ {
		name := fmt.Sprintf("org-%d", n)
		doc := fmt.Sprintf("kind: Organisation\nname: %s\nlabels: {size: large}\n", name)
		h := s.Hosts[rnd.IntN(len(s.Hosts))]
		if err := h.Apply("add-"+name, doc, time.Second); err == nil {
			r.add(&r.accepted, name)
		}
		time.Sleep(changePause)
	}
}

// watchRevisions checks that the revision of a node never decreases.
func (s *testFleet) watchRevisions(stop time.Time) {
	seen := make(map[string]uint64)
	for time.Now().Before(stop) {
		for _, h := range s.Hosts {
			if p := h.Process(); p != nil {
				revision := p.Configuration().Revision
				assert.GreaterOrEqual(s.t, revision, seen[h.Name], h.Name)
				seen[h.Name] = revision
			}
		}
		time.Sleep(pollInterval)
	}
}

// useWithdrawnKey withdraws a key, keeps calling every host with it and checks that it is refused once the freshness
// limit has passed.
func (s *testFleet) useWithdrawnKey(key Key, stop time.Time) {
	for s.Hosts[0].WithdrawKey(key.Number, time.Second) != nil {
		if time.Now().After(stop) {
			return
		}
	}
	inForce := time.Now().Add(freshnessLimit)
	for n := 0; time.Now().Before(stop); n++ {
		for _, h := range s.Hosts {
			started := time.Now()
			reply := h.Call(Request{Method: http.MethodPost, Path: fmt.Sprintf("/bookings/w%s-%d", h.Name, n), Key: key.Text, Timeout: time.Second})
			assert.False(s.t, reply.OK() && started.After(inForce), "%s served a withdrawn key", h.Name)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// checkAccepted waits until every node has applied every accepted change and serves bookings again. It also checks that
// the id of an accepted change can't be used for another change.
func (s *testFleet) checkAccepted(r *observations) {
	var missing string
	complete := func() bool {
		for _, h := range s.Hosts {
			for _, name := range r.accepted {
				if h.Process().Configuration().Snapshot.Organisations[name] == nil {
					missing = h.Name + " lacks organisation " + name
					return false
				}
			}
		}
		return true
	}
	assert.True(s.t, Eventually(recoveryTimeout, complete), "%s after faults %v", missing, r.faults)
	for _, h := range s.Hosts {
		assert.True(s.t, Eventually(recoveryTimeout, func() bool { return s.book(h, "/warm").OK() }), "%s does not serve again after faults %v: %+v", h.Name, r.faults, s.book(h, "/warm"))
	}
	if len(r.accepted) > 0 {
		change := &apiv1.Change{Id: "add-" + r.accepted[0], AnyRevision: true, Upserts: []*apiv1.Resource{{Kind: "Organisation", Name: "other", Labels: map[string]string{"size": "large"}, Spec: []byte("{}")}}}
		outcome, err := s.Hosts[1].Propose(change, settleTimeout)
		assert.NoError(s.t, err)
		assert.Equal(s.t, apiv1.ChangeResult_CHANGE_RESULT_ID_REUSED, outcome.GetResult(), "a change with the id of an earlier one and other contents")
	}
}
