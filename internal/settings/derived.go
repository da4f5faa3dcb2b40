package settings

import (
	"github.com/hatchplank/hatchplank/internal/auth"
	"github.com/hatchplank/hatchplank/internal/cells"
)

// defaultCell is the name of the only cell of a deployment without configured cells.
const defaultCell = "all"

// Layout returns the cell layout. Without cells in the file, one cell holds all
// engine pools. A cell without pools holds engines of all pools.
func (s Settings) Layout() cells.Layout {
	if len(s.Cells) == 0 {
		return cells.Layout{Cells: []cells.Cell{{Name: defaultCell, Pools: s.Pools.Engines}}}
	}
	layout := cells.Layout{Cells: make([]cells.Cell, len(s.Cells))}
	for index, cell := range s.Cells {
		pools := cell.Pools
		if len(pools) == 0 {
			pools = s.Pools.Engines
		}
		layout.Cells[index] = cells.Cell{Name: cell.Name, Region: cell.Region, Pools: pools, Zones: cell.Zones}
	}
	return layout
}

// TenantNames returns the tenants' names in the order of the file.
func (s Settings) TenantNames() []string {
	names := make([]string, len(s.Tenants))
	for index, tenant := range s.Tenants {
		names[index] = tenant.Name
	}
	return names
}

// TenantWeights returns the tenants' weights by name.
func (s Settings) TenantWeights() map[string]int {
	weights := make(map[string]int, len(s.Tenants))
	for _, tenant := range s.Tenants {
		weights[tenant.Name] = tenant.Weight
	}
	return weights
}

// Credentials returns all tokens as credentials for auth.NewKeyring. It returns an
// error for an unknown role.
func (s Settings) Credentials() ([]auth.Credential, error) {
	var credentials []auth.Credential
	for _, tenant := range s.Tenants {
		for _, token := range tenant.Tokens {
			role, err := auth.ParseRole(token.Role)
			if err != nil {
				return nil, err
			}
			credentials = append(credentials, auth.Credential{SHA256: token.SHA256, Tenant: tenant.Name, Role: role})
		}
	}
	for _, token := range s.Administrators {
		credentials = append(credentials, auth.Credential{SHA256: token.SHA256, Role: auth.RoleAdmin})
	}
	return credentials, nil
}
