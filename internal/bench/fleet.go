// Package bench runs whole nodes on loopback addresses of this machine and
// measures their costs: the overhead of a call through two nodes, and resources
// that leak in a run of a few minutes.
//
// A Fleet holds nodes, targets and a configuration in one process. A Load makes
// calls to it and returns a Result. The commands in the subfolders print reports:
// callcost the overhead of a call, soak the growth of resource usage. Wall-clock
// figures are compared with a baseline in the same run, and are never part of a
// test.
package bench

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/keys"
	"github.com/guavaford/guavaford/internal/node"
	"github.com/guavaford/guavaford/internal/operator"
	"github.com/guavaford/guavaford/internal/settings"
)

const (
	// secretBytes is the size of the fleet secret and of the operators' token.
	secretBytes = 32
	// readyTimeout is how long a fleet may take to start.
	readyTimeout = 30 * time.Second
	// stopTimeout is how long the orderly shutdown of one node may take.
	stopTimeout = 20 * time.Second
	// pollInterval is the time between two checks of a condition that is waited for.
	pollInterval = 50 * time.Millisecond
)

// Options describe a fleet.
type Options struct {
	// Nodes is the number of nodes; the first Replicas of them run a control replica.
	Nodes    int
	Replicas int
	// DataCentres are assigned to the nodes in turn; empty means that all nodes are in one.
	DataCentres []string
}

// Fleet is a set of running nodes and their targets.
type Fleet struct {
	folder   string
	settings []*settings.Node
	nodes    []*node.Process
	client   *operator.Client
	targets  []*Target
}

// Start starts a fleet on free loopback ports and waits until its control replicas confirm their configuration.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "guavaford-bench-")
	if err != nil {
		return nil, errors.Wrap(err, "create the folder of the fleet")
	}
	node.SetGCPercent(node.GCPercent)
	f := &Fleet{folder: folder}
	if err := f.start(ctx, o); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context, o Options) error {
	if err := f.prepareSettings(o); err != nil {
		return err
	}
	for _, s := range f.settings {
		if err := s.Check().Err(); err != nil {
			return err
		}
		process, err := node.New(s, node.Dependencies{})
		if err != nil {
			return errors.Wrapf(err, "node %s", s.Name)
		}
		f.nodes = append(f.nodes, process)
		if err := process.Start(); err != nil {
			return errors.Wrapf(err, "node %s", s.Name)
		}
	}
	token, err := os.ReadFile(f.settings[0].OperatorTokenFile)
	if err != nil {
		return errors.Wrap(err, "read the operators' token")
	}
	if f.client, err = operator.NewClient([]string{f.settings[0].OperatorAddress}, string(token)); err != nil {
		return err
	}
	return f.waitUntil(ctx, "control", func() bool {
		configuration, err := f.client.Configuration(ctx)
		return err == nil && configuration.Confirmed
	})
}

// prepareSettings generates the secrets, addresses and settings of all nodes.
func (f *Fleet) prepareSettings(o Options) error {
	fleetSecret, err := f.secret("fleet-secret")
	if err != nil {
		return err
	}
	token, err := f.secret("operator-token")
	if err != nil {
		return err
	}
	addresses, err := freeAddresses(4 * o.Nodes)
	if err != nil {
		return err
	}
	var replicas []string
	for i := range o.Nodes {
		s := settings.Default()
		s.Name = fmt.Sprintf("node-%d", i)
		s.CallersAddress, s.TargetsAddress = addresses[4*i], addresses[4*i+1]
		s.OperatorAddress, s.PeerAddress = addresses[4*i+2], addresses[4*i+3]
		s.DataFolder = filepath.Join(f.folder, s.Name)
		s.FleetSecretFile, s.OperatorTokenFile = fleetSecret, token
		s.NoControl = i >= o.Replicas
		if len(o.DataCentres) > 0 {
			s.DataCentre = o.DataCentres[i%len(o.DataCentres)]
		}
		if !s.NoControl {
			replicas = append(replicas, s.PeerAddress)
		}
		f.settings = append(f.settings, s)
	}
	for _, s := range f.settings {
		s.Control = replicas
		if !s.NoControl {
			s.InitialReplicas = replicas
		}
	}
	return nil
}

// secret writes a random secret to a file and returns its path.
func (f *Fleet) secret(name string) (string, error) {
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return "", errors.Wrap(err, "generate a secret")
	}
	path := filepath.Join(f.folder, name)
	return path, errors.Wrap(os.WriteFile(path, []byte(hex.EncodeToString(secret)), 0o600), "write a secret")
}

// freeAddresses returns loopback addresses on which nothing listens.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// waitUntil polls until a condition holds, for at most readyTimeout.
func (f *Fleet) waitUntil(ctx context.Context, what string, ready func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !ready() {
		select {
		case <-ctx.Done():
			return errors.Errorf("%s: not ready after %v", what, readyTimeout)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// Apply changes the configuration to include the documents of a YAML file. The name is used in errors and as part of
// the ID of the change.
func (f *Fleet) Apply(ctx context.Context, name string, data []byte) error {
	resources, problems := config.Parse(name, data)
	if len(problems) > 0 {
		return errors.Errorf("%s: %v", name, problems)
	}
	change := &operator.Change{ID: "apply-" + filepath.Base(name), AnyRevision: true}
	for _, r := range resources {
		change.Upserts = append(change.Upserts, operator.FromResource(r))
	}
	_, err := f.client.Change(ctx, change)
	return err
}

// IssueKey issues and returns a new API key of an organisation.
func (f *Fleet) IssueKey(ctx context.Context, organisation string) (string, error) {
	secret, record, err := keys.Issue(organisation)
	if err != nil {
		return "", err
	}
	accepted, err := f.client.Change(ctx, &operator.Change{
		ID:          "issue-" + organisation,
		AnyRevision: true,
		IssueKeys:   []operator.NewKey{{Organisation: organisation, Hash: record.GetHash()}},
	})
	if err != nil {
		return "", err
	}
	return keys.Format(accepted.KeyNumbers[0], secret), nil
}

// CallersURL returns the URL at which callers reach node i.
func (f *Fleet) CallersURL(i int) string { return "http://" + f.settings[i].CallersAddress }

// Stop shuts targets and nodes down in order and removes the folder of the fleet.
func (f *Fleet) Stop() {
	for _, t := range f.targets {
		t.stop()
	}
	for i := len(f.nodes) - 1; i >= 0; i-- {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		_ = f.nodes[i].Stop(ctx)
		cancel()
	}
	_ = os.RemoveAll(f.folder)
}
