// Package poison detects requests that crash the servers that run them, and has every node
// refuse them.
//
// The caller sends such a request again, to any node and under another ID, so each request is
// recognized by its Identity. When a server crashes, the nodes that had requests running there
// report the identities to each other (Report). A CrashLog counts the crashes of each identity,
// and a Quarantine holds the identities with too many.
package poison

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// Identity is what all tries of one request have in common: a digest of caller, target and
// body. It is a cryptographic digest, so no caller can forge a request with the identity of a
// caller that has another key and bring that request under suspicion.
type Identity [16]byte

// IdentityOf digests a request. The caller is its key, or empty without one: then requests of
// all such callers that are equal otherwise have one identity. Headers are left out, since some
// of them differ between two tries: IDs, deadlines, the event at which a stream resumes.
func IdentityOf(caller, method, host, target string, body []byte) Identity {
	// A hash never returns a write error.
	digest := sha256.New()
	for _, part := range []string{caller, method, host, target} {
		// The length prefix keeps the parts apart: bytes moved from one part to the next change
		// the digest.
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

// parseIdentity parses a Text.
func parseIdentity(text string) (Identity, error) {
	decoded, err := hex.DecodeString(text)
	if err == nil && len(decoded) != len(Identity{}) {
		err = fmt.Errorf("identity %q has %d bytes", text, len(decoded))
	}
	if err != nil {
		return Identity{}, err
	}
	return Identity(decoded), nil
}

// loggedBytes is the length of an identity in logs: enough to distinguish the requests of a
// day.
const loggedBytes = 6

// String returns the shortened form for logs.
func (i Identity) String() string { return hex.EncodeToString(i[:loggedBytes]) }

// Text returns the whole identity in hexadecimal, as used in the store's keys and in commands.
func (i Identity) Text() string { return hex.EncodeToString(i[:]) }

// compare orders identities, so that results that depend on their order are reproducible.
func (i Identity) compare(other Identity) int { return bytes.Compare(i[:], other[:]) }

// IsZero reports whether the request has no identity, for example because its body was not
// read.
func (i Identity) IsZero() bool { return i == Identity{} }
