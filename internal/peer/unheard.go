package peer

import (
	"sync"
	"time"
)

// unheardWatch gives up a call that may be repeated when its connection carries nothing any more. The pings of the
// connection's monitor find that as well, but later than many calls can wait: they end the connection
// with all its exchanges, which takes more evidence.
//
// As there, intervals without an answer are counted, not time, so that a pause of this process is no evidence.
type unheardWatch struct {
	exchange *exchange

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// asked is the number of the ping that awaits its answer; 0 while none does. missed counts the intervals since.
	asked  uint64
	missed int
}

// watchUnheard starts the watch over an exchange whose answer is awaited. It ends with stop.
func watchUnheard(x *exchange) *unheardWatch {
	w := &unheardWatch{exchange: x}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(unheardAfter, w.check)
	return w
}

// stop ends the watch. The exchange is not given up after it; one whose answer came at the moment at which it was given
// up goes on.
func (w *unheardWatch) stop(answered bool) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	if x := w.exchange; answered && x.unheard.Swap(false) {
		_ = x.stream.SetDeadline(time.Time{})
		if x.ctx.Err() != nil {
			_ = x.stream.SetDeadline(past)
		}
	}
}

// check pings the other end if nothing came from it for a while, and gives up the exchange if it does not answer.
func (w *unheardWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	c := w.exchange.conn
	if w.asked > 0 && c.pongHeard.Load() < w.asked {
		w.missed++
		if w.missed >= unheardIntervals {
			w.exchange.giveUp()
			return
		}
		w.timer.Reset(unheardInterval)
		return
	}
	w.asked, w.missed = 0, 0
	if quiet := c.quietFor(); quiet < unheardAfter {
		w.timer.Reset(unheardAfter - quiet)
		return
	}
	w.asked = c.pingSent.Add(1)
	c.control.ping(w.asked)
	w.timer.Reset(unheardInterval)
}

// giveUp makes the exchange fail as unheard.
func (x *exchange) giveUp() {
	x.unheard.Store(true)
	_ = x.stream.SetDeadline(past)
}
