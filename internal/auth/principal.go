// Package auth authenticates callers and operators by bearer tokens and keeps
// the TLS certificate of the node's HTTP interface up to date.
package auth

import "fmt"

// Role is the set of permissions of a token. Roles are ordered: each one includes
// the permissions of the one before.
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

// String returns the role's name in the settings, or "none".
func (r Role) String() string {
	if name, known := roleNames[r]; known {
		return name
	}
	return "none"
}

// ParseRole returns the role of a name in the settings.
func ParseRole(word string) (Role, error) {
	for role, name := range roleNames {
		if name == word {
			return role, nil
		}
	}
	return 0, fmt.Errorf("role %q is not one of caller, operator, admin", word)
}

// Principal is the authenticated sender of a request.
type Principal struct {
	// Tenant of the token; may be empty for an administrator.
	Tenant string
	Role   Role
}

// Allows reports whether the principal has the permissions of the role.
func (p Principal) Allows(role Role) bool { return p.Role >= role && role != 0 }

// Manages reports whether the principal may read and edit the tenant's rows.
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
