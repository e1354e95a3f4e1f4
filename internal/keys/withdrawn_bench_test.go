package keys

import (
	"bytes"
	"compress/flate"
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// The benchmarks of docs/design/withdrawn-keys.md compare data structures for the withdrawn keys:
// a bit vector in chunks (the one in use), one flat bit vector, and a map. They also compare
// encodings of newly withdrawn keys: a list (ADD), a bit vector of the new ones (OR), and the
// whole bit vector (NEW).

// withdrawnShare is the fraction of keys that are withdrawn, as the "Let's Revoke" paper estimates it.
const withdrawnShare = 0.02

var keyCounts = []int{10_000, 10_000_000}

// withdrawnSet is a set of withdrawn keys. with returns a new set and does not change the old one.
type withdrawnSet interface {
	withdrawn(number uint64) bool
	with(number uint64) withdrawnSet
}

type chunkedSet struct{ table *Table }

func (s chunkedSet) withdrawn(n uint64) bool    { return s.table.Withdrawn(n) }
func (s chunkedSet) with(n uint64) withdrawnSet { return chunkedSet{s.table.With(nil, []uint64{n})} }

type flatSet []uint64

func (s flatSet) withdrawn(n uint64) bool {
	return n/wordBits < uint64(len(s)) && s[n/wordBits]&(1<<(n%wordBits)) != 0
}

func (s flatSet) with(n uint64) withdrawnSet {
	next := append(flatSet(nil), s...)
	next[n/wordBits] |= 1 << (n % wordBits)
	return next
}

type mapSet map[uint64]struct{}

func (s mapSet) withdrawn(n uint64) bool {
	_, found := s[n]
	return found
}

func (s mapSet) with(n uint64) withdrawnSet {
	next := maps.Clone(s)
	next[n] = struct{}{}
	return next
}

// sample returns random key numbers, as many as the share of count keys; numbers may repeat.
func sample(seed uint64, count int, share float64) []uint64 {
	rnd := rand.New(rand.NewPCG(seed, seed))
	numbers := make([]uint64, 0, int(float64(count)*share))
	for len(numbers) < int(float64(count)*share) {
		numbers = append(numbers, uint64(rnd.IntN(count))+1)
	}
	return numbers
}

// issueMany returns a table of count keys that all have the same hash.
func issueMany(count int) *Table {
	t := NewTable(nil)
	const batch = 100_000
	hash := make([]byte, 32)
	for first := 1; first <= count; first += batch {
		var records []*apiv1.KeyRecord
		for n := first; n < first+batch && n <= count; n++ {
			records = append(records, &apiv1.KeyRecord{Number: uint64(n), Organisation: fmt.Sprint("org-", n%8), Hash: hash})
		}
		t = t.With(records, nil)
	}
	return t
}

// heapBytes returns the bytes of heap in use after a garbage collection.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// eachSet runs a benchmark for each kind of set and each number of keys.
func eachSet(b *testing.B, run func(b *testing.B, set withdrawnSet, count int)) {
	for _, count := range keyCounts {
		numbers := sample(1, count, withdrawnShare)
		table := issueMany(count).With(nil, numbers)
		b.Run(fmt.Sprintf("chunks/%d", count), func(b *testing.B) { run(b, chunkedSet{table}, count) })
		flat := make(flatSet, count/wordBits+1)
		for _, n := range numbers {
			flat[n/wordBits] |= 1 << (n % wordBits)
		}
		b.Run(fmt.Sprintf("flat/%d", count), func(b *testing.B) { run(b, flat, count) })
		set := mapSet{}
		for _, n := range numbers {
			set[n] = struct{}{}
		}
		b.Run(fmt.Sprintf("map/%d", count), func(b *testing.B) { run(b, set, count) })
	}
}

func BenchmarkWithdrawnLookup(b *testing.B) {
	eachSet(b, func(b *testing.B, set withdrawnSet, count int) {
		rnd := rand.New(rand.NewPCG(3, 4))
		numbers := make([]uint64, 1<<16)
		for i := range numbers {
			numbers[i] = uint64(rnd.IntN(count)) + 1
		}
		found := 0
		for i := 0; b.Loop(); i++ {
			if set.withdrawn(numbers[i%len(numbers)]) {
				found++
			}
		}
		b.ReportMetric(float64(found)/float64(b.N), "hits/op")
	})
}

func BenchmarkWithdrawOne(b *testing.B) {
	eachSet(b, func(b *testing.B, set withdrawnSet, count int) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			_ = set.with(uint64(i*7919%count) + 1)
		}
	})
}

func BenchmarkWithdrawnMemory(b *testing.B) {
	for _, count := range keyCounts {
		numbers := sample(1, count, withdrawnShare)
		for name, build := range map[string]func() any{
			"table": func() any { return issueMany(count) },
			"chunks": func() any {
				bits := bitVector{}.edit()
				for _, n := range numbers {
					bits.set(n, true)
				}
				return bits.next
			},
			"flat": func() any { return make(flatSet, count/wordBits+1) },
			"map": func() any {
				set := mapSet{}
				for _, n := range numbers {
					set[n] = struct{}{}
				}
				return set
			},
		} {
			b.Run(fmt.Sprintf("%s/%d", name, count), func(b *testing.B) {
				for b.Loop() {
					before := heapBytes()
					held := build()
					b.ReportMetric(float64(heapBytes()-before)/float64(count), "B/key")
					runtime.KeepAlive(held)
				}
			})
		}
	}
}

// compressedBytes returns the length of data after compression.
func compressedBytes(data []byte) int {
	var out bytes.Buffer
	w, _ := flate.NewWriter(&out, flate.BestCompression)
	_, _ = w.Write(data)
	_ = w.Close()
	return out.Len()
}

// vector returns a bit vector of the numbers that is just long enough for the highest one.
func vector(numbers []uint64) []byte {
	var bits []byte
	for _, n := range numbers {
		for uint64(len(bits)) <= n/8 {
			bits = append(bits, make([]byte, n/8+1-uint64(len(bits)))...)
		}
		bits[n/8] |= 1 << (n % 8)
	}
	return bits
}

func BenchmarkWithdrawnUpdateBytes(b *testing.B) {
	for _, count := range keyCounts {
		old := sample(1, count, withdrawnShare)
		for _, share := range []float64{0, 0.001, 0.01, 0.1, 0.6} {
			added := []uint64{uint64(count / 2)}
			if share > 0 {
				added = sample(2, count, share)
			}
			b.Run(fmt.Sprintf("%d/%v", count, share), func(b *testing.B) {
				for b.Loop() {
					list, _ := proto.Marshal(&apiv1.ConfigDelta{Withdrawn: added})
					b.ReportMetric(float64(len(list)), "ADD-B")
					b.ReportMetric(float64(compressedBytes(vector(added))), "OR-B")
					b.ReportMetric(float64(compressedBytes(vector(append(old[:len(old):len(old)], added...)))), "NEW-B")
				}
			})
		}
	}
}

func BenchmarkVerify(b *testing.B) {
	for _, count := range []int{10_000, 1_000_000} {
		secret, rec, err := Issue("court")
		if err != nil {
			b.Fatal(err)
		}
		rec.Number = uint64(count)
		table := issueMany(count).With([]*apiv1.KeyRecord{rec}, nil)
		key := Format(rec.Number, secret)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, status := table.Verify(key); status != Valid {
					b.Fatal(status)
				}
			}
		})
	}
}
