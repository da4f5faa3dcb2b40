// Package tenants knows the operators' tenants: which one a caller's key belongs
// to, how urgent its requests are, and how much all nodes together may serve of
// them.
package tenants

import (
	"github.com/rotisserie/eris"

	"github.com/hatchplank/hatchplank/internal/auth"
)

// Tenant is a group of callers with common keys and one limit. It is immutable.
type Tenant struct {
	Name string
	// Priority ranks the tenant's requests before their routes do; 0 is the most
	// urgent.
	Priority int
	Limit    Limit
}

// Limit bounds what all nodes together serve of a tenant's requests.
type Limit struct {
	// Rate in units a second; 0: no limit.
	Rate float64
	// Burst in units above the rate.
	Burst float64
	// InTokens: the unit is the token, not the request.
	InTokens bool
	// DefaultTokens is what a request counts that tells no tokens.
	DefaultTokens int
}

// Cost of a request that tells this many tokens, or none.
func (l Limit) Cost(tokens int) float64 {
	switch {
	case !l.InTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return float64(l.DefaultTokens)
}

// Directory finds tenants by key and by name. It is immutable and safe for
// concurrent use.
type Directory struct {
	byKey  auth.Digests[*Tenant]
	byName map[string]*Tenant
}

// Keys of a tenant as the operators write them. They are only kept as digests.
type Keys struct {
	Tenant Tenant
	Keys   []string
}

// NewDirectory indexes the tenants. A key of two tenants is an error, which does
// not show the key.
func NewDirectory(all []Keys) (*Directory, error) {
	directory := &Directory{byName: make(map[string]*Tenant, len(all))}
	for _, entry := range all {
		tenant := entry.Tenant
		directory.byName[tenant.Name] = &tenant
		for position, key := range entry.Keys {
			if other, known := directory.byKey.Find(auth.DigestOf(key)); known && other.Name != tenant.Name {
				return nil, eris.Errorf("key %d of tenant %q is a key of tenant %q as well", position, tenant.Name, other.Name)
			}
			directory.byKey.Add(auth.DigestOf(key), &tenant)
		}
	}
	return directory, nil
}

// ByKey returns the tenant that a key's digest belongs to.
func (d *Directory) ByKey(digest auth.Digest) (*Tenant, bool) { return d.byKey.Find(digest) }

// ByName returns a tenant, or nil.
func (d *Directory) ByName(name string) *Tenant { return d.byName[name] }

// All returns the tenants in no order.
func (d *Directory) All() []*Tenant {
	all := make([]*Tenant, 0, len(d.byName))
	for _, tenant := range d.byName {
		all = append(all, tenant)
	}
	return all
}
