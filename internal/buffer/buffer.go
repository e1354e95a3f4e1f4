// Package buffer copies streams through pooled buffers.
package buffer

import (
	"io"
	"sync"
)

// Size is the size of a buffer in bytes.
const Size = 32 << 10

var pool = sync.Pool{New: func() any {
	buf := make([]byte, Size)
	return &buf
}}

// Copy reads src to its end and passes each chunk to write, which must not retain
// it: the buffer is reused. It returns nil when src ends with io.EOF, and otherwise
// the first error of src or write.
func Copy(src io.Reader, write func(chunk []byte) error) error {
	buf := pool.Get().(*[]byte)
	defer pool.Put(buf)
	for {
		n, err := src.Read(*buf)
		if n > 0 {
			if werr := write((*buf)[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
