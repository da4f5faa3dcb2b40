package slopes

import "strings"

// Role is a part of a node's work to which cost is attributed.
type Role string

// The roles.
const (
	RoleMembership     Role = "membership"
	RoleOwnership      Role = "cell ownership"
	RoleTable          Role = "table distribution"
	RoleAdministration Role = "administration"
	RoleClaims         Role = "claim shard"
	RoleMachines       Role = "machine list"
	RoleServers        Role = "server owner"
	RolePlanner        Role = "planner"
	RoleModels         Role = "model home (demand and endpoints)"
	RoleWeights        Role = "weight store"
	// RoleCollector is the nodes' part of Go's garbage collection.
	RoleCollector Role = "garbage collection"
	// RoleData is the data path, which the limits on control do not cover.
	RoleData Role = "gateway (data path)"
	// RoleHarness is the simulation itself and the stand-ins.
	RoleHarness Role = "harness"
)

// Roles lists the roles of control in the order of reports.
var Roles = []Role{
	RoleMembership, RoleOwnership, RoleTable, RoleAdministration, RoleClaims, RoleMachines,
	RoleServers, RolePlanner, RoleModels, RoleWeights, RoleCollector,
}

// modulePrefix begins the function names of this program's packages.
const modulePrefix = "github.com/hatchplank/hatchplank/internal/"

// packageRoles gives the role of a package's functions. A package that is not
// listed, such as table or clock, works for whoever calls it.
var packageRoles = map[string]Role{
	"tablestore":  RoleTable,
	"claims":      RoleClaims,
	"machinelist": RoleMachines,
	"applier":     RoleServers,
	"planner":     RolePlanner,
	"directory":   RoleModels,
	"gateway":     RoleData,
	"router":      RoleData,
	"simulation":  RoleHarness,
	"standin":     RoleHarness,
	"slopes":      RoleHarness,
}

// ownershipTypes are the types of package membership that own cells.
var ownershipTypes = []string{"Owners", "candidates", "winner", "cellState", "ownerRecord", "OwnerRecord", "runnerCalls"}

// roleOfFunction returns the role of a function by its name in a profile.
func roleOfFunction(name string) (Role, bool) {
	rest, internal := strings.CutPrefix(name, modulePrefix)
	if !internal {
		return "", false
	}
	end := strings.IndexAny(rest, "/.")
	if end < 0 {
		return "", false
	}
	pkg, symbol := rest[:end], rest[end:]
	if pkg == "membership" {
		return membershipRole(symbol)
	}
	role, known := packageRoles[pkg]
	return role, known
}

func membershipRole(symbol string) (Role, bool) {
	if strings.HasPrefix(symbol, "/keywatch") {
		return "", false
	}
	for _, word := range ownershipTypes {
		if strings.Contains(symbol, word) {
			return RoleOwnership, true
		}
	}
	return RoleMembership, true
}

// keyRoles gives the role of the keys in the key-value service by prefix.
var keyRoles = []struct {
	prefix string
	role   Role
}{
	{"members/", RoleMembership},
	{"cells/", RoleOwnership},
	{"table/", RoleTable},
	{"claims", RoleClaims},
	{"statistics/", RolePlanner},
}

func roleOfKey(key string) Role {
	for _, entry := range keyRoles {
		if strings.HasPrefix(key, entry.prefix) {
			return entry.role
		}
	}
	return RoleHarness
}
