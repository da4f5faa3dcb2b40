package slopes

import (
	"fmt"
	"time"

	"github.com/hatchplank/hatchplank/internal/settings"
	"github.com/hatchplank/hatchplank/internal/table"
)

// The hollow servers: the target's 80,000 accelerators on 10,000 servers.
const (
	acceleratorsPerServer = 8
	memoryPerServer       = 8 * 80_000_000_000
	// tokensPerChunk lets a hollow generation be one event of the simulation.
	tokensPerChunk = hollowTokens
)

// Rows of the hollow table.
const (
	modelWeightBytes   = 16_000_000_000
	modelMemoryBytes   = 60_000_000_000
	adapterWeightBytes = 100_000_000
	rowTimeLimit       = 2 * time.Minute
	idleMaxReplicas    = 2
	// modelShare of the rows are models: 1,100 of 2,400.
	modelShare = 1100.0 / 2400.0
)

// claimShardsAtTarget divide 2,000 claims a second so that no shard holds more
// than claims.DefaultMaxKeysPerShard keys of an hour.
const claimShardsAtTarget = 256

// tenant of all rows.
const tenantName = "tenant"

func settingsOf(size Size, zones []zone) settings.Settings {
	s := settings.Default()
	s.Pools.Engines = []string{enginePool}
	s.Tenants = []settings.Tenant{{Name: tenantName, Weight: 1}}
	s.Claims.Shards = max(s.Claims.Shards, claimShardsAtTarget*size.Nodes/Target().Nodes)
	for i := range size.Cells() {
		at := zones[i%len(zones)]
		s.Cells = append(s.Cells, settings.Cell{
			Name: fmt.Sprintf("cell-%04d", i), Region: at.region,
			Pools: []string{enginePool}, Zones: []string{at.name},
		})
	}
	return s
}

// rowsOf returns the table's rows; the first are the active ones.
func rowsOf(size Size) []table.Row {
	models := max(size.ActiveRows, int(float64(size.Rows)*modelShare))
	rows := make([]table.Row, 0, size.Rows)
	for i := range max(size.Rows, models) {
		if i < models {
			rows = append(rows, modelRow(i, size))
			continue
		}
		rows = append(rows, adapterRow(i, i%models))
	}
	return rows
}

func modelName(index int) string { return fmt.Sprintf("model-%04d", index) }

func modelRow(index int, size Size) table.Row {
	row := table.Row{
		Name: modelName(index), Kind: table.KindModel, Version: "1", Tenant: tenantName,
		WeightBytes: modelWeightBytes, MemoryBytes: modelMemoryBytes, Weight: 1, Priority: 5,
		MaxReplicas: idleMaxReplicas, TimeLimit: rowTimeLimit, Repeatable: true,
	}
	if index < size.ActiveRows {
		row.MinReplicas = size.ReplicasPerActiveRow
		row.MaxReplicas = size.ReplicasPerActiveRow
	}
	return row
}

func adapterRow(index, base int) table.Row {
	return table.Row{
		Name: fmt.Sprintf("adapter-%04d", index), Kind: table.KindAdapter, Base: modelName(base),
		Version: "1", Tenant: tenantName, WeightBytes: adapterWeightBytes, MemoryBytes: adapterWeightBytes,
		Weight: 1, Priority: 5, MaxReplicas: 1, TimeLimit: rowTimeLimit, Repeatable: true,
	}
}
