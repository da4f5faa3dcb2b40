package edge

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/forward"
	"github.com/hatchplank/hatchplank/internal/logging"
	"github.com/hatchplank/hatchplank/internal/result"
)

// linesPerSecond of each kind that a node writes about requests.
const linesPerSecond = 100

// RequestLog writes one line for each request that ended, one for each that has
// been under way for long, and one for each attempt that failed. It counts ends and
// attempts.
type RequestLog struct {
	logger  zerolog.Logger
	limiter *logging.Limiter
	metrics *Metrics
}

// NewRequestLog returns a log of requests.
func NewRequestLog(logger zerolog.Logger, metrics *Metrics) *RequestLog {
	return &RequestLog{logger: logger, limiter: logging.NewLimiter(linesPerSecond), metrics: metrics}
}

// Attempt notes an attempt that failed.
func (l *RequestLog) Attempt(seen forward.Observation) {
	reason := string(seen.Failure.Reason)
	l.metrics.count(metricAttempts, "outcome", reason)
	event := l.limiter.Event(&l.logger, zerolog.InfoLevel, "attempt/"+reason)
	if event == nil {
		return
	}
	event = addIdentity(event.Str("request", seen.Request.ID), seen.Request).Str("server", seen.Server).Int("attempt", seen.Number).
		Str("reason", reason).Str("ran", seen.Failure.Ran.String()).Bool("again", seen.WillRetry)
	if seen.Failure.Load.Reported {
		event = event.Int("server_running", seen.Failure.Load.Running).Int("server_waiting", seen.Failure.Load.Waiting)
	}
	event.AnErr("error", seen.Failure.Cause).Msg("attempt failed")
}

// UnderWay notes a request that has not ended yet.
func (l *RequestLog) UnderWay(told forward.LongRunning) {
	event := l.limiter.Event(&l.logger, zerolog.InfoLevel, "under way")
	if event == nil {
		return
	}
	event = event.Str("request", told.Request.ID).Str("route", told.Route).Str("pool", told.Pool)
	addText(event, "server", told.Server).Dur("took_ms", time.Since(told.Request.Accepted)).Msg("request under way")
}

// Ended notes a request's end.
func (l *RequestLog) Ended(request *forward.Request, outcome forward.Outcome) {
	code := outcome.Code.Name()
	l.measure(request, outcome, code)
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
	if outcome.ClientRetry {
		event = event.Bool("came_back", true)
	}
	if outcome.LongestGap > 0 {
		event = event.Dur("longest_pause_ms", outcome.LongestGap)
	}
	if outcome.RetryAfter > 0 {
		event = event.Dur("retry_after_ms", outcome.RetryAfter)
	}
	addBelief(event, outcome.Decision).Msg("request ended")
}

// addBelief tells what the last decision about the request rested on.
func addBelief(event *zerolog.Event, belief forward.Decision) *zerolog.Event {
	event = event.Int64("configuration", belief.Configuration).Int("able", belief.Eligible).Int("candidates", belief.Candidates)
	if belief.Candidates > 0 {
		event = event.Int("server_load", belief.Load).Dur("score_ms", belief.Score)
		if belief.LoadAge > 0 {
			event = event.Dur("load_age_ms", belief.LoadAge)
		}
	}
	if belief.QueueWait > 0 {
		event = event.Dur("queue_wait_ms", belief.QueueWait)
	}
	if belief.Delay > 0 {
		event = event.Dur("expected_delay_ms", belief.Delay)
	}
	return event
}

// addIdentity tells what the tries of one request have in common.
func addIdentity(event *zerolog.Event, request *forward.Request) *zerolog.Event {
	if request.Identity.IsZero() {
		return event
	}
	return event.Str("identity", request.Identity.String())
}

func addText(event *zerolog.Event, name, value string) *zerolog.Event {
	if value == "" {
		return event
	}
	return event.Str(name, value)
}

// levelOf is info for what was served, and for callers that left.
func levelOf(outcome forward.Outcome) zerolog.Level {
	if outcome.Code == result.OK || outcome.Code == result.CallerGone {
		return zerolog.InfoLevel
	}
	return zerolog.WarnLevel
}

func (l *RequestLog) measure(request *forward.Request, outcome forward.Outcome, code string) {
	l.metrics.count(metricRequests, "code", code)
	if outcome.Code != result.OK {
		return
	}
	l.metrics.firstByte.Update(outcome.FirstByte.Seconds())
	l.metrics.held.Update(outcome.Held.Seconds())
	if request.Model != "" && outcome.Cold {
		l.metrics.coldStart.Update(outcome.FirstByte.Seconds())
	}
}
