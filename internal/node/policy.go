package node

import (
	"github.com/hatchplank/hatchplank/internal/planner"
	"github.com/hatchplank/hatchplank/internal/settings"
)

// newPolicy returns the planner policy that the settings name.
func newPolicy(s settings.Policy) (planner.Policy, error) {
	parameters := planner.DefaultParameters
	parameters.ColdStartWeight = s.ColdStartWeight
	if s.KeepAliveMax > 0 {
		parameters.KeepAlive = s.KeepAliveMax
	}
	return planner.New(s.Name, parameters)
}
