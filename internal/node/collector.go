package node

import (
	"os"
	"runtime/debug"
)

const (
	// CollectorPercent is the growth of the heap in percent between two garbage collections. A node's heap is
	// small and each call allocates, so Go's default of 100 would collect very often.
	CollectorPercent = 300
	// SmallCollectorPercent is the growth in percent on hosts where memory is scarcer than processor time.
	SmallCollectorPercent = 100
	// collectorEnvVariable is the environment variable from which the Go runtime reads the same setting.
	collectorEnvVariable = "GOGC"
)

// TuneCollector sets the garbage collector's heap growth in percent for the whole process, unless the environment
// sets it.
func TuneCollector(percent int) {
	if _, set := os.LookupEnv(collectorEnvVariable); !set {
		debug.SetGCPercent(percent)
	}
}
