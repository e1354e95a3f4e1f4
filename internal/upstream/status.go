package upstream

import (
	"bytes"
	"fmt"
	"net/http"

	"github.com/pkg/errors"
)

// maxInterim limits the interim responses (1xx) before a response. A target that reports its progress every ten seconds sends 90 within
// the longest time limit of a request.
const maxInterim = 100

// maxQuoted limits the bytes of a status that an error quotes.
const maxQuoted = 32

// InvalidAnswerError means that a target sent something else than the responses which may follow a request, so that the end of its answer
// can't be told. The request may have run.
type InvalidAnswerError struct{ Reason string }

// Error implements the error interface.
func (e *InvalidAnswerError) Error() string { return "invalid answer: " + e.Reason }

func invalidAnswer(format string, args ...any) error {
	return errors.WithStack(&InvalidAnswerError{Reason: fmt.Sprintf(format, args...)})
}

// CheckStatus returns an InvalidAnswerError unless a response with this status may end an exchange. No request asks for another protocol,
// so that 101 never may.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return invalidAnswer("status %03d", status)
	}
	return nil
}

// maxStatus is the highest status of a response.
const maxStatus = 599

// checkStatusLine returns an InvalidAnswerError if the next line from the target is a status line without a valid status. It leaves other
// lines to the parser, and consumes nothing. The parser accepts any number of three characters: 000, +20, 999.
func (c *conn) checkStatusLine() error {
	line, ok := c.peekLine()
	if !ok || !bytes.HasPrefix(line, []byte("HTTP/")) {
		return nil
	}
	_, rest, _ := bytes.Cut(line, []byte(" "))
	status, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if !validStatus(status) {
		return invalidAnswer("status %q", status[:min(len(status), maxQuoted)])
	}
	return nil
}

// validStatus reports whether a status is a number from 100 to 599 of three digits other than 101.
func validStatus(status []byte) bool {
	if len(status) != 3 || status[0] < '1' || status[0] > '5' {
		return false
	}
	for _, digit := range status {
		if digit < '0' || digit > '9' {
			return false
		}
	}
	return string(status) != "101"
}

// peekLine returns the next line, or its start if it is longer than the read buffer, without consuming it. It returns false if the
// connection ends before.
func (c *conn) peekLine() ([]byte, bool) {
	for {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		if end := bytes.IndexByte(buffered, '\n'); end >= 0 {
			return bytes.TrimSuffix(buffered[:end], []byte("\r")), true
		}
		if len(buffered) == readBuffer {
			return buffered, true
		}
		if _, err := c.reader.Peek(len(buffered) + 1); err != nil {
			return nil, false
		}
	}
}

// checkInterim returns an InvalidAnswerError if an interim response announces a body: it has none, and whatever follows would be taken for
// the next response.
func checkInterim(r *http.Response) error {
	if length := r.Header.Get("Content-Length"); length != "" && length != "0" || len(r.TransferEncoding) > 0 {
		return invalidAnswer("status %d with a body", r.StatusCode)
	}
	return nil
}
