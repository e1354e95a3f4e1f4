package faultsoak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/headers"
)

// Load and timeouts of callers.
const (
	bookingCallers  = 6
	lookupCallers   = 4
	overloadCallers = 3
	uploadCallers   = 2
	homeCallers     = 2
	// coldCallers send several times of what cold targets take.
	coldCallers   = 8
	uploadPause   = 100 * time.Millisecond
	bookPause     = 30 * time.Millisecond
	overloadPause = 25 * time.Millisecond
	// maxTries is the most often that a booking is sent, the first time included.
	maxTries = 4
	// routeTimeout is the timeout of all routes in configuration, callerTimeout how long a caller waits for a response.
	routeTimeout  = 2 * time.Second
	callerTimeout = 4 * time.Second
)

// callers send requests to all nodes over connections that they keep open.
type callers struct {
	fleet    *fleet
	recorder *Recorder
	// key is the key of organisation court, limitedKey that of organisation limited.
	key, limitedKey string
	// quiet is true during quiet time.
	quiet   atomic.Bool
	running sync.WaitGroup
}

// start starts all callers, which send requests until ctx ends.
func (c *callers) start(ctx context.Context) {
	for n := range bookingCallers {
		c.loop(ctx, bookPause, fmt.Sprintf("b%d", n), c.book)
	}
	for n := range uploadCallers {
		c.loop(ctx, uploadPause, fmt.Sprintf("u%d", n), c.upload)
	}
	for n := range homeCallers {
		c.loop(ctx, bookPause, fmt.Sprintf("h%d", n), func(client *http.Client, id string) { c.lookUp(client, "home", id, c.key) })
	}
	for n := range coldCallers {
		c.loop(ctx, overloadPause, fmt.Sprintf("c%d", n), func(client *http.Client, id string) { c.lookUp(client, "cold", id, c.key) })
	}
	for n := range lookupCallers {
		c.loop(ctx, bookPause, fmt.Sprintf("l%d", n), func(client *http.Client, id string) { c.lookUp(client, "look", id, c.key) })
	}
	for n := range overloadCallers {
		c.loop(ctx, overloadPause, fmt.Sprintf("p%d", n), func(client *http.Client, id string) { c.lookUp(client, "limited", id, c.limitedKey) })
	}
}

// loop starts a caller that makes one request after the other, each with a new id.
func (c *callers) loop(ctx context.Context, pause time.Duration, name string, request func(client *http.Client, id string)) {
	c.running.Go(func() {
		client := &http.Client{Transport: &http.Transport{}, Timeout: callerTimeout}
		defer client.CloseIdleConnections()
		for n := 0; clock.Sleep(ctx, pause); n++ {
			request(client, fmt.Sprintf("%s-%d", name, n))
		}
	})
}

// book sends a booking until a target has answered, but at most maxTries times.
func (c *callers) book(client *http.Client, id string) { c.try(client, "book", id, nil) }

// upload sends an upload like a booking.
func (c *callers) upload(client *http.Client, id string) { c.try(client, "upload", id, uploadBody(id)) }

func (c *callers) try(client *http.Client, path, id string, body []byte) {
	for range maxTries {
		quiet := c.quiet.Load()
		verdict, final, reason := c.send(client, http.MethodPost, path, id, c.key, body)
		if quiet && verdict != Served {
			c.recorder.RecordQuietReason(path + ": " + reason)
		}
		c.recorder.RecordTry(id, verdict, quiet)
		if final {
			return
		}
		time.Sleep(bookPause)
	}
}

// lookUp sends one request and doesn't retry it.
func (c *callers) lookUp(client *http.Client, path, id, key string) {
	c.send(client, http.MethodGet, path, id, key, nil)
}

// send sends a request once, through a random node. final is true if a target has answered; reason says why it was not served.
func (c *callers) send(client *http.Client, method, path, id, key string, body []byte) (verdict Verdict, final bool, reason string) {
	node := c.fleet.nodes[rand.IntN(len(c.fleet.nodes))]
	req, err := http.NewRequest(method, "http://"+node.callers.Address()+"/"+path+"/"+id, bytes.NewReader(body))
	if err != nil {
		panic("the request's address is valid: " + err.Error())
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(headers.IdempotencyKey, "key-"+id)
	resp, err := client.Do(req)
	if err != nil {
		return Unknown, false, err.Error()
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return Unknown, false, err.Error()
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		return refusalVerdict(answer), false, string(answer)
	}
	if resp.StatusCode != http.StatusOK {
		return Unknown, true, resp.Status + " " + string(answer)
	}
	if string(answer) != answerTo(id) {
		c.recorder.WrongAnswer(id, string(answer))
	}
	return Served, true, ""
}

// refusalVerdict returns the verdict for the body of a refusal.
func refusalVerdict(body []byte) Verdict {
	var refusal struct {
		Ran string `json:"ran"`
	}
	if err := json.Unmarshal(body, &refusal); err == nil && refusal.Ran == "no" {
		return NotRun
	}
	return Unknown
}
