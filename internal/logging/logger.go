// Package logging sets up JSON logging and limits the rate of log lines.
package logging

import (
	"io"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// timeFormat has a fixed width and milliseconds, so that lines can be sorted by
// time.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that writes JSON lines of the given level ("debug",
// "info", "warn" or "error") and above; each line carries the node's name. It
// returns an error for an unknown level.
func NewLogger(writer io.Writer, level, node string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || parsed == zerolog.NoLevel {
		return zerolog.Nop(), eris.Errorf("log level %q is not one of debug, info, warn, error", level)
	}
	zerolog.TimeFieldFormat = timeFormat
	return zerolog.New(writer).Level(parsed).With().Timestamp().Str("node", node).Logger(), nil
}

// ConsoleWriter returns a writer that formats JSON lines as text for a terminal.
func ConsoleWriter(writer io.Writer) io.Writer {
	return zerolog.ConsoleWriter{Out: writer, TimeFormat: timeFormat}
}
