package linkshare

import (
	"slices"
	"time"
)

const (
	// ChunkBytes is the largest part of a body that is written at once. A small frame waits behind one chunk: 23 ms on a link of
	// 5.6 Mbit/s. Chunks of 4 KiB would take four times the writes and TLS records.
	ChunkBytes = 16 << 10
	// StreamBytes is the number of queued bytes at which the writer of a stream waits: more than one chunk with its frame headers, so
	// that one is queued while the writer prepares the next. A stream holds ChunkBytes more at most.
	StreamBytes = ChunkBytes + 1<<10
	// TotalBytes is the number of queued bytes of all streams at which their writers wait.
	TotalBytes = 2 << 20

	// priorityLevels is the number of priorities that count differently; each shortens the time of a body to half of the next.
	priorityLevels = 4
	// defaultTime is the time that counts for a body without a deadline.
	defaultTime = 10 * time.Second
	// shortInterval is the number of chunks of which one goes to the shortest body.
	shortInterval = 4
	// unknownLength is the length that counts for a body of unknown length.
	unknownLength = 256 << 10

	// maxExpected bounds the bodies that were accepted and have not begun.
	maxExpected = 4096
	// activeTime is how long a stream without queued bytes still counts as one that sends: its writer prepares the next chunk.
	activeTime = 250 * time.Millisecond
)

// Class describes the call that a body belongs to.
type Class struct {
	// Priority is the priority of the call; 0 is the most important.
	Priority uint32
	// Deadline is the end of the call's time; zero if it has none.
	Deadline time.Time
}

// due returns when the body should have arrived: sooner than its deadline if it is important.
func (c Class) due(now time.Time) time.Time {
	left := defaultTime
	if !c.Deadline.IsZero() {
		left = max(c.Deadline.Sub(now), 0)
	}
	if c.Priority < priorityLevels {
		left >>= priorityLevels - 1 - c.Priority
	}
	return now.Add(left)
}

// flow is the queue of one stream.
type flow struct {
	// due is when the body should have arrived.
	due time.Time
	// chunks are the queued bytes in the order of the stream.
	chunks [][]byte
	queued int
	// sent is the number of bytes that were taken.
	sent int64
	// open is true between Begin and End.
	open bool
	// length is the length of the body, or unknownLength.
	length int64
	// active is when the body began or its last chunk was taken.
	active time.Time
}

// left returns the number of bytes that are still to be sent.
func (f *flow) left() int64 {
	if !f.open {
		return int64(f.queued)
	}
	return max(f.length-f.sent, int64(f.queued))
}

// before reports whether a body is sent before another.
func (f *flow) before(g *flow, shortest bool) bool {
	if shortest && f.length != g.length {
		return f.length < g.length
	}
	return f.due.Before(g.due)
}

// Schedule holds the queued bodies of one connection. The next chunk is of the body that is due first, where important bodies are due
// before their deadline. Thus bodies that arrive in time if sent one after the other do so, and none is passed over for ever. One chunk in
// shortInterval is of the shortest body, so that a short body is not held up by long ones.
type Schedule struct {
	flows  map[uint32]*flow
	queued int
	// taken counts the chunks.
	taken int
	// expected are the bodies that were accepted and have not begun, oldest first.
	expected []expectedBody
}

// expectedBody is a body that was accepted and has not begun.
type expectedBody struct {
	due    time.Time
	length int64
	until  time.Time
}

// NewSchedule returns an empty schedule.
func NewSchedule() *Schedule {
	return &Schedule{flows: make(map[uint32]*flow)}
}

// Begin announces that a stream carries a body of a length, -1 if not known.
func (s *Schedule) Begin(now time.Time, stream uint32, class Class, length int64) {
	if length < 0 {
		length = unknownLength
	}
	for i, e := range s.expected {
		if e.length == length {
			s.expected = slices.Delete(s.expected, i, i+1)
			break
		}
	}
	f := s.flow(stream)
	f.due, f.length, f.open, f.active, f.sent = class.due(now), length, true, now, 0
}

// Expect announces a body that was accepted and begins soon, so that others which come meanwhile are judged with it. One that does not
// begin is forgotten after activeTime.
func (s *Schedule) Expect(now time.Time, class Class, length int64) {
	s.expected = slices.DeleteFunc(s.expected, func(e expectedBody) bool { return e.until.Before(now) })
	if len(s.expected) < maxExpected {
		s.expected = append(s.expected, expectedBody{due: class.due(now), length: length, until: now.Add(activeTime)})
	}
}

// End announces the end of a stream's body. What is queued of it remains.
func (s *Schedule) End(stream uint32) {
	f := s.flows[stream]
	if f == nil {
		return
	}
	f.open = false
	if f.queued == 0 {
		delete(s.flows, stream)
	}
}

// flow returns the queue of a stream. Frames of one that was not begun go first.
func (s *Schedule) flow(stream uint32) *flow {
	f := s.flows[stream]
	if f == nil {
		f = &flow{}
		s.flows[stream] = f
	}
	return f
}

// Has reports whether the next bytes of a stream belong into the schedule: a body was begun, or bytes before them are queued.
func (s *Schedule) Has(stream uint32) bool { return s.flows[stream] != nil }

// Waits reports whether bytes of a stream are queued.
func (s *Schedule) Waits(stream uint32) bool {
	f := s.flows[stream]
	return f != nil && f.queued > 0
}

// Push queues the next chunk of a stream. The schedule keeps the slice until Next returns it.
func (s *Schedule) Push(stream uint32, chunk []byte) {
	f := s.flow(stream)
	f.chunks = append(f.chunks, chunk)
	f.queued += len(chunk)
	s.queued += len(chunk)
}

// Room reports whether the writer of a stream may queue another chunk.
func (s *Schedule) Room(stream uint32) bool {
	if f := s.flows[stream]; f != nil && f.queued >= StreamBytes {
		return false
	}
	return s.queued < TotalBytes
}

// Queued returns the number of queued bytes.
func (s *Schedule) Queued() int { return s.queued }

// Next removes the chunk that is to be sent next and returns it with its stream, or false if none is queued.
func (s *Schedule) Next(now time.Time) (stream uint32, chunk []byte, ok bool) {
	var next *flow
	shortest := s.taken%shortInterval == shortInterval-1
	for id, f := range s.flows {
		if f.queued > 0 && (next == nil || f.before(next, shortest) || !next.before(f, shortest) && id < stream) {
			next, stream = f, id
		}
	}
	if next == nil {
		return 0, nil, false
	}
	s.taken++
	chunk = next.chunks[0]
	next.chunks[0] = nil
	next.chunks = next.chunks[1:]
	next.queued -= len(chunk)
	s.queued -= len(chunk)
	next.sent += int64(len(chunk))
	next.active = now
	if next.queued == 0 {
		next.chunks = nil
		if !next.open {
			delete(s.flows, stream)
		}
	}
	return stream, chunk, true
}

// Ahead estimates how many bytes of other bodies are sent before the last byte of a new one of a length: all of those that are due before,
// and of the others what the chunks for short bodies can give them meanwhile.
func (s *Schedule) Ahead(now time.Time, class Class, length int64) int64 {
	due := class.due(now)
	before, after := int64(0), int64(0)
	for _, e := range s.expected {
		if !e.until.Before(now) && !e.due.After(due) {
			before += e.length
		}
	}
	for _, f := range s.flows {
		if f.queued == 0 && now.Sub(f.active) > activeTime {
			// The body waits for its caller or its receiver and takes nothing of the link.
			continue
		}
		if f.due.After(due) {
			after += f.left()
		} else {
			before += f.left()
		}
	}
	return before + min(after, (before+length)/(shortInterval-1))
}
