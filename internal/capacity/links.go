package capacity

import (
	"context"
	"runtime"
	"syscall"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/peer"
)

// ConnectionSlopes measures the costs of connections between processes. Both ends are in this process and connected
// over loopback.
func ConnectionSlopes() []Slope {
	connections := []int{10, 100, 300}
	return []Slope{
		{
			Role: "any", Cost: "memory of connections, heap and stacks of both ends", Unit: "bytes", SizeOf: "connections",
			Points: measureAt(connections, connectionMemory), PlannedSize: plannedFollowers,
		},
		{
			Role: "any", Cost: "processor time of one exchange, both ends, one after another", Unit: "µs", SizeOf: "connections",
			Points: measureAt(connections, exchangeCost), PlannedSize: plannedFollowers,
		},
	}
}

// links holds one server and its clients, with one connection each.
type links struct {
	server  *peer.Server
	address string
	pools   []*peer.Pool
}

// connect starts a server and opens n connections to it.
func connect(n int) *links {
	secret := []byte("a secret for the measurement only")
	l := &links{server: peer.NewServer(peer.Identity{Node: "control-1"}, peer.ServerOptions{})}
	peer.HandleUnary(l.server, apiv1.Method_METHOD_LEASE, func() *apiv1.LeaseRequest { return &apiv1.LeaseRequest{} },
		func(_ context.Context, _ peer.Identity, r *apiv1.LeaseRequest) (*apiv1.LeaseResponse, error) {
			return &apiv1.LeaseResponse{Sequence: r.GetSequence()}, nil
		})
	transport, err := peer.NewYamux(secret)
	if err != nil {
		panic(err)
	}
	listener, err := transport.Listen("127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	l.address = listener.Addr()
	go func() { _ = l.server.Serve(listener) }()
	for i := range n {
		l.pools = append(l.pools, peer.NewPool(peer.Identity{Node: nodeName(i)}, transport, peer.PoolOptions{}))
	}
	l.exchange()
	return l
}

// exchange sends one request over each connection, one after another, and waits for its response.
func (l *links) exchange() {
	for _, pool := range l.pools {
		var resp apiv1.LeaseResponse
		req := leaseRequest(1, 1)
		if err := peer.Unary(context.Background(), pool, l.address, apiv1.Method_METHOD_LEASE, req, &resp); err != nil {
			panic(err)
		}
	}
}

func (l *links) close() {
	for _, pool := range l.pools {
		pool.Close()
	}
	l.server.Close()
}

func connectionMemory(n int) float64 {
	before := heapAndStacks()
	l := connect(n)
	defer l.close()
	return heapAndStacks() - before
}

func heapAndStacks() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

func exchangeCost(n int) float64 {
	l := connect(n)
	defer l.close()
	rounds := max(1, 3000/n)
	before := processorTime()
	for range rounds {
		l.exchange()
	}
	spent := processorTime() - before
	return float64(spent) / float64(rounds*n) / float64(time.Microsecond)
}

// processorTime returns the processor time of this process so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
