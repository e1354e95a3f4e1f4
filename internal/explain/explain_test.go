package explain

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// text returns a source that holds the given lines.
func text(name, lines string) Source {
	return Source{Name: name, Open: func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(lines)), nil }}
}

// line returns a log line with a time in seconds and the given fields.
func line(second int, rest string) string {
	return fmt.Sprintf("time=2026-01-01T00:00:%02d.000Z level=info %s\n", second, rest)
}

// TestLinesOfARequestInOrder guards against lines that are missing, in the wrong order, outside the time span, or of
// another request.
func TestLinesOfARequestInOrder(t *testing.T) {
	gate := text("gate", line(9, `msg="target load" load=1.2`)+line(11, `msg="attempt failed" request=r-1 code=queue-full`)+line(40, `msg="target load" load=0.9`))
	entry := text("entry", line(10, `msg=answered request=r-2`)+"no time here\n"+line(12, `msg=refused request=r-1 detail="request=r-2 \n"`))
	lines, err := FindRequest("r-1", []Source{entry, gate})
	require.NoError(t, err)
	var order []string
	for _, l := range lines {
		order = append(order, l.Source)
	}
	require.Equal(t, []string{"gate", "gate", "entry"}, order)
	require.False(t, lines[0].NamesRequest, "a context line from before the request")
	lines, err = FindRequest("r-9", []Source{entry, gate})
	require.NoError(t, err)
	require.Empty(t, lines)
}

// TestNoticesOfTargetsExplainARequest guards against a request that was refused since a target limits its rate or leaves, and whose
// explanation does not say so.
func TestNoticesOfTargetsExplainARequest(t *testing.T) {
	gate := text("gate", line(9, `msg="target limits its rate" target=t request=r-0 per_second=38.4 was=0`)+line(10, `msg="target says that it leaves" target=t request=r-0`))
	entry := text("entry", line(11, "msg=refused request=r-1 code=queue-full"))
	lines, err := FindRequest("r-1", []Source{entry, gate})
	require.NoError(t, err)
	require.Len(t, lines, 3)
}

// TestLongLinesAreCut guards against a line longer than the limit that hides itself or the lines after it.
func TestLongLinesAreCut(t *testing.T) {
	s := text("x", line(1, "msg=refused request=r-1 detail="+strings.Repeat("x", 3*maxLineBytes))+line(2, "msg=refused request=r-1"))
	lines, err := FindRequest("r-1", []Source{s})
	require.NoError(t, err)
	require.Len(t, lines, 2)
}
