package linkshare

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// within returns a class with an amount of time left.
func (l *link) within(left time.Duration) Class {
	return Class{Priority: 2, Deadline: l.now.Add(left)}
}

// TestBodyThatCantArriveInTimeIsRefused guards against bodies that take the link from others and then come too late, and against the
// refusal of those that arrive in time: every upload that was accepted does.
func TestBodyThatCantArriveInTimeIsRefused(t *testing.T) {
	l := newLink(700_000)
	var all []*upload
	for id := range uint32(400) {
		// 20 uploads a second of 60,000 bytes each: 1.7 times what the link carries.
		for until := epoch.Add(time.Duration(id) * 50 * time.Millisecond); l.now.Before(until); {
			if !l.step() {
				l.now = until
			}
		}
		all = append(all, l.begin(2*id+1, l.within(3*time.Second), 60_000))
	}
	for l.step() {
	}
	served, late, refused := 0, 0, 0
	for _, u := range all {
		switch {
		case u.refused:
			refused++
		case u.finished.After(u.class.Deadline):
			late++
		default:
			served++
		}
	}
	t.Logf("%d served, %d late, %d refused of %d", served, late, refused, len(all))
	// 20 s and the 3 s after them carry 16.1 MB: 268 uploads.
	require.Greater(t, served, 200)
	require.Less(t, late, 40)
	require.Greater(t, refused, 100)
}

// TestUnknownAndIdleLinksRefuseNothing guards against refusals without a recent measurement.
func TestUnknownAndIdleLinksRefuseNothing(t *testing.T) {
	l := newLink(1000)
	require.False(t, l.begin(1, l.within(time.Millisecond), 360_000).refused, "nothing was measured")
	l = newLink(700_000)
	l.begin(1, l.within(time.Second), 600_000)
	for l.step() {
	}
	_, known := l.meter.Rate(l.now)
	require.True(t, known)
	require.False(t, l.begin(3, l.within(100*time.Millisecond), 360_000).refused, "the link is idle")
	_, known = l.meter.Rate(l.now.Add(slots * slotTime))
	require.False(t, known, "the measurement is old")
	m := &Meter{}
	m.Begin(l.now)
	_, known = m.Rate(l.now.Add(500 * time.Millisecond))
	require.False(t, known, "a pause says nothing about the rate")
}

// TestLinkThatStallsAndRecovers guards against a link that is refused for good after it carried nothing for a while.
func TestLinkThatStallsAndRecovers(t *testing.T) {
	l := newLink(700_000)
	for id := range uint32(80) {
		l.begin(2*id+1, l.within(20*time.Second), 60_000)
	}
	for range 20 {
		l.step()
	}
	_, chunk, ok := l.schedule.Next(l.now)
	require.True(t, ok)
	l.meter.Begin(l.now)
	verdict := Judge(l.now, l.schedule, &l.meter, l.within(6*time.Second), 60_000, 0)
	require.False(t, verdict.TooLate, "%+v", verdict)
	l.now = l.now.Add(3 * time.Second)
	verdict = Judge(l.now, l.schedule, &l.meter, l.within(2*time.Second), 60_000, 0)
	require.True(t, verdict.TooLate, "nothing was sent for 3 s")
	require.Equal(t, maxRetry, verdict.RetryAfter())
	l.meter.End(l.now, len(chunk))
	recovered := l.now
	for l.step() && l.now.Sub(recovered) < time.Second {
	}
	verdict = Judge(l.now, l.schedule, &l.meter, l.within(5*time.Second), 60_000, 0)
	require.False(t, verdict.TooLate, "%+v", verdict)
	for l.step() {
	}
	rate, ok := l.meter.Rate(l.now)
	require.True(t, ok)
	require.InEpsilon(t, 700_000, rate, 0.05, "the stall is forgotten after 2 s")
}

// TestStreamsThatWaitForTheirReceiverCountForNothing guards against refusals because of bodies that take nothing of the link.
func TestStreamsThatWaitForTheirReceiverCountForNothing(t *testing.T) {
	s := NewSchedule()
	for id := range uint32(50) {
		s.Begin(epoch, id, Class{Priority: 2}, 100_000)
	}
	require.EqualValues(t, 50*100_000, s.Ahead(epoch, Class{Priority: 2}, 60_000), "they have just begun")
	require.Zero(t, s.Ahead(epoch.Add(time.Second), Class{Priority: 2}, 60_000))
}

// TestBodiesThatComeAtOnceAreJudgedTogether guards against a burst of which all is accepted, as none of its bodies has begun when the
// others are judged.
func TestBodiesThatComeAtOnceAreJudgedTogether(t *testing.T) {
	l := newLink(700_000)
	l.begin(1, l.within(20*time.Second), 400_000)
	for range 20 {
		l.step()
	}
	class := l.within(time.Second)
	accepted := 0
	for range 40 {
		if !Judge(l.now, l.schedule, &l.meter, class, 60_000, 0).TooLate {
			accepted++
			l.schedule.Expect(l.now, class, 60_000)
		}
	}
	require.InDelta(t, 0.9*700_000/60_000*3/4, accepted, 3, "what the link carries in the usable time, less what the longer body gets")
	l.now = l.now.Add(2 * activeTime)
	require.LessOrEqual(t, l.schedule.Ahead(l.now, class, 60_000), int64(l.schedule.Queued()), "those that did not begin are forgotten")
	l.schedule.Expect(l.now, class, 60_000)
	require.Len(t, l.schedule.expected, 1)
	l.schedule.Begin(l.now, 9, class, 60_000)
	require.Empty(t, l.schedule.expected)
}

// TestBuffersDontCountAsTheRate guards against a rate that is too high after the link was idle, as the first writes only fill buffers.
func TestBuffersDontCountAsTheRate(t *testing.T) {
	m := &Meter{}
	now := epoch
	write := func(n int, took time.Duration) {
		m.Begin(now)
		now = now.Add(took)
		m.End(now, n)
	}
	for range 10 {
		for range 8 {
			write(ChunkBytes, 20*time.Microsecond)
		}
		for range 4 {
			write(7_000, 10*time.Millisecond)
		}
		now = now.Add(100 * time.Millisecond)
	}
	rate, ok := m.Rate(now)
	require.True(t, ok)
	require.InEpsilon(t, 700_000, rate, 0.01)
	fast := &Meter{}
	for range 100_000 {
		fast.Begin(now)
		now = now.Add(20 * time.Microsecond)
		fast.End(now, ChunkBytes)
	}
	_, ok = fast.Rate(now)
	require.False(t, ok, "a link on which nothing blocks has no known rate")
}

// TestRetryAfterFollowsTheEstimate guards against callers that come back much too early or late.
func TestRetryAfterFollowsTheEstimate(t *testing.T) {
	v := Verdict{TooLate: true, Arrival: 3 * time.Second, Remaining: 2 * time.Second}
	require.Equal(t, time.Second, v.RetryAfter())
	v.Arrival = 2*time.Second + time.Millisecond
	require.Equal(t, minRetry, v.RetryAfter())
	v.Arrival = time.Hour
	require.Equal(t, maxRetry, v.RetryAfter())
}
