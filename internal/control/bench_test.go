package control

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/peer"
)

// loopbackReplicas runs three replicas with real files and loopback connections.
func loopbackReplicas(b *testing.B) []*Replica {
	var addresses []string
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		addresses = append(addresses, l.Addr().String())
		require.NoError(b, l.Close())
	}
	var replicas []*Replica
	for i, address := range addresses {
		id := peer.Identity{Node: fmt.Sprint("n", i), Incarnation: peer.NewIncarnation(time.Now())}
		transport, err := peer.NewYamux(bytes.Repeat([]byte("s"), 32))
		require.NoError(b, err)
		pool := peer.NewPool(id, transport, peer.PoolOptions{})
		server := peer.NewServer(id, peer.ServerOptions{})
		r, err := Open(Options{
			DataFolder: b.TempDir(), Identity: id, Address: address, DataCentre: "kl",
			InitialReplicas: addresses, Pool: pool, Server: server,
			Check: func([]*apiv1.Resource) []string { return nil },
		})
		require.NoError(b, err)
		listener, err := transport.Listen(address)
		require.NoError(b, err)
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		go func() { _ = server.Serve(listener) }()
		go func() { _ = r.Serve(ctx); close(stopped) }()
		b.Cleanup(func() { cancel(); <-stopped; server.Close(); pool.Close() })
		replicas = append(replicas, r)
	}
	return replicas
}

// waitUntilReady waits until every group has a leader and three members, and a quorum confirms the
// state of every replica.
func waitUntilReady(b *testing.B, replicas []*Replica) {
	deadline := time.Now().Add(20 * time.Second)
	for _, r := range replicas {
		for {
			require.True(b, time.Now().Before(deadline), "not every group has a leader and three members within 20 s")
			status, err := r.Status(context.Background())
			ready := err == nil && status.Vouched && len(status.Groups) > 1
			for _, g := range status.GetGroups() {
				ready = ready && g.Leader != 0 && len(g.Replicas) == 3
			}
			if ready {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// BenchmarkClaims measures the throughput of claims of run records on three replicas that sync their
// files.
func BenchmarkClaims(b *testing.B) {
	replicas := loopbackReplicas(b)
	waitUntilReady(b, replicas)
	time.Sleep(leaderBalanceInterval + time.Second) // the leaders have moved to their preferred replicas
	var number, retries atomic.Uint64
	before, termsBefore := replicas[0].Metrics().Log, terms(replicas[0])
	b.SetParallelism(16)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			n := number.Add(1)
			request := &apiv1.RunRequest{Shard: uint32(n % defaultRunShards), Claim: &apiv1.RunClaim{
				Organisation: "o", Key: fmt.Sprint(n), Digest: make([]byte, 32), Node: "n", Incarnation: 1, Number: n,
			}}
			for !claimed(replicas[n%3], request) {
				retries.Add(1)
				time.Sleep(proposeRetryDelay)
			}
		}
	})
	b.StopTimer()
	after := replicas[0].Metrics().Log
	b.ReportMetric(float64(terms(replicas[0])-termsBefore), "terms")
	b.ReportMetric(float64(retries.Load()), "again")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(after.Syncs-before.Syncs)/float64(b.N), "syncs/claim")
}

// terms returns the sum of the terms of all groups. It grows with each change of a leader.
func terms(r *Replica) uint64 {
	status, err := r.Status(context.Background())
	if err != nil {
		return 0
	}
	sum := uint64(0)
	for _, g := range status.Groups {
		sum += g.Term
	}
	return sum
}

func claimed(r *Replica, request *apiv1.RunRequest) bool {
	response, err := r.UpdateRunRecord(context.Background(), request)
	return err == nil && response.Record.State == apiv1.RunState_RUN_STATE_CLAIMED
}

// BenchmarkOneClaim measures the latency of a claim without concurrent ones.
func BenchmarkOneClaim(b *testing.B) {
	replicas := loopbackReplicas(b)
	waitUntilReady(b, replicas)
	n := uint64(0)
	for b.Loop() {
		n++
		request := &apiv1.RunRequest{Shard: uint32(n % defaultRunShards), Claim: &apiv1.RunClaim{
			Organisation: "o", Key: fmt.Sprint(n), Digest: make([]byte, 32), Node: "n", Incarnation: 1, Number: n,
		}}
		_, err := replicas[n%3].UpdateRunRecord(context.Background(), request)
		require.NoError(b, err)
	}
}
