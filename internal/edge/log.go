package edge

import (
	"errors"
	"io"
	"log"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/hatchplank/hatchplank/internal/logging"
)

// maxBufferedLines is the number of lines buffered while the output blocks. Further lines
// replace the oldest, and the replaced ones are counted.
const maxBufferedLines = 2000

// flushTimeout is the time limit for writing the buffered lines when the process exits.
const flushTimeout = time.Second

// errLogBlocked means that lines were lost since the output took none within flushTimeout.
var errLogBlocked = errors.New("the log output is blocked")

// NewLogger returns a logger that writes JSON lines to output and never blocks. Closing the
// returned closer flushes it, for flushTimeout at most.
func NewLogger(output io.Writer, level, node string) (zerolog.Logger, io.Closer, error) {
	var logger zerolog.Logger
	writer := diode.NewWriter(output, maxBufferedLines, 0, func(missed int) {
		logger.Warn().Int("lines", missed).Msg("log lines left out")
	})
	logger, err := logging.NewLogger(writer, level, node)
	return logger, boundedCloser{writer}, err
}

// httpErrorLog returns the logger for the errors that net/http reports, which concern single
// connections.
func httpErrorLog(logger zerolog.Logger) *log.Logger {
	return log.New(logger.Level(zerolog.DebugLevel), "", 0)
}

// boundedCloser limits the time that Close takes.
type boundedCloser struct{ io.Closer }

// Close implements io.Closer.
func (c boundedCloser) Close() error {
	closed := make(chan error, 1)
	go func() { closed <- c.Closer.Close() }()
	select {
	case err := <-closed:
		return err
	case <-time.After(flushTimeout):
		return errLogBlocked
	}
}
