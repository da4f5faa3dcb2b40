package auth

import (
	"crypto/sha256"
	"crypto/subtle"
)

// digestShards is the number of values of a digest's first byte, which selects the
// shard.
const digestShards = 256

// Digest is the SHA-256 digest of a secret. The secret itself is not stored.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a secret.
func DigestOf(secret string) Digest { return sha256.Sum256([]byte(secret)) }

// Digests maps digests of secrets to values. Concurrent calls of Find are safe if
// Add is not called at the same time.
//
// Which entries are compared depends only on the digest, and each comparison takes
// constant time, so that the duration of a lookup reveals nothing about a secret.
type Digests[T any] struct {
	shards [digestShards][]digestEntry[T]
}

type digestEntry[T any] struct {
	digest Digest
	value  T
}

// Add adds the value of a digest. It returns false if the digest already has one.
func (d *Digests[T]) Add(digest Digest, value T) bool {
	if _, used := d.Find(digest); used {
		return false
	}
	shard := &d.shards[digest[0]]
	*shard = append(*shard, digestEntry[T]{digest: digest, value: value})
	return true
}

// Find returns the value of a digest, or false if there is none. It compares every
// entry of the shard in either case.
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
