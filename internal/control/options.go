package control

import (
	"math/rand/v2"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/rate"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/runrecord"
	"github.com/guavaford/guavaford/internal/store"
	"github.com/guavaford/guavaford/internal/telemetry"
	"github.com/guavaford/guavaford/internal/vfs"
)

// Options configures a replica.
type Options struct {
	DataFolder string
	// FS is the file system of the data folder; nil is the operating system's.
	FS       vfs.FS
	Identity peer.Identity
	// Address is the peer address under which other replicas reach this one.
	Address    string
	DataCentre string
	// InitialReplicas are the peer addresses of the replicas that bootstrap the cluster together.
	// If it is empty or holds only Address, the replica bootstraps a cluster of one unless there
	// are Seeds.
	InitialReplicas []string
	// Seeds are addresses of replicas of a running cluster to join.
	Seeds []string
	// Bootstrap creates the cluster even if not all initial replicas answer. If a replica of an
	// existing cluster answers, this one joins that cluster instead.
	Bootstrap bool
	// Voters is the number of replicas that vote. Further ones are standbys: learners that replace
	// a voter that is silent or stopping. 0 lets every replica vote.
	Voters int
	// MinVoters is the number of voters required before the first change is accepted.
	MinVoters int
	Pool      *peer.Pool
	Server    *peer.Server
	// Registry is the registry of targets, which replicas exchange with each other; nil creates one.
	Registry *registry.Relay
	// Check validates a complete configuration; nil uses config.Compiler.Check.
	Check store.Checker
	// RateShards and RunShards are the numbers of rate shards and run-record shards. They are fixed
	// when the cluster is created.
	RateShards uint32
	RunShards  uint32
	Rate       rate.Config
	RunRecords runrecord.Config
	Clock      clock.Clock
	Log        telemetry.Logger
	// Seed makes timeouts and identities repeatable in tests; 0 picks a random one.
	Seed uint64
}

const (
	defaultRateShards  = 32
	defaultRunShards   = 7
	tickInterval       = 20 * time.Millisecond
	leaderTaskInterval = 200 * time.Millisecond
	eventBuffer        = 4096
	// defaultRunShardBytes bounds the size of a run-record shard, and with it the largest snapshot.
	defaultRunShardBytes = 64 << 20
	// MaxReplicas is the largest number of replicas in a cluster.
	MaxReplicas = 7
)

func withDefaults(o Options) Options {
	if o.FS == nil {
		o.FS = vfs.OS{}
	}
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Log == nil {
		o.Log = telemetry.Discard()
	}
	if o.Check == nil {
		compiler := &config.Compiler{}
		o.Check = func(resources []*apiv1.Resource) []string { return compiler.Check(resources).Strings() }
	}
	if o.RateShards == 0 {
		o.RateShards = defaultRateShards
	}
	if o.RunShards == 0 {
		o.RunShards = defaultRunShards
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	if o.Registry == nil {
		o.Registry = registry.NewRelay(registry.RelayOptions{Node: o.Identity.Node, Incarnation: o.Identity.Incarnation})
	}
	o.Rate.OwnerLease = ownershipLease
	if o.RunRecords.MaxBytes == 0 {
		o.RunRecords.MaxBytes = defaultRunShardBytes
	}
	return o
}
