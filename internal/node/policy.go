package node

import (
	"github.com/hatchplank/hatchplank/internal/planner"
	"github.com/hatchplank/hatchplank/internal/settings"
)

// policyOf builds the planner's policy that the settings name.
func policyOf(s settings.Policy) (planner.Policy, error) {
	parameters := planner.DefaultParameters
	parameters.ColdStartWeight = s.ColdStartWeight
	if s.KeepAliveMax > 0 {
		parameters.KeepAlive = s.KeepAliveMax
	}
	return planner.New(s.Name, parameters)
}
