// Package telemetry holds the logger and the metrics of a process.
//
// Log lines are written in logfmt. A LogLimiter limits the lines about single requests, and a NonBlockingWriter drops
// lines instead of blocking the process when their reader has stopped. Counters, gauges and latency histograms are
// collected in Metrics and exported through expvar.
package telemetry

import (
	"io"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
)

// Logger writes one line of key=value pairs for each event.
type Logger = *log.Logger

// NewLogger returns a logger that writes logfmt lines to w. The level is debug, info, warn or error.
func NewLogger(w io.Writer, level string) (Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrapf(err, "log level %q", level)
	}
	return log.NewWithOptions(w, log.Options{
		Level:           parsed,
		Formatter:       log.LogfmtFormatter,
		ReportTimestamp: true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
	}), nil
}

// Discard returns a logger that writes nothing.
func Discard() Logger {
	return log.NewWithOptions(io.Discard, log.Options{Level: log.FatalLevel})
}
