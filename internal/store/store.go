// Package store implements the replicated state machine of the group that holds the configuration.
//
// # Concepts
//
// The store holds the resources, the key records, the owners of the rate shards, and the
// outcomes of recent changes. Its state changes only in Apply, which every replica calls with
// the same commands in the same order, so that all replicas hold the same state.
//
// The leader validates a change before it appends it to the log, and the command carries the
// problems that it found. Apply never validates: replicas that run different versions of the
// program could reach different results. Apply decides only what depends on the order of the log:
//
//   - a change id seen before returns the recorded outcome,
//   - an expected revision that is not the current one is a conflict, whose outcome has the current one,
//   - a valid change takes effect as a whole and creates the next revision.
//
// # Data flow
//
//	operator -> Validate (leader) -> log -> Apply (every replica) -> UpdateSince -> nodes
//
// Nodes catch up with the result of UpdateSince: the deltas after their revision or a snapshot,
// whichever is smaller.
package store

import (
	"sync"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/blackboard"
)

// Limits of the outcomes kept for resent changes and of the deltas kept for nodes that catch up.
const (
	maxOutcomes   = 16384
	maxDeltas     = 4096
	maxDeltaBytes = 8 << 20
)

// Checker validates a whole configuration and returns its problems.
type Checker func(resources []*apiv1.Resource) []string

// PublishedState is the small part of the state that other parts of a control replica watch: the revision, the shard
// owners and the numbers of shards.
type PublishedState struct {
	Revision   uint64
	Owners     []*apiv1.ShardOwner
	RateShards uint32
	RunShards  uint32
}

// Store is the state of the configuration group. It is safe for concurrent use.
type Store struct {
	check Checker
	head  *blackboard.Section[PublishedState]

	mu         sync.RWMutex
	revision   uint64
	resources  map[resourceID]*apiv1.Resource
	keys       []*apiv1.KeyRecord // keys[i] has number i+1
	deltas     deltaLog
	outcomes   outcomeLog
	owners     []*apiv1.ShardOwner
	rateShards uint32
	runShards  uint32
	snapshot   *apiv1.ConfigSnapshot // cached; nil after a change
	// document is the latest accepted document, or nil if none was accepted.
	document *apiv1.Document
	// accepted holds the versions and digests of recently accepted documents, oldest first.
	accepted    []*apiv1.AcceptedDocument
	configBytes int // encoded size of all resources and keys
}

// resourceID identifies a resource.
type resourceID struct {
	kind string
	name string
}

// New returns an empty store at revision 0. A nil check accepts every configuration.
func New(check Checker) *Store {
	if check == nil {
		check = func([]*apiv1.Resource) []string { return nil }
	}
	return &Store{
		check:     check,
		head:      blackboard.NewSection(&PublishedState{}),
		resources: map[resourceID]*apiv1.Resource{},
		outcomes:  newOutcomeLog(),
	}
}

// PublishedState returns the section in which each new state is published.
func (s *Store) PublishedState() *blackboard.Section[PublishedState] {
	return s.head
}

// Apply executes one marshalled StoreCommand and returns the marshalled StoreReply.
func (s *Store) Apply(_ uint64, data []byte) []byte {
	var command apiv1.StoreCommand
	if err := proto.Unmarshal(data, &command); err != nil {
		// Not expected: the leader marshalled the command, and the log's checksums protect it.
		panic("store: decoding a committed command: " + err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &apiv1.StoreReply{}
	switch {
	case command.Change != nil:
		reply = s.applyChange(command.Change)
	case command.Assignment != nil:
		s.applyAssignment(command.Assignment)
	case command.Setup != nil:
		s.applySetup(command.Setup)
	}
	s.publish()
	return mustMarshal(reply)
}

// Resource returns a resource, or nil if it does not exist, and the revision of the state that it was read from. The
// caller must not modify it.
func (s *Store) Resource(kind, name string) (resource *apiv1.Resource, revision uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.resources[resourceID{kind, name}], s.revision
}

// publish publishes the current state. The caller holds mu.
func (s *Store) publish() {
	s.head.Publish(&PublishedState{
		Revision:   s.revision,
		Owners:     append([]*apiv1.ShardOwner(nil), s.owners...),
		RateShards: s.rateShards,
		RunShards:  s.runShards,
	})
}

// applySetup sets the numbers of shards. Only the first setup takes effect.
func (s *Store) applySetup(setup *apiv1.ClusterSetup) {
	if s.rateShards != 0 {
		return
	}
	s.rateShards = setup.RateShards
	s.runShards = setup.RunShards
	for shard := range setup.RateShards {
		s.owners = append(s.owners, &apiv1.ShardOwner{Shard: shard})
	}
}

// applyAssignment assigns new owners to shards and increments their epochs. It skips owners whose
// epoch is not the current one of the shard, since they were chosen on outdated data.
func (s *Store) applyAssignment(assignment *apiv1.ShardAssignment) {
	for _, owner := range assignment.Owners {
		if int(owner.Shard) >= len(s.owners) {
			continue
		}
		if s.owners[owner.Shard].Epoch != owner.Epoch {
			continue
		}
		next := proto.CloneOf(owner)
		next.Epoch++
		s.owners[owner.Shard] = next
	}
}

// mustMarshal encodes a message deterministically. It panics on an error, which can't occur for the messages that
// this package builds or has decoded.
func mustMarshal(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic("store: marshalling a message: " + err.Error())
	}
	return data
}
