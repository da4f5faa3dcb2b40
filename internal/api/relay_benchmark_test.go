package api

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hatchplank/hatchplank/internal/auth"
	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

// benchmarkChunks is the number of chunks of one streamed answer.
const benchmarkChunks = 1000

// chunkSource streams an answer to every request as fast as it can.
type chunkSource struct{}

func (chunkSource) Submit(_ gateway.Request, responder gateway.Responder) func() {
	go func() {
		for index := range benchmarkChunks {
			responder.Chunk(outside.Chunk{Index: index, Text: "token ", Tokens: 1})
		}
		responder.Finish(gateway.Answer{End: outside.GenerateEnd{Chunks: benchmarkChunks}})
	}()
	return func() {}
}

// BenchmarkStreamRelay measures the throughput of responder, encoder and handler, without a
// network.
func BenchmarkStreamRelay(b *testing.B) {
	row := table.Row{Name: "m", Tenant: "t", Repeatable: true}
	keyring, err := auth.NewKeyring([]auth.Credential{{SHA256: auth.HashToken("secret"), Tenant: "t", Role: auth.RoleCaller}})
	if err != nil {
		b.Fatal(err)
	}
	handler := New(Config{Gateway: chunkSource{}, Table: table.NewSnapshot(1, []table.Row{row}), Keyring: keyring})
	body := `{"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]}`
	b.ReportAllocs()
	for b.Loop() {
		request := httptest.NewRequest(http.MethodPost, kindChat.path(), strings.NewReader(body))
		request.Header.Set("Authorization", "Bearer secret")
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		if !strings.HasSuffix(recorder.Body.String(), streamDone) {
			b.Fatal("the stream did not end")
		}
	}
	b.ReportMetric(float64(b.N*benchmarkChunks)/b.Elapsed().Seconds(), "chunks/s")
}

// BenchmarkAppendText measures the encoding of one event.
func BenchmarkAppendText(b *testing.B) {
	encoder := newEventEncoder(kindChat, "request", "model", time.Unix(0, 0))
	var buffer []byte
	b.ReportAllocs()
	for b.Loop() {
		buffer = encoder.appendText(buffer[:0], "token ", false)
	}
}
