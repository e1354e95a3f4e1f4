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
	// StopProcess shuts a process down gracefully and starts it again after the duration of the fault.
	StopProcess Kind = "stop"
	// KillProcess kills a process and starts it again after the duration of the fault.
	KillProcess Kind = "kill"
	// LoseDisk kills a process, removes the state of its control replica and starts it again after the duration of the
	// fault.
	LoseDisk Kind = "lose-disk"
	// PauseProcess suspends a process for the duration of the fault.
	PauseProcess Kind = "pause"
	// The others are faults of the proxies between a process and its peers, callers or targets; see Mode and
	// Proxy.Reset.
	DelayPeers   Kind = "delay-peers"
	SilentPeers  Kind = "silent-peers"
	OneWayPeers  Kind = "one-way-peers"
	ResetPeers   Kind = "reset-peers"
	ResetCallers Kind = "reset-callers"
	DelayTargets Kind = "delay-targets"
	ResetTargets Kind = "reset-targets"
	// LosePower kills all processes at once and starts them again after the duration of the fault. All targets of the cold service are cold
	// then.
	LosePower Kind = "lose-power"
)

// kinds lists all kinds. The plan of a seed depends on their order.
var kinds = []Kind{
	StopProcess, KillProcess, PauseProcess, DelayPeers, SilentPeers, OneWayPeers, ResetPeers, ResetCallers, DelayTargets, ResetTargets, LoseDisk,
	LosePower,
}

// Fault is one fault of a plan: it begins at Start, counted from the start of the plan, and lasts for Duration.
type Fault struct {
	Start time.Duration
	Kind  Kind
	// Node is the index of the node that is impaired.
	Node     int
	Duration time.Duration
}

func (f Fault) String() string {
	return fmt.Sprintf("%.1fs %s node %d for %.1fs", f.Start.Seconds(), f.Kind, f.Node, f.Duration.Seconds())
}

// Frequency and duration of faults.
const (
	// meanInterval is the mean time between the starts of two faults. As faults last up to maxFault, they overlap.
	meanInterval = 900 * time.Millisecond
	minFault     = 200 * time.Millisecond
	maxFault     = 4 * time.Second
	// catchUpTime is how long a host with a control replica still counts as impaired after its fault, while it starts
	// and catches up.
	catchUpTime = 4 * time.Second
)

// NewPlan returns the faults for a seed, in the order in which they begin. The first control of all processes have a
// control replica; at most one of these is impaired at a time, unless the power of all hosts is lost. With an even seed
// it is lost in the second half of the time, if no replica is impaired then.
func NewPlan(seed uint64, length time.Duration, control, processes int) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 0))
	var plan []Fault
	impairedUntil, lost := time.Duration(0), false
	for at := time.Duration(0); at < length; at += time.Duration(rnd.ExpFloat64() * float64(meanInterval)) {
		f := Fault{
			Start:    at,
			Kind:     kinds[rnd.IntN(len(kinds))],
			Node:     rnd.IntN(processes),
			Duration: minFault + time.Duration(rnd.Int64N(int64(maxFault-minFault))),
		}
		f.Duration = min(f.Duration, length-at)
		if seed%2 == 0 && !lost && at >= length/2 && at >= impairedUntil {
			f.Kind = LosePower
		}
		if f.Kind == LosePower {
			// It takes control replicas along, whatever node was drawn.
			f.Node = 0
		}
		if f.Node < control && impairsReplica(f.Kind) {
			if at < impairedUntil {
				continue
			}
			impairedUntil = at + f.Duration + catchUpTime
		}
		lost = lost || f.Kind == LosePower
		plan = append(plan, f)
	}
	return plan
}

// impairsReplica reports whether the control replica of a host counts as lost during a fault.
func impairsReplica(k Kind) bool {
	switch k {
	case StopProcess, KillProcess, LoseDisk, PauseProcess, SilentPeers, OneWayPeers, LosePower:
		return true
	default:
		return false
	}
}
