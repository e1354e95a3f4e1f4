package gate

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/headers"
	"github.com/guavaford/guavaford/internal/telemetry"
)

// noticeNames are the names of the fields by which the targets of these tests speak of themselves.
var noticeNames = headers.Names{RateLimit: "Rate-Limit", Leaving: "Leaving", NotRun: "Not-Run"}

// noticing returns a fixture whose target adds the given fields to its responses, and its log.
func noticing(t *testing.T, fields func(h http.Header)) (*fixture, *bytes.Buffer) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fields(w.Header()) }))
	t.Cleanup(target.Close)
	f := newFixture(t, strings.TrimPrefix(target.URL, "http://"), 10)
	f.gate.opts.HeaderNames = &noticeNames
	lines := &bytes.Buffer{}
	var err error
	f.gate.opts.Log, err = telemetry.NewLogger(lines, "info")
	require.NoError(t, err)
	return f, lines
}

// TestNoticesOfATargetAreLogged guards against a rate limit, or a target about to leave, that the log of its node does not show.
func TestNoticesOfATargetAreLogged(t *testing.T) {
	value := ""
	f, lines := noticing(t, func(h http.Header) {
		if value == "leaving" {
			h.Set("Leaving", "1")
		} else if value != "" {
			h.Set("Rate-Limit", value)
		}
	})
	for _, c := range []struct{ value, line string }{
		{"38.4", `msg="target limits its rate" target=t1 service=s request= per_second=38.4 was=0`},
		{"0", `per_second=0.5 was=38.4`},
		{"many", `msg="notice of the target ignored" target=t1 service=s request= err="rate limit: strconv.ParseFloat`},
		{"-1", `err="rate limit: \"-1\" is not a number`},
		{"NaN", `err="rate limit: \"NaN\" is not a number`},
		{"", `per_second=0 was=0.5`},
		{"leaving", `msg="target says that it leaves" target=t1`},
	} {
		value = c.value
		lines.Reset()
		read(t, f.gate.Do(t.Context(), header(true), nil))
		require.Contains(t, lines.String(), c.line, "value %q", c.value)
		lines.Reset()
		if c.value != "many" && c.value != "-1" && c.value != "NaN" {
			read(t, f.gate.Do(t.Context(), header(true), nil))
			require.Empty(t, lines.String(), "value %q is logged once", c.value)
		}
	}
}
