package emulator

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/applier"
	"github.com/hatchplank/hatchplank/internal/checker"
	"github.com/hatchplank/hatchplank/internal/settings"
	"github.com/hatchplank/hatchplank/internal/standin/engine"
	"github.com/hatchplank/hatchplank/internal/standin/weights"
	"github.com/hatchplank/hatchplank/internal/table"
)

func TestEmulator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "emulator")
}

const gibibyte = int64(1) << 30

// miniature is a deployment of a few servers and models.
func miniature() Deployment {
	chosen := settings.Default()
	chosen.Node = settings.Node{Name: "node", Zone: "east", Region: "home"}
	chosen.Pools.Engines = []string{"engines"}
	chosen.Pools.BackEnds = []settings.BackEndPool{{Name: "seats", TimeLimit: 30 * time.Second}}
	chosen.Tenants = []settings.Tenant{{Name: "alpha", Weight: 1}, {Name: "beta", Weight: 1}}
	var rows []table.Row
	for i := range 12 {
		rows = append(rows, table.Row{
			Name: fmt.Sprintf("model-%02d", i), Kind: table.KindModel, Version: "1",
			WeightBytes: 8 * gibibyte, MemoryBytes: 16 * gibibyte, Tenant: []string{"alpha", "beta"}[i%2],
			Weight: 1, MaxReplicas: 2, TimeLimit: time.Minute, Repeatable: i%4 != 0,
		})
	}
	return Deployment{
		Name: "miniature", Region: "home", Zones: []string{"east", "west", "north"},
		ZoneDelay: 1500 * time.Microsecond, ClientDelay: time.Millisecond,
		EnginePool: "engines", Engines: 6, BackEndPool: "seats", BackEnds: 3,
		Engine:   engine.Config{Accelerators: 2, MemoryBytes: 48 * gibibyte, TokensPerChunk: 8},
		Store:    weights.Config{LoadsPerSecond: 3, Burst: 1, FullSpeedLoads: 6, BytesPerSecond: 4e9},
		Settings: chosen, Rows: rows, DiskCheckpoints: 0.4, MemoryCheckpoints: 0.2,
	}
}

func miniatureOptions(seed uint64) Options {
	return Options{
		Deployment: miniature(), Seed: seed, Nodes: 4, Mechanisms: applier.AllMechanisms(),
		Limits: checker.DefaultLimits(), Logger: zerolog.Nop(),
	}
}
