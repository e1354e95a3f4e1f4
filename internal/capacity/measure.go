package capacity

import (
	"runtime"
	"time"
)

// rounds is how often a time is measured; the shortest counts.
const rounds = 3

// minRound is the minimum length of one round.
const minRound = 40 * time.Millisecond

// microseconds returns the mean time of one call of op in the fastest of a few rounds.
func microseconds(op func()) float64 {
	best := time.Duration(1 << 62)
	for range rounds {
		calls := 0
		began := time.Now()
		for time.Since(began) < minRound {
			op()
			calls++
		}
		best = min(best, time.Since(began)/time.Duration(calls))
	}
	return float64(best) / float64(time.Microsecond)
}

// heapBytes returns the bytes of heap that the value returned by build keeps alive. The inputs of build are kept
// alive meanwhile, so that they don't count.
func heapBytes(build func() any, inputs ...any) float64 {
	before := liveHeap()
	value := build()
	after := liveHeap()
	runtime.KeepAlive(value)
	runtime.KeepAlive(inputs)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// measureAt measures a cost at several sizes.
func measureAt(sizes []int, value func(size int) float64) []Point {
	points := make([]Point, len(sizes))
	for i, size := range sizes {
		points[i] = Point{Size: float64(size), Value: value(size)}
	}
	return points
}
