package etcd

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/etcd/wire"
)

// errServiceFailed matches each error response of the service.
var errServiceFailed = errors.New("key-value service failed")

// statusError is a response with an HTTP status other than OK. Under errors.Is it matches the
// errors of package outside that the response implies.
type statusError struct {
	status int
	body   wire.Error
}

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("%s: HTTP status %d: %s", e.outcome(), e.status, e.body.Message)
}

// Is implements the interface used by errors.Is.
func (e *statusError) Is(target error) bool {
	switch target {
	case outside.ErrLeaseNotFound:
		return isLeaseNotFound(e.body)
	case errServiceFailed:
		return true
	default:
		return target == e.outcome()
	}
}

// outcome returns outside.ErrNotApplied or outside.ErrAmbiguous.
func (e *statusError) outcome() error {
	if e.refused() {
		return outside.ErrNotApplied
	}
	return outside.ErrAmbiguous
}

// refused reports whether the service has certainly not executed the operation.
func (e *statusError) refused() bool {
	if e.status == http.StatusRequestTimeout {
		return false
	}
	if e.status >= http.StatusMultipleChoices && e.status < http.StatusInternalServerError {
		return true
	}
	return e.status == http.StatusNotImplemented || isNoLeader(e.body)
}

// isRequestError reports whether the request is at fault, so that any other endpoint would
// respond with the same error.
func (e *statusError) isRequestError() bool {
	return e.status >= http.StatusBadRequest && e.status < http.StatusInternalServerError
}

func isNoLeader(body wire.Error) bool {
	return body.Code == wire.CodeUnavailable && body.Message == wire.MessageNoLeader
}

func isLeaseNotFound(body wire.Error) bool {
	return body.Code == wire.CodeNotFound && strings.Contains(body.Message, "lease not found")
}
