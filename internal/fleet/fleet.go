// Package fleet runs whole nodes in one process over an in-memory network, for tests in
// virtual time.
//
// # Concepts
//
//   - A Fleet is a set of hosts on one network. The first of them have a control replica.
//   - A Host runs the same node.Process as production. Its files and targets survive a crash of the process.
//   - A Target is a simulated target that announces itself at the node of its host.
//   - An ExecutionCounter counts the requests that targets received, so that a test can compare them with the replies to
//     callers.
//
// # Data flow
//
//	Host.Call -> handler of the node -> memnet -> node of another host -> Target -> ExecutionCounter
//
// Only the surroundings of a node are replaced: the network between nodes (memnet), the file system (vfs.Mem), and the
// HTTP connections of callers and targets, which become function calls.
package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/keys"
	"github.com/guavaford/guavaford/internal/memnet"
	"github.com/guavaford/guavaford/internal/node"
	"github.com/guavaford/guavaford/internal/settings"
	"github.com/guavaford/guavaford/internal/telemetry"
	"github.com/guavaford/guavaford/internal/vfs"
)

// Options describe a fleet.
type Options struct {
	// Seed determines the network jitter and which unsynced writes a crash loses.
	Seed uint64
	// Replicas is the number of hosts with a control replica; they come first.
	Replicas int
	// Nodes is the number of further hosts.
	Nodes int
	// DataCentres are assigned to the hosts round-robin.
	DataCentres []string
	// Regions holds the region of each data centre.
	Regions map[string]string
	// Delay and Jitter apply to each direction between two hosts; see memnet.Link.
	Delay, Jitter time.Duration
	// Log receives the log of every node; nil discards it.
	Log telemetry.Logger
}

// Fleet is a set of hosts and the network between them.
type Fleet struct {
	Net        *memnet.Network
	Hosts      []*Host
	Executions *ExecutionCounter
	// Crashes counts the crashes of targets.
	Crashes atomic.Int32

	o   Options
	rnd *rand.Rand
	// ports is the last port number given to a target.
	ports atomic.Int32
}

// New creates a fleet and starts the process of every host.
func New(o Options) (*Fleet, error) {
	f := &Fleet{
		Net:        memnet.New(o.Seed),
		Executions: newExecutionCounter(),
		o:          o,
		rnd:        rand.New(rand.NewPCG(o.Seed, 1)),
	}
	f.Net.SetLatency(func(string, string) memnet.Latency {
		return memnet.Latency{Delay: o.Delay, Jitter: o.Jitter}
	})
	for i := range o.Replicas + o.Nodes {
		f.Hosts = append(f.Hosts, f.newHost(i))
	}
	for _, h := range f.Hosts {
		if err := h.Start(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// newHost returns host number i, without a running process.
func (f *Fleet) newHost(i int) *Host {
	name := fmt.Sprintf("host-%d", i+1)
	return &Host{
		Name:       name,
		DataCentre: f.o.DataCentres[i%len(f.o.DataCentres)],
		FS:         vfs.NewMem(),
		fleet:      f,
		replica:    i < f.o.Replicas,
		targets:    make(map[string]*Target),
		clock:      clock.System{},
	}
}

// replicaAddresses returns the peer addresses of the hosts with a control replica.
func (f *Fleet) replicaAddresses() []string {
	addresses := make([]string, 0, f.o.Replicas)
	for _, h := range f.Hosts[:f.o.Replicas] {
		addresses = append(addresses, h.Name)
	}
	return addresses
}

// settingsOf returns the node settings of a host.
func (f *Fleet) settingsOf(h *Host) *settings.Node {
	s := settings.Default()
	s.Name = h.Name
	s.DataCentre = h.DataCentre
	s.Regions = f.o.Regions
	s.PeerAddress = h.Name
	s.DataFolder = "data"
	if h.replica {
		s.InitialReplicas = f.replicaAddresses()
	} else {
		s.NoControl = true
		s.Control = f.replicaAddresses()
	}
	return s
}

// start creates and starts the process of a host.
func (f *Fleet) start(h *Host) (*node.Process, error) {
	p, err := node.Open(context.Background(), f.settingsOf(h), node.Dependencies{
		Clock:           h.clock,
		Log:             f.o.Log.With("on", h.Name),
		FS:              h.FS,
		Transport:       f.Net.Host(h.Name),
		TargetTransport: roundTripper{h},
		ListenHTTP:      h.listen,
	})
	if err != nil {
		return nil, err
	}
	return p, p.Start()
}

// Close stops every process and the network.
func (f *Fleet) Close() {
	for _, h := range f.Hosts {
		h.Close()
	}
	f.Net.Close()
}

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// Eventually polls a condition until it holds, and reports whether it did within the limit.
func Eventually(limit time.Duration, condition func() bool) bool {
	end := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(pollInterval)
	}
	return true
}

// proposeTimeout is the timeout of one attempt to propose a change.
const proposeTimeout = 2 * time.Second

// Propose proposes a change through the host. It resends the change with the same id until
// the outcome is final or limit has passed.
func (h *Host) Propose(c *apiv1.Change, limit time.Duration) (*apiv1.ChangeOutcome, error) {
	end := time.Now().Add(limit)
	for {
		outcome, err := h.proposeOnce(c)
		if err == nil && isFinal(outcome.GetResult()) {
			return outcome, nil
		}
		if time.Now().After(end) {
			return nil, errors.Errorf("change %s has no final outcome: result %v, error %v", c.GetId(), outcome.GetResult(), err)
		}
		time.Sleep(pollInterval)
	}
}

// proposeOnce makes one attempt to propose a change.
func (h *Host) proposeOnce(c *apiv1.Change) (*apiv1.ChangeOutcome, error) {
	p := h.Process()
	if p == nil {
		return nil, errors.New("no process runs on the host")
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	resp, err := p.Control().Propose(ctx, &apiv1.ProposeRequest{Change: c})
	if err != nil {
		return nil, err
	}
	return resp.GetOutcome(), nil
}

// isFinal reports whether a result is definite, so that the change need not be resent.
func isFinal(r apiv1.ChangeResult) bool {
	switch r {
	case apiv1.ChangeResult_CHANGE_RESULT_ACCEPTED,
		apiv1.ChangeResult_CHANGE_RESULT_CONFLICT,
		apiv1.ChangeResult_CHANGE_RESULT_INVALID,
		apiv1.ChangeResult_CHANGE_RESULT_ID_REUSED:
		return true
	default:
		return false
	}
}

// Apply adds or replaces configuration documents through the host, whatever the current revision is.
func (h *Host) Apply(id, documents string, limit time.Duration) error {
	resources, problems := config.Parse("fleet.yaml", []byte(documents))
	if len(problems) > 0 {
		return errors.Errorf("the documents are not valid: %v", problems)
	}
	outcome, err := h.Propose(&apiv1.Change{Id: id, AnyRevision: true, Upserts: resources}, limit)
	if err != nil {
		return err
	}
	if outcome.GetResult() != apiv1.ChangeResult_CHANGE_RESULT_ACCEPTED {
		return errors.Errorf("the documents were not accepted: %v", outcome)
	}
	return nil
}

// Key is an API key of an organisation: its number and the text that callers send.
type Key struct {
	Number uint64
	Text   string
}

// IssueKey issues a key for an organisation through the host.
func (h *Host) IssueKey(organisation string, limit time.Duration) (Key, error) {
	secret, record, err := keys.Issue(organisation)
	if err != nil {
		return Key{}, err
	}
	change := &apiv1.Change{Id: "issue-" + secret[:8], AnyRevision: true, IssueKeys: []*apiv1.KeyRecord{record}}
	outcome, err := h.Propose(change, limit)
	if err != nil {
		return Key{}, err
	}
	if len(outcome.GetKeyNumbers()) != 1 {
		return Key{}, errors.Errorf("no single key was issued: %v", outcome)
	}
	number := outcome.GetKeyNumbers()[0]
	return Key{Number: number, Text: keys.Format(number, secret)}, nil
}

// WithdrawKey withdraws a key through the host.
func (h *Host) WithdrawKey(number uint64, limit time.Duration) error {
	change := &apiv1.Change{Id: fmt.Sprintf("withdraw-%d", number), AnyRevision: true, WithdrawKeys: []uint64{number}}
	outcome, err := h.Propose(change, limit)
	if err == nil && outcome.GetResult() != apiv1.ChangeResult_CHANGE_RESULT_ACCEPTED {
		err = errors.Errorf("the key was not withdrawn: %v", outcome)
	}
	return err
}
