package peer

import (
	"encoding/gob"
	"reflect"
)

// Register makes a message type known to gob under its short name, package and
// type such as "claims.VoteRequest". Gob's own choice is the whole import path,
// which would travel with every message. Names must differ between packages.
func Register(prototype Message) { RegisterAs(reflect.TypeOf(prototype).String(), prototype) }

// RegisterAs is Register with a name that was the type's before, so that nodes of earlier
// and later builds understand each other.
func RegisterAs(name string, prototype Message) { gob.RegisterName(name, prototype) }
