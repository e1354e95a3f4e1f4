package runrecord

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// retryPause is the time between two tries to reach the shard.
const retryPause = 50 * time.Millisecond

// releaseTimeout bounds the release of a claim whose outcome was not learned.
const releaseTimeout = 5 * time.Second

// MaxRecordedBody is the longest answer, in bytes, that is recorded.
const MaxRecordedBody = 64 << 10

// Service executes requests on the shards.
type Service interface {
	Run(ctx context.Context, r *apiv1.RunRequest) (*apiv1.RunResponse, error)
}

// Client claims and finishes records from a node.
type Client struct {
	service Service
	shards  func() uint32
	// life ends with Close; background counts the releases that are under way.
	life       context.Context
	end        context.CancelFunc
	background sync.WaitGroup
}

// NewClient returns a client. shards tells the current number of shards.
func NewClient(service Service, shards func() uint32) *Client {
	life, end := context.WithCancel(context.Background())
	return &Client{service: service, shards: shards, life: life, end: end}
}

// Wait returns when no release is under way.
func (c *Client) Wait() {
	c.background.Wait()
}

// Close ends the releases that are under way.
func (c *Client) Close() {
	c.end()
	c.background.Wait()
}

// ShardOf returns the shard of a record among the given number of shards.
func ShardOf(organisation, key string, shards uint32) uint32 {
	if shards == 0 {
		return 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(organisation)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return uint32(d.Sum64() % uint64(shards))
}

// Claim asks for the right to run. It tries until ctx ends; a resend of the same attempt is
// idempotent. Without an answer the state is UNAVAILABLE, and a claim that may have been
// won is released in the background: the caller must not dispatch the attempt.
func (c *Client) Claim(ctx context.Context, claim *apiv1.RunClaim) (*apiv1.RunRecord, error) {
	req := &apiv1.RunRequest{Shard: ShardOf(claim.GetOrganisation(), claim.GetKey(), c.shards()), Claim: claim}
	record, err := c.try(ctx, req)
	if err != nil || record.GetState() == apiv1.RunState_RUN_STATE_UNAVAILABLE {
		c.background.Go(func() { c.release(claim) })
		return &apiv1.RunRecord{State: apiv1.RunState_RUN_STATE_UNAVAILABLE}, nil
	}
	return record, nil
}

// Finish records the outcome of a run. It tries until ctx ends.
func (c *Client) Finish(ctx context.Context, finish *apiv1.RunFinish) error {
	if len(finish.GetBody()) > MaxRecordedBody {
		finish.Body = nil
		finish.BodyOmitted = true
	}
	_, err := c.try(ctx, &apiv1.RunRequest{
		Shard:  ShardOf(finish.GetOrganisation(), finish.GetKey(), c.shards()),
		Finish: finish,
	})
	return err
}

// DeclareLost records that the attempt of a claim may have run and that its answer can't be
// had: its node restarted or no longer knows it. An answer that the node itself records
// later still replaces this.
func (c *Client) DeclareLost(ctx context.Context, claim *apiv1.RunClaim) error {
	return c.Finish(ctx, outcomeOf(claim, apiv1.Ran_RAN_UNKNOWN))
}

// release says that the attempt of a claim was not run.
func (c *Client) release(claim *apiv1.RunClaim) {
	ctx, cancel := context.WithTimeout(c.life, releaseTimeout)
	defer cancel()
	_ = c.Finish(ctx, outcomeOf(claim, apiv1.Ran_RAN_NO))
}

// outcomeOf returns an outcome without an answer for the attempt of a claim.
func outcomeOf(claim *apiv1.RunClaim, ran apiv1.Ran) *apiv1.RunFinish {
	return &apiv1.RunFinish{
		Organisation: claim.GetOrganisation(),
		Key:          claim.GetKey(),
		Node:         claim.GetNode(),
		Incarnation:  claim.GetIncarnation(),
		Number:       claim.GetNumber(),
		Ran:          ran,
	}
}

// try sends a request until it is answered or ctx ends.
func (c *Client) try(ctx context.Context, req *apiv1.RunRequest) (*apiv1.RunRecord, error) {
	for {
		resp, err := c.service.Run(ctx, req)
		if err == nil && resp.GetRecord().GetState() != apiv1.RunState_RUN_STATE_UNAVAILABLE {
			return resp.GetRecord(), nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(retryPause):
		}
	}
}
