package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

const (
	// maxParts is the number of parts of a prompt that are counted: the first ones, since the
	// parts that requests share come first.
	maxParts = 64
	// maxLoggedPartID is the number of bytes of a part's ID in logs and refusals. The ID is the
	// caller's word, and may be long.
	maxLoggedPartID = 32
)

// Request is what crashes are counted by: the request itself, and the parts of its prompt that
// other requests may share.
type Request struct {
	Identity Identity
	Parts    []Part
	// Trial is set where the request may run only as a trial.
	Trial *Trial
}

// identities returns those of the request and its parts, the request's first.
func (r Request) identities() []Identity {
	all := make([]Identity, 0, 1+len(r.Parts))
	all = append(all, r.Identity)
	for i := range r.Parts {
		all = append(all, r.Parts[i].Identity)
	}
	return all
}

// partIdentities returns those of the parts alone.
func (r Request) partIdentities() []Identity { return r.identities()[1:] }

// without returns the request without an identity, its own or that of a part.
func (r Request) without(identity Identity) Request {
	if r.Identity == identity {
		r.Identity = Identity{}
	}
	r.Parts = slices.DeleteFunc(slices.Clone(r.Parts), func(part Part) bool { return part.Identity == identity })
	return r
}

// partNamed returns the ID of the part with the identity, or an empty one if it is the request's own.
func (r Request) partNamed(identity Identity) string {
	if index := indexOfPart(r.Parts, identity); index >= 0 {
		return r.Parts[index].loggedID()
	}
	return ""
}

// Part is a part of a prompt that other requests may share.
type Part struct {
	// ID is the caller's name of the part.
	ID string
	// Identity depends on the caller and the host as well, so that no caller can bring the parts
	// of another one under suspicion.
	Identity Identity
}

// PartsOf returns the distinct parts of a prompt by their IDs, in order. The last part, which
// belongs to the request or its session alone, has to be left out by the caller. Parts beyond
// maxParts are left out.
func PartsOf(caller, host string, ids []string) []Part {
	if len(ids) == 0 {
		return nil
	}
	parts := make([]Part, 0, min(len(ids), maxParts))
	digested := appendWithLength(appendWithLength([]byte{partMarker}, caller), host)
	scope := len(digested)
	for _, id := range ids {
		if len(parts) == maxParts {
			break
		}
		digested = append(digested[:scope], id...)
		sum := sha256.Sum256(digested)
		identity := Identity(sum[:len(Identity{})])
		if indexOfPart(parts, identity) < 0 {
			parts = append(parts, Part{ID: id, Identity: identity})
		}
	}
	return parts
}

// partMarker tells the digest of a part from that of a request, which begins with the length of the
// caller's key. It is no first byte of a length.
const partMarker = 0xff

// appendWithLength appends a text behind its length, which keeps it apart from what follows.
func appendWithLength(digested []byte, text string) []byte {
	return append(binary.BigEndian.AppendUint64(digested, uint64(len(text))), text...)
}

// indexOfPart returns the index of the part with an identity, or -1.
func indexOfPart(parts []Part, identity Identity) int {
	return slices.IndexFunc(parts, func(part Part) bool { return part.Identity == identity })
}

// loggedID returns the part's ID as it stands in logs.
func (p Part) loggedID() string {
	if len(p.ID) > maxLoggedPartID {
		return p.ID[:maxLoggedPartID]
	}
	return p.ID
}
