package faultsoak

import (
	"sync"
	"syscall"
	"time"
)

// touch knows whether a node can hear from the control replicas. A node that can't keeps its last known state.
type touch struct {
	mu sync.Mutex
	// faults counts the faults that keep it out of touch, until is when it must have caught up after the last of them.
	faults int
	until  time.Time
}

// outOfTouch reports whether a node may not hear from the control replicas during a fault, and go on serving. One that is killed or stopped
// learns of changes before it serves again.
func outOfTouch(k Kind) bool { return k == PauseProcess || k == SilentPeers || k == OneWayPeers }

func (t *touch) lose() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults++
}

func (t *touch) regain(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults--
	t.until = now.Add(evacuationBound)
}

// has reports whether the node is in touch.
func (t *touch) has(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults == 0 && now.After(t.until)
}

// powerLoss returns the functions that kill all processes at once and start them again.
func (f *fleet) powerLoss(report func(error)) (begin, end func()) {
	return func() {
			var ended []<-chan struct{}
			for _, n := range f.nodes {
				ended = append(ended, n.signal(syscall.SIGKILL))
			}
			for _, e := range ended {
				<-e
			}
		}, func() {
			if err := f.start(); err != nil {
				report(err)
			}
			for _, n := range f.nodes[controlNodes:] {
				n.coldTarget.becomeCold(coldStart)
			}
		}
}
