package engine

import (
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// importsKept is how many imported KV caches wait for their requests at most.
const importsKept = 64

// KVExport is the KV cache of a request that was running when it was exported.
type KVExport struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	Adapter   string `json:"adapter,omitempty"`
	// BodyDigest is the hash of the request's body.
	BodyDigest uint64 `json:"body_digest"`
	// Chunks of the stream are covered by the cache.
	Chunks int `json:"chunks"`
	// Bytes of the cache.
	Bytes int64 `json:"bytes"`
}

// kvImport is an export that arrives here at readyAt.
type kvImport struct {
	KVExport
	readyAt time.Time
}

// ExportKV returns the KV cache of a running attempt whose prompt is computed.
// The attempt goes on; whoever moves it cancels it.
func (e *Engine) ExportKV(attempt outside.AttemptID) (KVExport, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	running, found := e.generations[attempt]
	if !found || running.prefillLeft > 0 {
		return KVExport{}, false
	}
	tokens := running.body.promptTokens() + running.next*e.config.TokensPerChunk
	return KVExport{
		RequestID: running.request.RequestID, Model: running.request.Model,
		Version: running.replica.version, Adapter: running.request.Adapter,
		BodyDigest: running.body.digest, Chunks: running.next,
		Bytes: int64(tokens) * e.config.KVBytesPerToken,
	}, true
}

// ImportKV begins to fetch a KV cache from another engine and returns when it
// will be here. The next attempt of its request that starts after that needs no
// prefill; one that starts earlier does. It is refused if the same version of
// the model is not ready here.
func (e *Engine) ImportKV(export KVExport) (readyAt time.Time, accepted bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	replica := e.replicaOf(export.Model)
	if !e.alive || replica == nil || replica.load.phase != outside.ReplicaReady || replica.version != export.Version {
		return time.Time{}, false
	}
	if len(e.imports) >= importsKept {
		e.imports = slices.Delete(e.imports, 0, 1)
	}
	readyAt = e.clock.Now().Add(seconds(float64(export.Bytes) / e.config.KVTransferBytesPerSecond))
	e.imports = append(e.imports, kvImport{KVExport: export, readyAt: readyAt})
	return readyAt, true
}

// takeImport returns the import that fits a generation, and removes it.
func (e *Engine) takeImport(started *generation) (kvImport, bool) {
	now := e.clock.Now()
	position := slices.IndexFunc(e.imports, func(candidate kvImport) bool {
		return candidate.RequestID == started.request.RequestID &&
			candidate.BodyDigest == started.body.digest &&
			candidate.Model == started.request.Model &&
			candidate.Version == started.replica.version &&
			candidate.Adapter == started.request.Adapter &&
			!candidate.readyAt.After(now)
	})
	if position < 0 {
		return kvImport{}, false
	}
	found := e.imports[position]
	e.imports = slices.Delete(e.imports, position, position+1)
	return found, true
}
