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

// TestBodyThatCantArriveInTimeIsRefused guards against bodies that take the link from others and then come too late, and against the refusal of
// those that arrive in time: every upload that was accepted does.
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

// TestRetryAfterFollowsTheEstimate guards against callers that come back much too early or late.
func TestRetryAfterFollowsTheEstimate(t *testing.T) {
	v := Verdict{TooLate: true, Arrival: 3 * time.Second, Remaining: 2 * time.Second}
	require.Equal(t, time.Second, v.RetryAfter())
	v.Arrival = 2*time.Second + time.Millisecond
	require.Equal(t, minRetry, v.RetryAfter())
	v.Arrival = time.Hour
	require.Equal(t, maxRetry, v.RetryAfter())
}
