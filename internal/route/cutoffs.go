package route

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// cutoffHold is how long a cutoff stands without news; within cutoffRamp after that it
	// rises until nothing is shed.
	cutoffHold = 250 * time.Millisecond
	cutoffRamp = time.Second
	// maxLevel is above every shedding level.
	maxLevel = 1 << 28
	// maxCutoffs bounds the cutoffs that a picker remembers.
	maxCutoffs = 4096
)

// cutoffKey names the requests that share a cutoff.
type cutoffKey struct {
	route        string
	organisation string
}

// cutoffCell holds one cutoff and the time of the last news about it.
type cutoffCell struct {
	level atomic.Uint32
	newNs atomic.Int64
}

// cutoffs remembers the cutoffs that answers carried. Reading takes no lock.
type cutoffs struct {
	cells atomic.Pointer[map[cutoffKey]*cutoffCell]
	mu    sync.Mutex
}

// newCutoffs returns an empty memory.
func newCutoffs() *cutoffs {
	c := &cutoffs{}
	c.cells.Store(&map[cutoffKey]*cutoffCell{})
	return c
}

// at returns the cutoff in force; 0 means none.
func (c *cutoffs) at(now int64, key cutoffKey) uint32 {
	cell := (*c.cells.Load())[key]
	if cell == nil {
		return 0
	}
	return agedCutoff(cell.level.Load(), time.Duration(now-cell.newNs.Load()))
}

// agedCutoff returns a cutoff whose last news is age old.
func agedCutoff(level uint32, age time.Duration) uint32 {
	if level == 0 || age <= cutoffHold {
		return level
	}
	ramp := float64(age-cutoffHold) / float64(cutoffRamp)
	if ramp >= 1 {
		return 0
	}
	return level + uint32(ramp*ramp*float64(maxLevel-min(level, maxLevel)))
}

// observe takes the cutoff that an answer carried.
func (c *cutoffs) observe(now int64, key cutoffKey, level uint32) {
	cell := (*c.cells.Load())[key]
	if cell == nil {
		if level == 0 {
			return
		}
		cell = c.add(now, key)
	}
	cell.level.Store(level)
	cell.newNs.Store(now)
}

// add makes a cell. A full memory first drops the cells whose cutoffs have aged out.
func (c *cutoffs) add(now int64, key cutoffKey) *cutoffCell {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := *c.cells.Load()
	if cell := old[key]; cell != nil {
		return cell
	}
	cells := make(map[cutoffKey]*cutoffCell, len(old)+1)
	for k, cell := range old {
		if len(old) < maxCutoffs || c.at(now, k) != 0 {
			cells[k] = cell
		}
	}
	cell := &cutoffCell{}
	if len(cells) < maxCutoffs {
		cells[key] = cell
	}
	c.cells.Store(&cells)
	return cell
}
