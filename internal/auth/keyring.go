package auth

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"strings"
)

const (
	bearerScheme  = "bearer "
	keyringShards = 256
	// maxTokenLength in bytes; longer tokens are refused without being hashed.
	maxTokenLength = 512
)

// Credential is one token as the settings hold it: only its hash.
type Credential struct {
	// SHA256 is the token's SHA-256 in hexadecimal.
	SHA256 string
	Tenant string
	Role   Role
}

// HashToken returns the SHA-256 of a token as Credential holds it.
func HashToken(token string) string {
	digest := sha256.Sum256([]byte(token))
	return hex.EncodeToString(digest[:])
}

// Keyring finds the principal of a token. It is immutable and safe for
// concurrent use.
//
// Only the token's hash decides which entries are compared and each comparison
// takes constant time, so the time of a look-up tells nothing about a token.
type Keyring struct {
	shards [keyringShards][]keyringEntry
}

type keyringEntry struct {
	digest    [sha256.Size]byte
	principal Principal
}

// NewKeyring checks all credentials and returns every fault joined in one error.
func NewKeyring(credentials []Credential) (*Keyring, error) {
	keyring := &Keyring{}
	var faults []string
	for position, credential := range credentials {
		if err := keyring.add(credential); err != nil {
			faults = append(faults, fmt.Sprintf("token %d: %v", position, err))
		}
	}
	if len(faults) > 0 {
		return nil, fmt.Errorf("credentials: %s", strings.Join(faults, "; "))
	}
	return keyring, nil
}

func (k *Keyring) add(credential Credential) error {
	raw, err := hex.DecodeString(credential.SHA256)
	if err != nil || len(raw) != sha256.Size {
		return fmt.Errorf("sha256 must be %d hexadecimal digits", 2*sha256.Size)
	}
	if _, known := roleNames[credential.Role]; !known {
		return fmt.Errorf("role is missing")
	}
	if credential.Tenant == "" && credential.Role != RoleAdmin {
		return fmt.Errorf("tenant is missing for role %s", credential.Role)
	}
	digest := [sha256.Size]byte(raw)
	if _, used := k.find(digest); used {
		return fmt.Errorf("the same token is listed twice")
	}
	entry := keyringEntry{digest: digest, principal: Principal{Tenant: credential.Tenant, Role: credential.Role}}
	k.shards[digest[0]] = append(k.shards[digest[0]], entry)
	return nil
}

// Authenticate returns the principal of an Authorization header's value.
func (k *Keyring) Authenticate(authorization string) (Principal, bool) {
	if len(authorization) <= len(bearerScheme) || len(authorization) > maxTokenLength {
		return Principal{}, false
	}
	scheme, token := authorization[:len(bearerScheme)], authorization[len(bearerScheme):]
	if !strings.EqualFold(scheme, bearerScheme) {
		return Principal{}, false
	}
	return k.find(sha256.Sum256([]byte(token)))
}

// find compares with every entry of the shard, found or not.
func (k *Keyring) find(digest [sha256.Size]byte) (Principal, bool) {
	var principal Principal
	found := false
	for _, entry := range k.shards[digest[0]] {
		if subtle.ConstantTimeCompare(entry.digest[:], digest[:]) == 1 {
			principal = entry.principal
			found = true
		}
	}
	return principal, found
}
