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

// startNode runs a single host on a loopback address of its own until the test ends.
func startNode(t *testing.T) *settings.Node {
	t.Helper()
	s := settings.Default()
	s.DataFolder = filepath.Join(t.TempDir(), "data")
	s.LogLevel = "error"
	ip := loopback()
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

// tokenFile returns the file of the operators' token that a node makes.
func tokenFile(s *settings.Node) string {
	return filepath.Join(s.DataFolder, "operator-token")
}

// hosts counts the loopback hosts of this process.
var hosts atomic.Uint32

// loopback returns a loopback IP number of its own for each host of each test process, so that
// no other listener or outgoing connection holds its ports.
func loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%250, pid%256, hosts.Add(1))
}

// host is a running node with its command line and targets.
type host struct {
	t    *testing.T
	s    *settings.Node
	hits map[string]*atomic.Int64
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

// addTarget starts a target of the service "work" that announces itself with a label.
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

// traffic is a set of callers that send without a pause.
type traffic struct {
	stop   chan struct{}
	wg     sync.WaitGroup
	mu     sync.Mutex
	served int
	faults []string
}

// startTraffic lets callers send, each over its own open connections.
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

// maxFaults bounds the faults that are kept.
const maxFaults = 5

// record notes a call that did not get its own whole answer.
func (r *traffic) record(status int, body, path string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.served++
	whole := err == nil && status == http.StatusOK && strings.HasSuffix(body, " "+path)
	if !whole && len(r.faults) < maxFaults {
		r.faults = append(r.faults, fmt.Sprint(status, " ", body, " ", err))
	}
}

// finish stops the callers and returns what went wrong.
func (r *traffic) finish() (served int, faults []string) {
	close(r.stop)
	r.wg.Wait()
	return r.served, r.faults
}

// onlyTo waits until requests reach all of the targets and no other.
func (h *host) onlyTo(names ...string) {
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

// TestOperatorsMoveTrafficWithoutLosingACall changes selectors, labels, a class and drains of a
// running node while callers send, and withdraws the key at the end.
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
	h.onlyTo("first")
	apply("two")
	h.onlyTo("second")
	h.cli("label", "route/work", "work=important")
	apply("two")
	h.cli("apply", "-f", f.file("a.yaml", strings.ReplaceAll(trafficConfiguration, "generation=GENERATION", "generation!=old")))
	h.onlyTo("first", "second")
	h.cli("label", "target/second", "generation=old")
	h.onlyTo("first")
	h.cli("label", "target/second", "generation=two")
	h.onlyTo("first", "second")
	h.cli("drain", "work/second")
	h.onlyTo("first")
	h.cli("drain", "work/second", "--undo")
	h.onlyTo("first", "second")
	h.cli("drain", "-l", "generation=one", "work")
	h.onlyTo("second")
	require.Regexp(t, `(?s)LEASE OF +TOKENS +WAITING\ncourt `, h.cli("status"))
	served, faults := run.finish()
	require.Empty(t, faults, "of %d calls", served)
	require.Greater(t, served, 100)

	h.cli("label", "organisation/court", "size=none")
	h.refusedWith(key, http.StatusTooManyRequests)
	h.cli("keys", "withdraw", "1")
	h.refusedWith(key, http.StatusUnauthorized)
}

// refusedWith waits until calls with the key are refused with the status, at most for the freshness limit.
func (h *host) refusedWith(key string, status int) {
	h.t.Helper()
	require.Eventually(h.t, func() bool {
		got, _, err := h.call(http.DefaultClient, key, "/jobs/0")
		return err == nil && got == status
	}, h.s.FreshnessLimit, 5*time.Millisecond)
}
