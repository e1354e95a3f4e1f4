package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/node"
	"github.com/guavaford/guavaford/internal/settings"
)

// startNode runs a node with default settings on a loopback address of its own until the test ends.
func startNode(t *testing.T) *settings.Node {
	t.Helper()
	s := settings.Default()
	s.DataFolder = filepath.Join(t.TempDir(), "data")
	s.LogLevel = "error"
	ip := uniqueLoopbackIP()
	for _, address := range []*string{&s.CallersAddress, &s.TargetsAddress, &s.OperatorAddress, &s.PeerAddress} {
		*address = strings.Replace(*address, "127.0.0.1", ip, 1)
	}
	require.Empty(t, s.Check())
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- node.Run(ctx, s) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-stopped)
	})
	return s
}

// tokenFile returns the file in which a node stores the operators' token that it generates.
func tokenFile(s *settings.Node) string {
	return filepath.Join(s.DataFolder, "operator-token")
}

// loopbackCount is the number of loopback addresses that uniqueLoopbackIP has returned.
var loopbackCount atomic.Uint32

// uniqueLoopbackIP returns a loopback IP address that differs for each call and test process, so that
// no other listener or outgoing connection holds the ports of the node.
func uniqueLoopbackIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%250, pid%256, loopbackCount.Add(1))
}

// host is a running node with its targets, and the settings of commands that call it.
type host struct {
	t    *testing.T
	s    *settings.Node
	hits map[string]*atomic.Int64 // requests received by each target
}

// cli runs a command that must succeed, and returns its output.
func (h *host) cli(args ...string) string {
	h.t.Helper()
	h.t.Setenv("GUAVAFORD_SERVER", h.s.OperatorAddress)
	h.t.Setenv("GUAVAFORD_TOKEN_FILE", tokenFile(h.s))
	var out, errOut bytes.Buffer
	code := Main(context.Background(), append([]string{"guavaford"}, args...), strings.NewReader(""), &out, &errOut, nil)
	require.Equal(h.t, ExitOK, code, "%v: %s", args, errOut.String())
	return out.String()
}

// addTarget starts a target of the service "work" that announces itself with the label generation.
func (h *host) addTarget(name, generation string) {
	h.t.Helper()
	hits := &atomic.Int64{}
	h.hits[name] = hits
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hits.Add(1)
		time.Sleep(2 * time.Millisecond)
		_, _ = fmt.Fprint(w, name, " ", r.URL.Path)
	}))
	body, err := json.Marshal(map[string]any{"service": "work", "address": server.Listener.Addr().String(),
		"slots": 50, "labels": map[string]string{"generation": generation}})
	require.NoError(h.t, err)
	announce := func() bool {
		r, err := http.NewRequest(http.MethodPut, "http://"+h.s.TargetsAddress+"/targets/"+name, bytes.NewReader(body))
		if err != nil {
			return false
		}
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}
	require.Eventually(h.t, announce, 5*time.Second, 20*time.Millisecond)
	ticker := time.NewTicker(time.Second)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-ticker.C:
				announce()
			case <-done:
				return
			}
		}
	}()
	h.t.Cleanup(func() {
		ticker.Stop()
		close(done)
		server.Close()
	})
}

// call sends a request with a key and returns the status and the body.
func (h *host) call(client *http.Client, key, path string) (int, string, error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+h.s.CallersAddress+path, nil)
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// traffic is a set of callers that send requests one after another without a pause.
type traffic struct {
	stop     chan struct{}
	wg       sync.WaitGroup
	mu       sync.Mutex
	served   int
	failures []string
}

// startTraffic starts callers, each with its own keep-alive connections.
func (h *host) startTraffic(callers int, key string) *traffic {
	run := &traffic{stop: make(chan struct{})}
	for i := range callers {
		run.wg.Add(1)
		go func() {
			defer run.wg.Done()
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := 0; ; n++ {
				select {
				case <-run.stop:
					return
				default:
				}
				path := fmt.Sprintf("/jobs/%d-%d", i, n)
				status, body, err := h.call(client, key, path)
				run.record(status, body, path, err)
			}
		}()
	}
	return run
}

// maxFailures bounds the failures that traffic stores.
const maxFailures = 5

// record counts a call, and stores it as a failure if it did not get the complete answer to its own path.
func (r *traffic) record(status int, body, path string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.served++
	complete := err == nil && status == http.StatusOK && strings.HasSuffix(body, " "+path)
	if !complete && len(r.failures) < maxFailures {
		r.failures = append(r.failures, fmt.Sprint(status, " ", body, " ", err))
	}
}

// finish stops the callers and returns the number of calls and the stored failures.
func (r *traffic) finish() (served int, failures []string) {
	close(r.stop)
	r.wg.Wait()
	return r.served, r.failures
}

// waitForOnly waits until requests reach all of the named targets and no other.
func (h *host) waitForOnly(names ...string) {
	h.t.Helper()
	require.Eventually(h.t, func() bool {
		before := map[string]int64{}
		for other, hits := range h.hits {
			before[other] = hits.Load()
		}
		time.Sleep(100 * time.Millisecond)
		for other, hits := range h.hits {
			if moved := hits.Load() > before[other]; moved != slices.Contains(names, other) {
				return false
			}
		}
		return true
	}, 4*time.Second, time.Millisecond, "requests do not reach %v alone", names)
}

const trafficConfiguration = `
{kind: Organisation, name: court, labels: {size: large}}
---
{kind: Rate, name: large, spec: {selector: size=large, perSecond: 100000, burst: 100000, optional: true}}
---
{kind: Rate, name: none, spec: {selector: size=none, perSecond: 0.001, burst: 1, optional: true}}
---
{kind: Class, name: high, spec: {selector: work=important, priority: 1, optional: true}}
---
{kind: Class, name: low, spec: {selector: work!=important, priority: 9, optional: true}}
---
{kind: Route, name: work, spec: {service: work, pathPrefix: /jobs, targets: "generation=GENERATION"}}
---
{kind: Target, name: second, spec: {service: work, target: second, labels: {generation: two}}}
`

// TestOperatorsMoveTrafficWithoutLosingACall guards against calls that fail, or reach the wrong target, while an
// operator changes selectors, labels, a class and drains of a running node. At the end it checks that a lower
// rate and the withdrawal of the key take effect.
func TestOperatorsMoveTrafficWithoutLosingACall(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a node on real sockets")
	}
	h := &host{t: t, s: startNode(t), hits: map[string]*atomic.Int64{}}
	h.addTarget("first", "one")
	h.addTarget("second", "unset")
	f := &fleet{t: t, folder: t.TempDir()}
	apply := func(generation string) {
		h.cli("apply", "-f", f.file("a.yaml", strings.ReplaceAll(trafficConfiguration, "GENERATION", generation)))
	}
	apply("one")
	key := strings.TrimSpace(h.cli("keys", "issue", "court"))
	require.Eventually(t, func() bool {
		status, _, err := h.call(http.DefaultClient, key, "/jobs/0")
		return err == nil && status == http.StatusOK
	}, 5*time.Second, 20*time.Millisecond)

	run := h.startTraffic(8, key)
	h.waitForOnly("first")
	apply("two")
	h.waitForOnly("second")
	h.cli("label", "route/work", "work=important")
	apply("two")
	h.cli("apply", "-f", f.file("a.yaml", strings.ReplaceAll(trafficConfiguration, "generation=GENERATION", "generation!=old")))
	h.waitForOnly("first", "second")
	h.cli("label", "target/second", "generation=old")
	h.waitForOnly("first")
	h.cli("label", "target/second", "generation=two")
	h.waitForOnly("first", "second")
	h.cli("drain", "work/second")
	h.waitForOnly("first")
	h.cli("drain", "work/second", "--undo")
	h.waitForOnly("first", "second")
	h.cli("drain", "-l", "generation=one", "work")
	h.waitForOnly("second")
	require.Regexp(t, `(?s)LEASE OF +TOKENS +WAITING\ncourt `, h.cli("status"))
	served, failures := run.finish()
	require.Empty(t, failures, "of %d calls", served)
	require.Greater(t, served, 100)

	h.cli("label", "organisation/court", "size=none")
	h.waitForStatus(key, http.StatusTooManyRequests)
	h.cli("keys", "withdraw", "1")
	h.waitForStatus(key, http.StatusUnauthorized)
}

// waitForStatus waits until a call with the key is answered with the status, at most for the freshness limit.
func (h *host) waitForStatus(key string, status int) {
	h.t.Helper()
	require.Eventually(h.t, func() bool {
		got, _, err := h.call(http.DefaultClient, key, "/jobs/0")
		return err == nil && got == status
	}, h.s.FreshnessLimit, 5*time.Millisecond)
}
