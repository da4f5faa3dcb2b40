// Package httpserver holds what the HTTP servers of the stand-ins share:
// bounded bodies, JSON, problem documents and the control interface.
package httpserver

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/httpapi"
	"github.com/hatchplank/hatchplank/internal/result"
)

// Limits of what a stand-in reads.
const (
	// MaxBodyBytes limits the body of a request to a model or back end.
	MaxBodyBytes = 8 << 20
	// MaxControlBytes limits the body of a control request.
	MaxControlBytes = 64 << 10
	// MaxHeaderBytes limits the headers of a request.
	MaxHeaderBytes = 64 << 10
)

// Reasons of the refusals made by this package.
const (
	ReasonTooLarge  = "too_large"
	ReasonMalformed = "malformed"
)

// ReadBody reads a whole body. If it is too large or broken, it refuses the
// request and reports false.
func ReadBody(writer http.ResponseWriter, request *http.Request, limit int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, limit))
	if err == nil {
		return body, true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		Refuse(writer, http.StatusRequestEntityTooLarge, ReasonTooLarge, outside.LoadHint{})
		return nil, false
	}
	Refuse(writer, http.StatusBadRequest, ReasonMalformed, outside.LoadHint{})
	return nil, false
}

// ReadJSON reads a body of at most limit bytes into target. If that fails, it
// refuses the request and reports false.
func ReadJSON(writer http.ResponseWriter, request *http.Request, limit int64, target any) bool {
	body, complete := ReadBody(writer, request, limit)
	if !complete {
		return false
	}
	if json.Unmarshal(body, target) != nil {
		Refuse(writer, http.StatusBadRequest, ReasonMalformed, outside.LoadHint{})
		return false
	}
	return true
}

// WriteJSON answers with a JSON document.
func WriteJSON(writer http.ResponseWriter, status int, content any) {
	write(writer, status, httpapi.MediaJSON, content)
}

// Refuse answers that the request did not run.
func Refuse(writer http.ResponseWriter, status int, reason string, load outside.LoadHint) {
	WriteProblem(writer, httpapi.Problem{
		Status: status, Ran: result.RanNo.String(), Reason: reason, Load: load,
	})
}

// WriteProblem answers with a problem document.
func WriteProblem(writer http.ResponseWriter, problem httpapi.Problem) {
	if problem.Title == "" {
		problem.Title = http.StatusText(problem.Status)
	}
	write(writer, problem.Status, httpapi.MediaProblem, problem)
}

func write(writer http.ResponseWriter, status int, media string, content any) {
	body, err := json.Marshal(content)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	header := writer.Header()
	header.Set("Content-Type", media)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	// An error means that the client is gone.
	_, _ = writer.Write(body)
}

// Abort breaks the connection without an answer.
func Abort() { panic(http.ErrAbortHandler) }

// Number reads a query parameter that is a whole number; a missing one is 0.
func Number(request *http.Request, name string) (uint64, error) {
	word := request.URL.Query().Get(name)
	if word == "" {
		return 0, nil
	}
	return strconv.ParseUint(word, 10, 64)
}

// HeaderNumber reads a header that is a whole number; a missing one is 0.
func HeaderNumber(request *http.Request, name string) (int, error) {
	word := request.Header.Get(name)
	if word == "" {
		return 0, nil
	}
	return strconv.Atoi(word)
}

// Deadline reads the header that tells the time left; without one it is the zero
// time.
func Deadline(request *http.Request) (time.Time, error) {
	word := request.Header.Get(httpapi.HeaderTimeLeft)
	if word == "" {
		return time.Time{}, nil
	}
	left, err := httpapi.ParseTimeLeft(word)
	if err != nil {
		return time.Time{}, fmt.Errorf("time left: %w", err)
	}
	return time.Now().Add(left), nil
}
