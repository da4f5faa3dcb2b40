package telemetry

import (
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

// Decision holds the fields that every logged decision carries; fields left
// empty are not logged. Use it as logger.Info().EmbedObject(decision).
type Decision struct {
	Request  string
	Revision table.Revision
	Epoch    uint64
	Model    string
	// Slot is logged when HasSlot is set, because slot 0 exists.
	Slot    outside.SlotID
	HasSlot bool
	Attempt outside.AttemptID
	Server  outside.ServerID
	Reason  string
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (d Decision) MarshalZerologObject(event *zerolog.Event) {
	addWord(event, "request", d.Request)
	if d.Revision != 0 {
		event.Int64("revision", int64(d.Revision))
	}
	if d.Epoch != 0 {
		event.Uint64("epoch", d.Epoch)
	}
	addWord(event, "model", d.Model)
	if d.HasSlot {
		event.Int("slot", int(d.Slot))
	}
	addWord(event, "attempt", string(d.Attempt))
	addWord(event, "server", string(d.Server))
	addWord(event, "reason", d.Reason)
}

func addWord(event *zerolog.Event, name, value string) {
	if value != "" {
		event.Str(name, value)
	}
}
