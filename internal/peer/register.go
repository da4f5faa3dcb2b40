package peer

import (
	"encoding/gob"
	"reflect"
)

// Register makes a message type known to gob under its short name, package and
// type such as "claims.VoteRequest". Gob's own choice is the whole import path,
// which would travel with every message. Names must differ between packages.
func Register(prototype Message) {
	gob.RegisterName(reflect.TypeOf(prototype).String(), prototype)
}
