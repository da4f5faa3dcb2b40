package emulator

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/hatchplank/hatchplank/internal/standin/record"
)

// traceHash digests everything that the stand-ins and callers saw, in order, so
// that two runs of a seed can be compared.
type traceHash struct {
	digest *xxhash.Digest
	buffer [8]byte
}

func (t *traceHash) reset() { t.digest = xxhash.New() }

func (t *traceHash) addNumber(number uint64) {
	binary.LittleEndian.PutUint64(t.buffer[:], number)
	_, _ = t.digest.Write(t.buffer[:])
}

func (t *traceHash) addText(text string) { _, _ = t.digest.WriteString(text) }

func (t *traceHash) addEvent(event record.Event) {
	t.addNumber(uint64(event.At.UnixNano()))
	t.addNumber(uint64(event.Kind))
	t.addText(string(event.Server))
	t.addText(event.Model)
	t.addText(string(event.Attempt))
}

func (t *traceHash) String() string { return fmt.Sprintf("%016x", t.digest.Sum64()) }
