package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/result"
)

const (
	chatPath = "/v1/chat/completions"
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
	journal *journal
	// open counts tries whose request has ended already.
	open sync.WaitGroup
}

func newSender(options Options) *sender {
	transport := &http.Transport{
		MaxIdleConnsPerHost: options.MaxInFlight,
		DisableCompression:  true,
		ForceAttemptHTTP2:   false,
	}
	s := &sender{options: options, client: &http.Client{Transport: transport}}
	if options.Records != nil {
		s.journal = &journal{}
	}
	return s
}

// send tries a request at one node after the other, as long as a repetition
// makes sense and the time limit allows.
func (s *sender) send(ctx context.Context, request plannedRequest) outcome {
	started := time.Now()
	limit := s.options.limitOf(request)
	deadline := started.Add(limit)
	last := s.sendTries(ctx, request, deadline)
	last.total = time.Since(started)
	last.late = last.total > limit+lateTolerance
	return last
}

// sendTries ends with the first answer, or with the last refusal or failure. A
// try that a keyed request does not wait for any longer goes on by itself: its
// node has to answer it all the same.
func (s *sender) sendTries(ctx context.Context, request plannedRequest, deadline time.Time) outcome {
	answers := make(chan outcome, s.options.MaxTries)
	var last outcome
	open := 0
	for number := range s.options.MaxTries {
		open++
		s.open.Go(func() { answers <- s.try(ctx, request, number, deadline) })
		arrived, ended := s.awaitTry(request, answers)
		if ended {
			open--
			last = arrived
		}
		last.tries = number + 1
		wantsRetry := !ended || last.wantsRetry(request)
		if !wantsRetry || time.Until(deadline) <= retryPause || !sleep(ctx, retryPause) {
			break
		}
	}
	return awaitOpen(last, open, answers)
}

// awaitTry waits for an answer, for a keyed request at most the time after
// which it is repeated.
func (s *sender) awaitTry(request plannedRequest, answers <-chan outcome) (outcome, bool) {
	if request.isGeneration() || s.options.RepeatAfter <= 0 {
		return <-answers, true
	}
	timer := time.NewTimer(s.options.RepeatAfter)
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer, true
	case <-timer.C:
		return outcome{}, false
	}
}

// awaitOpen waits for open tries until one is served.
func awaitOpen(last outcome, open int, answers <-chan outcome) outcome {
	settled := last.tries > open
	for ; open > 0 && !(settled && last.kind == outcomeServed); open-- {
		answer := <-answers
		if !settled || answer.kind == outcomeServed {
			answer.tries = last.tries
			last, settled = answer, true
		}
	}
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

// try sends a request to one node and notes what became of it.
func (s *sender) try(ctx context.Context, request plannedRequest, number int, deadline time.Time) outcome {
	node := s.options.Nodes[(request.firstNode+number)%len(s.options.Nodes)]
	record := tryRecord{
		requestID: fmt.Sprintf("load-%s-%d-%d", s.options.RunID, request.number, number),
		node:      hostOf(node), key: request.key, sentAt: time.Now(), deadline: deadline,
	}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(s.options.AnswerWait))
	defer cancel()
	record.outcome = s.call(ctx, node, request, record)
	record.endedAt = time.Now()
	s.journal.add(record)
	return record.outcome
}

func (s *sender) call(ctx context.Context, node string, request plannedRequest, record tryRecord) outcome {
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, node+request.path, bytes.NewReader(request.body))
	if err != nil {
		return outcome{kind: outcomeUnanswered, reason: reasonConnect}
	}
	call.Header.Set("Content-Type", "application/json")
	call.Header.Set("Authorization", "Bearer "+s.options.Token)
	call.Header.Set("X-Time-Limit", strconv.FormatFloat(time.Until(record.deadline).Seconds(), 'f', 3, 64))
	call.Header.Set("X-Request-Id", record.requestID)
	if request.key != "" {
		call.Header.Set("Idempotency-Key", request.key)
	}
	response, err := s.client.Do(call)
	if err != nil {
		return unanswered(ctx, reasonOfError(err))
	}
	defer func() { _ = response.Body.Close() }()
	return readAnswer(ctx, request, response, record.sentAt)
}

// hostOf returns the host and port of a checked URL.
func hostOf(node string) string {
	parsed, err := url.Parse(node)
	if err != nil {
		return node
	}
	return parsed.Host
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
