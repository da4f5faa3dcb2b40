package settings

import (
	"fmt"
	"slices"
	"strings"
)

// heartbeatsPerLease is how many heartbeats must fit into a lease.
const heartbeatsPerLease = 3

// referenceCheck is a rule between keys of different parts. It is only checked
// when the parts it depends on are sound, so that one fault is reported once.
type referenceCheck struct {
	dependsOn []string
	check     func(settings *Settings, problems *problemList)
}

var referenceChecks = []referenceCheck{
	{[]string{"intervals"}, checkLease},
	{[]string{"cells", "pools.engines"}, checkCells},
	{[]string{"pools"}, checkPoolNames},
	{[]string{"tenants", "pools.back_ends"}, checkPoolTenants},
	{[]string{"tenants", "administrators"}, checkTokens},
}

// checkReferences checks the rules between keys of different parts.
func checkReferences(settings *Settings, problems *problemList) {
	var due []referenceCheck
	for _, candidate := range referenceChecks {
		if !slices.ContainsFunc(candidate.dependsOn, problems.concern) {
			due = append(due, candidate)
		}
	}
	for _, reference := range due {
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

// checkTokens refuses a token that two principals would share.
func checkTokens(settings *Settings, problems *problemList) {
	used := map[string]string{}
	check := func(key, hash string) {
		if first, twice := used[hash]; twice && hash != "" {
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
