// Package emulator runs whole deployments in virtual time: real nodes between
// simulated callers and the platform's stand-ins, with workloads, faults and
// the checker of promises.
package emulator

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/settings"
	"github.com/hatchplank/hatchplank/internal/standin/engine"
	"github.com/hatchplank/hatchplank/internal/standin/weights"
	"github.com/hatchplank/hatchplank/internal/table"
)

// Deployment describes what is emulated.
type Deployment struct {
	Name   string
	Region string
	Zones  []string
	// ZoneDelay is the one-way delay between zones, ClientDelay to callers.
	ZoneDelay, ClientDelay time.Duration

	EnginePool string
	Engines    int
	// Engine is the configuration of each engine but for its name.
	Engine engine.Config

	BackEndPool string
	BackEnds    int
	// BackEndTimeLimit of pool requests.
	BackEndTimeLimit time.Duration

	Store    weights.Config
	Settings settings.Settings
	Rows     []table.Row
	// DiskCheckpoints and MemoryCheckpoints are the shares of models whose
	// checkpoint some machine has on disk or in memory at the start.
	DiskCheckpoints, MemoryCheckpoints float64
}

// localDelay is the one-way delay inside a zone.
const localDelay = 200 * time.Microsecond
