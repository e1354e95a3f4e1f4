package rate

import (
	"math"
	"time"
)

const (
	// headroomSlot is the resolution of the history.
	headroomSlot = 100 * time.Millisecond
	// headroomSlots is the length of the history in slots.
	headroomSlots = 32
)

// headroom is the recent history of the room between a bucket's content and its burst: the
// least value in each slot of time. While the history is empty, the room counts as 0.
type headroom struct {
	minimum [headroomSlots]float64
	// last is the number of the newest slot, first that of the oldest one known.
	first, last int64
	started     bool
}

func slotOf(at time.Time) int64 {
	return at.UnixNano() / int64(headroomSlot)
}

// note records the room at a time. The room only shrinks between two notes, so that the new
// value is also a lower bound for the slots since the last note.
func (h *headroom) note(at time.Time, room float64) {
	slot := slotOf(at)
	if !h.started {
		h.started = true
		h.first = slot
		h.last = slot
		h.minimum[slot%headroomSlots] = room
		return
	}
	for h.last < slot {
		h.last = max(h.last+1, slot-headroomSlots+1)
		h.minimum[h.last%headroomSlots] = room
	}
	h.first = max(h.first, h.last-headroomSlots+1)
	current := &h.minimum[h.last%headroomSlots]
	*current = min(*current, room)
}

// minSince returns the least room since a time; 0 if the history does not reach back that far.
func (h *headroom) minSince(since time.Time) float64 {
	slot := slotOf(since)
	if !h.started || slot < h.first {
		return 0
	}
	room := math.Inf(1)
	for s := slot; s <= h.last; s++ {
		room = min(room, h.minimum[s%headroomSlots])
	}
	return room
}

// reduce subtracts tokens that were credited in retrospect from the whole history.
func (h *headroom) reduce(tokens float64) {
	for i := range h.minimum {
		h.minimum[i] -= tokens
	}
}
