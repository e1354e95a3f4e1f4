package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/headers"
	"github.com/guavaford/guavaford/internal/upstream"
)

// TestBrokenHeadOfATargetIsABadGateway guards against a caller that gets an answer in whose head the name of a field is none.
func TestBrokenHeadOfATargetIsABadGateway(t *testing.T) {
	head := "HTTP/1.1 200 OK\n" + headers.RequestID + ": r-1\n"
	body := "Content-Length: 3\n\nyes"
	transports := map[string]http.RoundTripper{
		"upstream": &upstream.Transport{Dial: (&net.Dialer{}).DialContext, IDField: headers.RequestID},
		"net/http": &http.Transport{DialContext: upstream.Dialer((&net.Dialer{}).DialContext)},
	}
	for name, answer := range map[string]string{
		"blank in a name":        head + "X Trouble: 1\n" + body,
		"blank before the colon": head + "X-Trouble : 1\n" + body,
		"control byte":           head + "X-Tr\x01uble: 1\n" + body,
		"length":                 head + "Content-Length : 3\n\nyes",
		"encoding":               head + "Transfer-Encoding : chunked\n\n3\nyes\n0\n\n",
		"folded line":            head + "X-Signature: 17\n X-Trouble: 1\n" + body,
		"interim response":       "HTTP/1.1 103 Early Hints\nX Trouble: 1\n\n" + head + body,
		"trailer":                head + "Transfer-Encoding: chunked\n\n3\nyes\n0\nX Trouble: 1\n\n",
	} {
		for kind, transport := range transports {
			if kind == "net/http" && name == "trailer" {
				// The transport of a node checks trailers; this one is as the library has it.
				continue
			}
			for _, path := range []string{"/x/y", "/book/y"} {
				t.Run(name+"/"+kind+path, func(t *testing.T) {
					target := newRawTarget(t, answer)
					e, metrics, lines := newEntryWithTarget(t, transport, target.address)
					began := time.Now()
					response, body := e.get(path, withKey)
					require.Less(t, time.Since(began), 500*time.Millisecond)
					require.Equal(t, http.StatusBadGateway, response.StatusCode, body)
					require.Empty(t, response.Header.Get("Retry-After"))
					runs := map[string]int32{"/x/y": 2, "/book/y": 1}[path]
					require.Equal(t, runs, target.arrivals.Load(), "it runs again only if that is harmless")
					require.Equal(t, runs, target.conns.Load(), "a connection is not used again")
					if kind == "upstream" {
						require.EqualValues(t, runs, metrics.InvalidAnswers.Load())
						require.Contains(t, lines.String(), `msg="invalid answer of the target" target=`)
					}
				})
			}
		}
	}
}
