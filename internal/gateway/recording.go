package gateway

import (
	"bytes"
	"encoding/gob"
	"net/http"

	"github.com/hatchplank/hatchplank/internal/claims"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// generationContentType is the content type of a recorded generation.
const generationContentType = "application/x-hatchplank-generation"

// recording buffers the text of an answer for replay, up to a size limit.
type recording struct {
	text      []byte
	tokens    int
	truncated bool
}

func (r *recording) add(chunk outside.Chunk, limit int) {
	if r.truncated || len(r.text)+len(chunk.Text) > limit {
		r.truncated = true
		r.text = nil
		return
	}
	r.text = append(r.text, chunk.Text...)
	r.tokens += chunk.Tokens
}

// recordedGeneration is the gob encoding of a generation's recorded answer.
type recordedGeneration struct {
	Text   string
	Tokens int
	End    outside.GenerateEnd
}

// recordStream records the complete answer of a generation.
func (s *shard) recordStream(e *entry, end outside.GenerateEnd) {
	recorded := &e.stream.recorded
	outcome := claims.Outcome{Status: http.StatusOK, ContentType: generationContentType, Truncated: recorded.truncated}
	if !recorded.truncated {
		var body bytes.Buffer
		generation := recordedGeneration{Text: string(recorded.text), Tokens: recorded.tokens, End: end}
		outcome.Truncated = gob.NewEncoder(&body).Encode(generation) != nil
		outcome.Body = body.Bytes()
	}
	s.gateway.config.Claims.Record(e.claimKey(), e.claim.attempt, outcome)
}

// recordResponse records the answer of a back end.
func (s *shard) recordResponse(e *entry, response outside.BackEndResponse) {
	outcome := claims.Outcome{
		Status:      response.Status,
		ContentType: response.ContentType,
		Body:        response.Body,
		Truncated:   len(response.Body) > s.gateway.config.Limits.RecordedBytes,
	}
	if outcome.Truncated {
		outcome.Body = nil
	}
	s.gateway.config.Claims.Record(e.claimKey(), e.claim.attempt, outcome)
}

// replay answers with a recorded outcome; a generation's text is sent as one
// chunk.
func (s *shard) replay(e *entry, outcome claims.Outcome, section *criticalSection) {
	if outcome.ContentType != generationContentType {
		response := outside.BackEndResponse{Status: outcome.Status, ContentType: outcome.ContentType, Body: outcome.Body}
		s.finish(e, Answer{Response: response, Replayed: true}, section)
		return
	}
	var generation recordedGeneration
	if gob.NewDecoder(bytes.NewReader(outcome.Body)).Decode(&generation) != nil {
		s.refuseTruncated(e, section)
		return
	}
	e.post(section, delivery{chunk: outside.Chunk{
		Attempt: generation.End.Attempt,
		Text:    generation.Text,
		Tokens:  generation.Tokens,
	}})
	generation.End.Chunks = 1
	s.finish(e, Answer{End: generation.End, Replayed: true}, section)
}
