package auth

import (
	"crypto/sha256"
	"crypto/subtle"
)

const digestShards = 256

// Digest of a secret. The secret itself is kept nowhere.
type Digest [sha256.Size]byte

// DigestOf hashes a secret.
func DigestOf(secret string) Digest { return sha256.Sum256([]byte(secret)) }

// Digests finds what belongs to a secret by its digest. Reading is safe for
// concurrent use.
//
// Only the digest decides which entries are compared and each comparison takes
// constant time, so the time of a look-up tells nothing about a secret.
type Digests[T any] struct {
	shards [digestShards][]digestEntry[T]
}

type digestEntry[T any] struct {
	digest Digest
	value  T
}

// Add notes what belongs to a digest; false if the digest is known already.
func (d *Digests[T]) Add(digest Digest, value T) bool {
	if _, used := d.Find(digest); used {
		return false
	}
	shard := &d.shards[digest[0]]
	*shard = append(*shard, digestEntry[T]{digest: digest, value: value})
	return true
}

// Find compares with every entry of the shard, found or not.
func (d *Digests[T]) Find(digest Digest) (T, bool) {
	var value T
	found := false
	for _, entry := range d.shards[digest[0]] {
		if subtle.ConstantTimeCompare(entry.digest[:], digest[:]) == 1 {
			value = entry.value
			found = true
		}
	}
	return value, found
}
