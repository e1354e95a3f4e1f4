package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports that every host of the fleet uses on its own loopback address.
const (
	peerPort     = 7000
	controlPort  = 8540
	outboundPort = 8548
	readyPort    = 8546
	inboundPort  = 8543
	appPort      = 8547
	metricsPort  = 9464
)

// host is one machine of the fleet: a loopback address with one process of the system.
type host struct {
	name    string
	ip      string
	zone    string
	service string // empty for a core machine
	folder  string
	fleet   *fleet

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	log     *os.File
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	program   string
	folder    string
	prefix    string
	bootstrap bool
	core      []*host
	sides     []*host
	record    *recorder
}

var zones = []string{"wien-a", "wien-b", "stpoelten"}

// newFleet prepares the hosts and starts none. services holds the service of each sidecar machine.
func newFleet(program, folder string, core int, services []string, record *recorder) (*fleet, error) {
	prefix, err := freePrefix(core + len(services))
	if err != nil {
		return nil, err
	}
	f := &fleet{program: program, folder: folder, prefix: prefix, bootstrap: true, record: record}
	for i := range core {
		f.core = append(f.core, f.newHost("core", i, i+1, ""))
	}
	for i, service := range services {
		f.sides = append(f.sides, f.newHost("sidecar", i, core+i+1, service))
	}
	for _, h := range f.all() {
		if err := os.MkdirAll(filepath.Join(h.folder, "data"), 0o700); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) newHost(class string, i, number int, service string) *host {
	name := fmt.Sprintf("%s-%d", class, i+1)
	return &host{
		name: name, ip: fmt.Sprintf("%s.%d", f.prefix, number), zone: zones[i%len(zones)], service: service,
		folder: filepath.Join(f.folder, name), fleet: f,
	}
}

func (f *fleet) all() []*host { return append(append([]*host{}, f.core...), f.sides...) }

// freePrefix returns the first three numbers of loopback addresses whose ports are free.
func freePrefix(hosts int) (string, error) {
	start := os.Getpid()
	for n := range 200 {
		prefix := fmt.Sprintf("127.%d.%d", 20+(start+n)%200, 1+(start/200+n)%250)
		if prefixFree(prefix, hosts) {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func prefixFree(prefix string, hosts int) bool {
	for i := 1; i <= hosts; i++ {
		for _, port := range []int{peerPort, controlPort, outboundPort, readyPort, appPort, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, i, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (h *host) at(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

// settings returns the settings file of a process, as the pages show it for a small deployment.
func (h *host) settings() string {
	var seeds []string
	for _, c := range h.fleet.core[:min(3, len(h.fleet.core))] {
		seeds = append(seeds, strconv.Quote(c.at(controlPort)))
	}
	class, serves := "core", "control_plane"
	if h.service != "" {
		class, serves = "sidecar", "sidecar"
	}
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("node = %q\nrole = %q\nmachine-class = %q\nserves = [%q]", h.name, map[string]string{"core": "control", "sidecar": "node"}[class], class, serves)
	line("ip = %q\nzone = %q\nregion = \"at-ost\"\nport-range = [%d,%d]", h.ip, h.zone, peerPort, peerPort+15)
	line("seeds = [%s]\nbootstrap = %v\nloss-counts = %v", strings.Join(seeds, ","), h.fleet.bootstrap, class == "core")
	line("discovery = \"local\"\nentry = \"local\"\nheartbeat = \"1500ms\"")
	line("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"pressure\",\"tenants\",\"quota\"]")
	if h.service != "" {
		line("app-addr = %q\nservice = %q", h.at(appPort), h.service)
	} else {
		line("data-dir = %q", filepath.Join(h.folder, "data"))
	}
	line("[zones]\nwien-a = \"at-ost\"\nwien-b = \"at-ost\"\nstpoelten = \"at-ost\"")
	line("[listen]\ncontrol = %q", h.at(controlPort))
	if h.service != "" {
		line("inbound = %q\noutbound = %q\nreadiness-addr = %q", h.at(inboundPort), h.at(outboundPort), h.at(readyPort))
	}
	if h.service != "" {
		line("[limits]\ncpu-share = 0.64\ncores = 1\nmemory-mb = 284\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0")
	} else {
		line("[limits]\ncpu-share = 0.96\ncores = 1\nmemory-mb = %d\nmax-fds = 4096\nlink-mbps = 1000.0\ndisk-mb = 256", coreMemoryMB)
	}
	line("[fault-tolerance]\nmachines = %d\nzones = 0\nregions = 0", (len(h.fleet.core)-1)/2)
	line("[bounds]\nseed-lag = \"3s\"\naddr-reuse = \"2s\"\ncontact = \"3000ms\"\nack = \"4000ms\"\ncatch-up = \"4s\"\ndrain = \"2000ms\"\ngrace = \"6s\"\nloss-slack = \"200ms\"")
	line("config-apply = \"2000ms\"\nrollback-slack = \"250ms\"\nmax-skew = \"5000ms\"\nstrict-revoke = false\nrevoke = \"5000ms\"")
	line("retry-budget-ratio = 0.2\nbudget-window = \"10s\"\nbudget-slack = 47\nquota-window = \"5s\"\nquota-excess = 0.1\nquota-slack = 20\nrecovery = \"15s\"")
	return b.String()
}

// coreMemoryMB is the memory of a core machine on the pages.
const coreMemoryMB = 280

// start writes the settings file and starts the process with the command of the deploy file.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	file := filepath.Join(h.folder, "local.toml")
	if err := os.WriteFile(file, []byte(h.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(h.fleet.program, "platform", "--metrics-port", strconv.Itoa(metricsPort), "--metrics-path", "metrics")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.folder, "GUAVAFORD_CONFIG=" + file}
	command.Stdout, command.Stderr = log, log
	// The kernel ends the process if this one ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	ended := make(chan struct{})
	h.command, h.ended, h.log = command, ended, log
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command != nil {
		_ = h.command.Process.Signal(s)
	}
}

// running reports whether the process runs, and its process id.
func (h *host) running() (pid int, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command == nil {
		return 0, false
	}
	select {
	case <-h.ended:
		return 0, false
	default:
		return h.command.Process.Pid, true
	}
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	h.mu.Lock()
	command, ended := h.command, h.ended
	h.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGCONT)
	_ = command.Process.Kill()
	<-ended
}

// startAll starts all processes, within 0.3 s of each other.
func (f *fleet) startAll() error {
	for _, h := range f.all() {
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes.
func (f *fleet) close() {
	for _, h := range f.all() {
		h.kill()
	}
}

// residentMB returns the resident memory of a process in MiB.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}

// eventually calls ok until it returns true, or returns false after a time.
func eventually(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}
