package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Unary sends req to the handler of method m at address and waits for resp.
// The error is a *CallError, which wraps a *RemoteError when the handler failed.
func Unary(ctx context.Context, p *Pool, address string, m apiv1.Method, req, resp proto.Message) error {
	return sendUnary(ctx, p, address, m, req, resp, false)
}

func sendUnary(ctx context.Context, p *Pool, address string, m apiv1.Method, req, resp proto.Message, responsive bool) error {
	if size := proto.Size(req); size > maxMessageBytes {
		return &CallError{Address: address, Err: errors.Errorf("message has %d bytes; at most %d are sent", size, maxMessageBytes)}
	}
	if p.intercept != nil {
		return p.intercept(ctx, address, m, func() error { return p.unary(ctx, address, m, req, resp, responsive) })
	}
	return p.unary(ctx, address, m, req, resp, responsive)
}

// UnaryResponsive is Unary for a request that may be repeated at another peer. However long the peer may take for its
// answer, the request fails within half a second once the peer doesn't answer pings, and when a new connection has not
// opened after maxConnectWait. The connection itself is judged as for all other exchanges.
func UnaryResponsive(ctx context.Context, p *Pool, address string, m apiv1.Method, req, resp proto.Message) error {
	return sendUnary(ctx, p, address, m, req, resp, true)
}

// unary runs one unary exchange. responsive demands that the peer stays responsive, as UnaryResponsive says.
func (p *Pool) unary(ctx context.Context, address string, m apiv1.Method, req, resp proto.Message, responsive bool) error {
	maxWait := time.Duration(0)
	if responsive {
		maxWait = maxConnectWait
	}
	x, err := p.openExchange(ctx, address, m, maxWait)
	if err != nil {
		return err
	}
	if responsive {
		x.watchdog = startWatchdog(x, unaryQuietTime, max(unaryQuietTime-x.conn.sinceReceived(), 0))
	}
	err = x.unary(req, resp)
	x.watchdog.stop(err == nil)
	var remote *RemoteError
	x.close(err == nil || errors.As(err, &remote))
	if err != nil {
		return x.failure(err)
	}
	return nil
}

func (x *exchange) unary(req, resp proto.Message) error {
	buf := newFrameBuffer()
	defer buf.release()
	header := &apiv1.StreamHeader{Method: x.method, Number: x.number, TimeoutNs: remainingTimeout(x.ctx)}
	if err := buf.add(header); err != nil {
		return err
	}
	if err := buf.add(req); err != nil {
		return err
	}
	if err := buf.flush(x.stream); err != nil {
		return errors.Wrap(err, "send request")
	}
	x.requestSent.Store(true)
	var status apiv1.RpcStatus
	err := readFrame(x.reader, &status, maxHeaderBytes)
	// A large response may delay the pongs of its connection, so the watchdog ends with the first frame.
	x.watchdog.stop(err == nil)
	if err != nil {
		return errors.Wrap(err, "receive status")
	}
	x.reuse = status.Reuse
	if status.Error != "" {
		return &RemoteError{Text: status.Error}
	}
	return errors.Wrap(readFrame(x.reader, resp, maxMessageBytes), "receive response")
}
