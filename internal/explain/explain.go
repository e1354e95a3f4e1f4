// Package explain collects what the logs of several processes say about one request.
//
// The result has two kinds of lines. Request lines carry the id of the request. Context lines tell which state a
// process acted on around that time, whether or not it was right: loads of targets, configurations, starts and
// stops, lost contact with control replicas.
//
// The logs are read line by line and twice: first for the request lines, which give the time span, then for the
// context lines in that span. So memory is bounded by what is found, not by the size of the logs.
package explain

import (
	"bufio"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// ContextSpan is the time before the first and after the last request line from which context lines are included.
	ContextSpan = 2 * time.Second
	// maxLines bounds the request lines and, separately, the context lines.
	maxLines = 10_000
	// maxLineBytes bounds one line; a longer one is cut off.
	maxLineBytes = 64 << 10
)

// Line is one line of a log.
type Line struct {
	At     time.Time
	Source string
	Text   string
	// NamesRequest is true for a request line, false for a context line.
	NamesRequest bool
}

// Source is the log of one process.
type Source struct {
	Name string
	// Open returns the log from its start. It is called twice.
	Open func() (io.ReadCloser, error)
}

// contextMessages are the messages of context lines, as other packages log them.
var contextMessages = []string{
	"target load", "configuration in force", "heartbeat failed", "node started", "planned stop", "stopped", "target drains", "target left",
	"target not renewed", "target known", "target gone", "target ejected", "settings reloaded", "document", "leader known", "leader lost",
	"silent voter removed", "membership changes", "target limits its rate", "target says that it leaves",
	"target crashed", "request quarantined", "request quarantined by another node", "request released", "quarantine synced", "disk full, replica waits for room", "disk full, start waits for room",
}

// FindRequest returns the request lines of a request and the context lines around them, ordered by time. It returns
// none if no log names the request.
func FindRequest(id string, sources []Source) ([]Line, error) {
	var found []Line
	err := scan(sources, func(l Line) {
		if value, ok := field(l.Text, "request"); ok && value == id && len(found) < maxLines {
			l.NamesRequest = true
			found = append(found, l)
		}
	})
	if err != nil || len(found) == 0 {
		return nil, err
	}
	sortLines(found)
	from, to := found[0].At.Add(-ContextSpan), found[len(found)-1].At.Add(ContextSpan)
	contextLines := 0
	err = scan(sources, func(l Line) {
		message, _ := field(l.Text, "msg")
		if l.At.Before(from) || l.At.After(to) || contextLines >= maxLines || !slices.Contains(contextMessages, message) {
			return
		}
		contextLines++
		found = append(found, l)
	})
	sortLines(found)
	return found, err
}

// sortLines sorts lines by time and keeps the order of those with equal times.
func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}

// scan calls visit with every line that has a time, log by log.
func scan(sources []Source, visit func(Line)) error {
	for _, s := range sources {
		if err := scanOne(s, visit); err != nil {
			return errors.Wrap(err, s.Name)
		}
	}
	return nil
}

// scanOne calls visit with every line of one log that has a time.
func scanOne(s Source, visit func(Line)) error {
	r, err := s.Open()
	if err != nil {
		return err
	}
	defer r.Close()
	reader := bufio.NewReaderSize(r, maxLineBytes)
	for {
		text, err := reader.ReadSlice('\n')
		if line := strings.TrimRight(string(text), "\r\n"); line != "" {
			if value, ok := field(line, "time"); ok {
				if at, parseErr := time.Parse(time.RFC3339Nano, value); parseErr == nil {
					visit(Line{At: at, Source: s.Name, Text: line})
				}
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return err
		}
	}
}

// field returns the value of a key in a line of key=value pairs.
func field(line, key string) (string, bool) {
	for from := 0; ; {
		i := strings.Index(line[from:], key+"=")
		if i < 0 {
			return "", false
		}
		i += from
		if i > 0 && line[i-1] != ' ' {
			from = i + 1
			continue
		}
		value := line[i+len(key)+1:]
		if strings.HasPrefix(value, `"`) {
			value, _, _ = strings.Cut(value[1:], `"`)
			return value, true
		}
		value, _, _ = strings.Cut(value, " ")
		return value, true
	}
}
