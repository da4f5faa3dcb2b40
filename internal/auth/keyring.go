package auth

import (
	"encoding/hex"
	"fmt"
	"strings"
)

const (
	bearerScheme = "bearer "
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
	digest := DigestOf(token)
	return hex.EncodeToString(digest[:])
}

// Keyring finds the principal of a token. It is immutable and safe for
// concurrent use.
type Keyring struct {
	principals Digests[Principal]
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

// Authenticate returns the principal of an Authorization header's value.
func (k *Keyring) Authenticate(authorization string) (Principal, bool) {
	if len(authorization) <= len(bearerScheme) || len(authorization) > maxTokenLength {
		return Principal{}, false
	}
	scheme, token := authorization[:len(bearerScheme)], authorization[len(bearerScheme):]
	if !strings.EqualFold(scheme, bearerScheme) {
		return Principal{}, false
	}
	return k.principals.Find(DigestOf(token))
}
