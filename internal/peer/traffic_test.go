package peer_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/memnet"
	"github.com/guavaford/guavaford/internal/peer"
)

// trafficOf returns the counters of one method and distance.
func trafficOf(t *peer.Traffic, m apiv1.Method, d peer.Distance) (exchanges, sent, received int64) {
	t.Each(func(kind apiv1.Method, distance peer.Distance, c *peer.Counter) {
		if kind == m && distance == d {
			exchanges, sent, received = c.Exchanges.Load(), c.Sent.Load(), c.Received.Load()
		}
	})
	return exchanges, sent, received
}

// TestTrafficIsCountedByMethodAndDistance guards against bytes that the two ends count differently, or under the wrong
// method or distance. The distance follows from the data centre in the peer's Hello.
func TestTrafficIsCountedByMethodAndDistance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := memnet.New(1)
		defer net.Close()
		atServer, near, far := peer.NewTraffic("kl"), peer.NewTraffic("kl"), peer.NewTraffic("penang")
		server := peer.NewServer(peer.Identity{Node: "s", Incarnation: 1, DataCentre: "kl"}, peer.ServerOptions{Traffic: atServer})
		peer.HandleUnary(server, apiv1.Method_METHOD_LOADS, func() *apiv1.LoadExchange { return &apiv1.LoadExchange{} },
			func(_ context.Context, _ peer.Identity, r *apiv1.LoadExchange) (*apiv1.LoadExchange, error) {
				return r, nil
			})
		l, err := net.Host("s").Listen("s")
		require.NoError(t, err)
		go func() { _ = server.Serve(l) }()
		defer server.Close()
		request := &apiv1.LoadExchange{Service: strings.Repeat("x", 1000)}
		ask := func(name, dataCentre string, traffic *peer.Traffic, times int) {
			pool := peer.NewPool(peer.Identity{Node: name, Incarnation: 1, DataCentre: dataCentre}, net.Host(name), peer.PoolOptions{Seed: 1, Traffic: traffic})
			defer pool.Close()
			for range times {
				require.NoError(t, peer.Unary(t.Context(), pool, "s", apiv1.Method_METHOD_LOADS, request, &apiv1.LoadExchange{}))
			}
			synctest.Wait()
		}
		ask("near", "kl", near, 3)
		ask("far", "penang", far, 2)

		exchanges, sent, received := trafficOf(near, apiv1.Method_METHOD_LOADS, peer.Near)
		require.EqualValues(t, 3, exchanges)
		require.InDelta(t, 3000, sent, 100)
		require.InDelta(t, 3000, received, 100)
		_, receivedThere, _ := trafficOf(atServer, apiv1.Method_METHOD_LOADS, peer.Near)
		require.Equal(t, received, receivedThere)
		exchanges, sent, _ = trafficOf(atServer, apiv1.Method_METHOD_LOADS, peer.Far)
		require.EqualValues(t, 2, exchanges)
		require.InDelta(t, 2000, sent, 100)
		exchanges, _, _ = trafficOf(far, apiv1.Method_METHOD_LOADS, peer.Near)
		require.Zero(t, exchanges)
	})
}

// TestEveryMethodIsCounted guards against a new method whose bytes are counted for the next exchange on its stream.
func TestEveryMethodIsCounted(t *testing.T) {
	require.Len(t, apiv1.Method_name, peer.MethodCount)
}
