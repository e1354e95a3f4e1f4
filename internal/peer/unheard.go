package peer

import (
	"sync"
	"time"
)

// pingWatchdog fails a request that may be repeated elsewhere when its connection stops carrying bytes. The connection's monitor detects
// that as well, but later than many calls can wait: since it closes the connection with all its exchanges, it waits
// for more missed pongs.
//
// As in the monitor, intervals without an answer are counted instead of time, so that a pause of this process does not
// count as silence.
type pingWatchdog struct {
	exchange *exchange
	// quietTime is how long nothing may come from the peer before it is pinged.
	quietTime time.Duration

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// awaited is the number of the ping whose pong is awaited, or 0 if there is none. missed counts the intervals since.
	awaited uint64
	missed  int
}

// startWatchdog starts the watchdog of an exchange that waits for its answer, with the first check after the given
// time. The caller must call stop.
func startWatchdog(x *exchange, quietTime, first time.Duration) *pingWatchdog {
	w := &pingWatchdog{exchange: x, quietTime: quietTime}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(first, w.check)
	return w
}

// stop ends the watchdog, which can't fail the exchange any more. If the answer arrived just when the watchdog failed
// the exchange, stop revokes that failure, so that the exchange continues.
func (w *pingWatchdog) stop(answered bool) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	if x := w.exchange; answered && x.pingTimedOut.Swap(false) {
		_ = x.stream.SetDeadline(time.Time{})
		if x.ctx.Err() != nil {
			_ = x.stream.SetDeadline(expiredDeadline)
		}
	}
}

// check pings the peer if nothing came from it for quietTime, and fails the exchange if the ping stays
// unanswered.
func (w *pingWatchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	c := w.exchange.conn
	if w.awaited > 0 && c.pongReceived.Load() < w.awaited {
		w.missed++
		if w.missed >= watchdogMissedIntervals {
			w.exchange.failPingTimeout()
			return
		}
		w.timer.Reset(watchdogInterval)
		return
	}
	w.awaited, w.missed = 0, 0
	if quiet := c.sinceReceived(); quiet < w.quietTime {
		w.timer.Reset(w.quietTime - quiet)
		return
	}
	w.awaited = c.pingSent.Add(1)
	c.control.ping(w.awaited)
	w.timer.Reset(watchdogInterval)
}

// failPingTimeout makes the exchange fail with errPingTimeout.
func (x *exchange) failPingTimeout() {
	x.pingTimedOut.Store(true)
	_ = x.stream.SetDeadline(expiredDeadline)
}
