package headers

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

const secret = "gf_7_c2VjcmV0"

// TestKeysAndReservedFieldsOfARequestAreNotForwarded: a target must not see the key of a caller, and a caller must not
// forge the system's own fields, present or future.
func TestKeysAndReservedFieldsOfARequestAreNotForwarded(t *testing.T) {
	sent := http.Header{
		"Authorization":       {"Bearer " + secret},
		"Proxy-Authorization": {"Bearer " + secret},
		"X-Api-Key":           {secret},
		"Cookie":              {"session=1", "key=" + secret},
		"Connection":          {"X-Hop, close"},
		"X-Hop":               {"1"},
		"Te":                  {"trailers"},
		Handle:                {"forged"},
		Organisation:          {"another"},
		RequestID:             {"forged"},
		"Guavaford-Future":    {"forged"},
		IdempotencyKey:        {"k"},
		"Accept":              {"text/plain", "text/html"},
	}
	forwarded := http.Header{}
	AddFields(forwarded, ForwardedRequestFields(sent, secret))
	require.Equal(t, http.Header{
		"Cookie":       {"session=1"},
		IdempotencyKey: {"k"},
		"Accept":       {"text/plain", "text/html"},
	}, forwarded)
}

// TestReservedFieldsOfAResponseAreNotForwarded: a target must not forge the system's own fields.
func TestReservedFieldsOfAResponseAreNotForwarded(t *testing.T) {
	sent := http.Header{
		Attempts:         {"9"},
		"Content-Length": {"5"},
		"Keep-Alive":     {"timeout=5"},
		"Set-Cookie":     {"a=1", "b=2"},
	}
	forwarded := http.Header{}
	AddFields(forwarded, new(Names).ForwardedResponseFields(sent))
	require.Equal(t, http.Header{"Set-Cookie": {"a=1", "b=2"}}, forwarded)
}
