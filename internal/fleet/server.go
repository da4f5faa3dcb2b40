package fleet

import (
	"slices"
	"time"
)

// Server is the state of one incarnation of a server, as last observed.
type Server struct {
	// ID identifies the server; normally a restarted server has another.
	ID      string
	Pool    string
	Address string
	Zone    string
	// SoftwareVersion identifies the software that the incarnation runs. Versions have no order; empty
	// if the server did not report one.
	SoftwareVersion string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Born is when this incarnation started, in Unix milliseconds of the server's clock: a
	// server may restart under its ID. Zero if the server did not report it.
	Born int64
	// Draining servers get no new work.
	Draining bool
	// Preempted servers are removed at a fixed time, whatever they are running then.
	Preempted bool
	// ReportedLeaving is set on a server that drains since it sent a leaving notice in an
	// answer, whatever its record says.
	ReportedLeaving bool
	// Models that are ready, with their adapters.
	Models map[string]LoadedModel
	// recorded are the models in the server's own record, where a placement of the order holder
	// has replaced Models; otherwise nil.
	recorded map[string]LoadedModel
	// InMemory and OnDisk contain the models with a copy of their weights there.
	InMemory, OnDisk map[string]bool
	// Created is the revision of the store at which the server's record was created. A record
	// that expired and was created again has another, even with the same content.
	Created int64
	// PlacementVersion is the version of the order holder's placement from which Models are; it
	// increases within a holder's term.
	PlacementVersion uint64
	// SeenAt is when this state was observed.
	SeenAt time.Time
	// Undecoded are the fields of the record that could not be decoded, and are not known from an
	// earlier one either.
	Undecoded RecordFields
	// Held is set if the record in the store can't be used, so that this is the last one that could.
	Held bool
}

// RecordFields is a set of optional fields of a server's record.
type RecordFields uint8

// Fields of a server's record. FieldAvailable stands for InMemory and OnDisk.
const (
	FieldZone RecordFields = 1 << iota
	FieldSoftwareVersion
	FieldSlots
	FieldBorn
	FieldModels
	FieldAvailable
)

// Has reports whether the set contains the field.
func (f RecordFields) Has(field RecordFields) bool { return f&field != 0 }

// Incarnation identifies one run of a server process.
type Incarnation struct {
	ID   string
	Born int64
}

// Follows reports whether the incarnation is known to have started after another one under the
// same ID.
func (i Incarnation) Follows(other Incarnation) bool {
	return i.ID == other.ID && bornLater(i.Born, other.Born)
}

// Incarnation returns the incarnation that the state belongs to.
func (s *Server) Incarnation() Incarnation {
	return Incarnation{ID: s.ID, Born: s.Born}.WithPlausibleBirth()
}

// WithPlausibleBirth returns the incarnation without its birth if that lies in the future.
func (i Incarnation) WithPlausibleBirth() Incarnation {
	return Incarnation{ID: i.ID, Born: plausibleBirth(i.Born)}
}

// maxClockSkew bounds how far a server's clock may be ahead of this node's.
const maxClockSkew = 5 * time.Minute

// plausibleBirth returns the birth, or zero, which stands for one that was not reported, if it is
// in the future. Every later birth would count as earlier than such a one.
func plausibleBirth(born int64) int64 {
	if born > time.Now().Add(maxClockSkew).UnixMilli() {
		return 0
	}
	return born
}

// LoadedModel is a model that a server holds.
type LoadedModel struct {
	Adapters map[string]bool
}

// NewLoadedModel returns a loaded model with the adapters.
func NewLoadedModel(adapters []string) LoadedModel {
	model := LoadedModel{Adapters: make(map[string]bool, len(adapters))}
	for _, adapter := range adapters {
		model.Adapters[adapter] = true
	}
	return model
}

// AdapterNames returns the adapters in order; never nil.
func (m LoadedModel) AdapterNames() []string {
	names := make([]string, 0, len(m.Adapters))
	for adapter := range m.Adapters {
		names = append(names, adapter)
	}
	slices.Sort(names)
	return names
}

// Recorded returns the models in the server's own record.
func (s *Server) Recorded() map[string]LoadedModel {
	if s.recorded != nil {
		return s.recorded
	}
	return s.Models
}

// Holds reports whether the server holds the model with the adapter. Every server can serve an
// empty model, and every server with the model an empty adapter.
func (s *Server) Holds(model, adapter string) bool {
	if model == "" {
		return true
	}
	loaded, ready := s.Models[model]
	return ready && (adapter == "" || loaded.Adapters[adapter])
}
