// Package edge runs the process of one node on the users' platform. It holds the node's settings,
// logging and metrics, its listeners, and its graceful shutdown.
package edge

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// Settings are the settings of a node, read from YAML. Durations are written with their unit, such
// as "2s".
type Settings struct {
	Node struct {
		Name string `yaml:"name"`
		Zone string `yaml:"zone"`
	} `yaml:"node"`
	Listen struct {
		// Callers is the address for clients' requests, Health the one for health checks, both
		// with a port.
		Callers string `yaml:"callers"`
		Health  string `yaml:"health"`
		// Peers is the address for messages of other nodes.
		Peers string `yaml:"peers"`
		// PeersAdvertised is the address given to other nodes, for when they can't reach this
		// one at Peers; empty: Peers.
		PeersAdvertised string `yaml:"peers_advertised"`
		// Metrics is the address for metrics and status; empty: they are not served.
		Metrics string `yaml:"metrics"`
	} `yaml:"listen"`
	Cluster struct {
		// Secret is shared by all nodes.
		Secret string `yaml:"secret"`
	} `yaml:"cluster"`
	Store struct {
		Address string `yaml:"address"`
		// Contact is the time within which the node must know the store's state again once
		// the store and the network are healthy.
		Contact time.Duration `yaml:"contact"`
		// Changes and Drains are the times within which the node must act on a new
		// configuration and on the drain of a server.
		Changes time.Duration `yaml:"changes"`
		Drains  time.Duration `yaml:"drains"`
		// HeartbeatMilliseconds is the time between two writes of a server's record; 0 if it is
		// not known.
		HeartbeatMilliseconds float64 `yaml:"heartbeat_ms"`
		// MinimumLease is the shortest lease duration that the store grants.
		MinimumLease time.Duration `yaml:"minimum_lease"`
		// ReadsPerSecond and WritesPerSecond are the store's rate limits for all nodes
		// together; 0: unlimited.
		ReadsPerSecond  float64 `yaml:"reads_per_second"`
		WritesPerSecond float64 `yaml:"writes_per_second"`
	} `yaml:"store"`
	Retries struct {
		// In each Window, attempts beyond a request's first are limited to Ratio times the
		// pool's requests, plus Slack for all nodes together.
		Ratio  float64       `yaml:"ratio"`
		Slack  float64       `yaml:"slack"`
		Window time.Duration `yaml:"window"`
	} `yaml:"retries"`
	Quotas struct {
		// WindowSeconds is the window over which a tenant's requests are summed. Within it
		// they stay below the tenant's rate times the window plus its burst. 0:
		// defaultQuotaWindow.
		WindowSeconds float64 `yaml:"window_seconds"`
	} `yaml:"quotas"`
	Orders struct {
		// HandoverPeriod is the minimum time between orders of two holders to the same server.
		HandoverPeriod time.Duration `yaml:"turn"`
		// Fenced is set if the servers check fencing tokens, and so refuse orders of an earlier
		// holder themselves.
		Fenced bool `yaml:"fenced"`
		// LoadWindow and LoadOverage limit the model loads that begin in any window: the rate
		// that the store allows, times LoadWindow, times LoadOverage.
		LoadWindow  time.Duration `yaml:"load_window"`
		LoadOverage float64       `yaml:"load_overage"`
	} `yaml:"orders"`
	Stop struct {
		// Grace is the time from SIGTERM until the platform kills the process.
		Grace time.Duration `yaml:"grace"`
	} `yaml:"stop"`
	Log struct {
		Level string `yaml:"level"`
	} `yaml:"log"`
	Memory struct {
		// LimitMB is the memory in MiB beyond which the process is killed; 0: unknown.
		LimitMB int `yaml:"limit_mb"`
	} `yaml:"memory"`
	Machine Machine `yaml:"machine"`
}

// defaultQuotaWindow is the window used if the settings give none. The users specified it.
const defaultQuotaWindow = 8 * time.Second

// QuotaWindow returns the window over which a tenant's requests are summed.
func (s *Settings) QuotaWindow() time.Duration {
	if s.Quotas.WindowSeconds == 0 {
		return defaultQuotaWindow
	}
	return time.Duration(s.Quotas.WindowSeconds * float64(time.Second))
}

// defaultHeartbeat is assumed where the settings give none. A shorter time than the actual one ends the wait for a
// planned shutdown sooner.
const defaultHeartbeat = time.Second

// Heartbeat returns the time between two writes of a server's record.
func (s *Settings) Heartbeat() time.Duration {
	if s.Store.HeartbeatMilliseconds == 0 {
		return defaultHeartbeat
	}
	return time.Duration(s.Store.HeartbeatMilliseconds * float64(time.Millisecond))
}

// LoadSettings parses and validates settings. Unknown keys are an error, since they are probably
// misspelt.
func LoadSettings(content []byte) (Settings, error) {
	var settings Settings
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	if err := decoder.Decode(&settings); err != nil && !errors.Is(err, io.EOF) {
		return settings, eris.Wrap(err, "read the settings")
	}
	return settings, settings.validate()
}

// validate returns all problems joined in one error.
func (s *Settings) validate() error {
	var problems []error
	require := func(valid bool, format string, arguments ...any) {
		if !valid {
			problems = append(problems, fmt.Errorf(format, arguments...))
		}
	}
	require(s.Node.Name != "", "node.name is missing")
	require(s.Node.Zone != "", "node.zone is missing")
	addresses := []struct {
		name, value string
		optional    bool
	}{
		{"listen.callers", s.Listen.Callers, false},
		{"listen.health", s.Listen.Health, false},
		{"listen.peers", s.Listen.Peers, false},
		{"listen.peers_advertised", s.Listen.PeersAdvertised, true},
		{"listen.metrics", s.Listen.Metrics, true},
		{"store.address", s.Store.Address, false},
	}
	for _, address := range addresses {
		if address.optional && address.value == "" {
			continue
		}
		_, _, err := net.SplitHostPort(address.value)
		require(err == nil, "%s: %q is not an address with a port", address.name, address.value)
	}
	require(s.Cluster.Secret != "", "cluster.secret is missing")
	require(s.Store.Contact > 0, "store.contact must be above 0")
	require(s.Store.Changes > 0, "store.changes must be above 0")
	require(s.Store.Drains > 0, "store.drains must be above 0")
	require(s.Store.HeartbeatMilliseconds >= 0, "store.heartbeat_ms must not be below 0")
	require(s.Store.MinimumLease > 0, "store.minimum_lease must be above 0")
	require(s.Store.ReadsPerSecond >= 0 && s.Store.WritesPerSecond >= 0, "store.reads_per_second and store.writes_per_second must not be below 0")
	require(s.Retries.Ratio >= 0 && s.Retries.Slack >= 0, "retries.ratio and retries.slack must not be below 0")
	require(s.Retries.Window > 0, "retries.window must be above 0")
	require(s.Quotas.WindowSeconds >= 0, "quotas.window_seconds must not be below 0")
	require(s.Orders.HandoverPeriod >= 0, "orders.turn must not be below 0")
	require(s.Orders.LoadWindow > 0, "orders.load_window must be above 0")
	require(s.Orders.LoadOverage > 0, "orders.load_overage must be above 0")
	require(s.Stop.Grace > 0, "stop.grace must be above 0")
	require(s.Machine.ProcessorShare > 0, "machine.processor_share must be above 0")
	require(s.Machine.LinkMbps > 0, "machine.link_mbps must be above 0")
	require(s.Machine.Descriptors >= minDescriptors, "machine.descriptors: %d are too few, a node needs %d", s.Machine.Descriptors, minDescriptors)
	require(s.Memory.LimitMB >= 0, "memory.limit_mb must not be below 0")
	return errors.Join(problems...)
}
