package api

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/hatchplank/hatchplank/internal/result"
)

// Headers of the interface.
const (
	headerRequestID      = "X-Request-Id"
	headerTimeLimit      = "X-Time-Limit"
	headerPriority       = "X-Priority"
	headerIdempotencyKey = "Idempotency-Key"
	headerResultCode     = "X-Result-Code"
	headerRan            = "X-Ran"
	headerReplayed       = "X-Replayed"
)

const contentTypeJSON = "application/json"

// ErrorDocument is the body of every refusal, in the format of OpenAI errors.
type ErrorDocument struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody is the OpenAI error object with additional fields.
type ErrorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	// Code is the result code's name.
	Code  string  `json:"code"`
	Param *string `json:"param"`
	// ResultCode is the result code's number.
	ResultCode int `json:"result_code"`
	// Ran reports whether the request was executed: "no" (proven), "unknown" or "yes".
	Ran string `json:"ran"`
	// RetryAfterSeconds is the time after which to retry; 0 if a retry is not useful.
	RetryAfterSeconds float64 `json:"retry_after_s"`
	RequestID         string  `json:"request_id"`
}

// newErrorDocument returns the error response for a refusal.
func newErrorDocument(refusal result.Refusal, requestID string) ErrorDocument {
	info := result.Describe(refusal.Code)
	message := refusal.Message
	if message == "" {
		message = info.Meaning
	}
	return ErrorDocument{Error: ErrorBody{
		Message:           message,
		Type:              errorType(info),
		Code:              info.Name,
		ResultCode:        int(refusal.Code),
		Ran:               refusal.Ran.String(),
		RetryAfterSeconds: refusal.RetryAfter.Seconds(),
		RequestID:         requestID,
	}}
}

// errorType returns the OpenAI error type of a result code.
func errorType(info result.Info) string {
	switch {
	case info.Code == result.Unauthenticated:
		return "authentication_error"
	case info.Code == result.Forbidden:
		return "permission_error"
	case info.Status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case info.Status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// writeRefusal sends a refusal as an error response.
func writeRefusal(writer http.ResponseWriter, refusal result.Refusal, requestID string) {
	setRefusalHeaders(writer.Header(), refusal)
	writeJSON(writer, refusal.Code.Status(), newErrorDocument(refusal, requestID))
}

func setRefusalHeaders(header http.Header, refusal result.Refusal) {
	header.Set(headerResultCode, strconv.Itoa(int(refusal.Code)))
	header.Set(headerRan, refusal.Ran.String())
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(wholeSeconds(refusal.RetryAfter)))
	}
	if refusal.Code == result.Unauthenticated {
		header.Set("WWW-Authenticate", "Bearer")
	}
}

// wholeSeconds rounds up to seconds, because Retry-After has no fractions.
func wholeSeconds(duration time.Duration) int { return int(math.Ceil(duration.Seconds())) }

func writeJSON(writer http.ResponseWriter, status int, document any) {
	body, err := json.Marshal(document)
	if err != nil {
		status = http.StatusInternalServerError
		body = []byte(`{"error":{"message":"answer can't be encoded","type":"server_error","code":"internal","result_code":5001}}`)
	}
	writer.Header().Set("Content-Type", contentTypeJSON)
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	// A failed write means that the caller has disconnected: there is no one to report to.
	_, _ = writer.Write(body)
}
