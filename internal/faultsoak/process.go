package faultsoak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Timeouts of processes.
const (
	// stopTimeout is how long a graceful shutdown may take.
	stopTimeout = 40 * time.Second
)

// process is one program that a run starts, stops and restarts. It sends signals only to processes that it started.
type process struct {
	name    string
	program string
	args    []string
	log     string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// closing is true once the program may not be started again.
	closing bool
}

// start starts the program, unless it runs already or close was called. Its output is appended to the log file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closing || p.command != nil {
		return nil
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, p.name)
	}
	command := exec.Command(p.program, p.args...)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		_ = out.Close()
		return errors.Wrap(err, p.name)
	}
	ended := make(chan struct{})
	p.command, p.ended = command, ended
	go func() {
		_ = command.Wait()
		_ = out.Close()
		p.mu.Lock()
		p.command = nil
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process if it runs, and returns a channel that is closed when it has ended.
func (p *process) signal(s os.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		done := make(chan struct{})
		close(done)
		return done
	}
	_ = p.command.Process.Signal(s)
	return p.ended
}

// stop shuts the process down gracefully, also when it is paused, and waits for its end. It kills the process and
// returns false if that takes longer than stopTimeout.
func (p *process) stop() bool {
	_ = p.signal(syscall.SIGCONT)
	select {
	case <-p.signal(syscall.SIGTERM):
		return true
	case <-time.After(stopTimeout):
		<-p.signal(syscall.SIGKILL)
		return false
	}
}

// close stops the process like stop and prevents further starts.
func (p *process) close() bool {
	p.mu.Lock()
	p.closing = true
	p.mu.Unlock()
	return p.stop()
}

// build compiles the program at path in this repository to folder, and returns the path of the executable.
func build(root, folder, name, path string) (string, error) {
	program := filepath.Join(folder, name)
	command := exec.Command("go", "build", "-o", program, path)
	command.Dir = root
	command.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := command.CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "build %s: %s", path, out)
	}
	return program, nil
}
