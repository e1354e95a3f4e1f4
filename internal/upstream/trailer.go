package upstream

import (
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// CheckTrailer makes the body of a response fail at its end if the name of a field behind it is no token. It calls onInvalid before,
// if there is one, which must prevent that the connection is used again.
func CheckTrailer(r *http.Response, onInvalid func()) {
	if len(r.TransferEncoding) == 0 {
		// Only a body in chunks has a trailer.
		return
	}
	r.Body = &trailerChecker{ReadCloser: r.Body, response: r, onInvalid: onInvalid}
}

// trailerChecker is a body whose trailer is checked. The parser adds the trailer to the response at the end of the body.
type trailerChecker struct {
	io.ReadCloser
	response  *http.Response
	onInvalid func()
}

// Read reads the body. It returns io.EOF only after a valid trailer.
func (c *trailerChecker) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	for name := range c.response.Trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			if c.onInvalid != nil {
				c.onInvalid()
			}
			return n, invalidAnswer("a field behind the body has the name %.*q", maxQuoted, name)
		}
	}
	return n, err
}
