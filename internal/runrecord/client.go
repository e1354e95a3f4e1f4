package runrecord

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// retryPause is the delay between two attempts to reach the shard.
const retryPause = 50 * time.Millisecond

// releaseTimeout bounds the release of a claim that got no response.
const releaseTimeout = 5 * time.Second

// MaxRecordedBody is the largest response body, in bytes, that is recorded.
const MaxRecordedBody = 64 << 10

// ShardClient sends requests to the shard that they name.
type ShardClient interface {
	UpdateRunRecord(ctx context.Context, r *apiv1.RunRequest) (*apiv1.RunResponse, error)
}

// Client claims records and records outcomes on behalf of a node.
type Client struct {
	service ShardClient
	shards  func() uint32
	// releaseCtx is the parent context of the releases in the background, which Close cancels;
	// releases counts those in progress.
	releaseCtx     context.Context
	cancelReleases context.CancelFunc
	releases       sync.WaitGroup
}

// NewClient returns a client. The function shards returns the current number of shards.
func NewClient(service ShardClient, shards func() uint32) *Client {
	releaseCtx, cancelReleases := context.WithCancel(context.Background())
	return &Client{service: service, shards: shards, releaseCtx: releaseCtx, cancelReleases: cancelReleases}
}

// Wait waits until no release is in progress.
func (c *Client) Wait() {
	c.releases.Wait()
}

// Close cancels the releases that are in progress and waits for them.
func (c *Client) Close() {
	c.cancelReleases()
	c.releases.Wait()
}

// ShardOf returns the shard, out of the given number, that holds a record.
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

// Claim claims a record for an attempt. It retries until ctx ends; claiming again for the same
// attempt is idempotent. Without a response the returned state is UNAVAILABLE: the caller must not
// dispatch the request, and the claim, which may have succeeded, is released in the background.
func (c *Client) Claim(ctx context.Context, claim *apiv1.RunClaim) (*apiv1.RunRecord, error) {
	req := &apiv1.RunRequest{Shard: ShardOf(claim.GetOrganisation(), claim.GetKey(), c.shards()), Claim: claim}
	record, err := c.retry(ctx, req)
	if err != nil || record.GetState() == apiv1.RunState_RUN_STATE_UNAVAILABLE {
		c.releases.Go(func() { c.release(claim) })
		return &apiv1.RunRecord{State: apiv1.RunState_RUN_STATE_UNAVAILABLE}, nil
	}
	return record, nil
}

// Finish records the outcome of a run. It retries until ctx ends.
func (c *Client) Finish(ctx context.Context, finish *apiv1.RunFinish) error {
	if len(finish.GetBody()) > MaxRecordedBody {
		finish.Body = nil
		finish.BodyOmitted = true
	}
	_, err := c.retry(ctx, &apiv1.RunRequest{
		Shard:  ShardOf(finish.GetOrganisation(), finish.GetKey(), c.shards()),
		Finish: finish,
	})
	return err
}

// DeclareLost records that the request of a claim may have run and that its answer is lost,
// because its node restarted or no longer knows the attempt. An answer that the node itself
// records later still replaces this.
func (c *Client) DeclareLost(ctx context.Context, claim *apiv1.RunClaim) error {
	return c.Finish(ctx, outcomeWithoutAnswer(claim, apiv1.Ran_RAN_UNKNOWN))
}

// release records that the request of a claim did not run, so that another attempt may claim it.
func (c *Client) release(claim *apiv1.RunClaim) {
	ctx, cancel := context.WithTimeout(c.releaseCtx, releaseTimeout)
	defer cancel()
	_ = c.Finish(ctx, outcomeWithoutAnswer(claim, apiv1.Ran_RAN_NO))
}

// outcomeWithoutAnswer returns an outcome for the attempt of a claim that has no recorded answer.
func outcomeWithoutAnswer(claim *apiv1.RunClaim, ran apiv1.Ran) *apiv1.RunFinish {
	return &apiv1.RunFinish{
		Organisation: claim.GetOrganisation(),
		Key:          claim.GetKey(),
		Node:         claim.GetNode(),
		Incarnation:  claim.GetIncarnation(),
		Number:       claim.GetNumber(),
		Ran:          ran,
	}
}

// retry sends a request until the shard responds or ctx ends.
func (c *Client) retry(ctx context.Context, req *apiv1.RunRequest) (*apiv1.RunRecord, error) {
	for {
		resp, err := c.service.UpdateRunRecord(ctx, req)
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
