package edge

import (
	"io"
	"log"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/hatchplank/hatchplank/internal/logging"
)

// maxBufferedLines is the number of lines buffered while the output blocks. Further lines
// replace the oldest, and the replaced ones are counted.
const maxBufferedLines = 2000

// NewLogger returns a logger that writes JSON lines to output and never blocks. Closing the
// returned closer flushes it.
func NewLogger(output io.Writer, level, node string) (zerolog.Logger, io.Closer, error) {
	var logger zerolog.Logger
	writer := diode.NewWriter(output, maxBufferedLines, 0, func(missed int) {
		logger.Warn().Int("lines", missed).Msg("log lines left out")
	})
	logger, err := logging.NewLogger(writer, level, node)
	return logger, writer, err
}

// httpErrorLog returns the logger for the errors that net/http reports, which concern single
// connections.
func httpErrorLog(logger zerolog.Logger) *log.Logger {
	return log.New(logger.Level(zerolog.DebugLevel), "", 0)
}
