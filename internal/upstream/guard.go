package upstream

import "context"

// guardKey is the key of a guard in the context of a request.
type guardKey struct{}

// WithGuard returns a context with a function that the Transport calls right before it sends the request, once it has a connection. If the
// function returns an error, nothing is sent and RoundTrip returns that error.
func WithGuard(ctx context.Context, guard func() error) context.Context {
	return context.WithValue(ctx, guardKey{}, guard)
}

// checkGuard calls the guard in a context, if it has one.
func checkGuard(ctx context.Context) error {
	if guard, ok := ctx.Value(guardKey{}).(func() error); ok {
		return guard()
	}
	return nil
}
