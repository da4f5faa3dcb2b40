package slopes

import (
	"reflect"
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// meteredTransport counts the messages of one hollow node's peer transport.
type meteredTransport struct {
	peer.Transport
	meter *Meter
}

// Call implements peer.Transport.
func (t *meteredTransport) Call(address string, message peer.Message, timeout time.Duration, done func(peer.Message, error)) {
	t.meter.peerMessage(message)
	t.Transport.Call(address, message, timeout, done)
}

// Send implements peer.Transport.
func (t *meteredTransport) Send(address string, message peer.Message) {
	t.meter.peerMessage(message)
	t.Transport.Send(address, message)
}

// Handle implements peer.Transport; replies are counted too.
func (t *meteredTransport) Handle(prototype peer.Message, handler peer.Handler) {
	t.Transport.Handle(prototype, func(from string, message peer.Message, reply func(peer.Message, error)) {
		handler(from, message, func(answer peer.Message, err error) {
			if answer != nil {
				t.meter.peerMessage(answer)
			}
			reply(answer, err)
		})
	})
}

// peerMessage counts a message between two nodes, at both of them.
func (m *Meter) peerMessage(message peer.Message) {
	if !m.running {
		return
	}
	m.peerMessages++
	kind := reflect.TypeOf(message).String()
	samples := m.samples[kind]
	if samples == nil {
		samples = newSampler()
		m.samples[kind] = samples
	}
	size, codec, err := samples.observe(message)
	if err != nil {
		panic(err) // every message type is registered with gob
	}
	m.peerBytes += size
	m.kind(roleOfMessage(message), kind).add(Counts{Messages: 2, Bytes: 2 * size, Codec: codec})
}

// roleOfMessage returns the role of a message by its type's package.
func roleOfMessage(message peer.Message) Role {
	messageType := reflect.TypeOf(message)
	switch messageType.Name() {
	case "RevisionRequest", "RevisionReply":
		return RoleAdministration
	}
	role, known := roleOfFunction(messageType.PkgPath() + ".message")
	if !known {
		return RoleHarness
	}
	return role
}
