package node

import (
	"context"
	"io"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/buffer"
	"github.com/guavaford/guavaford/internal/gate"
	"github.com/guavaford/guavaford/internal/peer"
)

// registerGate registers the handlers for calls that other nodes send to the targets of this host.
func registerGate(s *peer.Server, id peer.Identity, g *gate.Gate) {
	s.HandleCall(func(ctx context.Context, in *peer.IncomingCall) {
		sendAnswer(in, g.Do(ctx, in.Header, in.Body))
	})
	s.HandleAttach(func(ctx context.Context, key *apiv1.CallKey, in *peer.IncomingCall) {
		sendAnswer(in, g.Attach(ctx, key))
	})
	peer.HandleUnary(s, apiv1.Method_METHOD_FENCE,
		func() *apiv1.FenceRequest { return &apiv1.FenceRequest{} },
		func(_ context.Context, _ peer.Identity, r *apiv1.FenceRequest) (*apiv1.FenceResponse, error) {
			return fence(id, g, r), nil
		})
	peer.HandleUnary(s, apiv1.Method_METHOD_PING,
		func() *apiv1.Hello { return &apiv1.Hello{} },
		func(context.Context, peer.Identity, *apiv1.Hello) (*apiv1.Hello, error) {
			return &apiv1.Hello{Node: id.Node, Incarnation: id.Incarnation}, nil
		})
}

// fence answers a fence request. A node that has restarted since the call was sent can't know whether the call was
// started, and answers without a state.
func fence(id peer.Identity, g *gate.Gate, r *apiv1.FenceRequest) *apiv1.FenceResponse {
	resp := &apiv1.FenceResponse{Incarnation: id.Incarnation}
	if r.GetTargetIncarnation() == id.Incarnation {
		resp.State = g.Fence(r.GetKey())
	}
	return resp
}

// sendAnswer sends an answer to the node that made the call.
func sendAnswer(in *peer.IncomingCall, a *gate.Answer) {
	if a.Body != nil {
		defer a.Body.Close()
	}
	if err := in.Answer(a.Header); err != nil {
		return
	}
	if a.Body != nil && !copyBody(in, a.Body) {
		in.Abort()
		return
	}
	left, _ := a.AllowanceLeft()
	_ = in.Finish(left)
}

// copyBody copies an answer's body to the calling node. It returns false if the body could not be read to its end or
// the connection failed.
func copyBody(in *peer.IncomingCall, body io.Reader) bool {
	return buffer.Copy(body, func(part []byte) error {
		_, err := in.Write(part)
		return err
	}) == nil
}
