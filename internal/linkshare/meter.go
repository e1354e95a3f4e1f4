package linkshare

import "time"

const (
	// slotTime and slots make up the time for which measurements count: 2 s.
	slotTime = 200 * time.Millisecond
	slots    = 10
	// minBusy is the busy time without which the rate is not known. Shorter times measure the buffers of the kernel.
	minBusy = 200 * time.Millisecond
	// minStall is the busy time after which a link that has carried nothing counts as one that carries nothing, as a connection counts as
	// silent then.
	minStall = time.Second
	// blockedTime is the time from which on a write counts as blocked, and idleTime the time without a write after which buffers count as
	// empty again.
	blockedTime = time.Millisecond
	idleTime    = 20 * time.Millisecond
	// usable is the part of the remaining time in which a body must arrive; the rest is left to the target.
	usable = 0.9
	// minRetry and maxRetry bound the time after which the caller of a refused body may try again.
	minRetry = 100 * time.Millisecond
	maxRetry = 5 * time.Second
)

// slot holds what was measured within slotTime.
type slot struct {
	number int64
	bytes  int64
	busy   time.Duration
}

// Meter measures the rate of a connection from the writes to it. A write blocks while too many bytes before it are unsent, so
// that the time of the writes is the time for which the link was busy. Nothing is sent to measure it.
type Meter struct {
	slots [slots]slot
	// writing is when the write under way began; zero if there is none.
	writing time.Time
	// ended is when the last write ended.
	ended time.Time
	// full is set by the first write that blocks after the link was idle. What is written before it only fills buffers.
	full bool
}

// Begin records the start of a write.
func (m *Meter) Begin(now time.Time) {
	m.writing = now
	m.full = m.full && now.Sub(m.ended) <= idleTime
}

// End records the end of the write under way, of n bytes.
func (m *Meter) End(now time.Time, n int) {
	m.full = m.full || now.Sub(m.writing) >= blockedTime
	if m.full {
		m.addBusy(m.writing, now)
		m.at(now).bytes += int64(n)
	}
	m.writing = time.Time{}
	m.ended = now
}

// addBusy adds the time between two moments to the slots that it falls into.
func (m *Meter) addBusy(from, to time.Time) {
	if oldest := to.Add(-slots * slotTime); from.Before(oldest) {
		from = oldest
	}
	for from.Before(to) {
		end := time.Unix(0, (from.UnixNano()/int64(slotTime)+1)*int64(slotTime))
		if end.After(to) {
			end = to
		}
		m.at(from).busy += end.Sub(from)
		from = end
	}
}

// at returns the slot of a moment, which must not be older than the window.
func (m *Meter) at(t time.Time) *slot {
	number := t.UnixNano() / int64(slotTime)
	s := &m.slots[number%slots]
	if s.number < number {
		*s = slot{number: number}
	}
	return s
}

// Rate returns the bytes per second that the connection has carried while it was busy within the last 2 s. It returns false
// if it was busy for too short a time to tell.
func (m *Meter) Rate(now time.Time) (float64, bool) {
	newest := now.UnixNano() / int64(slotTime)
	var bytes int64
	var busy time.Duration
	for _, s := range m.slots {
		if s.number > newest-slots && s.number <= newest {
			bytes += s.bytes
			busy += s.busy
		}
	}
	if !m.writing.IsZero() && now.After(m.writing) {
		busy += min(now.Sub(m.writing), slots*slotTime)
	}
	if busy < minBusy || bytes == 0 && busy < minStall {
		return 0, false
	}
	return float64(bytes) / busy.Seconds(), true
}

// Verdict is the estimate for a body that is about to be sent.
type Verdict struct {
	// TooLate is true if the body can't arrive in time.
	TooLate bool
	// Rate is the measured rate in bytes per second, Ahead the number of bytes that are sent before the last one of the body.
	Rate  float64
	Ahead int64
	// Arrival is the estimated time until the body has arrived, 0 if it never does at the present rate.
	Arrival time.Duration
	// Remaining is the time that the call has left.
	Remaining time.Duration
}

// Judge estimates whether a body of a length arrives before the deadline of its call behind what waits for the connection, with small bytes
// of small frames among it. A body on a link whose rate is not known, or that is idle, is never too late.
func Judge(now time.Time, s *Schedule, m *Meter, class Class, length int64, small int) Verdict {
	v := Verdict{}
	if class.Deadline.IsZero() || length <= 0 || s.Queued() == 0 {
		return v
	}
	rate, ok := m.Rate(now)
	if !ok {
		return v
	}
	v.Remaining = class.Deadline.Sub(now)
	if v.Remaining <= 0 {
		// The end of the call is reported as such.
		return v
	}
	v.Rate = rate
	v.Ahead = s.Ahead(now, class, length) + int64(small)
	total := float64(v.Ahead + length)
	if v.TooLate = total > rate*usable*v.Remaining.Seconds(); v.TooLate && rate > 0 {
		v.Arrival = time.Duration(min(total/rate, time.Hour.Seconds()) * float64(time.Second))
	}
	return v
}

// RetryAfter returns when the body would arrive in time if nothing else was sent until then.
func (v Verdict) RetryAfter() time.Duration {
	if v.Arrival == 0 {
		return maxRetry
	}
	return min(max(v.Arrival-v.Remaining, minRetry), maxRetry)
}
