package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/guavaford/guavaford/internal/clock"
)

// Timeouts of the client.
const (
	// attemptTimeout is longer than requestTimeout, so that a live server answers before it ends.
	attemptTimeout = 5 * time.Second
	// firstAttemptTimeout bounds attempts of the first round over all servers; it doubles with each
	// round. It can be short, to skip a silent server quickly, because a resend is safe.
	firstAttemptTimeout = time.Second
	dialTimeout         = 2 * time.Second
	firstBackoff        = 100 * time.Millisecond
	maxBackoff          = 2 * time.Second
)

// maxAnswerBytes bounds the response body that the client reads.
const maxAnswerBytes = 256 << 20

// Client sends requests to the operators' addresses of one or more nodes. When one does not answer,
// it tries the next one, and resends a change with the same id. It is not safe for concurrent use.
type Client struct {
	servers []string
	token   string
	http    *http.Client
	// jitter returns a random number in [0, 1) that spreads resends over time.
	jitter func() float64
	// next is the index of the server to ask next; after an answer it stays at the server that gave it.
	next int
}

// NewClient returns a client. A server is an address (IP address and port) or a URL.
func NewClient(servers []string, token string) (*Client, error) {
	c := &Client{token: token, jitter: rand.Float64}
	for _, server := range servers {
		base, err := baseURL(server)
		if err != nil {
			return nil, err
		}
		c.servers = append(c.servers, base)
	}
	if len(c.servers) == 0 {
		return nil, errors.New("no server is given")
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	c.http = &http.Client{
		Transport: &http.Transport{DialContext: dialer.DialContext},
		Timeout:   attemptTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	return c, nil
}

// baseURL returns the base URL of a server, without a trailing slash.
func baseURL(server string) (string, error) {
	if !strings.Contains(server, "://") {
		server = "http://" + server
	}
	parsed, err := url.Parse(server)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return "", errors.Errorf("server %q: allowed are an IP number and a port, such as 127.0.0.1:8082, or a URL", server)
	}
	return strings.TrimSuffix(server, "/"), nil
}

// Keys returns the keys of an organisation, or all keys if organisation is empty.
func (c *Client) Keys(ctx context.Context, organisation string) (*KeyList, error) {
	path := pathKeys
	if organisation != "" {
		path += "?" + url.Values{paramOrganisation: {organisation}}.Encode()
	}
	var list KeyList
	return &list, c.do(ctx, http.MethodGet, path, nil, &list)
}

// Configuration returns all documents.
func (c *Client) Configuration(ctx context.Context) (*Configuration, error) {
	var configuration Configuration
	return &configuration, c.do(ctx, http.MethodGet, pathConfiguration, nil, &configuration)
}

// Status returns the status of the fleet and of the answering node.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	var status Status
	return &status, c.do(ctx, http.MethodGet, pathStatus, nil, &status)
}

// RemoveReplica removes a control replica from the membership for good.
func (c *Client) RemoveReplica(ctx context.Context, id uint64) error {
	return c.do(ctx, http.MethodDelete, pathReplicas+strconv.FormatUint(id, 10), nil, &RemovedReplica{})
}

// Change submits a change and resends it until its outcome is known or the context ends. The error
// is a *Problem when a server gave a final answer, else a *NoAnswer.
func (c *Client) Change(ctx context.Context, change *Change) (*AcceptedChange, error) {
	var accepted AcceptedChange
	return &accepted, c.do(ctx, http.MethodPost, pathChanges, change, &accepted)
}

// NoAnswer is the error that is returned when no server gave a final answer.
type NoAnswer struct {
	// Applied is AppliedUnknown if the change may have taken effect, else AppliedNo.
	Applied Applied
	// Last is the last error of each server that was asked.
	Last []string
}

// Error lists the last error of each server that was asked.
func (e *NoAnswer) Error() string {
	return "no server gave a final answer:\n  " + strings.Join(e.Last, "\n  ")
}

// attempt is the result of asking one server.
type attempt struct {
	// final is true when asking another server could not change the result.
	final bool
	// maybeApplied is true when the request may have taken effect.
	maybeApplied bool
	err          error
}

// do asks one server after the other, with increasing delays, until one gives a final answer.
func (c *Client) do(ctx context.Context, method, path string, body, into any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode the request")
	}
	if body == nil {
		encoded = nil
	}
	maybeApplied := false
	last := make([]string, len(c.servers))
	for round := 0; ; round++ {
		for range c.servers {
			result := c.ask(ctx, round, method, path, encoded, into)
			if result.final && (result.err == nil || !maybeApplied || isOutcomeOfChange(result.err)) {
				return result.err
			}
			maybeApplied = maybeApplied || (result.maybeApplied && body != nil)
			last[c.next] = fmt.Sprintf("%s: %v", c.servers[c.next], result.err)
			c.next = (c.next + 1) % len(c.servers)
			if ctx.Err() != nil {
				return noAnswer(maybeApplied, last)
			}
		}
		if !c.backoff(ctx, round) {
			return noAnswer(maybeApplied, last)
		}
	}
}

// noAnswer returns the error for the last errors of the servers; those not asked have an empty one.
func noAnswer(maybeApplied bool, last []string) *NoAnswer {
	e := &NoAnswer{Applied: AppliedNo}
	if maybeApplied {
		e.Applied = AppliedUnknown
	}
	for _, line := range last {
		if line != "" {
			e.Last = append(e.Last, line)
		}
	}
	return e
}

// isOutcomeOfChange reports whether an error is the recorded outcome of the change.
// Others, such as a refused token, say nothing about an earlier attempt.
func isOutcomeOfChange(err error) bool {
	var problem *Problem
	if !errors.As(err, &problem) {
		return false
	}
	return problem.Code == CodeRevisionConflict || problem.Code == CodeChangeIDReused || problem.Code == CodeConfigurationInvalid
}

// backoff waits before the next round. It returns false when the context ends first.
func (c *Client) backoff(ctx context.Context, round int) bool {
	wait := min(firstBackoff<<min(round, 10), maxBackoff)
	return clock.Sleep(ctx, time.Duration((0.5+c.jitter()/2)*float64(wait)))
}

// ask sends the request to one server and decodes its answer.
func (c *Client) ask(ctx context.Context, round int, method, path string, body []byte, into any) attempt {
	ctx, cancel := context.WithTimeout(ctx, min(firstAttemptTimeout<<min(round, 10), attemptTimeout))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.servers[c.next]+path, bytes.NewReader(body))
	if err != nil {
		return attempt{final: true, err: err}
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		var opError *net.OpError
		notSent := errors.As(err, &opError) && opError.Op == "dial"
		return attempt{maybeApplied: !notSent, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return attempt{maybeApplied: true, err: errors.Wrap(err, "read the answer")}
	}
	return readAnswer(response, data, into)
}

// readAnswer decodes an answer and decides whether it is final.
func readAnswer(response *http.Response, data []byte, into any) attempt {
	if response.StatusCode == http.StatusOK {
		if err := json.Unmarshal(data, into); err != nil {
			return attempt{maybeApplied: true, err: errors.Wrap(err, "the answer is not valid")}
		}
		return attempt{final: true, maybeApplied: true}
	}
	problem := &Problem{}
	if err := json.Unmarshal(data, problem); err != nil || problem.Code == "" {
		return attempt{maybeApplied: true, err: errors.Errorf("status %s, but the answer is not from a guavaford operators' address", response.Status)}
	}
	temporary := problem.Code == CodeControlUnavailable || problem.Code == CodeChangeOutcomeUnknown
	return attempt{final: !temporary, maybeApplied: problem.Applied != AppliedNo, err: problem}
}
