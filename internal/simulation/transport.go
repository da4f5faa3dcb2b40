package simulation

import (
	"bytes"
	"encoding/gob"
	"errors"
	"reflect"
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// PeerNetwork connects the transports of simulated nodes by address.
type PeerNetwork struct {
	network    *Network
	transports map[string]*PeerTransport
	// OnMessage, if set, is called for each message with its gob-encoded size in
	// bytes.
	OnMessage func(from, to string, message peer.Message, size int)
}

// NewPeerNetwork returns a peer network whose messages network delivers.
func NewPeerNetwork(network *Network) *PeerNetwork {
	return &PeerNetwork{network: network, transports: map[string]*PeerTransport{}}
}

// PeerTransport is the simulated peer.Transport of one node. A node that
// restarts at the same address replaces the transport of its previous
// incarnation.
type PeerTransport struct {
	peers    *PeerNetwork
	process  *Process
	handlers map[reflect.Type]peer.Handler
}

// Transport returns a new transport for the process; its address is the
// process's name.
func (p *PeerNetwork) Transport(process *Process) *PeerTransport {
	transport := &PeerTransport{peers: p, process: process, handlers: map[reflect.Type]peer.Handler{}}
	p.transports[process.Name] = transport
	return transport
}

// Handle implements peer.Transport.
func (t *PeerTransport) Handle(prototype peer.Message, handler peer.Handler) {
	t.handlers[reflect.TypeOf(prototype)] = handler
}

type peerReply struct {
	message peer.Message
	err     error
}

// Call implements peer.Transport.
func (t *PeerTransport) Call(address string, message peer.Message, timeout time.Duration, done func(peer.Message, error)) {
	target, found := t.peers.transports[address]
	if !found {
		t.process.AfterFunc(timeout, func() { done(nil, peer.ErrUnreachable) })
		return
	}
	t.peers.reportMessage(t, target, message)
	Call[peerReply]{
		Network: t.peers.network, Client: t.process, Server: target.process, Timeout: timeout,
		Serve:     func(answer func(peerReply)) { target.serve(t, message, answer) },
		OnReply:   func(reply peerReply) { done(reply.message, reply.err) },
		OnTimeout: func() { done(nil, peer.ErrUnreachable) },
	}.Start()
}

// Send implements peer.Transport.
func (t *PeerTransport) Send(address string, message peer.Message) {
	target, found := t.peers.transports[address]
	if !found {
		return
	}
	t.peers.reportMessage(t, target, message)
	t.peers.network.Deliver(t.process, target.process, func() {
		target.serve(t, message, func(peerReply) {})
	})
}

func (t *PeerTransport) serve(from *PeerTransport, message peer.Message, answer func(peerReply)) {
	handler, found := t.handlers[reflect.TypeOf(message)]
	if !found {
		answer(peerReply{err: errors.New("no handler for message")})
		return
	}
	handler(from.process.Name, message, func(reply peer.Message, err error) {
		if reply != nil {
			t.peers.reportMessage(t, from, reply)
		}
		answer(peerReply{message: reply, err: err})
	})
}

func (p *PeerNetwork) reportMessage(from, to *PeerTransport, message peer.Message) {
	if p.OnMessage == nil {
		return
	}
	p.OnMessage(from.process.Name, to.process.Name, message, EncodedSize(message))
}

// EncodedSize returns a message's size in bytes on an established gob
// connection, on which the type descriptions were already sent. It returns 0
// for a message that gob can't encode.
func EncodedSize(message peer.Message) int {
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	if encoder.Encode(&message) != nil {
		return 0
	}
	withTypes := buffer.Len()
	if encoder.Encode(&message) != nil {
		return withTypes
	}
	return buffer.Len() - withTypes
}
