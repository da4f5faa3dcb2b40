package peer

import "encoding/gob"

// RegisterAs makes a message type known to gob under the given name, such as
// "claims.VoteRequest". Gob's own choice is the whole import path, which would travel
// with every message. The name is the message's name on the wire, independent of the Go
// type: it must not change when the type or its package is renamed, or nodes of earlier
// and later builds would not understand each other. No two messages may share a name.
func RegisterAs(name string, prototype Message) { gob.RegisterName(name, prototype) }
