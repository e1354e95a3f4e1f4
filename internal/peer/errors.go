package peer

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/guavaford/guavaford/internal/linkshare"
)

var (
	// ErrCancelled is the cause of a handler's context that ended because the caller cancelled the exchange.
	ErrCancelled = errors.New("the caller cancelled")
	// ErrSessionLost is the cause of a handler's context that ended because the connection to
	// the caller was lost. The caller may still fetch the answer over a new connection.
	ErrSessionLost = errors.New("the connection to the caller was lost")
	// ErrClosed is returned by a closed pool and for a closed connection, and is the cause with which the contexts of
	// handlers end when their server is closed.
	ErrClosed = errors.New("closed")

	errSilent            = errors.New("connection is silent")
	errAnswerKeyMismatch = errors.New("answer carries the key of another call")
	errBackoff           = errors.New("waiting before the next connection attempt")
	errUnsent            = errors.New("nothing was sent")
	errPingTimeout       = errors.New("the peer did not answer a ping in time")
	errConnectTimeout    = errors.New("timed out waiting for the connection to open")
)

// CallError describes why an exchange failed.
type CallError struct {
	// Sent is false only if nothing of the exchange left this process, so that it can't have run.
	Sent bool
	// Silent is true if the connection stopped carrying bytes without being closed.
	Silent bool
	// Address is the address of the peer.
	Address string
	// Err is the cause.
	Err error
}

// Error describes the failure.
func (e *CallError) Error() string {
	return fmt.Sprintf("peer %s (sent: %t, silent: %t): %v", e.Address, e.Sent, e.Silent, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// LateBodyError says that the body of a call would arrive after the end of the call's time, so that nothing of the call was sent.
type LateBodyError struct {
	// Length is the length of the body in bytes.
	Length int64
	// Verdict is what was estimated.
	Verdict linkshare.Verdict
}

// Error describes the estimate.
func (e *LateBodyError) Error() string {
	return fmt.Sprintf("a body of %d bytes can't arrive in %v behind %d bytes at %.0f bytes per second", e.Length, e.Verdict.Remaining.Round(time.Millisecond),
		e.Verdict.Ahead, e.Verdict.Rate)
}

// RemoteError is an error that the handler at the remote node returned.
type RemoteError struct {
	Text string
}

// Error returns the text of the remote error.
func (e *RemoteError) Error() string { return e.Text }
