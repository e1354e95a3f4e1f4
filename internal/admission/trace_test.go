package admission

import (
	"bufio"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// replay feeds the events of a trace file to a state machine. Each line states the decisions that the event must cause.
//
// Lines: "<ms> slots <n>", "<ms> arrive <name> org=<o> class=<p> depth=<d> deadline=<ms> -> <outcome>",
// "<ms> finish <name> -> <name>=<outcome> ...", "<ms> cancel <name>", "<ms> expire <name> -> <outcome>".
type replay struct {
	t       *testing.T
	core    *StateMachine
	waiters map[string]*Waiter
	started map[string]time.Time
	names   map[*Waiter]string
}

var traceEpoch = time.Unix(1000, 0)

// traceTime returns the time of a number of milliseconds in a trace.
func traceTime(t *testing.T, ms string) time.Time {
	n, err := strconv.ParseFloat(ms, 64)
	require.NoError(t, err)
	return traceEpoch.Add(time.Duration(n * float64(time.Millisecond)))
}

// ready returns the latest decisions on queued requests as "name=outcome".
func (r *replay) ready(now time.Time) string {
	var out []string
	for _, d := range r.core.TakeDecisions() {
		name := r.names[d.Waiter]
		out = append(out, name+"="+r.outcome(now, name, d.Decision))
	}
	return strings.Join(out, " ")
}

// outcome returns a decision as text, and records when a request was started.
func (r *replay) outcome(now time.Time, name string, d Decision) string {
	switch d.Verdict {
	case Started:
		r.started[name] = now
		return "started"
	case Queued:
		return "queued"
	default:
		return string(d.Refusal.Code)
	}
}

// arrive replays an arrival. It returns the decision on it, then those on queued requests that it caused.
func (r *replay) arrive(now time.Time, name string, fields []string) string {
	w := &Waiter{}
	for _, field := range fields {
		key, value, _ := strings.Cut(field, "=")
		n, _ := strconv.Atoi(value)
		switch key {
		case "org":
			w.Organisation = value
		case "class":
			w.Priority = n
		case "depth":
			w.Depth = n
		case "deadline":
			w.Deadline = traceTime(r.t, value)
		default:
			r.t.Fatalf("unknown field %q", field)
		}
	}
	r.waiters[name], r.names[w] = w, name
	own := r.outcome(now, name, r.core.Arrive(now, w))
	return strings.TrimSpace(own + " " + r.ready(now))
}

// step replays one line and returns the decisions it caused.
func (r *replay) step(fields []string) string {
	now := traceTime(r.t, fields[0])
	switch fields[1] {
	case "slots":
		n, err := strconv.Atoi(fields[2])
		require.NoError(r.t, err)
		r.core = NewStateMachine(Config{Service: "s", Slots: n})
	case "drain":
		r.core.SetDraining(true)
	case "arrive":
		return r.arrive(now, fields[2], fields[3:])
	case "finish":
		r.core.Finish(now, r.started[fields[2]], Result{Kind: Success})
	case "cancel":
		require.True(r.t, r.core.Cancel(r.waiters[fields[2]]))
	case "expire":
		r.core.Expire(now, r.waiters[fields[2]])
	default:
		r.t.Fatalf("unknown event %q", fields[1])
	}
	return r.ready(now)
}

// TestRecordedTraces guards against changed decisions of the state machine: each file in testdata states them event by
// event.
func TestRecordedTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			f, err := os.Open(file)
			require.NoError(t, err)
			defer f.Close()
			r := &replay{t: t, waiters: map[string]*Waiter{}, started: map[string]time.Time{}, names: map[*Waiter]string{}}
			lines := bufio.NewScanner(f)
			for lines.Scan() {
				event, want, _ := strings.Cut(lines.Text(), "->")
				if fields := strings.Fields(event); len(fields) > 0 && fields[0] != "#" {
					require.Equal(t, strings.TrimSpace(want), r.step(fields), event)
				}
			}
		})
	}
}
