package emulator

import (
	"math/rand/v2"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// misrouter is a node's access to the engines that, as a fault, lets pieces of
// one attempt's answer reach another attempt too.
type misrouter struct {
	outside.EngineService
	world  *World
	random *rand.Rand
	// open attempts in no particular but a fixed order.
	open []*misroutedSink
}

func newMisrouter(world *World, service outside.EngineService) *misrouter {
	return &misrouter{EngineService: service, world: world, random: world.Loop.Fork()}
}

// Generate implements outside.EngineService.
func (m *misrouter) Generate(request outside.GenerateRequest, sink outside.GenerateSink) func() {
	wrapped := &misroutedSink{GenerateSink: sink, misrouter: m, position: len(m.open)}
	m.open = append(m.open, wrapped)
	return m.EngineService.Generate(request, wrapped)
}

// other returns another open attempt if the fault strikes; else nil.
func (m *misrouter) other(than *misroutedSink) *misroutedSink {
	share := m.world.Faults.Misrouted
	if share == 0 || len(m.open) == 0 || m.random.Float64() >= share {
		return nil
	}
	victim := m.open[m.random.IntN(len(m.open))]
	if victim == than {
		return nil
	}
	return victim
}

func (m *misrouter) close(ended *misroutedSink) {
	last := len(m.open) - 1
	m.open[ended.position] = m.open[last]
	m.open[ended.position].position = ended.position
	m.open[last] = nil
	m.open = m.open[:last]
}

// misroutedSink is one attempt's sink.
type misroutedSink struct {
	outside.GenerateSink
	misrouter *misrouter
	// position in the open attempts.
	position int
}

// Chunk implements outside.GenerateSink.
func (s *misroutedSink) Chunk(chunk outside.Chunk) {
	if victim := s.misrouter.other(s); victim != nil {
		victim.GenerateSink.Chunk(chunk)
	}
	s.GenerateSink.Chunk(chunk)
}

// End implements outside.GenerateSink.
func (s *misroutedSink) End(end outside.GenerateEnd) {
	s.misrouter.close(s)
	if victim := s.misrouter.other(nil); victim != nil {
		victim.GenerateSink.End(end)
	}
	s.GenerateSink.End(end)
}

// Failed implements outside.GenerateSink.
func (s *misroutedSink) Failed(err *outside.AttemptError) {
	s.misrouter.close(s)
	s.GenerateSink.Failed(err)
}
