package serve

import (
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/exchange"
	"github.com/hatchplank/hatchplank/internal/logging"
	"github.com/hatchplank/hatchplank/internal/outside/httpapi"
)

// maxAnomaliesPerSecond limits the log lines about responses, for each kind of anomaly.
const maxAnomaliesPerSecond = 100

// clientOptions are the options of the clients of servers and services. What these send in place of one
// response for each request is logged and counted.
func (p *Process) clientOptions() httpapi.Options {
	limiter := logging.NewLimiter(maxAnomaliesPerSecond)
	return httpapi.Options{OnAnomaly: func(anomaly exchange.Anomaly) {
		p.metrics.Anomalies.WithLabelValues(string(anomaly.Kind)).Inc()
		if event := limiter.Event(&p.logger, zerolog.WarnLevel, string(anomaly.Kind)); event != nil {
			event.Str("kind", string(anomaly.Kind)).Str("address", anomaly.Address).Uint64("connection", anomaly.Connection).
				Int("exchange", anomaly.Exchange).Int("status", anomaly.Status).AnErr("error", anomaly.Cause).Msg("response anomaly")
		}
	}}
}
