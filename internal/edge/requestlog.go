package edge

import (
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/exchange"
	"github.com/hatchplank/hatchplank/internal/forward"
	"github.com/hatchplank/hatchplank/internal/logging"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/retrybudget"
)

// maxLinesPerSecond limits the log lines about requests, for each kind of line.
const maxLinesPerSecond = 100

// RequestLog logs each finished request, each long-running request, each failed attempt and each
// decision of the retry budget, within a rate limit. It also counts finished requests, failed
// attempts and these decisions in the metrics.
type RequestLog struct {
	logger  zerolog.Logger
	limiter *logging.Limiter
	metrics *Metrics
}

// NewRequestLog returns a request log.
func NewRequestLog(logger zerolog.Logger, metrics *Metrics) *RequestLog {
	return &RequestLog{logger: logger, limiter: logging.NewLimiter(maxLinesPerSecond), metrics: metrics}
}

// AttemptFailed logs and counts a failed attempt.
func (l *RequestLog) AttemptFailed(failed forward.Observation) {
	reason, fault := string(failed.Failure.Reason), streamFault(failed.Failure)
	l.metrics.count(metricAttempts, "outcome", reason)
	if fault != "" {
		l.metrics.count(metricStreamFaults, "fault", fault)
	}
	event := l.limiter.Event(&l.logger, zerolog.InfoLevel, "attempt/"+reason+"/"+fault)
	if event == nil {
		return
	}
	event = addIdentity(event.Str("request", failed.Request.ID), failed.Request).Str("server", failed.Server).Int("attempt", failed.Number).
		Str("reason", reason).Str("ran", failed.Failure.Ran.String()).Bool("again", failed.WillRetry)
	if failed.Failure.Load.Reported {
		event = event.Int("server_running", failed.Failure.Load.Running).Int("server_waiting", failed.Failure.Load.Waiting)
	}
	addText(event, "stream_fault", fault).AnErr("error", failed.Failure.Cause).Msg("attempt failed")
}

// streamFault returns the kind of fault that broke a stream; empty for other failures.
func streamFault(failure *forward.AttemptError) string {
	var broken *forward.StreamError
	if errors.As(failure, &broken) {
		return string(broken.Fault)
	}
	return ""
}

// SuspicionChecked logs and counts a check of a server that another node found unreachable.
func (l *RequestLog) SuspicionChecked(check forward.SuspicionCheck) {
	outcome := "reached"
	if check.Err != nil {
		outcome = "failed"
	}
	l.metrics.count(metricSuspicionChecks, "outcome", outcome)
	event := l.limiter.Event(&l.logger, zerolog.InfoLevel, "suspicion check")
	if event == nil {
		return
	}
	event.Str("server", check.Server.ID).Str("pool", check.Server.Pool).Bool("reached", check.Err == nil).AnErr("error", check.Err).Msg("suspected server checked")
}

// ResponseAnomaly logs and counts what a server sent in place of one response for each request.
func (l *RequestLog) ResponseAnomaly(anomaly exchange.Anomaly) {
	l.metrics.count(metricAnomalies, "kind", string(anomaly.Kind))
	event := l.limiter.Event(&l.logger, zerolog.WarnLevel, "anomaly/"+string(anomaly.Kind))
	if event == nil {
		return
	}
	event.Str("kind", string(anomaly.Kind)).Str("address", anomaly.Address).Uint64("connection", anomaly.Connection).Int("exchange", anomaly.Exchange).
		Str("request", anomaly.Identity).Strs("earlier", anomaly.Earlier).Int("status", anomaly.Status).AnErr("error", anomaly.Cause).Msg("response anomaly")
}

// Retry logs and counts a decision of the retry budget.
func (l *RequestLog) Retry(request *forward.Request, decision retrybudget.Decision) {
	l.metrics.Retry(decision)
	verdict := verdictLabel(decision.Allowed)
	event := l.limiter.Event(&l.logger, zerolog.InfoLevel, "retry/"+verdict+"/"+string(decision.By))
	if event == nil {
		return
	}
	event.Str("request", request.ID).Str("pool", decision.Pool).Str("verdict", verdict).Str("by", string(decision.By)).Bool("asked", decision.Asked).
		Float64("own_retries", decision.Used).Float64("own_allowance", decision.Own).Float64("rank", decision.Rank).
		Int("nodes", decision.Basis.Nodes).Float64("requests", decision.Basis.Requests).Dur("counted_ms", decision.Basis.Age).Msg("retry budget")
}

// LongRunning logs a request that has been in flight for long.
func (l *RequestLog) LongRunning(running forward.LongRunning) {
	event := l.limiter.Event(&l.logger, zerolog.InfoLevel, "under way")
	if event == nil {
		return
	}
	event = event.Str("request", running.Request.ID).Str("route", running.Route).Str("pool", running.Pool)
	addText(event, "server", running.Server).Dur("took_ms", time.Since(running.Request.Accepted)).Msg("request under way")
}

// Ended logs and counts a finished request.
func (l *RequestLog) Ended(request *forward.Request, outcome forward.Outcome) {
	code := outcome.Code.Name()
	l.recordMetrics(request, outcome, code)
	event := l.limiter.Event(&l.logger, levelOf(outcome), "request/"+code)
	if event == nil {
		return
	}
	event = addIdentity(event.Str("request", request.ID), request).Str("code", code).Int("result_code", int(outcome.Code)).
		Str("route", outcome.Route).Str("pool", outcome.Pool).Str("ran", outcome.Ran.String()).
		Int("attempts", outcome.Attempts).Dur("held_ms", outcome.Held).Dur("took_ms", time.Since(request.Accepted))
	event = addText(event, "model", request.Model)
	event = addText(event, "adapter", request.Adapter)
	event = addText(event, "server", outcome.Server)
	event = addText(event, "reason", outcome.Reason)
	if outcome.Status != 0 {
		event = event.Int("status", outcome.Status).Dur("first_byte_ms", outcome.FirstByte)
	}
	if outcome.Cold {
		event = event.Bool("cold", true)
	}
	event = addText(event, "late", string(outcome.Late))
	if outcome.LongestGap > 0 {
		event = event.Dur("longest_pause_ms", outcome.LongestGap)
	}
	if outcome.RetryAfter > 0 {
		event = event.Dur("retry_after_ms", outcome.RetryAfter)
	}
	addDecision(event, outcome.Decision).Msg("request ended")
}

// addDecision adds the data on which the last decision about the request was based.
func addDecision(event *zerolog.Event, decision forward.Decision) *zerolog.Event {
	event = event.Int64("configuration", decision.Configuration).Int("able", decision.Eligible).Int("candidates", decision.Candidates)
	if decision.Candidates > 0 {
		event = event.Int("server_load", decision.Load).Dur("score_ms", decision.Score)
		event = addText(event, "load_from", string(decision.LoadSource))
		if decision.LoadAge > 0 {
			event = event.Dur("load_age_ms", decision.LoadAge)
		}
		if decision.Slowdown > 0 && decision.Slowdown != 1 {
			event = event.Float64("slowdown", decision.Slowdown)
		}
		if decision.Indirect {
			event = event.Bool("indirect", true)
		}
		if decision.Arrivals > 0 {
			event = event.Float64("arrivals", decision.Arrivals)
		}
	}
	if decision.Suspected > 0 {
		event = event.Int("suspected", decision.Suspected)
	}
	if decision.QueueWait > 0 {
		event = event.Dur("queue_wait_ms", decision.QueueWait)
	}
	if decision.Delay > 0 {
		event = event.Dur("expected_delay_ms", decision.Delay)
	}
	return event
}

// addIdentity adds the identity that a request shares with its client's retries of it.
func addIdentity(event *zerolog.Event, request *forward.Request) *zerolog.Event {
	if request.Identity.IsZero() {
		return event
	}
	return event.Str("identity", request.Identity.String())
}

// addText adds a field, unless the value is empty.
func addText(event *zerolog.Event, name, value string) *zerolog.Event {
	if value == "" {
		return event
	}
	return event.Str(name, value)
}

// levelOf returns the info level for requests that were served and for those whose client
// disconnected, and the warn level for all others.
func levelOf(outcome forward.Outcome) zerolog.Level {
	if outcome.Code == result.OK || outcome.Code == result.CallerGone {
		return zerolog.InfoLevel
	}
	return zerolog.WarnLevel
}

// recordMetrics counts a finished request and, if it was served, records its times.
func (l *RequestLog) recordMetrics(request *forward.Request, outcome forward.Outcome, code string) {
	l.metrics.count(metricRequests, "code", code)
	l.metrics.choice(outcome.Decision)
	if outcome.Code != result.OK {
		return
	}
	l.metrics.firstByte.Update(outcome.FirstByte.Seconds())
	l.metrics.held.Update(outcome.Held.Seconds())
	if request.Model != "" && outcome.Cold {
		l.metrics.coldStart.Update(outcome.FirstByte.Seconds())
	}
}
