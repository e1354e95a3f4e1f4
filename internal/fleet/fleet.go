// Package fleet runs whole nodes in one process over an in-memory network, for tests in
// virtual time.
//
// Every host runs the same assembly that ships (package node). Only what lies outside of
// it is replaced: the network between nodes (memnet), the files (vfs.Mem), and the HTTP
// connections to callers and targets, which become function calls. A Ledger counts what
// ran at the targets, so that invariants can be checked against what callers were told.
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
	// Seed makes delays and crashes repeatable.
	Seed uint64
	// Replicas is the number of hosts with a control replica; they come first.
	Replicas int
	// Nodes is the number of further hosts.
	Nodes int
	// DataCentres are dealt out to the hosts in turn.
	DataCentres []string
	// Delay and Jitter describe each direction of each link.
	Delay, Jitter time.Duration
	// Log receives the events of every node; nil discards them.
	Log telemetry.Logger
}

// Fleet is a set of hosts and their network.
type Fleet struct {
	Net    *memnet.Network
	Hosts  []*Host
	Ledger *Ledger

	o   Options
	rnd *rand.Rand
	// ports numbers the addresses of targets.
	ports atomic.Int32
}

// New starts every host of a fleet.
func New(o Options) (*Fleet, error) {
	f := &Fleet{
		Net:    memnet.New(o.Seed),
		Ledger: newLedger(),
		o:      o,
		rnd:    rand.New(rand.NewPCG(o.Seed, 1)),
	}
	f.Net.SetLatency(func(string, string) memnet.Link {
		return memnet.Link{Delay: o.Delay, Jitter: o.Jitter}
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

// newHost returns a host whose process does not run yet.
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

// replicas returns the peer addresses of the hosts with a control replica.
func (f *Fleet) replicas() []string {
	addresses := make([]string, 0, f.o.Replicas)
	for _, h := range f.Hosts[:f.o.Replicas] {
		addresses = append(addresses, h.Name)
	}
	return addresses
}

// settingsOf returns the settings of a host's process.
func (f *Fleet) settingsOf(h *Host) *settings.Node {
	s := settings.Default()
	s.Name = h.Name
	s.DataCentre = h.DataCentre
	s.PeerAddress = h.Name
	s.DataFolder = "data"
	if h.replica {
		s.InitialReplicas = f.replicas()
	} else {
		s.NoControl = true
		s.Control = f.replicas()
	}
	return s
}

// start builds and starts the process of a host.
func (f *Fleet) start(h *Host) (*node.Process, error) {
	p, err := node.New(f.settingsOf(h), node.Dependencies{
		Clock:      h.clock,
		Log:        f.o.Log.With("on", h.Name),
		FS:         h.FS,
		Transport:  f.Net.Host(h.Name),
		Targets:    roundTripper{h},
		ListenHTTP: h.listen,
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

// pollInterval is the time between two looks at a condition.
const pollInterval = 20 * time.Millisecond

// Eventually waits until a condition holds, and reports whether it did within the limit.
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

// proposeTimeout bounds one try to make a change.
const proposeTimeout = 2 * time.Second

// Propose makes a change through a host, resending it with the same id until its outcome
// is known or limit has passed.
func (h *Host) Propose(c *apiv1.Change, limit time.Duration) (*apiv1.ChangeOutcome, error) {
	end := time.Now().Add(limit)
	for {
		outcome, err := h.proposeOnce(c)
		if err == nil && final(outcome.GetResult()) {
			return outcome, nil
		}
		if time.Now().After(end) {
			return nil, errors.Errorf("change %s has no outcome: %v %v", c.GetId(), outcome.GetResult(), err)
		}
		time.Sleep(pollInterval)
	}
}

// proposeOnce sends a change once.
func (h *Host) proposeOnce(c *apiv1.Change) (*apiv1.ChangeOutcome, error) {
	p := h.Process()
	if p == nil {
		return nil, errors.New("the host is down")
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	resp, err := p.Control().Propose(ctx, &apiv1.ProposeRequest{Change: c})
	if err != nil {
		return nil, err
	}
	return resp.GetOutcome(), nil
}

// final reports whether a result needs no resend.
func final(r apiv1.ChangeResult) bool {
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

// Apply puts configuration documents in force through a host.
func (h *Host) Apply(id, documents string, limit time.Duration) error {
	resources, problems := config.Parse("fleet.yaml", []byte(documents))
	if len(problems) > 0 {
		return errors.Errorf("%v", problems)
	}
	outcome, err := h.Propose(&apiv1.Change{Id: id, AnyRevision: true, Upserts: resources}, limit)
	if err != nil {
		return err
	}
	if outcome.GetResult() != apiv1.ChangeResult_CHANGE_RESULT_ACCEPTED {
		return errors.Errorf("%v", outcome)
	}
	return nil
}

// Key is an issued key.
type Key struct {
	Number uint64
	Text   string
}

// IssueKey issues a key for an organisation through a host.
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
		return Key{}, errors.Errorf("%v", outcome)
	}
	number := outcome.GetKeyNumbers()[0]
	return Key{Number: number, Text: keys.Format(number, secret)}, nil
}

// WithdrawKey withdraws a key through a host.
func (h *Host) WithdrawKey(number uint64, limit time.Duration) error {
	change := &apiv1.Change{Id: fmt.Sprintf("withdraw-%d", number), AnyRevision: true, WithdrawKeys: []uint64{number}}
	outcome, err := h.Propose(change, limit)
	if err == nil && outcome.GetResult() != apiv1.ChangeResult_CHANGE_RESULT_ACCEPTED {
		err = errors.Errorf("%v", outcome)
	}
	return err
}
