package slopes

import (
	"encoding/json"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// HTTPCallBytes are the bytes of the request line, the status line and the
// headers of one call over a kept connection, both ways. MeasureHTTPCall
// measures it; the constant is rounded up.
const HTTPCallBytes = 260

// jsonSize returns the size of a value's JSON form; like the peer messages only
// some of the values are encoded.
func (m *Meter) jsonSize(kind string, value any) (float64, time.Duration) {
	samples := m.samples[kind]
	if samples == nil {
		samples = &sampler{}
		m.samples[kind] = samples
	}
	samples.seen++
	weight := 1
	if samples.seen > sampleAll {
		if samples.seen%sampleStride != 0 {
			return 0, 0
		}
		weight = sampleStride
	}
	startedAt := time.Now()
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // the platform's types always encode
	}
	return float64(len(encoded) * weight), time.Since(startedAt) * time.Duration(weight)
}

// platformCall counts a call to a service of the platform and its body.
func (m *Meter) platformCall(role Role, kind string, content any) {
	if !m.running {
		return
	}
	counts := Counts{Messages: 2, Bytes: HTTPCallBytes, PlatformCalls: 1}
	if content != nil {
		size, codec := m.jsonSize(kind+" request", content)
		counts.Bytes += size
		counts.Codec += codec
	}
	m.kind(role, kind).add(counts)
}

// platformReply counts the body of a reply.
func (m *Meter) platformReply(role Role, kind string, content any) {
	if !m.running {
		return
	}
	size, codec := m.jsonSize(kind+" reply", content)
	m.kind(role, kind).add(Counts{Bytes: size, Codec: codec})
}

// meteredEngines counts orders and state polls; streams are data.
type meteredEngines struct {
	outside.EngineService
	meter *Meter
}

// Order implements outside.EngineService.
func (s *meteredEngines) Order(order outside.Order, timeout time.Duration, done func(outside.OrderResult, error)) {
	s.meter.platformCall(RoleServers, "engine order", order)
	s.EngineService.Order(order, timeout, func(result outside.OrderResult, err error) {
		if err == nil {
			s.meter.platformReply(RoleServers, "engine order", result)
		}
		done(result, err)
	})
}

// State implements outside.EngineService.
func (s *meteredEngines) State(server outside.ServerID, sinceVersion uint64, timeout time.Duration, done func(*outside.EngineState, error)) {
	s.meter.platformCall(RoleServers, "engine state", nil)
	s.EngineService.State(server, sinceVersion, timeout, func(state *outside.EngineState, err error) {
		if state != nil {
			s.meter.platformReply(RoleServers, "engine state", state)
		}
		done(state, err)
	})
}

// meteredMachines counts readings of the machine list.
type meteredMachines struct {
	service outside.MachineListService
	meter   *Meter
}

// List implements outside.MachineListService.
func (s *meteredMachines) List(sinceVersion uint64, timeout time.Duration, done func(*outside.MachineListing, error)) {
	s.meter.platformCall(RoleMachines, "machine list", nil)
	s.service.List(sinceVersion, timeout, func(listing *outside.MachineListing, err error) {
		if listing != nil {
			s.meter.platformReply(RoleMachines, "machine list", listing)
		}
		done(listing, err)
	})
}

// meteredWeights counts readings of the weight store's status.
type meteredWeights struct {
	service outside.WeightStoreService
	meter   *Meter
}

// Status implements outside.WeightStoreService.
func (s *meteredWeights) Status(timeout time.Duration, done func(outside.WeightStoreStatus, error)) {
	s.meter.platformCall(RoleWeights, "weight store status", outside.WeightStoreStatus{})
	s.service.Status(timeout, done)
}
