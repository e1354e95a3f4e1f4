package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/admission"
	"github.com/guavaford/guavaford/internal/blackboard"
	"github.com/guavaford/guavaford/internal/board"
	"github.com/guavaford/guavaford/internal/callctx"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/dispatch"
	"github.com/guavaford/guavaford/internal/gate"
	"github.com/guavaford/guavaford/internal/headers"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/telemetry"
	"github.com/guavaford/guavaford/internal/upstream"
)

// permissive allows every key and every subscription, and gives each target ten slots.
type permissive struct{}

func (permissive) CheckKeyNumber(uint64) *outcome.Refusal      { return nil }
func (permissive) Subscribe(string) bool                       { return true }
func (permissive) Admission(*registry.Target) admission.Config { return admission.Config{Slots: 10} }
func (permissive) Draining(*registry.Target) bool              { return false }

func targetNamed(name, service, address string) *registry.Target {
	return &registry.Target{Name: name, Service: service, Node: "n", Address: address, Slots: 10, State: apiv1.TargetState_TARGET_STATE_READY}
}

// rawTarget answers each request with the same bytes, and holds the connection open.
type rawTarget struct {
	address         string
	arrivals, conns atomic.Int32
}

func newRawTarget(t *testing.T, answer string) *rawTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &rawTarget{address: l.Addr().String()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go func() {
				defer conn.Close()
				for reader := bufio.NewReader(conn); ; {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					s.arrivals.Add(1)
					_, _ = io.WriteString(conn, strings.ReplaceAll(answer, "\n", "\r\n"))
				}
			}()
		}
	}()
	return s
}

// newEntryWithTarget returns an entry whose two services have two targets each at one address, with its metrics and the log of its gate.
func newEntryWithTarget(t *testing.T, transport http.RoundTripper, address string) (*entryUnderTest, *telemetry.Metrics, *bytes.Buffer) {
	t.Helper()
	e := newEntryUnderTest(t)
	lines := &bytes.Buffer{}
	log, err := telemetry.NewLogger(lines, "info")
	require.NoError(t, err)
	metrics, names := telemetry.NewMetrics(), headers.DefaultNames()
	g := gate.New(gate.Options{KeyChecker: permissive{}, Policies: permissive{}, Handles: callctx.NewHandles(), Clock: clock.System{}, Metrics: metrics,
		Log: log, LogLimiter: telemetry.NewLogLimiter(100), Transport: transport, HeaderNames: &names})
	view := &registry.View{Services: map[string][]*registry.Target{}}
	var all []*registry.Target
	for _, name := range []string{"one", "two"} {
		view.Services[name] = []*registry.Target{targetNamed(name+"-a", name, address), targetNamed(name+"-b", name, address)}
		all = append(all, view.Services[name]...)
	}
	g.SetTargets(all)
	b, err := board.New(blackboard.NewSection(view))
	require.NoError(t, err)
	d := dispatch.New(dispatch.Options{Identity: peer.Identity{Node: "n", Incarnation: 1}, Gate: g, Directory: permissive{}, Board: b,
		Clock: clock.System{}, Metrics: metrics, Log: telemetry.Discard(), LogLimiter: telemetry.NewLogLimiter(100)})
	e.dispatcher.answer = d.Do
	return e, metrics, lines
}

// TestInvalidStatusOfATargetIsABadGateway guards against a caller that gets an answer which its target did not give, a status that is none,
// or nothing until its time limit. Whether the request has run is not known then: it runs again only if that is harmless.
func TestInvalidStatusOfATargetIsABadGateway(t *testing.T) {
	second := "HTTP/1.1 200 OK\n" + headers.RequestID + ": r-1\nContent-Length: 5\n\nfalse"
	own := "HTTP/1.1 200 OK\n" + headers.RequestID + ": r-1\nContent-Length: 3\n\nown"
	field := headers.RequestID + ": r-1\n"
	transports := map[string]func() http.RoundTripper{
		"of the platform": func() http.RoundTripper {
			return &upstream.Transport{Dial: (&net.Dialer{}).DialContext, IDField: headers.RequestID}
		},
		"of net/http": func() http.RoundTripper { return &http.Transport{} },
	}
	for name, c := range map[string]struct {
		answer string
		valid  bool
		// tolerated answers are skipped by net/http, which waits for another one.
		tolerated bool
	}{
		"000 with a second answer": {answer: "HTTP/1.1 000 None\nContent-Length: 75\n\n" + second},
		"000":                      {answer: "HTTP/1.1 000 None\n\n"},
		"099 with a body":          {answer: "HTTP/1.1 099 None\n" + field + "Content-Length: 3\n\nyes"},
		"100 many times":           {answer: strings.Repeat("HTTP/1.1 100 Continue\n\n", 200), tolerated: true},
		"101":                      {answer: "HTTP/1.1 101 Switching Protocols\n" + field + "Connection: upgrade\nUpgrade: x\n\n"},
		"101 with a second answer": {answer: "HTTP/1.1 101 Switching Protocols\n" + field + "\n" + second},
		"102":                      {answer: "HTTP/1.1 102 Processing\n\n" + own, valid: true},
		"103":                      {answer: "HTTP/1.1 103 Early Hints\nLink: </x>\n\n" + own, valid: true},
		"103 with a second answer": {answer: "HTTP/1.1 103 Early Hints\nContent-Length: 75\n\n" + second, tolerated: true},
		"600":                      {answer: "HTTP/1.1 600 None\n" + field + "Content-Length: 0\n\n"},
		"600 with a second answer": {answer: "HTTP/1.1 600 None\n" + field + "Content-Length: 75\n\n" + second},
		"999":                      {answer: "HTTP/1.1 999 None\n" + field + "Content-Length: 3\n\nyes"},
		"two digits":               {answer: "HTTP/1.1 20 OK\n" + field + "Content-Length: 0\n\n"},
		"a sign":                   {answer: "HTTP/1.1 +20 OK\n" + field + "Content-Length: 0\n\n"},
		"four digits":              {answer: "HTTP/1.1 2000 OK\n" + field + "Content-Length: 0\n\n"},
		"text":                     {answer: "HTTP/1.1 yes OK\n" + field + "Content-Length: 0\n\n"},
		"empty":                    {answer: "HTTP/1.1 \n" + field + "Content-Length: 0\n\n"},
	} {
		for kind, transport := range transports {
			if c.tolerated && kind == "of net/http" {
				continue
			}
			for _, path := range []string{"/x/y", "/book/y"} {
				t.Run(name+" by the transport "+kind+path, func(t *testing.T) {
					target := newRawTarget(t, c.answer)
					e, metrics, lines := newEntryWithTarget(t, transport(), target.address)
					began := time.Now()
					response, body := e.get(path, withKey)
					require.Less(t, time.Since(began), 500*time.Millisecond)
					if c.valid {
						require.Equal(t, http.StatusOK, response.StatusCode)
						require.Equal(t, "own", body)
						return
					}
					require.Equal(t, http.StatusBadGateway, response.StatusCode, body)
					require.Contains(t, body, `"ran":"unknown"`)
					require.Empty(t, response.Header.Get("Retry-After"))
					runs := map[string]int32{"/x/y": 2, "/book/y": 1}[path]
					require.Equal(t, runs, target.arrivals.Load(), "it runs again only if that is harmless")
					if kind == "of the platform" {
						require.Equal(t, runs, target.conns.Load(), "a connection is not used again")
						require.Contains(t, body, "invalid answer")
						require.EqualValues(t, runs, metrics.InvalidAnswers.Load())
						require.Contains(t, lines.String(), `msg="invalid answer of the target" target=`)
					}
				})
			}
		}
	}
}
