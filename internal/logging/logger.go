// Package logging sets up JSON logs.
package logging

import (
	"io"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// timeFormat has fixed width and milliseconds, so that lines sort by time.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that writes JSON lines from the given level up
// ("debug", "info", "warn", "error"); each line names the node.
func NewLogger(writer io.Writer, level, node string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || parsed == zerolog.NoLevel {
		return zerolog.Nop(), eris.Errorf("log level %q is not one of debug, info, warn, error", level)
	}
	zerolog.TimeFieldFormat = timeFormat
	return zerolog.New(writer).Level(parsed).With().Timestamp().Str("node", node).Logger(), nil
}

// ConsoleWriter turns JSON lines into text for a person at a terminal.
func ConsoleWriter(writer io.Writer) io.Writer {
	return zerolog.ConsoleWriter{Out: writer, TimeFormat: timeFormat}
}
