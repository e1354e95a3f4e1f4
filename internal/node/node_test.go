package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/headers"
	"github.com/guavaford/guavaford/internal/keys"
	"github.com/guavaford/guavaford/internal/settings"
	"github.com/guavaford/guavaford/internal/telemetry"
)

const documents = `
kind: Organisation
name: court
labels: {size: large}
---
kind: Rate
name: large
spec: {selector: size=large, perSecond: 1000, burst: 500}
---
kind: Class
name: standard
spec: {selector: class=standard, priority: 5}
---
kind: Route
name: alpha
labels: {class: standard}
spec: {pathPrefix: /alpha, service: alpha, timeout: 5s, maxBody: 128KiB}
---
kind: Route
name: beta
labels: {class: standard}
spec: {pathPrefix: /beta, service: beta, internal: true}
---
kind: Route
name: gamma
labels: {class: standard}
spec: {pathPrefix: /gamma, service: gamma, internal: true}
`

// startLimit bounds the time until a node serves requests.
const startLimit = 20 * time.Second

// freeAddress returns a free address on an IP number.
func freeAddress(t *testing.T, ip string) string {
	t.Helper()
	listener, err := net.Listen("tcp", ip+":0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// startNode runs a node on an IP number of its own.
func startNode(t *testing.T, ip, folder string, control []string, log io.Writer) *Process {
	t.Helper()
	s := settings.Default()
	s.CallersAddress, s.TargetsAddress = freeAddress(t, ip), freeAddress(t, ip)
	s.OperatorAddress, s.PeerAddress = freeAddress(t, ip), freeAddress(t, ip)
	s.DataFolder = t.TempDir()
	if folder != "" {
		s.FleetSecretFile = folder + "/" + fleetSecretName
		s.NoControl = true
		s.Control = control
	}
	require.Empty(t, s.Check())
	logger, err := telemetry.NewLogger(log, "debug")
	require.NoError(t, err)
	p, err := New(s, Dependencies{Log: logger})
	require.NoError(t, err)
	require.NoError(t, p.Start())
	t.Cleanup(p.Close)
	return p
}

// recorder records every request that targets receive.
type recorder struct {
	mu   sync.Mutex
	dump bytes.Buffer
}

func (r *recorder) record(req *http.Request) {
	dump, err := httputil.DumpRequest(req, true)
	if err != nil {
		panic(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dump.Write(dump)
}

func (r *recorder) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dump.String()
}

// startTarget runs and announces a target. It answers with the name of its service, followed by the answer of a call
// to the service next, if that is set.
func startTarget(t *testing.T, p *Process, service, next string, r *recorder) {
	t.Helper()
	targets := "http://" + p.env.settings.TargetsAddress
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.record(req)
		body := ""
		if next != "" {
			sub, _ := http.NewRequestWithContext(req.Context(), http.MethodGet, targets+"/call/"+next+"/"+next+"/x", nil)
			sub.Header.Set(headers.Handle, req.Header.Get(headers.Handle))
			resp, err := http.DefaultClient.Do(sub)
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadGateway)
				return
			}
			defer resp.Body.Close()
			data, _ := io.ReadAll(resp.Body)
			body = "(" + string(data) + ")"
		}
		w.Header().Set("Guavaford-Handle", "forged by the target")
		_, _ = io.WriteString(w, service+body)
	}))
	t.Cleanup(server.Close)
	announce := func() int {
		data := fmt.Sprintf(`{"service":%q,"address":%q,"slots":10}`, service, server.Listener.Addr())
		req, _ := http.NewRequest(http.MethodPut, targets+"/targets/"+service+"-1", strings.NewReader(data))
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		defer resp.Body.Close()
		return resp.StatusCode
	}
	require.Equal(t, http.StatusOK, announce())
	ctx, cancel := context.WithCancel(t.Context())
	var announcing sync.WaitGroup
	announcing.Go(func() {
		for clock.Sleep(ctx, time.Second) {
			announce()
		}
	})
	// Cleanups run in reverse order: the node closes after this one, so no announcement may still be running.
	t.Cleanup(func() { cancel(); announcing.Wait() })
}

// propose makes a change, repeated until it is accepted, and returns its outcome.
func propose(t *testing.T, p *Process, c *apiv1.Change) *apiv1.ChangeOutcome {
	t.Helper()
	var outcome *apiv1.ChangeOutcome
	require.Eventually(t, func() bool {
		resp, err := p.Control().Propose(t.Context(), &apiv1.ProposeRequest{Change: c})
		outcome = resp.GetOutcome()
		return err == nil && outcome.GetResult() == apiv1.ChangeResult_CHANGE_RESULT_ACCEPTED
	}, startLimit, 50*time.Millisecond)
	return outcome
}

// TestChainCrossesTwoNodes guards against sub-calls that fail between nodes and against API keys that leak. It runs a
// chain of calls alpha -> beta -> gamma, whose targets are on two nodes in turn, over real connections, and searches
// for the key in everything that targets receive and in the logs.
func TestChainCrossesTwoNodes(t *testing.T) {
	var logs lockedBuffer
	one := startNode(t, "127.0.0.1", "", nil, &logs)
	two := startNode(t, "127.0.0.2", one.env.settings.DataFolder, []string{one.env.settings.PeerAddress}, &logs)
	resources, problems := config.Parse("test.yaml", []byte(documents))
	require.Empty(t, problems)
	propose(t, one, &apiv1.Change{Id: "documents", AnyRevision: true, Upserts: resources})
	secret, record, err := keys.Issue("court")
	require.NoError(t, err)
	issued := propose(t, one, &apiv1.Change{Id: "key", AnyRevision: true, IssueKeys: []*apiv1.KeyRecord{record}})
	key := keys.Format(issued.GetKeyNumbers()[0], secret)
	r := &recorder{}
	startTarget(t, one, "alpha", "beta", r)
	startTarget(t, two, "beta", "gamma", r)
	startTarget(t, one, "gamma", "", r)

	for _, p := range []*Process{one, two} {
		url := "http://" + p.env.settings.CallersAddress + "/alpha/1?q=" + "plain"
		require.Eventually(t, func() bool {
			status, body := call(t, http.DefaultClient, http.MethodGet, url, key, nil, "")
			return status == http.StatusOK && body == "alpha(beta(gamma))"
		}, startLimit, 50*time.Millisecond)
		checkUnusualRequests(t, url, key)
	}
	require.NotContains(t, r.String(), secret, "a target received the key")
	require.NotContains(t, logs.String(), secret, "a log line holds the key")
	require.NotContains(t, r.String(), "forged", "a header field reserved for the system was accepted from outside")
	require.NotContains(t, r.String(), "X-Hop", "a hop-by-hop header field was forwarded")
	require.NotContains(t, r.String(), "Authorization")
}

// checkUnusualRequests sends requests with forged, faulty or large content, and one over HTTP/2.
func checkUnusualRequests(t *testing.T, url, key string) {
	t.Helper()
	status, _ := call(t, http.DefaultClient, http.MethodGet, url, key, http.Header{
		"Connection":       {"X-Hop"},
		"X-Hop":            {"1"},
		"X-Copy-Of-Key":    {key},
		"Guavaford-Handle": {"forged"},
	}, "")
	require.Equal(t, http.StatusOK, status)
	status, body := call(t, http.DefaultClient, http.MethodPost, url, key, nil, strings.Repeat("x", 200<<10))
	require.Equal(t, http.StatusRequestEntityTooLarge, status)
	require.Contains(t, body, `"ran":"no"`)
	status, _ = call(t, http.DefaultClient, http.MethodGet, url, key, http.Header{headers.TimeoutMs: {"soon"}}, "")
	require.Equal(t, http.StatusBadRequest, status)
	status, _ = call(t, http.DefaultClient, http.MethodGet, url, "gf_1_x", nil, "")
	require.Equal(t, http.StatusUnauthorized, status)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	two := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	defer two.CloseIdleConnections()
	status, body = call(t, two, http.MethodPost, url, key, nil, "over HTTP/2")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "alpha(beta(gamma))", body)
}

// call sends one request as a caller and returns the status and body of the answer.
func call(t *testing.T, client *http.Client, method, url, key string, h http.Header, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	for name, values := range h {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	require.Empty(t, resp.Header.Get(headers.Handle))
	return resp.StatusCode, string(data)
}

// lockedBuffer collects the logs of several nodes.
type lockedBuffer struct {
	mu  sync.Mutex
	all bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all.String()
}
