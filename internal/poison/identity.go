// Package poison finds requests that end the servers that run them, and has every
// node refuse them.
//
// Such a request comes back from its caller, at any node, under another ID. So each
// one is recognized by its Identity. When a server ends, the nodes that had requests
// under way there tell each other their identities (Report). A Ledger counts the ends
// of each identity, and a Quarantine holds those with too many.
package poison

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Identity is what two tries of one request have in common: their caller, target and
// body. It is a digest that nobody can aim at, so that no caller can bring the request
// of one with another key under suspicion.
type Identity [16]byte

// IdentityOf digests a request. The caller is its key, and empty without one: then
// requests of any such callers that are alike in all else are the same. Headers are left
// out, since some of them differ between two tries: IDs, deadlines, the event that a
// stream goes on at.
func IdentityOf(caller, method, host, target string, body []byte) Identity {
	// A hash takes all that is written to it; its errors are always nil.
	digest := sha256.New()
	for _, part := range []string{caller, method, host, target} {
		// The length keeps two parts from being read as one another's beginning.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:])
		_, _ = digest.Write([]byte(part))
	}
	_, _ = digest.Write(body)
	var identity Identity
	copy(identity[:], digest.Sum(nil))
	return identity
}

// loggedBytes of an identity are enough to tell the requests of a day apart.
const loggedBytes = 6

// String is the form in logs.
func (i Identity) String() string { return hex.EncodeToString(i[:loggedBytes]) }

// Text is the whole identity, as in the store's keys and in commands.
func (i Identity) Text() string { return hex.EncodeToString(i[:]) }

// compare orders identities, so that what depends on their order repeats.
func (i Identity) compare(other Identity) int { return bytes.Compare(i[:], other[:]) }

// IsZero reports whether the request has no identity, as one that was not read.
func (i Identity) IsZero() bool { return i == Identity{} }
