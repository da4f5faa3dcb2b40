package settings

import (
	"fmt"
	"slices"
	"strings"
)

// heartbeatsPerLease is the minimum number of heartbeat intervals in the lease's
// time to live.
const heartbeatsPerLease = 3

// crossCheck is a validation rule between keys of different sections. It is
// checked only if the sections that it depends on are valid, so that one error is
// reported only once.
type crossCheck struct {
	dependsOn []string
	check     func(settings *Settings, problems *problemList)
}

var crossChecks = []crossCheck{
	{[]string{"intervals"}, checkLease},
	{[]string{"cells", "pools.engines"}, checkCells},
	{[]string{"pools"}, checkPoolNames},
	{[]string{"tenants", "pools.back_ends"}, checkPoolTenants},
	{[]string{"tenants", "administrators"}, checkTokens},
}

// checkAcrossSections checks the rules between keys of different sections.
func checkAcrossSections(settings *Settings, problems *problemList) {
	var applicable []crossCheck
	for _, candidate := range crossChecks {
		if !slices.ContainsFunc(candidate.dependsOn, problems.hasUnder) {
			applicable = append(applicable, candidate)
		}
	}
	for _, reference := range applicable {
		reference.check(settings, problems)
	}
}

func checkLease(settings *Settings, problems *problemList) {
	intervals := settings.Intervals
	if intervals.Heartbeat*heartbeatsPerLease > intervals.LeaseTTL {
		problems.add("intervals.heartbeat", intervals.Heartbeat,
			fmt.Sprintf("at most a third of intervals.lease_ttl, %s", intervals.LeaseTTL))
	}
}

func checkCells(settings *Settings, problems *problemList) {
	for index, cell := range settings.Cells {
		for position, pool := range cell.Pools {
			if !slices.Contains(settings.Pools.Engines, pool) {
				problems.add(fmt.Sprintf("cells[%d].pools[%d]", index, position), pool,
					"one of pools.engines: "+strings.Join(settings.Pools.Engines, ", "))
			}
		}
	}
}

func checkPoolNames(settings *Settings, problems *problemList) {
	for index, pool := range settings.Pools.BackEnds {
		if slices.Contains(settings.Pools.Engines, pool.Name) {
			problems.add(fmt.Sprintf("pools.back_ends[%d].name", index), pool.Name, "a name that is not in pools.engines")
		}
	}
}

func checkPoolTenants(settings *Settings, problems *problemList) {
	known := make(map[string]bool, len(settings.Tenants))
	for _, tenant := range settings.Tenants {
		known[tenant.Name] = true
	}
	for index, pool := range settings.Pools.BackEnds {
		for position, tenant := range pool.Tenants {
			if !known[tenant] {
				problems.add(fmt.Sprintf("pools.back_ends[%d].tenants[%d]", index, position), tenant, "the name of a tenant")
			}
		}
	}
}

// checkTokens adds a problem for each token that is used for more than one
// principal.
func checkTokens(settings *Settings, problems *problemList) {
	used := map[string]string{}
	check := func(key, hash string) {
		if first, duplicate := used[hash]; duplicate && hash != "" {
			problems.add(key, hash, "a token that is not used at "+first)
			return
		}
		used[hash] = key
	}
	for index, tenant := range settings.Tenants {
		for position, token := range tenant.Tokens {
			check(fmt.Sprintf("tenants[%d].tokens[%d].sha256", index, position), token.SHA256)
		}
	}
	for index, token := range settings.Administrators {
		check(fmt.Sprintf("administrators[%d].sha256", index), token.SHA256)
	}
}
