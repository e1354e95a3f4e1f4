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
	// portsPerNode counts the ports for callers, peers, targets and operators.
	portsPerNode = 4
)

// node is one node process and the proxies in front of it and of its targets.
type node struct {
	*process
	// callers and peers are proxies that forward to the node. targets is the address where targets announce themselves
	// and make calls, operator the one for operators' commands.
	callers, peers    *Proxy
	targets, operator string
	// data is the data folder of the node.
	data string
	// targetProxies forward from the node to the targets on its host.
	targetProxies []*Proxy
	// coldTarget is the target of the cold service on its host; nil at hosts with control.
	coldTarget *target
	dataCentre string
	touch      touch
}

// dataCentre returns the name of a data centre, region that of its region: the last data centre is in a region of its own.
func dataCentre(i int) string { return fmt.Sprintf("dc%d", i) }

func region(name string) string {
	if name == dataCentre(controlNodes-1) {
		return awayRegion
	}
	return homeRegion
}

// fleet is the set of all node processes of a run.
type fleet struct {
	folder  string
	program string
	nodes   []*node
	token   string
}

// newFleet prepares the node processes and starts their proxies, but none of the processes.
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
	ports, err := freeport.Ports(allNodes * portsPerNode)
	if err != nil {
		return nil, err
	}
	for range allNodes {
		n := &node{process: &process{program: program}}
		addresses := make([]string, portsPerNode)
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
	f.completeNodes()
	return f, nil
}

// completeNodes sets names, files and the remaining arguments of the nodes, once the addresses of all are known.
func (f *fleet) completeNodes() {
	var control []string
	for _, n := range f.nodes[:controlNodes] {
		control = append(control, n.peers.Address())
	}
	var regions []string
	for i := range controlNodes {
		regions = append(regions, dataCentre(i)+"="+region(dataCentre(i)))
	}
	for i, n := range f.nodes {
		n.process.name = fmt.Sprintf("n%d", i+1)
		n.log = filepath.Join(f.folder, n.process.name+".log")
		n.data = filepath.Join(f.folder, "data-"+n.process.name)
		n.dataCentre = dataCentre(i % controlNodes)
		n.args = append(n.args, "--name", n.process.name, "--data-centre", n.dataCentre, "--region", region(n.dataCentre), "--regions", strings.Join(regions, ","),
			"--data-folder", n.data)
		if i < controlNodes {
			n.args = append(n.args, "--initial-replicas", strings.Join(control, ","))
		} else {
			n.args = append(n.args, "--no-control", "--control", strings.Join(control, ","))
		}
	}
}

// start starts all node processes.
func (f *fleet) start() error {
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// operatorCommand runs one operators' command of the program and returns its output.
func (f *fleet) operatorCommand(args ...string) (string, error) {
	for _, n := range f.nodes {
		args = append(args, "--server", n.operator)
	}
	out, err := exec.Command(f.program, append(args, "--token-file", f.token)...).CombinedOutput()
	return string(out), errors.Wrapf(err, "%v: %s", args[0], out)
}

// inject starts a fault in the background and ends it after its duration.
func (f *fleet) inject(fault Fault, ended *sync.WaitGroup, report func(error)) {
	n := f.nodes[fault.Node]
	ended.Go(func() {
		begin, end := n.faultActions(fault, report)
		if fault.Kind == LosePower {
			begin, end = f.powerLoss(report)
		}
		if outOfTouch(fault.Kind) {
			n.touch.lose()
			defer func() { n.touch.regain(time.Now()) }()
		}
		begin()
		time.Sleep(fault.Duration)
		end()
	})
}

// faultActions returns the functions that begin and end a fault.
func (n *node) faultActions(fault Fault, report func(error)) (begin, end func()) {
	restart := func() {
		if err := n.start(); err != nil {
			report(err)
		}
	}
	pass := func(p *Proxy) func() { return func() { p.Set(Pass, 0) } }
	delay := fault.Duration / 20
	switch fault.Kind {
	case StopProcess:
		return func() {
			if !n.stop() {
				report(errors.Errorf("%s did not stop within %v", n.process.name, stopTimeout))
			}
		}, restart
	case KillProcess:
		return func() { <-n.signal(syscall.SIGKILL) }, restart
	case LoseDisk:
		return func() {
			<-n.signal(syscall.SIGKILL)
			if err := loseDisk(n.data); err != nil {
				report(err)
			}
		}, restart
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
		return n.forEachTargetProxy(func(p *Proxy) { p.Set(Delay, delay) }), n.forEachTargetProxy(func(p *Proxy) { p.Set(Pass, 0) })
	case ResetTargets:
		return n.forEachTargetProxy((*Proxy).Reset), func() {}
	case LosePower:
		// The fleet has its actions.
		return nil, nil
	default:
		panic("faultsoak: a fault without a kind: " + string(fault.Kind))
	}
}

// forEachTargetProxy returns a function that calls do with each proxy in front of a target of the node.
func (n *node) forEachTargetProxy(do func(*Proxy)) func() {
	return func() {
		for _, p := range n.targetProxies {
			do(p)
		}
	}
}

// close stops all processes and proxies. It returns the names of the processes that did not stop in time and were
// killed.
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
			for _, p := range n.targetProxies {
				p.Close()
			}
		})
	}
	all.Wait()
	return late
}
