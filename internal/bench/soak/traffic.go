package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavaford/guavaford/internal/bench"
	"github.com/guavaford/guavaford/internal/config"
)

const (
	// slots is the number of slots that each target announces.
	slots = 64
	// serviceTime is how long a target takes for a request.
	serviceTime = 3 * time.Millisecond
	// changeInterval is the time between two changes of the configuration.
	changeInterval = 5 * time.Second
	// maxInFlight bounds the calls in flight.
	maxInFlight = 256
	// callTimeout is how long a caller waits for one call.
	callTimeout = 5 * time.Second
	// bodyBytes is the size of a request body on routes that take one.
	bodyBytes = 512
	// keyedInterval is the interval, in calls, at which a request with a body carries an Idempotency-Key.
	keyedInterval = 10
)

// traffic makes calls of all organisations on all routes that callers may use, and configuration changes.
type traffic struct {
	fleet  *bench.Fleet
	client *http.Client
	routes []*config.Route
	// keys holds the API key of each organisation.
	keys map[string]string
	rnd  *rand.Rand

	answered, failed, changed atomic.Int64
	// nonIdempotent counts the requests that must not run twice, keyed those with an Idempotency-Key.
	nonIdempotent, keyed atomic.Int64
	mu                   sync.Mutex
	// reasons counts failed calls and changes by their error.
	reasons map[string]int
}

func newTraffic(ctx context.Context, fleet *bench.Fleet, snapshot *config.Snapshot) (*traffic, error) {
	t := &traffic{
		fleet:   fleet,
		client:  bench.NewClient(maxInFlight),
		keys:    make(map[string]string),
		rnd:     rand.New(rand.NewPCG(1, 1)),
		reasons: make(map[string]int),
	}
	services := make(map[string]struct{})
	for _, route := range snapshot.Routes {
		services[route.Service] = struct{}{}
		if !route.Internal {
			t.routes = append(t.routes, route)
		}
	}
	for i, service := range slices.Sorted(maps.Keys(services)) {
		for j := range targetsPerService {
			name := fmt.Sprintf("%s-%d", service, j)
			if _, err := fleet.AddTarget(ctx, (i+j)%nodes, name, service, slots, http.HandlerFunc(serve)); err != nil {
				return nil, err
			}
		}
	}
	for _, organisation := range slices.Sorted(maps.Keys(snapshot.Organisations)) {
		key, err := fleet.IssueKey(ctx, organisation)
		if err != nil {
			return nil, err
		}
		t.keys[organisation] = key
	}
	return t, nil
}

func serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(serviceTime)
	bench.Echo(w, r)
}

// makeCalls starts calls at a given rate until ctx ends, then waits for those in flight.
func (t *traffic) makeCalls(ctx context.Context, rate float64) {
	organisations := slices.Sorted(maps.Keys(t.keys))
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	defer t.client.CloseIdleConnections()
	inFlight := make(chan struct{}, maxInFlight)
	for number := 0; ctx.Err() == nil; number++ {
		<-ticker.C
		route := t.routes[t.rnd.IntN(len(t.routes))]
		key := t.keys[organisations[t.rnd.IntN(len(organisations))]]
		node := t.rnd.IntN(nodes)
		inFlight <- struct{}{}
		running.Go(func() {
			defer func() { <-inFlight }()
			t.count(t.call(route, key, node, number))
		})
	}
}

func (t *traffic) count(err error) {
	if err == nil {
		t.answered.Add(1)
		return
	}
	t.failed.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reasons[err.Error()]++
}

func (t *traffic) call(route *config.Route, key string, node, number int) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	method := http.MethodGet
	if len(route.Methods) > 0 {
		method = route.Methods[0]
	}
	var body []byte
	if method == http.MethodPost || method == http.MethodPut {
		body = make([]byte, bodyBytes)
	}
	req, err := http.NewRequestWithContext(ctx, method, t.fleet.CallersURL(node)+route.PathPrefix, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if route.Host != "" {
		req.Host = route.Host
	}
	if !route.Open {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if !route.Idempotent(method) {
		t.nonIdempotent.Add(1)
	}
	if body != nil && number%keyedInterval == 0 {
		t.keyed.Add(1)
		req.Header.Set("Idempotency-Key", fmt.Sprintf("soak-%d", number))
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return fmt.Errorf("%s %s: no answer", method, route.Name)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("%s %s: cut answer", method, route.Name)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s %s: %s", method, route.Name, refusalCode(answer, resp.Status))
	}
	return nil
}

// refusalCode returns the code of a problem document, or status if the answer is not a problem document.
func refusalCode(answer []byte, status string) string {
	var problem struct {
		Code string `json:"code"`
	}
	if err := json.Unmarshal(answer, &problem); err != nil || problem.Code == "" {
		return status
	}
	return problem.Code
}

// makeChanges changes the labels of an organisation of its own at changeInterval until ctx ends.
func (t *traffic) makeChanges(ctx context.Context) {
	ticker := time.NewTicker(changeInterval)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		document := fmt.Sprintf("kind: Organisation\nname: soak\nlabels: {round: \"%d\", size: small}\n", number)
		err := t.fleet.Apply(ctx, fmt.Sprintf("soak-%d.yaml", number), []byte(document))
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			t.count(fmt.Errorf("change: %w", err))
			continue
		}
		t.changed.Add(1)
	}
}

// report prints how often calls and changes failed, by reason.
func (t *traffic) report() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, reason := range slices.Sorted(maps.Keys(t.reasons)) {
		fmt.Printf("%d times %s\n", t.reasons[reason], reason)
	}
}
