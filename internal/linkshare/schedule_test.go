package linkshare

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// epoch is the time at which the tests begin.
var epoch = time.Unix(1_800_000_000, 0)

// upload is a body that is sent over a link of a test.
type upload struct {
	class    Class
	length   int
	sent     int
	began    time.Time
	finished time.Time
	refused  bool
}

// link is a writer that carries rate bytes per second, in virtual time, and nothing while stalled.
type link struct {
	now      time.Time
	rate     float64
	schedule *Schedule
	meter    Meter
	uploads  map[uint32]*upload
	small    int
	smallAt  time.Time
	// waits are the times that small frames took.
	waits []time.Duration
}

func newLink(rate float64) *link {
	return &link{now: epoch, rate: rate, schedule: NewSchedule(), uploads: map[uint32]*upload{}}
}

// begin starts an upload unless it can't arrive in time.
func (l *link) begin(id uint32, class Class, length int) *upload {
	u := &upload{class: class, length: length, began: l.now}
	if Judge(l.now, l.schedule, &l.meter, class, int64(length), l.small).TooLate {
		u.refused = true
		return u
	}
	l.uploads[id] = u
	l.schedule.Begin(l.now, id, class, int64(length))
	l.fill(id)
	return u
}

// fill queues what the writer of an upload may queue.
func (l *link) fill(id uint32) {
	for u := l.uploads[id]; u.sent < u.length && l.schedule.Room(id); {
		n := min(ChunkBytes, u.length-u.sent)
		l.schedule.Push(id, make([]byte, n))
		u.sent += n
	}
	if u := l.uploads[id]; u.sent == u.length {
		l.schedule.End(id)
	}
}

// step writes what is next, small frames first. It returns false if nothing waits.
func (l *link) step() bool {
	n, id, isBody := l.small, uint32(0), false
	if n == 0 {
		var chunk []byte
		if id, chunk, isBody = l.schedule.Next(l.now); !isBody {
			return false
		}
		n = len(chunk)
	}
	l.meter.Begin(l.now)
	l.now = l.now.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	l.meter.End(l.now, n)
	if !isBody {
		l.waits = append(l.waits, l.now.Sub(l.smallAt))
		l.small = 0
		return true
	}
	u := l.uploads[id]
	if !l.schedule.Waits(id) && u.sent == u.length {
		u.finished = l.now
	}
	l.fill(id)
	return true
}

// addSmall queues a small frame.
func (l *link) addSmall(at time.Time) {
	l.small = 400
	l.smallAt = at
}

// TestSmallFramesAndUploadsOnANarrowedLink guards against the load that the package responds to: 50 uploads of 60,000 bytes and small
// frames on a link of 5.6 Mbit/s. A small frame waits for the chunk before it, and a short upload that comes late is not behind all others.
func TestSmallFramesAndUploadsOnANarrowedLink(t *testing.T) {
	const rate = 700_000
	l := newLink(rate)
	class := Class{Priority: 2, Deadline: epoch.Add(20 * time.Second)}
	for id := range uint32(50) {
		l.begin(2*id+1, class, 60_000)
	}
	for i := 0; i < 20; i++ {
		at := l.now.Add(time.Millisecond)
		l.step()
		l.addSmall(at)
		l.step()
	}
	late := l.begin(999, class, 20_000)
	for l.step() {
	}
	for _, wait := range l.waits {
		require.Less(t, wait, 2*ChunkBytes*time.Second/rate)
	}
	require.Less(t, late.finished.Sub(late.began), time.Second, "the 50 others need 4.3 s")
	for _, u := range l.uploads {
		require.False(t, u.finished.IsZero())
	}
}

// TestImportanceAndRemainingTimeDecideTheShare guards against bodies that share a link alike although one is more important, or has less
// time.
func TestImportanceAndRemainingTimeDecideTheShare(t *testing.T) {
	l := newLink(700_000)
	soon, late := epoch.Add(2*time.Second), epoch.Add(8*time.Second)
	common := l.begin(1, Class{Priority: 2, Deadline: late}, 360_000)
	important := l.begin(3, Class{Priority: 0, Deadline: late}, 360_000)
	urgent := l.begin(5, Class{Priority: 2, Deadline: soon}, 360_000)
	for l.step() {
	}
	require.True(t, important.finished.Before(common.finished))
	require.True(t, urgent.finished.Before(common.finished))
	require.True(t, urgent.finished.Before(soon))
}

// TestNoBodyIsStarved guards against a body that gets nothing beside more important ones: it is due at last.
func TestNoBodyIsStarved(t *testing.T) {
	l := newLink(700_000)
	least := l.begin(1, Class{Priority: 3, Deadline: epoch.Add(5 * time.Second)}, 400_000)
	for id := uint32(3); least.finished.IsZero(); id += 2 {
		l.begin(id, Class{Priority: 0, Deadline: l.now.Add(20 * time.Second)}, 360_000)
		for range 22 {
			l.step()
		}
		require.Less(t, l.now.Sub(epoch), 5*time.Second)
	}
}

// TestStreamsKeepTheirOrder guards against frames of a stream that overtake each other, against lost frames, and against queues beyond
// their bounds.
func TestStreamsKeepTheirOrder(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	s := NewSchedule()
	next, want := map[uint32]uint32{}, map[uint32]uint32{}
	now := epoch
	for range 20_000 {
		now = now.Add(time.Millisecond)
		id := rnd.Uint32N(300)
		switch rnd.IntN(4) {
		case 0:
			s.Begin(now, id, Class{Priority: rnd.Uint32N(5), Deadline: now.Add(time.Duration(rnd.Int64N(int64(20 * time.Second))))}, 100_000)
		case 1:
			s.End(id)
		case 2:
			if s.Room(id) {
				chunk := make([]byte, 1+rnd.IntN(ChunkBytes))
				chunk = binary.BigEndian.AppendUint32(chunk[:0:cap(chunk)], next[id])
				next[id]++
				s.Push(id, append(chunk, bytes.Repeat([]byte{1}, rnd.IntN(ChunkBytes-8))...))
			}
		default:
			stream, chunk, ok := s.Next(now)
			if ok {
				require.Equal(t, want[stream], binary.BigEndian.Uint32(chunk))
				want[stream]++
			}
		}
		require.LessOrEqual(t, s.Queued(), TotalBytes+ChunkBytes)
	}
	for {
		stream, _, ok := s.Next(now)
		if !ok {
			break
		}
		want[stream]++
	}
	require.Equal(t, next, want)
	require.Zero(t, s.Queued())
	for id := range uint32(300) {
		s.End(id)
	}
	require.Empty(t, s.flows, "no stream is kept after its end")
}
