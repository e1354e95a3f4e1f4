package gate

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/headers"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/reqbody"
)

// opaqueBody hides the type of a body from http.Transport. The transport may resend a safe
// request without a body, but never one with a body of a type that it does not know.
// It closes the body when it reads no more of it.
type opaqueBody struct {
	io.ReadCloser
}

// emptyReader is a body without bytes.
type emptyReader struct{}

func (emptyReader) Read([]byte) (int, error) { return 0, io.EOF }

// resendFields are the header fields that allow http.Transport to resend a request without a
// body, whatever its method. The transport looks for them in their canonical form only.
var resendFields = []string{headers.IdempotencyKey, "X-Idempotency-Key"}

// targetRequest builds the HTTP request for a target of this host.
func (x *execution) targetRequest(ctx context.Context, body *reqbody.Lease) (*http.Request, error) {
	h, names := x.header, x.gate.opts.HeaderNames
	req, err := http.NewRequestWithContext(ctx, h.GetMethod(), "http://"+x.entry.target.Address+h.GetPath(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "build the request for the target")
	}
	// RequestURI keeps the path as the caller wrote it, for transports that send it unchanged.
	req.RequestURI = h.GetPath()
	if h.GetHost() != "" {
		req.Host = h.GetHost()
	}
	headers.AddFields(req.Header, h.GetHeaders())
	setBody(req, h, body)
	headers.Set(req.Header, names.Handle, string(x.handle))
	headers.Set(req.Header, names.RequestID, h.GetRequestId())
	headers.Set(req.Header, names.Organisation, h.GetOrganisation())
	headers.Set(req.Header, names.CallerService, h.GetCallerService())
	headers.Set(req.Header, names.Target, h.GetTarget())
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		headers.Set(req.Header, names.TimeoutMs, strconv.FormatInt(left, 10))
	}
	if req.Header.Get("User-Agent") == "" {
		// An empty value prevents the transport from adding its own.
		req.Header.Set("User-Agent", "")
	}
	return req, nil
}

// setBody sets the request's body such that the transport resends the request only if the
// call is idempotent.
func setBody(req *http.Request, h *apiv1.CallHeader, body *reqbody.Lease) {
	req.GetBody = nil
	switch {
	case h.GetContentLength() != 0 && body != nil:
		req.ContentLength = h.GetContentLength()
		req.Body = opaqueBody{body}
	case h.GetIdempotent():
		req.Body = http.NoBody
	case safeMethod(req.Method):
		req.Body = opaqueBody{io.NopCloser(emptyReader{})}
	default:
		req.Body = http.NoBody
		hideResendFields(req.Header)
	}
}

// safeMethod reports whether the transport considers requests of the method safe to resend.
func safeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

// hideResendFields changes the names of the resend fields to lower case, which means the same to a
// target but hides them from the transport.
func hideResendFields(h http.Header) {
	for _, name := range resendFields {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}

// transportRefusal returns the refusal for a failed HTTP exchange with a target.
func transportRefusal(ctx context.Context, err error) *outcome.Refusal {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcome.Unreachable("no connection to the target")
	}
	r := &outcome.Refusal{Code: outcome.TargetFailed, Ran: outcome.RanUnknown, Detail: "the exchange with the target failed"}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		r.Code = outcome.DeadlineExceeded
		r.Detail = "the target did not answer before the deadline"
	case ctx.Err() != nil:
		r.Code = outcome.Cancelled
		r.Detail = "cancelled while the target was working"
	}
	return r
}
