package engine

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/google/uuid"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/httpapi"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/standin/httpserver"
)

// streamWish is what the HTTP form reads of an OpenAI body.
type streamWish struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

// serveGenerate runs one attempt on its connection. Closing the connection
// cancels the attempt.
func (s *httpServer) serveGenerate(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set(httpapi.HeaderAttempt, request.Header.Get(httpapi.HeaderAttempt))
	body, complete := httpserver.ReadBody(writer, request, httpserver.MaxBodyBytes)
	if !complete {
		return
	}
	wish := streamWish{}
	if json.Unmarshal(body, &wish) != nil {
		refuseMalformed(writer)
		return
	}
	wanted, err := s.readGenerate(request, body, wish)
	if err != nil {
		refuseMalformed(writer)
		return
	}
	form := answerForm{writer: writer, attempt: wanted.Attempt, path: wanted.Path, model: wish.Model}
	sink := newHTTPSink()
	cancel := s.engine.Generate(wanted, sink)
	s.remember(wanted.Attempt, cancel)
	defer s.forget(wanted.Attempt)
	if !s.engine.Alive() {
		// A dead engine never calls the sink.
		httpserver.Abort()
	}
	if wish.Stream || request.Header.Get("Accept") == httpapi.MediaStream {
		serveSink(request, sink, cancel, &streamAnswer{answerForm: form})
		return
	}
	serveSink(request, sink, cancel, &plainAnswer{answerForm: form})
}

// readGenerate reads the headers. A client that names neither the attempt nor
// the model by header gets an attempt of its own and the body's model.
func (s *httpServer) readGenerate(request *http.Request, body []byte, wish streamWish) (outside.GenerateRequest, error) {
	header := request.Header
	wanted := outside.GenerateRequest{
		Server:    s.engine.Server(),
		Attempt:   outside.AttemptID(header.Get(httpapi.HeaderAttempt)),
		RequestID: header.Get(httpapi.HeaderRequest),
		Model:     header.Get(httpapi.HeaderModel),
		Adapter:   header.Get(httpapi.HeaderAdapter),
		Version:   header.Get(httpapi.HeaderVersion),
		Path:      request.URL.Path,
		Body:      body,
		Key:       header.Get(httpapi.HeaderKey),
	}
	if wanted.Attempt == "" {
		wanted.Attempt = outside.AttemptID(uuid.NewString())
	}
	if wanted.Model == "" {
		wanted.Model = wish.Model
	}
	var err error
	if wanted.Deadline, err = httpserver.Deadline(request); err != nil {
		return wanted, err
	}
	if wanted.Priority, err = httpserver.HeaderNumber(request, httpapi.HeaderPriority); err != nil {
		return wanted, err
	}
	wanted.ResumeFrom, err = httpserver.HeaderNumber(request, httpapi.HeaderResumeFrom)
	return wanted, err
}

func (s *httpServer) remember(attempt outside.AttemptID, cancel func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cancels[attempt] = cancel
}

func (s *httpServer) forget(attempt outside.AttemptID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.cancels, attempt)
}

// serveSink hands what the engine sends to the answer until its end.
func serveSink(request *http.Request, sink *httpSink, cancel func(), answer httpAnswer) {
	for {
		select {
		case <-sink.ready:
		case <-request.Context().Done():
			cancel()
			return
		}
		deliveries, dropped := sink.take()
		for index := range deliveries {
			if handOver(&deliveries[index], answer) {
				return
			}
		}
		answer.flush()
		if dropped {
			httpserver.Abort()
		}
	}
}

// handOver reports whether the delivery was the last.
func handOver(next *delivery, answer httpAnswer) (last bool) {
	switch {
	case next.end != nil:
		answer.end(next.end)
		return true
	case next.err != nil:
		answer.fail(next.err)
		return true
	default:
		answer.chunk(&next.chunk)
		return false
	}
}

// httpAnswer writes one attempt's answer.
type httpAnswer interface {
	chunk(chunk *outside.Chunk)
	end(end *outside.GenerateEnd)
	fail(failure *outside.AttemptError)
	flush()
}

// answerForm is what both forms of answer share.
type answerForm struct {
	writer  http.ResponseWriter
	attempt outside.AttemptID
	path    string
	model   string
}

func (f *answerForm) isChat() bool { return f.path == httpapi.PathChatCompletions }

// refuse answers with a problem before anything else was written.
func (f *answerForm) refuse(failure *outside.AttemptError) {
	httpserver.WriteProblem(f.writer, problemOf(failure))
}

func problemOf(failure *outside.AttemptError) httpapi.Problem {
	return httpapi.Problem{
		Title:  "Attempt " + strings.ReplaceAll(failure.Reason, "_", " "),
		Status: http.StatusServiceUnavailable,
		Ran:    failure.Ran.String(),
		Reason: failure.Reason,
		Load:   failure.Load,
	}
}

// breaksConnection reports whether a failure is one that a client must find out
// by itself, because the engine's stream just stops.
func breaksConnection(failure *outside.AttemptError) bool {
	return failure.Reason == ReasonTruncated && failure.Ran != result.RanNo
}
