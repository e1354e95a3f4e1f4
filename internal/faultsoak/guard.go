package faultsoak

import (
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// maxProcesses is the most node processes of a run.
const maxProcesses = 300

// guard limits the resources of the machine that a run uses.
type guard struct {
	fleet *fleet
	// maxMemory is half of the machine's memory in bytes, or 0 if that is unknown.
	maxMemory int64
}

func newGuard(f *fleet) *guard {
	g := &guard{fleet: f}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err == nil {
		g.maxMemory = int64(info.Totalram) * int64(info.Unit) / 2
	}
	return g
}

// check returns an error when there are too many node processes, or when they and this process use too much memory.
func (g *guard) check() error {
	if len(g.fleet.nodes) > maxProcesses {
		return errors.Errorf("%d processes, at most %d", len(g.fleet.nodes), maxProcesses)
	}
	total := residentBytes(os.Getpid())
	for _, n := range g.fleet.nodes {
		n.mu.Lock()
		if n.command != nil {
			total += residentBytes(n.command.Process.Pid)
		}
		n.mu.Unlock()
	}
	if g.maxMemory > 0 && total > g.maxMemory {
		return errors.Errorf("the processes hold %d MB, at most %d", total>>20, g.maxMemory>>20)
	}
	return nil
}

// residentBytes returns the resident memory of a process in bytes, or 0 if the process has ended.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// newProbeClient returns a client that opens a new connection for each request.
func newProbeClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerTimeout}
}
