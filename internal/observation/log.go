package observation

import (
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/logging"
)

// suspicionLinesPerSecond bounds the log lines about suspicions. When a machine with all its servers
// fails, each of them is suspected at about the same time.
const suspicionLinesPerSecond = 5

// LogSuspicions returns a function for Table.OnSuspicion that writes a log line when a suspicion
// begins or ends.
func LogSuspicions(logger zerolog.Logger) func(Suspicion) {
	limiter := logging.NewLimiter(suspicionLinesPerSecond)
	return func(suspicion Suspicion) {
		if suspicion.Begun {
			if event := limiter.Event(&logger, zerolog.InfoLevel, "begun"); event != nil {
				event.Str("server", suspicion.Server.ID).Int64("born", suspicion.Server.Born).Str("told_by", suspicion.ToldBy).Msg("server suspected to be unreachable")
			}
			return
		}
		if event := limiter.Event(&logger, zerolog.InfoLevel, "ended"); event != nil {
			event.Str("server", suspicion.Server.ID).Int64("born", suspicion.Server.Born).Str("told_by", suspicion.ToldBy).
				Str("reason", string(suspicion.Reason)).Dur("lasted_ms", suspicion.Lasted).Msg("server no longer suspected")
		}
	}
}
