package calltable

import "sync"

// chunkBytes is the size of a chunk.
const chunkBytes = 8 << 10

var chunkPool = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// chunks holds bytes in pooled chunks of one size: nothing is copied while they grow, and none of it becomes garbage. The user
// synchronises its use; bytes are only copied out, so that a chunk can be used anew at once.
type chunks struct {
	// list has the chunks. All but the first and the last are full.
	list [][]byte
	// start is the offset of the first byte in the first chunk, size the number of bytes.
	start, size int
}

// add appends p. expected is the number of bytes that will be added in all, if it is known to be small.
func (c *chunks) add(p []byte, expected int) {
	if len(c.list) == 0 && expected >= len(p) && expected < chunkBytes {
		c.list = append(c.list, make([]byte, 0, expected))
	}
	for len(p) > 0 {
		last := len(c.list) - 1
		if last < 0 || len(c.list[last]) == cap(c.list[last]) {
			c.list = append(c.list, chunkPool.Get().(*[chunkBytes]byte)[:0])
			last++
		}
		n := min(len(p), cap(c.list[last])-len(c.list[last]))
		c.list[last] = append(c.list[last], p[:n]...)
		p = p[n:]
		c.size += n
	}
}

// copyAt copies bytes from an offset on to p, as many as one chunk holds.
func (c *chunks) copyAt(p []byte, offset int) int {
	if offset >= c.size {
		return 0
	}
	offset += c.start
	// Only the first chunk may have another size than chunkBytes and be followed by others.
	first := len(c.list[0])
	if offset < first {
		return copy(p, c.list[0][offset:])
	}
	offset -= first
	return copy(p, c.list[1+offset/chunkBytes][offset%chunkBytes:])
}

// drop removes the first n bytes.
func (c *chunks) drop(n int) {
	c.size -= n
	c.start += n
	free := 0
	for free < len(c.list) && c.start >= len(c.list[free]) {
		c.start -= len(c.list[free])
		c.release(c.list[free])
		c.list[free] = nil
		free++
	}
	c.list = c.list[free:]
}

// clip frees the unused end of the last chunk, and returns the memory that is held.
func (c *chunks) clip() int {
	held := -c.start
	for i, chunk := range c.list {
		if len(chunk) < cap(chunk) {
			c.list[i] = append(make([]byte, 0, len(chunk)), chunk...)
			c.release(chunk)
		}
		held += cap(c.list[i])
	}
	return max(held, 0)
}

// release returns a chunk to the pool, unless it has another size.
func (c *chunks) release(chunk []byte) {
	if cap(chunk) == chunkBytes {
		chunkPool.Put((*[chunkBytes]byte)(chunk[:chunkBytes]))
	}
}
