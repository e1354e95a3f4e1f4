package registry

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// fleetSizes are the numbers of nodes to measure with. Each node has one target, and each service has
// targetsPerService targets.
var fleetSizes = []int{100, 1000, 6700}

const targetsPerService = 9

func filledRelay(b *testing.B, nodes int) (*Relay, []*host) {
	r := newReplica("a")
	hosts := make([]*host, nodes)
	for i := range hosts {
		hosts[i] = newHost(fmt.Sprintf("host-%04d", i), uint64(epoch.UnixMilli())<<20)
		hosts[i].announce(b, epoch, "target-1", fmt.Sprintf("service-%03d", i/targetsPerService))
		hosts[i].heartbeat(epoch, r)
	}
	r.Expire(epoch.Add(DefaultWarmUp))
	return r, hosts
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkHeartbeat measures an unchanged heartbeat of a node that subscribes to ten services:
// the processing at the replica, the message sizes, and the memory of the relay per node.
func BenchmarkHeartbeat(b *testing.B) {
	for _, nodes := range fleetSizes {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			before := heapBytes()
			r, hosts := filledRelay(b, nodes)
			d := NewDirectory()
			for i := range 10 {
				d.Subscribe(fmt.Sprintf("service-%03d", i))
			}
			pull(r, d)
			hosts[0].wanted = false
			req := hosts[0].request()
			hosts = nil
			held := heapBytes() - before
			d.FillRequest(req)
			resp := &apiv1.SyncResponse{}
			b.ReportAllocs()
			for b.Loop() {
				req.Sequence++
				r.HandleHeartbeat(epoch.Add(time.Second), req)
				r.FillResponse(req, resp)
			}
			b.ReportMetric(float64(proto.Size(req)+proto.Size(resp)), "bytes/heartbeat")
			b.ReportMetric(float64(held)/float64(nodes), "heap-bytes/node")
			runtime.KeepAlive(r)
		})
	}
}

// BenchmarkExpire measures the periodic check of all nodes.
func BenchmarkExpire(b *testing.B) {
	for _, nodes := range fleetSizes {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			r, _ := filledRelay(b, nodes)
			for b.Loop() {
				r.Expire(epoch.Add(time.Second))
			}
		})
	}
}

// BenchmarkLivenessExchange measures the message that a replica sends to another once per
// second, if a seventh of all nodes sends its heartbeats to that replica.
func BenchmarkLivenessExchange(b *testing.B) {
	for _, nodes := range fleetSizes {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			r, _ := filledRelay(b, nodes/7)
			other := newReplica("b")
			exchange(epoch, r, other)
			now := epoch
			var size int
			for b.Loop() {
				now = now.Add(time.Millisecond)
				r.peer("b").livenessSentAt = time.Time{}
				m := r.BuildMessage(now, "b")
				size = proto.Size(m)
				r.HandleReply(now, other.Merge(now, m))
			}
			b.ReportMetric(float64(size), "bytes/exchange")
		})
	}
}
