// Package tenants holds the operators' tenants: their keys, the priority of their requests,
// and the limits on what all nodes together serve of them.
package tenants

import (
	"github.com/rotisserie/eris"

	"github.com/hatchplank/hatchplank/internal/auth"
)

// Tenant is a group of callers that share keys and a limit. It is immutable.
type Tenant struct {
	Name string
	// Priority of the tenant's requests, which precedes the priority of their routes; 0 is the
	// most urgent.
	Priority int
	Limit    Limit
}

// Limit bounds what all nodes together serve of a tenant's requests.
type Limit struct {
	// Rate in units a second; 0: no limit.
	Rate float64
	// Burst in units in excess of the rate.
	Burst float64
	// InTokens reports whether the unit is the token; otherwise it is the request.
	InTokens bool
	// DefaultTokens is the cost of a request that states no token count.
	DefaultTokens int
}

// Cost returns the cost of a request in the limit's unit. tokens is 0 if the request states none.
func (l Limit) Cost(tokens int) float64 {
	switch {
	case !l.InTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return float64(l.DefaultTokens)
}

// Directory finds tenants by key and by name. It is immutable and safe for concurrent use.
type Directory struct {
	byKey  auth.Digests[*Tenant]
	byName map[string]*Tenant
}

// Keys are a tenant and its keys in plain text, as configured. A Directory keeps only digests
// of the keys.
type Keys struct {
	Tenant Tenant
	Keys   []string
}

// NewDirectory indexes the tenants. It returns an error, which does not contain the key, if two
// tenants have the same key.
func NewDirectory(all []Keys) (*Directory, error) {
	directory := &Directory{byName: make(map[string]*Tenant, len(all))}
	for _, entry := range all {
		tenant := entry.Tenant
		directory.byName[tenant.Name] = &tenant
		for position, key := range entry.Keys {
			if other, exists := directory.byKey.Find(auth.DigestOf(key)); exists && other.Name != tenant.Name {
				return nil, eris.Errorf("key %d of tenant %q is a key of tenant %q as well", position, tenant.Name, other.Name)
			}
			directory.byKey.Add(auth.DigestOf(key), &tenant)
		}
	}
	return directory, nil
}

// ByKey returns the tenant of the key with the digest.
func (d *Directory) ByKey(digest auth.Digest) (*Tenant, bool) { return d.byKey.Find(digest) }

// ByName returns the tenant of the name, or nil.
func (d *Directory) ByName(name string) *Tenant { return d.byName[name] }

// All returns the tenants in no particular order.
func (d *Directory) All() []*Tenant {
	all := make([]*Tenant, 0, len(d.byName))
	for _, tenant := range d.byName {
		all = append(all, tenant)
	}
	return all
}
