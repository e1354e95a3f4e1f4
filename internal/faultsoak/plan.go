package faultsoak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	// StopProcess asks a process to stop and starts it again once it has.
	StopProcess Kind = "stop"
	// KillProcess kills a process and starts it again after the time of the fault.
	KillProcess Kind = "kill"
	// LoseDisk kills a process, removes the state of its control replica and starts it again after the time of the fault.
	LoseDisk Kind = "lose-disk"
	// PauseProcess suspends a process for the time of the fault.
	PauseProcess Kind = "pause"
	// The others are faults of the proxies before a process.
	DelayPeers   Kind = "delay-peers"
	SilentPeers  Kind = "silent-peers"
	OneWayPeers  Kind = "one-way-peers"
	ResetPeers   Kind = "reset-peers"
	ResetCallers Kind = "reset-callers"
	DelayTargets Kind = "delay-targets"
	ResetTargets Kind = "reset-targets"
)

// kinds lists all kinds in the order in which seeds draw them.
var kinds = []Kind{
	StopProcess, KillProcess, PauseProcess, DelayPeers, SilentPeers, OneWayPeers, ResetPeers, ResetCallers, DelayTargets, ResetTargets, LoseDisk,
}

// Fault is one fault of a plan.
type Fault struct {
	At   time.Duration
	Kind Kind
	// Node is the number of the process that is harmed.
	Node int
	For  time.Duration
}

func (f Fault) String() string {
	return fmt.Sprintf("%.1fs %s node %d for %.1fs", f.At.Seconds(), f.Kind, f.Node, f.For.Seconds())
}

// Bounds of the faults of a plan.
const (
	// meanPause is the mean time between two faults. With lengths up to maxFault they overlap.
	meanPause = 900 * time.Millisecond
	minFault  = 200 * time.Millisecond
	maxFault  = 4 * time.Second
	// settle is how long a control host counts as harmed after its fault: it starts and catches up.
	settle = 4 * time.Second
)

// NewPlan draws the faults of a seed. The first control processes are hosts with control.
func NewPlan(seed uint64, length time.Duration, control, processes int) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 0))
	var plan []Fault
	harmedUntil := time.Duration(0)
	for at := time.Duration(0); at < length; at += time.Duration(rnd.ExpFloat64() * float64(meanPause)) {
		f := Fault{
			At:   at,
			Kind: kinds[rnd.IntN(len(kinds))],
			Node: rnd.IntN(processes),
			For:  minFault + time.Duration(rnd.Int64N(int64(maxFault-minFault))),
		}
		f.For = min(f.For, length-at)
		if f.Node < control && harms(f.Kind) {
			if at < harmedUntil {
				continue
			}
			harmedUntil = at + f.For + settle
		}
		plan = append(plan, f)
	}
	return plan
}

// harms reports whether a host with control counts as lost during a fault.
func harms(k Kind) bool {
	switch k {
	case StopProcess, KillProcess, LoseDisk, PauseProcess, SilentPeers, OneWayPeers:
		return true
	default:
		return false
	}
}
