package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/result"
)

const (
	chatPath = "/v1/chat/completions"
	// answerSlack after the time limit before a request counts as unanswered.
	answerSlack = 3 * time.Second
	// lateTolerance covers the way back to the caller.
	lateTolerance   = 50 * time.Millisecond
	retryPause      = 100 * time.Millisecond
	maxAnswerBytes  = 16 << 20
	maxEventBytes   = 1 << 20
	reasonTimeout   = "timeout"
	reasonCutOff    = "cut_off"
	reasonConnect   = "connection"
	reasonDial      = "not_connected"
	reasonNoRefusal = "unnumbered_status"
)

var (
	dataPrefix = []byte("data: ")
	doneData   = []byte("[DONE]")
)

// sender sends requests to the nodes.
type sender struct {
	options Options
	client  *http.Client
}

func newSender(options Options) *sender {
	transport := &http.Transport{
		MaxIdleConnsPerHost: options.MaxInFlight,
		DisableCompression:  true,
		ForceAttemptHTTP2:   false,
	}
	return &sender{options: options, client: &http.Client{Transport: transport}}
}

// send tries a request at one node after the other, as long as a repetition
// makes sense and the time limit allows.
func (s *sender) send(ctx context.Context, request plannedRequest) outcome {
	started := time.Now()
	limit := s.options.limitOf(request)
	deadline := started.Add(limit)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(answerSlack))
	defer cancel()
	var last outcome
	for try := range s.options.MaxTries {
		node := s.options.Nodes[(request.firstNode+try)%len(s.options.Nodes)]
		last = s.try(ctx, node, request, started, deadline)
		last.tries = try + 1
		if !last.wantsRetry(request) || !sleep(ctx, retryPause) || time.Until(deadline) <= 0 {
			break
		}
	}
	last.total = time.Since(started)
	last.late = last.total > limit+lateTolerance
	return last
}

// sleep waits and reports whether the context still lives.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *sender) try(ctx context.Context, node string, request plannedRequest, started, deadline time.Time) outcome {
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, node+request.path, bytes.NewReader(request.body))
	if err != nil {
		return outcome{kind: outcomeUnanswered, reason: reasonConnect}
	}
	call.Header.Set("Content-Type", "application/json")
	call.Header.Set("Authorization", "Bearer "+s.options.Token)
	call.Header.Set("X-Time-Limit", strconv.FormatFloat(time.Until(deadline).Seconds(), 'f', 3, 64))
	call.Header.Set("X-Request-Id", "load-"+s.options.RunID+"-"+strconv.Itoa(request.number))
	if request.key != "" {
		call.Header.Set("Idempotency-Key", request.key)
	}
	response, err := s.client.Do(call)
	if err != nil {
		return unanswered(ctx, reasonOfError(err))
	}
	defer func() { _ = response.Body.Close() }()
	return readAnswer(ctx, request, response, started)
}

// reasonOfError tells a request that was never sent from one that may have been.
func reasonOfError(err error) string {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return reasonDial
	}
	return reasonConnect
}

func unanswered(ctx context.Context, reason string) outcome {
	if ctx.Err() != nil {
		reason = reasonTimeout
	}
	return outcome{kind: outcomeUnanswered, reason: reason}
}

func readAnswer(ctx context.Context, request plannedRequest, response *http.Response, started time.Time) outcome {
	if response.StatusCode == http.StatusOK && request.streamed {
		return readStream(ctx, request, response.Body, started)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	firstChunk := time.Since(started)
	switch {
	case err != nil:
		return unanswered(ctx, reasonCutOff)
	case response.Header.Get("X-Result-Code") != "" || response.StatusCode >= http.StatusBadRequest:
		return readRefusal(body)
	}
	text := body
	if request.isGeneration() {
		text = wholeText(body)
	}
	return outcome{
		kind:       outcomeServed,
		mismatched: !checkText(request, text),
		replayed:   response.Header.Get("X-Replayed") != "",
		firstChunk: firstChunk,
	}
}

func readRefusal(body []byte) outcome {
	var document api.ErrorDocument
	if json.Unmarshal(body, &document) != nil || document.Error.ResultCode == 0 {
		return outcome{kind: outcomeUnanswered, reason: reasonNoRefusal}
	}
	return outcome{kind: outcomeRefused, code: result.Code(document.Error.ResultCode), ran: document.Error.Ran}
}

// wholeText returns the text of an answer in one document; nil if there is none.
func wholeText(body []byte) []byte {
	var document struct {
		Choices []struct {
			Message generationMessage `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal(body, &document) != nil || len(document.Choices) != 1 {
		return nil
	}
	return []byte(document.Choices[0].Message.Content)
}

// streamEvent is one event of a stream: a piece of the answer or an error.
type streamEvent struct {
	Error   *api.ErrorBody `json:"error"`
	Choices []struct {
		Delta generationMessage `json:"delta"`
	} `json:"choices"`
}

// readStream reads events up to [DONE], an error, or a cut.
func readStream(ctx context.Context, request plannedRequest, body io.Reader, started time.Time) outcome {
	served := outcome{kind: outcomeServed}
	var text []byte
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for lines.Scan() {
		data, isData := bytes.CutPrefix(lines.Bytes(), dataPrefix)
		if !isData {
			continue
		}
		if served.firstChunk == 0 {
			served.firstChunk = time.Since(started)
		}
		if bytes.Equal(data, doneData) {
			served.mismatched = !checkText(request, text)
			return served
		}
		var event streamEvent
		if json.Unmarshal(data, &event) != nil {
			return outcome{kind: outcomeUnanswered, reason: reasonCutOff}
		}
		if event.Error != nil {
			return outcome{kind: outcomeRefused, code: result.Code(event.Error.ResultCode), ran: event.Error.Ran}
		}
		for _, choice := range event.Choices {
			text = append(text, choice.Delta.Content...)
		}
	}
	return unanswered(ctx, reasonCutOff)
}
