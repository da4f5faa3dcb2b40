package fleet

import (
	"slices"
	"time"
)

// Server is one incarnation of a server, as it last told of itself.
type Server struct {
	// ID names this incarnation; a restart has another.
	ID      string
	Pool    string
	Address string
	Zone    string
	// Slots is how many requests it works on at once.
	Slots int
	// Born is when this life of the server began, in Unix milliseconds of its clock: it may
	// start again under its ID. Zero: it did not say.
	Born int64
	// Draining servers get no new work.
	Draining bool
	// ReportedLeaving: it drains since the server told a node so in an answer, whatever its
	// record says.
	ReportedLeaving bool
	// Models that are ready, with their adapters.
	Models map[string]LoadedModel
	// recorded are the models that the server's own record shows, where the holder
	// of orders knows better; nil: Models.
	recorded map[string]LoadedModel
	// InMemory and OnDisk name the models with a copy of their weights there.
	InMemory, OnDisk map[string]bool
	// Created is the revision of the store at which the server's record came into
	// being. One that lapsed and came back has another, even if it says the same.
	Created int64
	// PlacementVersion is the version of the order holder's placement, for what it told
	// of the models; it grows during a holder's term.
	PlacementVersion uint64
	// SeenAt is when this state was told.
	SeenAt time.Time
}

// Incarnation of a server.
type Incarnation struct {
	ID   string
	Born int64
}

// Follows reports whether the life is known to have begun after another one under the ID.
func (l Incarnation) Follows(other Incarnation) bool {
	return l.ID == other.ID && later(l.Born, other.Born)
}

// Incarnation of the server that the state is of.
func (s *Server) Incarnation() Incarnation { return Incarnation{ID: s.ID, Born: s.Born} }

// LoadedModel is a model that a server holds.
type LoadedModel struct {
	Adapters map[string]bool
}

// NewLoadedModel returns a model that is held with the adapters.
func NewLoadedModel(adapters []string) LoadedModel {
	held := LoadedModel{Adapters: make(map[string]bool, len(adapters))}
	for _, adapter := range adapters {
		held.Adapters[adapter] = true
	}
	return held
}

// AdapterNames lists the adapters in order; it is never nil.
func (h LoadedModel) AdapterNames() []string {
	names := make([]string, 0, len(h.Adapters))
	for adapter := range h.Adapters {
		names = append(names, adapter)
	}
	slices.Sort(names)
	return names
}

// Recorded returns the models that the server's own record shows.
func (s *Server) Recorded() map[string]LoadedModel {
	if s.recorded != nil {
		return s.recorded
	}
	return s.Models
}

// Holds reports whether the server can serve the model with the adapter;
// an empty model is served by every server, an empty adapter by every holder.
func (s *Server) Holds(model, adapter string) bool {
	if model == "" {
		return true
	}
	held, ready := s.Models[model]
	return ready && (adapter == "" || held.Adapters[adapter])
}
