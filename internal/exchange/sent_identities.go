package exchange

import (
	"hash/maphash"
	"slices"
)

// maxExchanges is the number of requests after which a connection is closed, which bounds what is kept of
// their identities.
const maxExchanges = 1024

// digestSeed makes collisions of digests unpredictable.
var digestSeed = maphash.MakeSeed()

// sentIdentities are the identities of the requests that were sent on a connection. It keeps digests: a
// collision only makes another connection carry a request.
type sentIdentities struct{ digests []uint32 }

// add adds an identity. An empty one is not kept.
func (s *sentIdentities) add(identity string) {
	if identity != "" {
		s.digests = append(s.digests, digestOf(identity))
	}
}

// containsAny reports whether one of the identities may be among those that were sent.
func (s *sentIdentities) containsAny(identities []string) bool {
	for _, identity := range identities {
		if slices.Contains(s.digests, digestOf(identity)) {
			return true
		}
	}
	return false
}

func digestOf(identity string) uint32 { return uint32(maphash.String(digestSeed, identity)) }
