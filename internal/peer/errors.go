package peer

import (
	"fmt"

	"github.com/pkg/errors"
)

var (
	// ErrCancelled is the cause of a handler's context that ended because the caller gave up.
	ErrCancelled = errors.New("the caller cancelled")
	// ErrSessionLost is the cause of a handler's context that ended because the connection to
	// the caller was lost. The caller may still fetch the answer over a new connection.
	ErrSessionLost = errors.New("the connection to the caller was lost")
	// ErrClosed is returned by a pool or server that was closed.
	ErrClosed = errors.New("closed")

	errSilent        = errors.New("connection is silent")
	errCrossedAnswer = errors.New("answer carries the key of another call")
	errBackoff       = errors.New("waiting before the next connection attempt")
	errUnsent        = errors.New("nothing was sent")
	errUnheard       = errors.New("the other end does not answer")
	errConnecting    = errors.New("the connection takes too long to open")
)

// CallError is the failure of an exchange.
type CallError struct {
	// Sent is false only when nothing of the exchange left this process.
	Sent bool
	// Silent is true when the connection stopped carrying bytes.
	Silent bool
	// Address is the peer address of the other end.
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

// RemoteError is an error that the handler at the other end returned.
type RemoteError struct {
	Text string
}

// Error returns the text of the remote error.
func (e *RemoteError) Error() string { return e.Text }
