package peer

import (
	"io"

	"github.com/guavaford/guavaford/internal/reqbody"
)

// lend returns a lease of a body that is read from r.
func lend(r io.Reader) *reqbody.Lease {
	lease, err := reqbody.NewInterruptible(-1, r, func() {}).Lend()
	if err != nil {
		panic(err)
	}
	return lease
}
