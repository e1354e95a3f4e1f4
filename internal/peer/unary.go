package peer

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Unary sends req to the handler of method m at address and waits for resp.
// The error is a *CallError, which wraps a *RemoteError when the handler failed.
func Unary(ctx context.Context, p *Pool, address string, m apiv1.Method, req, resp proto.Message) error {
	if size := proto.Size(req); size > maxMessageBytes {
		return &CallError{Address: address, Err: errors.Errorf("message has %d bytes; at most %d are sent", size, maxMessageBytes)}
	}
	if p.intercept != nil {
		return p.intercept(ctx, address, m, func() error { return p.unary(ctx, address, m, req, resp) })
	}
	return p.unary(ctx, address, m, req, resp)
}

func (p *Pool) unary(ctx context.Context, address string, m apiv1.Method, req, resp proto.Message) error {
	x, err := p.openExchange(ctx, address, m)
	if err != nil {
		return err
	}
	err = x.unary(req, resp)
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
	if err := readFrame(x.reader, &status, maxHeaderBytes); err != nil {
		return errors.Wrap(err, "receive status")
	}
	x.reuse = status.Reuse
	if status.Error != "" {
		return &RemoteError{Text: status.Error}
	}
	return errors.Wrap(readFrame(x.reader, resp, maxMessageBytes), "receive response")
}
