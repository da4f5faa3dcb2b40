package telemetry

import (
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

// Decision holds the fields common to all logged decisions; empty fields are not
// logged. Use it as logger.Info().EmbedObject(decision).
type Decision struct {
	Request  string
	Revision table.Revision
	Epoch    uint64
	Model    string
	// Slot is logged if HasSlot is set, because 0 is a valid slot.
	Slot    outside.SlotID
	HasSlot bool
	Attempt outside.AttemptID
	Server  outside.ServerID
	Reason  string
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (d Decision) MarshalZerologObject(event *zerolog.Event) {
	addNonEmpty(event, "request", d.Request)
	if d.Revision != 0 {
		event.Int64("revision", int64(d.Revision))
	}
	if d.Epoch != 0 {
		event.Uint64("epoch", d.Epoch)
	}
	addNonEmpty(event, "model", d.Model)
	if d.HasSlot {
		event.Int("slot", int(d.Slot))
	}
	addNonEmpty(event, "attempt", string(d.Attempt))
	addNonEmpty(event, "server", string(d.Server))
	addNonEmpty(event, "reason", d.Reason)
}

func addNonEmpty(event *zerolog.Event, name, value string) {
	if value != "" {
		event.Str(name, value)
	}
}
