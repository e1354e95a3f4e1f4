package node

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
)

// listen listens at every address of the node.
func (p *Process) listen() error {
	s := p.env.settings
	for _, endpoint := range []struct {
		name    string
		address string
		server  *http.Server
	}{
		{"callers", s.CallersAddress, p.callers},
		{"targets", s.TargetsAddress, p.targets},
		{"operators", s.OperatorAddress, p.operators},
	} {
		if endpoint.server == nil {
			continue
		}
		if err := p.serveHTTP(endpoint.name, endpoint.address, endpoint.server); err != nil {
			return err
		}
	}
	if err := p.listenDirect(); err != nil {
		return err
	}
	listener, err := p.transport.Listen(s.EffectivePeerListenAddress())
	if err != nil {
		return errors.Wrap(err, "peers")
	}
	p.goRun("peers", func() error { return p.peers.Serve(listener) })
	return nil
}

// serveHTTP serves HTTP at one address.
func (p *Process) serveHTTP(name, address string, server *http.Server) error {
	listener, err := p.env.ListenHTTP(address)
	if err != nil {
		return errors.Wrap(err, name)
	}
	p.goRun(name, func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	return nil
}

// shutdownServers lets running requests finish. Requests of callers come first, as they need the servers for other
// nodes and targets.
func (p *Process) shutdownServers(ctx context.Context) error {
	var firstErr error
	var steps []func(context.Context) error
	if p.direct != nil {
		steps = append(steps, p.direct.Shutdown)
	}
	if p.callers != nil {
		steps = append(steps, p.callers.Shutdown, p.requests.wait)
	}
	steps = append(steps, p.peers.Shutdown)
	if p.targets != nil {
		steps = append(steps, p.targets.Shutdown, p.operators.Shutdown)
	}
	for _, step := range steps {
		if err := step(ctx); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// Close ends all components at once and cuts running requests off, as a crash would.
func (p *Process) Close() {
	p.cancel()
	p.runs.Close()
	if p.direct != nil {
		p.direct.Close()
	}
	for _, server := range []*http.Server{p.callers, p.targets, p.operators} {
		if server != nil {
			_ = server.Close()
		}
	}
	p.peers.Close()
	p.pool.Close()
	p.callsMu.Lock()
	p.noCalls = true
	p.callsMu.Unlock()
	p.running.Wait()
}

// closed reports whether goCall runs nothing any more.
func (p *Process) closed() bool {
	p.callsMu.Lock()
	defer p.callsMu.Unlock()
	return p.noCalls
}

// goCall runs a call to another node in a goroutine that Close waits for. Once that wait has begun it runs nothing and returns false: requests of targets
// and operators may still be running then, and a WaitGroup that is waited for must not grow from zero.
func (p *Process) goCall(call func()) bool {
	p.callsMu.Lock()
	defer p.callsMu.Unlock()
	if p.noCalls {
		return false
	}
	p.running.Go(call)
	return true
}
