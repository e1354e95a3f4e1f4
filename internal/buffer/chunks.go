package buffer

import (
	"io"
	"sync"
)

// ChunkSize is the size of a chunk in bytes.
const ChunkSize = 8 << 10

var chunkPool = sync.Pool{New: func() any {
	return new([ChunkSize]byte)
}}

// Chunks is a queue of bytes in pooled chunks of one size. Unlike a slice that grows it copies nothing, leaves no garbage and returns
// each chunk to the pool once it was read. The zero value is empty. It is not safe for concurrent use.
type Chunks struct {
	chunks []*[ChunkSize]byte
	// start is the offset of the first unread byte in the first chunk, end that of the first free one in the last chunk.
	start, end int
}

// Len returns the number of unread bytes.
func (c *Chunks) Len() int {
	if len(c.chunks) == 0 {
		return 0
	}
	return (len(c.chunks)-1)*ChunkSize + c.end - c.start
}

// Fill reads src to its end, but at most limit bytes.
func (c *Chunks) Fill(src io.Reader, limit int) error {
	for limit > 0 {
		if len(c.chunks) == 0 || c.end == ChunkSize {
			c.chunks = append(c.chunks, chunkPool.Get().(*[ChunkSize]byte))
			c.end = 0
		}
		last := c.chunks[len(c.chunks)-1]
		n, err := src.Read(last[c.end:min(ChunkSize, c.end+limit)])
		c.end += n
		limit -= n
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Read removes bytes from the front. It returns io.EOF if there are none.
func (c *Chunks) Read(p []byte) (int, error) {
	if c.Len() == 0 {
		c.free(len(c.chunks))
		return 0, io.EOF
	}
	first, end := c.chunks[0], ChunkSize
	if len(c.chunks) == 1 {
		end = c.end
	}
	n := copy(p, first[c.start:end])
	c.start += n
	if c.start == end {
		c.free(1)
	}
	return n, nil
}

// free returns the first n chunks to the pool.
func (c *Chunks) free(n int) {
	for i, chunk := range c.chunks[:n] {
		chunkPool.Put(chunk)
		c.chunks[i] = nil
	}
	c.chunks = c.chunks[n:]
	if n > 0 {
		c.start = 0
	}
	if len(c.chunks) == 0 {
		c.chunks, c.end = nil, 0
	}
}

// Discard drops all bytes.
func (c *Chunks) Discard() { c.free(len(c.chunks)) }
