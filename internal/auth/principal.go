// Package auth authenticates callers and operators by bearer tokens and keeps
// the TLS certificate of the node's HTTP interface up to date.
package auth

import "fmt"

// Role is what a token's holder may do. Roles are ordered: each one may do all
// that the one before may.
type Role uint8

// The roles.
const (
	// RoleCaller calls the models and pools of its tenant.
	RoleCaller Role = iota + 1
	// RoleOperator also reads and edits its tenant's rows of the table.
	RoleOperator
	// RoleAdmin reads and edits all rows, drains nodes and reads metrics.
	RoleAdmin
)

var roleNames = map[Role]string{RoleCaller: "caller", RoleOperator: "operator", RoleAdmin: "admin"}

// String returns the role's word in the settings.
func (r Role) String() string {
	if name, known := roleNames[r]; known {
		return name
	}
	return "none"
}

// ParseRole reads a role's word.
func ParseRole(word string) (Role, error) {
	for role, name := range roleNames {
		if name == word {
			return role, nil
		}
	}
	return 0, fmt.Errorf("role %q is not one of caller, operator, admin", word)
}

// Principal is who an authenticated request comes from.
type Principal struct {
	// Tenant of the token; may be empty for an administrator.
	Tenant string
	Role   Role
}

// Allows reports whether the principal may do what the role may.
func (p Principal) Allows(role Role) bool { return p.Role >= role && role != 0 }

// Manages reports whether the principal may see and edit the tenant's rows.
func (p Principal) Manages(tenant string) bool {
	switch p.Role {
	case RoleAdmin:
		return true
	case RoleOperator:
		return p.Tenant == tenant
	default:
		return false
	}
}
