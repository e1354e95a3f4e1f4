package upstream

import (
	"bytes"
	"fmt"

	"golang.org/x/net/http/httpguts"
)

// headChecker checks the heads of an answer while they arrive: each field has a name that is a token, and no line is folded. It follows the
// heads of interim responses up to that of the final one, and leaves the rest to the parser.
//
// The parser accepts blanks in names, and then neither sees such a field as the one that it resembles, so that a length counts for nothing,
// nor drops it. It joins a folded line to the value before it. RFC 9112, sections 5.1 and 5.2, lets a proxy refuse both.
type headChecker struct {
	state  headState
	status statusScanner
	// fault is set at the first fault.
	fault *InvalidAnswerError
}

// headState is the place in a head that the next byte belongs to.
type headState int

const (
	inStatusLine headState = iota
	atLineStart
	inName
	inValue
	// atLastLineEnd is between the two bytes of the empty line that ends a head.
	atLastLineEnd
	// afterHead is behind the head of the final response.
	afterHead
)

// begin expects the status line of the next response.
func (h *headChecker) begin() { *h = headChecker{} }

// check takes the next bytes that the target has sent. At a fault it returns the number of bytes before it, and the fault.
func (h *headChecker) check(data []byte) (int, *InvalidAnswerError) {
	for i := 0; i < len(data) && h.fault == nil; i++ {
		switch h.state {
		case afterHead:
			return len(data), nil
		case inStatusLine:
			h.addStatus(data[i])
		case atLineStart:
			h.startLine(data[i])
		case inName:
			h.addName(data[i])
		case inValue:
			end := bytes.IndexByte(data[i:], '\n')
			if end < 0 {
				return len(data), nil
			}
			i += end
			h.state = atLineStart
		case atLastLineEnd:
			if data[i] != '\n' {
				h.fail("a line without a colon")
				break
			}
			h.endHead()
		}
		if h.fault != nil {
			return i, h.fault
		}
	}
	return len(data), h.fault
}

func (h *headChecker) fail(format string, args ...any) {
	h.fault = &InvalidAnswerError{Reason: fmt.Sprintf(format, args...)}
}

func (h *headChecker) addStatus(b byte) {
	if b == '\n' {
		h.state = atLineStart
		return
	}
	h.status.add(b)
}

// startLine takes the first byte of a line after the status line.
func (h *headChecker) startLine(b byte) {
	switch b {
	case '\n':
		h.endHead()
	case '\r':
		h.state = atLastLineEnd
	case ' ', '\t':
		h.fail("a line that begins with byte 0x%02x", b)
	case ':':
		h.fail("a field without a name")
	default:
		h.state = inName
		h.addName(b)
	}
}

func (h *headChecker) addName(b byte) {
	switch {
	case b == ':':
		h.state = inValue
	case b == '\n' || b == '\r':
		h.fail("a line without a colon")
	case !httpguts.IsTokenRune(rune(b)):
		h.fail("byte 0x%02x in the name of a field", b)
	}
}

// endHead ends a head. That of an interim response is followed by another one.
func (h *headChecker) endHead() {
	if h.status.interim() {
		h.begin()
		return
	}
	h.state = afterHead
}

// statusScanner finds the status in a status line as the parser does: between the first blanks and the next one.
type statusScanner struct {
	place statusPlace
	// digits holds the first bytes of the status; length counts all of them.
	digits [3]byte
	length int
}

type statusPlace int

const (
	inVersion statusPlace = iota
	beforeStatus
	inStatus
	afterStatus
)

// add takes the next byte of the line.
func (s *statusScanner) add(b byte) {
	if s.place == beforeStatus && b != ' ' {
		s.place = inStatus
	}
	switch {
	case s.place == inVersion && b == ' ':
		s.place = beforeStatus
	case s.place == inStatus && (b == ' ' || b == '\r'):
		s.place = afterStatus
	case s.place == inStatus:
		if s.length < len(s.digits) {
			s.digits[s.length] = b
		}
		s.length++
	}
}

// interim reports whether the line announces an interim response, which another response follows.
func (s *statusScanner) interim() bool {
	return s.length == len(s.digits) && s.digits[0] == '1' && string(s.digits[:]) != "101"
}
