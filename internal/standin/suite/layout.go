package suite

import (
	"net"
	"strconv"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// Part is one kind of stand-in.
type Part string

// The parts of a suite.
const (
	PartKeyValue Part = "kv"
	PartWeights  Part = "weights"
	PartMachines Part = "machines"
	PartEngines  Part = "engine"
	PartServers  Part = "server"
)

// AllParts of a suite.
var AllParts = []Part{PartKeyValue, PartWeights, PartMachines, PartEngines, PartServers}

// Ports are counted from the base port, so that parts in different processes
// agree on them.
const (
	keyValuePort    = 0
	weightsPort     = 1
	machinesPort    = 2
	firstServerPort = 10
)

// placedServer is a server of a pool with its place.
type placedServer struct {
	pool    Pool
	machine outside.Machine
}

// address returns the address of a port counted from the base port.
func (c Config) address(offset int) string {
	port := 0
	if c.BasePort > 0 {
		port = c.BasePort + offset
	}
	return net.JoinHostPort(c.Listen, strconv.Itoa(port))
}

// placedServers returns all servers in the order of their ports.
func (c Config) placedServers() []placedServer {
	var placed []placedServer
	for _, pool := range c.Pools {
		zones := c.zonesOf(pool)
		for number := range pool.Servers {
			placed = append(placed, placedServer{pool: pool, machine: outside.Machine{
				Server:  outside.ServerID(serverName(pool, number+1)),
				Address: c.address(firstServerPort + len(placed)),
				Pool:    pool.Name,
				Zone:    zones[number%len(zones)],
				Region:  c.Region,
				Phase:   outside.MachineLive,
				Engine:  pool.Engine,
			}})
		}
	}
	return placed
}
