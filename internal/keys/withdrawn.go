package keys

const (
	// wordBits is the number of bits in one word of a bit vector.
	wordBits = 64
	// chunkWords is the number of words in one chunk, the unit that is copied on write.
	chunkWords = 64
	// chunkBits is the number of bits in one chunk.
	chunkBits = wordBits * chunkWords
)

// bitVector holds one bit for each key number, in chunks that its versions share. It follows
// the revocation vectors of "Let's Revoke: Scalable Global Certificate Revocation"; see
// docs/design/withdrawn-keys.md. It is immutable except while a bitEditor builds it, which
// modifies only the chunks that it has copied.
type bitVector struct {
	// chunks are nil where no bit is set.
	chunks []*[chunkWords]uint64
}

// get reports whether the bit is set. Bits beyond the end are not set.
func (v bitVector) get(bit uint64) bool {
	chunk := bit / chunkBits
	if chunk >= uint64(len(v.chunks)) || v.chunks[chunk] == nil {
		return false
	}
	return v.chunks[chunk][bit/wordBits%chunkWords]&(1<<(bit%wordBits)) != 0
}

// bitEditor builds the next version of a bit vector and copies each chunk at most once.
type bitEditor struct {
	next bitVector
	// copiedChunks tells which chunks are no longer shared with the old version.
	copiedChunks map[uint64]bool
}

// edit returns an editor for the next version; v does not change.
func (v bitVector) edit() *bitEditor {
	return &bitEditor{next: bitVector{append([]*[chunkWords]uint64(nil), v.chunks...)}, copiedChunks: map[uint64]bool{}}
}

// set sets or clears a bit.
func (e *bitEditor) set(bit uint64, value bool) {
	if e.next.get(bit) == value {
		return
	}
	word := &e.writableChunk(bit / chunkBits)[bit/wordBits%chunkWords]
	if value {
		*word |= 1 << (bit % wordBits)
	} else {
		*word &^= 1 << (bit % wordBits)
	}
}

// writableChunk returns a chunk of the next version for modification and copies it if it is shared.
func (e *bitEditor) writableChunk(index uint64) *[chunkWords]uint64 {
	for uint64(len(e.next.chunks)) <= index {
		e.next.chunks = append(e.next.chunks, nil)
	}
	if !e.copiedChunks[index] {
		copied := &[chunkWords]uint64{}
		if old := e.next.chunks[index]; old != nil {
			*copied = *old
		}
		e.next.chunks[index] = copied
		e.copiedChunks[index] = true
	}
	return e.next.chunks[index]
}
