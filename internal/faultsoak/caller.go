package faultsoak

import (
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
	bookPause       = 30 * time.Millisecond
	overloadPause   = 25 * time.Millisecond
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
func (c *callers) book(client *http.Client, id string) {
	for range maxTries {
		quiet := c.quiet.Load()
		verdict, final := c.send(client, http.MethodPost, "book", id, c.key)
		c.recorder.RecordTry(id, verdict, quiet)
		if final {
			return
		}
		time.Sleep(bookPause)
	}
}

// lookUp sends one request and doesn't retry it.
func (c *callers) lookUp(client *http.Client, path, id, key string) {
	c.send(client, http.MethodGet, path, id, key)
}

// send sends a request once, through a random node. final is true if a target has answered.
func (c *callers) send(client *http.Client, method, path, id, key string) (verdict Verdict, final bool) {
	node := c.fleet.nodes[rand.IntN(len(c.fleet.nodes))]
	req, err := http.NewRequest(method, "http://"+node.callers.Address()+"/"+path+"/"+id, nil)
	if err != nil {
		panic("the request's address is valid: " + err.Error())
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(headers.IdempotencyKey, "key-"+id)
	resp, err := client.Do(req)
	if err != nil {
		return Unknown, false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Unknown, false
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		return refusalVerdict(body), false
	}
	if resp.StatusCode != http.StatusOK {
		return Unknown, true
	}
	if string(body) != answerTo(id) {
		c.recorder.WrongAnswer(id, string(body))
	}
	return Served, true
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
