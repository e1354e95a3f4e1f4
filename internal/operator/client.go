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

// Times of the client.
const (
	// attemptTimeout is above requestTimeout, so that a server that lives answers first.
	attemptTimeout = 5 * time.Second
	// firstAttemptTimeout bounds attempts of the first round; it doubles with each round. A
	// resend is safe, so that a silent server need not be waited for.
	firstAttemptTimeout = time.Second
	dialTimeout         = 2 * time.Second
	firstBackoff        = 100 * time.Millisecond
	maxBackoff          = 2 * time.Second
)

// maxAnswerBytes bounds an answer that the client reads.
const maxAnswerBytes = 256 << 20

// Client talks to the operators' addresses of one or more nodes. It goes to the next
// one when one does not answer, and resends changes with the same id.
type Client struct {
	servers []string
	token   string
	http    *http.Client
	// jitter returns a number in [0, 1) that spreads resends.
	jitter func() float64
	// next is the index of the server that answered last.
	next int
}

// NewClient returns a client. A server is an address (IP number and port) or a URL.
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

// baseURL returns the URL of a server without a trailing slash.
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

// Keys returns the keys of an organisation, or of all if it is empty.
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

// Status returns the state of the fleet and of the answering node.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	var status Status
	return &status, c.do(ctx, http.MethodGet, pathStatus, nil, &status)
}

// RemoveReplica takes a control replica out of the membership.
func (c *Client) RemoveReplica(ctx context.Context, id uint64) error {
	return c.do(ctx, http.MethodDelete, pathReplicas+strconv.FormatUint(id, 10), nil, &RemovedReplica{})
}

// Change submits a change until its outcome is known or the context ends. The error is
// a *Problem when a server answered, or a *NoAnswer.
func (c *Client) Change(ctx context.Context, change *Change) (*Accepted, error) {
	var accepted Accepted
	return &accepted, c.do(ctx, http.MethodPost, pathChanges, change, &accepted)
}

// NoAnswer is the error when no server gave a final answer.
type NoAnswer struct {
	// Applied is unknown if the request may have had an effect.
	Applied Applied
	// Last is the last failure of each server.
	Last []string
}

// Error lists the failure of each server.
func (e *NoAnswer) Error() string {
	return "no server gave a final answer:\n  " + strings.Join(e.Last, "\n  ")
}

// attempt is the result of asking one server.
type attempt struct {
	// final is true when asking another server can't give a better answer.
	final bool
	// sent is true when the request may have had an effect.
	sent bool
	err  error
}

// do asks one server after the other, with growing pauses, until one gives a final answer.
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
			if result.final && (result.err == nil || !maybeApplied || answersChange(result.err)) {
				return result.err
			}
			maybeApplied = maybeApplied || (result.sent && body != nil)
			last[c.next] = fmt.Sprintf("%s: %v", c.servers[c.next], result.err)
			c.next = (c.next + 1) % len(c.servers)
			if ctx.Err() != nil {
				return noAnswer(maybeApplied, last)
			}
		}
		if !c.pause(ctx, round) {
			return noAnswer(maybeApplied, last)
		}
	}
}

// noAnswer returns the error for the servers that were asked.
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

// answersChange returns true for an error that is the recorded outcome of the change.
// Others, such as a refused token, say nothing about an earlier attempt.
func answersChange(err error) bool {
	var problem *Problem
	if !errors.As(err, &problem) {
		return false
	}
	return problem.Code == CodeRevisionConflict || problem.Code == CodeChangeIDReused || problem.Code == CodeConfigurationInvalid
}

// pause waits before the next round. It returns false when the context ends first.
func (c *Client) pause(ctx context.Context, round int) bool {
	wait := min(firstBackoff<<min(round, 10), maxBackoff)
	return clock.Sleep(ctx, time.Duration((0.5+c.jitter()/2)*float64(wait)))
}

// ask sends the request to one server.
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
		var dial *net.OpError
		notSent := errors.As(err, &dial) && dial.Op == "dial"
		return attempt{sent: !notSent, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return attempt{sent: true, err: errors.Wrap(err, "read the answer")}
	}
	return readAnswer(response, data, into)
}

// readAnswer decides whether an answer is final.
func readAnswer(response *http.Response, data []byte, into any) attempt {
	if response.StatusCode == http.StatusOK {
		if err := json.Unmarshal(data, into); err != nil {
			return attempt{sent: true, err: errors.Wrap(err, "the answer is not valid")}
		}
		return attempt{final: true, sent: true}
	}
	problem := &Problem{}
	if err := json.Unmarshal(data, problem); err != nil || problem.Code == "" {
		return attempt{sent: true, err: errors.Errorf("status %s from something that is not a guavaford operators' address", response.Status)}
	}
	unsettled := problem.Code == CodeControlUnavailable || problem.Code == CodeChangeUnknown
	return attempt{final: !unsettled, sent: problem.Applied != AppliedNo, err: problem}
}
