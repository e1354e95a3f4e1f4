package upstream

import (
	"context"
	"net"
)

// Dialer returns dial with connections for another HTTP client: their reads return io.EOF only at the end of what the target sends.
func Dialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return reportResets(c), nil
	}
}
