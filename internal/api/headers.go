package api

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/hatchplank/hatchplank/internal/result"
)

const (
	maxIdempotencyKeyLength = 255
	maxRequestIDLength      = 96
	minPriority             = 0
	maxPriority             = 9
	// maxTimeLimitSeconds prevents an overflow in the conversion to a time.Duration.
	maxTimeLimitSeconds = math.MaxInt64 / int64(time.Second) / 2
)

// callOptions are the options that a caller sets by headers.
type callOptions struct {
	timeLimit time.Duration
	priority  int
	key       string
}

// parseCallOptions reads the option headers. limit is both the default and the maximum time
// limit; priority is the default priority.
func parseCallOptions(header http.Header, limit time.Duration, priority int) (callOptions, *result.Refusal) {
	options := callOptions{timeLimit: limit, priority: priority}
	for _, name := range []string{headerTimeLimit, headerPriority, headerIdempotencyKey} {
		if len(header.Values(name)) > 1 {
			return options, refuse(result.MalformedRequest, "the header %s is given more than once", name)
		}
	}
	if refusal := options.setTimeLimit(header.Get(headerTimeLimit), limit); refusal != nil {
		return options, refusal
	}
	if refusal := options.setPriority(header.Get(headerPriority)); refusal != nil {
		return options, refusal
	}
	return options, options.setKey(header.Get(headerIdempotencyKey))
}

func (o *callOptions) setTimeLimit(value string, limit time.Duration) *result.Refusal {
	if value == "" {
		return nil
	}
	duration, valid := parseTimeLimit(value)
	if !valid || duration <= 0 {
		return refuse(result.BadDeadline, "%s must be a positive duration such as 30s, or a number of seconds", headerTimeLimit)
	}
	if duration > limit {
		return refuse(result.BadDeadline, "%s is above the limit of %s", headerTimeLimit, limit)
	}
	o.timeLimit = duration
	return nil
}

// parseTimeLimit parses a Go duration or a number of seconds.
func parseTimeLimit(value string) (time.Duration, bool) {
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		if math.IsNaN(seconds) || math.Abs(seconds) > float64(maxTimeLimitSeconds) {
			return 0, false
		}
		return time.Duration(seconds * float64(time.Second)), true
	}
	duration, err := time.ParseDuration(value)
	return duration, err == nil
}

func (o *callOptions) setPriority(value string) *result.Refusal {
	if value == "" {
		return nil
	}
	priority, err := strconv.Atoi(value)
	if err != nil || priority < minPriority || priority > maxPriority {
		return refuse(result.BadPriority, "%s must be a whole number from %d to %d", headerPriority, minPriority, maxPriority)
	}
	o.priority = priority
	return nil
}

func (o *callOptions) setKey(value string) *result.Refusal {
	if len(value) > maxIdempotencyKeyLength || !isPrintableASCII(value) {
		return refuse(result.MalformedRequest, "%s must be at most %d printable ASCII characters", headerIdempotencyKey, maxIdempotencyKeyLength)
	}
	o.key = value
	return nil
}

func isPrintableASCII(value string) bool {
	for index := range len(value) {
		if value[index] < ' ' || value[index] > '~' {
			return false
		}
	}
	return true
}

// isRequestID reports whether a caller's request ID is safe to write to logs.
func isRequestID(value string) bool {
	if value == "" || len(value) > maxRequestIDLength {
		return false
	}
	for index := range len(value) {
		if !isRequestIDCharacter(value[index]) {
			return false
		}
	}
	return true
}

func isRequestIDCharacter(character byte) bool {
	switch {
	case character >= 'a' && character <= 'z', character >= 'A' && character <= 'Z', character >= '0' && character <= '9':
		return true
	default:
		return character == '-' || character == '_' || character == '.' || character == ':'
	}
}

// headerSize returns the size of all header names and values in bytes.
func headerSize(header http.Header) int {
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

func refuse(code result.Code, format string, arguments ...any) *result.Refusal {
	refusal := result.Refuse(code, format, arguments...)
	return &refusal
}
