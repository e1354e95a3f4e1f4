package faultsoak

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/guavaford/guavaford/internal/freeport"
)

// Sizes of the fleet.
const (
	controlNodes = 3
	targetNodes  = 3
	allNodes     = controlNodes + targetNodes
	// portsOfNode are those for callers, peers, targets and operators.
	portsOfNode = 4
)

// node is one node process with the proxies before it.
type node struct {
	*process
	// callers and peers forward to the node, targets is where targets announce themselves.
	callers, peers    *Proxy
	targets, operator string
	// data is the data folder.
	data string
	// served forward from the node to the targets on its host.
	served []*Proxy
}

// fleet is all processes of a run.
type fleet struct {
	folder  string
	program string
	nodes   []*node
	token   string
}

// newFleet prepares the processes; nothing runs yet.
func newFleet(folder, program string) (*fleet, error) {
	f := &fleet{folder: folder, program: program, token: filepath.Join(folder, "token")}
	secret := filepath.Join(folder, "secret")
	for _, file := range []string{f.token, secret} {
		raw := make([]byte, 32)
		// crypto/rand.Read never fails.
		_, _ = rand.Read(raw)
		if err := os.WriteFile(file, []byte(base64.RawURLEncoding.EncodeToString(raw)), 0o600); err != nil {
			return nil, errors.Wrap(err, "secret")
		}
	}
	ports, err := freeport.Ports(allNodes * portsOfNode)
	if err != nil {
		return nil, err
	}
	for range allNodes {
		n := &node{process: &process{program: program}}
		addresses := make([]string, portsOfNode)
		for i := range addresses {
			addresses[i] = fmt.Sprintf("127.0.0.1:%d", ports[0])
			ports = ports[1:]
		}
		if n.callers, err = NewProxy(addresses[0]); err != nil {
			return nil, err
		}
		if n.peers, err = NewProxy(addresses[1]); err != nil {
			return nil, err
		}
		n.targets, n.operator = addresses[2], addresses[3]
		n.args = []string{"node", "--callers-address", addresses[0], "--peer-listen-address", addresses[1],
			"--targets-address", n.targets, "--operator-address", n.operator, "--peer-address", n.peers.Address(),
			"--fleet-secret-file", secret, "--operator-token-file", f.token}
		f.nodes = append(f.nodes, n)
	}
	f.name()
	return f, nil
}

// name completes the command lines, once all addresses are known.
func (f *fleet) name() {
	var control []string
	for _, n := range f.nodes[:controlNodes] {
		control = append(control, n.peers.Address())
	}
	for i, n := range f.nodes {
		n.process.name = fmt.Sprintf("n%d", i+1)
		n.log = filepath.Join(f.folder, n.process.name+".log")
		n.data = filepath.Join(f.folder, "data-"+n.process.name)
		n.args = append(n.args, "--name", n.process.name, "--data-centre", fmt.Sprintf("dc%d", i%controlNodes), "--data-folder", n.data)
		if i < controlNodes {
			n.args = append(n.args, "--initial-replicas", strings.Join(control, ","))
		} else {
			n.args = append(n.args, "--no-control", "--control", strings.Join(control, ","))
		}
	}
}

// start runs all processes.
func (f *fleet) start() error {
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// operatorCommand runs one command of the operators' interface.
func (f *fleet) operatorCommand(args ...string) (string, error) {
	for _, n := range f.nodes {
		args = append(args, "--server", n.operator)
	}
	out, err := exec.Command(f.program, append(args, "--token-file", f.token)...).CombinedOutput()
	return string(out), errors.Wrapf(err, "%v: %s", args[0], out)
}

// apply applies a fault and ends it after its time.
func (f *fleet) apply(fault Fault, ended *sync.WaitGroup, report func(error)) {
	n := f.nodes[fault.Node]
	ended.Go(func() {
		begin, end := n.fault(fault, report)
		begin()
		time.Sleep(fault.For)
		end()
	})
}

// fault returns what begins and what ends a fault.
func (n *node) fault(fault Fault, report func(error)) (begin, end func()) {
	again := func() {
		if err := n.start(); err != nil {
			report(err)
		}
	}
	pass := func(p *Proxy) func() { return func() { p.Set(Pass, 0) } }
	delay := fault.For / 20
	switch fault.Kind {
	case StopProcess:
		return func() {
			if !n.stop() {
				report(errors.Errorf("%s did not stop within %v", n.process.name, stopWait))
			}
		}, again
	case KillProcess:
		return func() { <-n.signal(syscall.SIGKILL) }, again
	case LoseDisk:
		return func() {
			<-n.signal(syscall.SIGKILL)
			if err := loseDisk(n.data); err != nil {
				report(err)
			}
		}, again
	case PauseProcess:
		return func() { n.signal(syscall.SIGSTOP) }, func() { n.signal(syscall.SIGCONT) }
	case DelayPeers:
		return func() { n.peers.Set(Delay, delay) }, pass(n.peers)
	case SilentPeers:
		return func() { n.peers.Set(Silent, 0) }, pass(n.peers)
	case OneWayPeers:
		return func() { n.peers.Set(OneWay, 0) }, pass(n.peers)
	case ResetPeers:
		return n.peers.Reset, func() {}
	case ResetCallers:
		return n.callers.Reset, func() {}
	case DelayTargets:
		return n.eachServed(func(p *Proxy) { p.Set(Delay, delay) }), n.eachServed(func(p *Proxy) { p.Set(Pass, 0) })
	case ResetTargets:
		return n.eachServed((*Proxy).Reset), func() {}
	default:
		panic("faultsoak: a fault without a kind: " + string(fault.Kind))
	}
}

func (n *node) eachServed(do func(*Proxy)) func() {
	return func() {
		for _, p := range n.served {
			do(p)
		}
	}
}

// close ends all processes and proxies and returns the processes that did not stop as asked.
func (f *fleet) close() []string {
	var mu sync.Mutex
	var late []string
	var all sync.WaitGroup
	for _, n := range f.nodes {
		all.Go(func() {
			if !n.close() {
				mu.Lock()
				defer mu.Unlock()
				late = append(late, n.process.name)
			}
			n.callers.Close()
			n.peers.Close()
			for _, p := range n.served {
				p.Close()
			}
		})
	}
	all.Wait()
	return late
}
