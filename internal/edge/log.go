package edge

import (
	"io"
	"log"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/hatchplank/hatchplank/internal/logging"
)

// logLines are kept at most for an output that is not read; further ones push
// the oldest out and are counted.
const logLines = 2000

// NewLogger returns a logger of JSON lines that never blocks.
func NewLogger(output io.Writer, level, node string) (zerolog.Logger, io.Closer, error) {
	var logger zerolog.Logger
	writer := diode.NewWriter(output, logLines, 0, func(missed int) {
		logger.Warn().Int("lines", missed).Msg("log lines left out")
	})
	logger, err := logging.NewLogger(writer, level, node)
	return logger, writer, err
}

// quietLog takes the messages of net/http, which are about single connections.
func quietLog(logger zerolog.Logger) *log.Logger {
	return log.New(logger.Level(zerolog.DebugLevel), "", 0)
}
