package peer

import (
	"context"
	"net"
	"time"
)

const (
	// redialInterval is the time after which another attempt is started in parallel to those that hang. A host
	// without power answers nothing, and the kernel retransmits the SYN packet only after a second, so a single
	// attempt could connect up to a second after the host is back. It is above a round trip between regions.
	redialInterval = 150 * time.Millisecond
	// redialTimeout limits each attempt but the first, which is limited only by the caller's context.
	redialTimeout = 3 * redialInterval
)

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialResult is the outcome of one attempt.
type dialResult struct {
	conn net.Conn
	err  error
}

// redial opens a connection to a host that may just be coming back, with a new parallel attempt every
// redialInterval. The first attempt that connects wins; one that fails before its timeout, such as by a refused
// connection, ends them all, since the host is reachable then.
func redial(ctx context.Context, dial dialFunc, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult)
	go dialOnce(ctx, ctx, dial, network, address, results)
	ticker := time.NewTicker(redialInterval)
	defer ticker.Stop()
	for {
		select {
		case d := <-results:
			return d.conn, d.err
		case <-ticker.C:
			go func() {
				attemptCtx, cancel := context.WithTimeout(ctx, redialTimeout)
				defer cancel()
				dialOnce(ctx, attemptCtx, dial, network, address, results)
			}()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// dialOnce dials within attemptCtx and sends the result, unless ctx, which covers all attempts, ends first. An
// attempt that timed out sends no result, since another may still succeed.
func dialOnce(ctx, attemptCtx context.Context, dial dialFunc, network, address string, results chan<- dialResult) {
	conn, err := dial(attemptCtx, network, address)
	if err != nil && attemptCtx.Err() != nil {
		return
	}
	select {
	case results <- dialResult{conn, err}:
	case <-ctx.Done():
		if conn != nil {
			_ = conn.Close()
		}
	}
}
