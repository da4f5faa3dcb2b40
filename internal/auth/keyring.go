package auth

import (
	"encoding/hex"
	"fmt"
	"strings"
)

const (
	bearerScheme = "bearer "
	// maxAuthorizationLength is the maximum length in bytes of an Authorization header's
	// value; longer ones are rejected without hashing.
	maxAuthorizationLength = 512
)

// Credential is one token of the settings, of which only the hash is stored.
type Credential struct {
	// SHA256 is the SHA-256 digest of the token in hexadecimal.
	SHA256 string
	Tenant string
	Role   Role
}

// HashToken returns the SHA-256 digest of a token in the format of Credential.
func HashToken(token string) string {
	digest := DigestOf(token)
	return hex.EncodeToString(digest[:])
}

// Keyring maps tokens to principals. It is immutable and safe for concurrent use.
type Keyring struct {
	principals Digests[Principal]
}

// NewKeyring validates all credentials and returns a keyring of them, or one error
// that lists all invalid credentials.
func NewKeyring(credentials []Credential) (*Keyring, error) {
	keyring := &Keyring{}
	var problems []string
	for position, credential := range credentials {
		if err := keyring.add(credential); err != nil {
			problems = append(problems, fmt.Sprintf("token %d: %v", position, err))
		}
	}
	if len(problems) > 0 {
		return nil, fmt.Errorf("credentials: %s", strings.Join(problems, "; "))
	}
	return keyring, nil
}

func (k *Keyring) add(credential Credential) error {
	raw, err := hex.DecodeString(credential.SHA256)
	if err != nil || len(raw) != len(Digest{}) {
		return fmt.Errorf("sha256 must be %d hexadecimal digits", 2*len(Digest{}))
	}
	if _, known := roleNames[credential.Role]; !known {
		return fmt.Errorf("role is missing")
	}
	if credential.Tenant == "" && credential.Role != RoleAdmin {
		return fmt.Errorf("tenant is missing for role %s", credential.Role)
	}
	if !k.principals.Add(Digest(raw), Principal{Tenant: credential.Tenant, Role: credential.Role}) {
		return fmt.Errorf("the same token is listed twice")
	}
	return nil
}

// Authenticate returns the principal of an Authorization header's value, or false
// if the value holds no known bearer token.
func (k *Keyring) Authenticate(authorization string) (Principal, bool) {
	if len(authorization) <= len(bearerScheme) || len(authorization) > maxAuthorizationLength {
		return Principal{}, false
	}
	scheme, token := authorization[:len(bearerScheme)], authorization[len(bearerScheme):]
	if !strings.EqualFold(scheme, bearerScheme) {
		return Principal{}, false
	}
	return k.principals.Find(DigestOf(token))
}
