package keys

const (
	// wordBits is the number of bits in one word of a bit vector.
	wordBits = 64
	// chunkWords is the number of words in one chunk; set copies one chunk.
	chunkWords = 64
	// chunkBits is the number of bits in one chunk.
	chunkBits = wordBits * chunkWords
)

// bitVector holds one bit for each key number, in chunks that successors share. It follows
// the revocation vectors of "Let's Revoke: Scalable Global Certificate Revocation"; see
// docs/design/withdrawn-keys.md. It is immutable but for set, which only an editor calls
// on chunks of its own.
type bitVector struct {
	// chunks are nil where no bit is set.
	chunks []*[chunkWords]uint64
}

// get returns true when the bit is set. Bits beyond the end are not.
func (v bitVector) get(bit uint64) bool {
	chunk := bit / chunkBits
	if chunk >= uint64(len(v.chunks)) || v.chunks[chunk] == nil {
		return false
	}
	return v.chunks[chunk][bit/wordBits%chunkWords]&(1<<(bit%wordBits)) != 0
}

// bitEditor builds the successor of a bit vector and copies each chunk at most once.
type bitEditor struct {
	next  bitVector
	owned map[uint64]bool
}

// edit returns an editor that leaves v as it is.
func (v bitVector) edit() *bitEditor {
	return &bitEditor{next: bitVector{append([]*[chunkWords]uint64(nil), v.chunks...)}, owned: map[uint64]bool{}}
}

// set sets or clears a bit.
func (e *bitEditor) set(bit uint64, value bool) {
	if e.next.get(bit) == value {
		return
	}
	word := &e.chunk(bit / chunkBits)[bit/wordBits%chunkWords]
	if value {
		*word |= 1 << (bit % wordBits)
	} else {
		*word &^= 1 << (bit % wordBits)
	}
}

// chunk returns a chunk of the successor that may be modified.
func (e *bitEditor) chunk(index uint64) *[chunkWords]uint64 {
	for uint64(len(e.next.chunks)) <= index {
		e.next.chunks = append(e.next.chunks, nil)
	}
	if !e.owned[index] {
		copied := &[chunkWords]uint64{}
		if old := e.next.chunks[index]; old != nil {
			*copied = *old
		}
		e.next.chunks[index] = copied
		e.owned[index] = true
	}
	return e.next.chunks[index]
}
