package serve

import (
	"errors"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/auth"
	"github.com/hatchplank/hatchplank/internal/node"
)

// handler builds the HTTP handler of the node.
func (p *Process) handler() (http.Handler, error) {
	credentials, err := p.settings.Credentials()
	if err != nil {
		return nil, eris.Wrap(err, "credentials")
	}
	keyring, err := auth.NewKeyring(credentials)
	if err != nil {
		return nil, eris.Wrap(err, "credentials")
	}
	p.drainer = newDrainer(p.node)
	return api.New(api.Config{
		Gateway: p.node.Gateway, Table: p.node.Table, Keyring: keyring, Clock: p.clock, Logger: p.logger,
		Pools: p.pools(), Limits: p.limits(), TableStore: api.NewStoredTable(p.node.Table),
		Status: p.status, Drainer: p.drainer, Ready: p.ready,
		Gatherer: p.metrics.Registry(), PublicMetrics: p.settings.Listen.PublicMetrics, Metrics: p.metrics,
	}), nil
}

func (p *Process) ready() error {
	if reason := p.node.Ready(); reason != "" {
		return errors.New(reason)
	}
	return nil
}

func (p *Process) pools() map[string]api.Pool {
	pools := map[string]api.Pool{}
	for _, pool := range p.settings.Pools.BackEnds {
		pools[pool.Name] = api.Pool{
			Tenants: pool.Tenants, PathPrefixes: pool.PathPrefixes, TimeLimit: pool.TimeLimit,
			Repeatable: pool.Repeatable, Priority: pool.Priority,
		}
	}
	return pools
}

func (p *Process) limits() api.Limits {
	limits := api.DefaultLimits()
	limits.HeaderBytes = int(p.settings.Limits.HeaderBytes)
	limits.BodyBytes = int64(p.settings.Limits.BodyBytes)
	limits.TotalBodyBytes = int64(p.settings.Limits.TotalBodyBytes)
	limits.DefaultTimeLimit = p.settings.Deadlines.Default
	return limits
}

// drainer implements api.Drainer for a node.
type drainer struct {
	node *node.Node
	once sync.Once
	// drained is closed when the drain is complete.
	drained chan struct{}
}

func newDrainer(n *node.Node) *drainer { return &drainer{node: n, drained: make(chan struct{})} }

// Drain implements api.Drainer.
func (d *drainer) Drain() {
	d.once.Do(func() { d.node.Drain(func() { close(d.drained) }) })
}

// Draining implements api.Drainer.
func (d *drainer) Draining() bool { return d.node.Draining() }
