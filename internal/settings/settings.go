// Package settings defines a node's settings and their defaults, and loads and
// validates them from a YAML file and flags. All problems are reported at once.
// It also loads workload files.
package settings

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/table"
)

// Size is a number of bytes, written with a unit such as "64MiB".
type Size int64

// String returns the size with its unit.
func (s Size) String() string { return table.FormatSize(int64(s)) }

// Settings are the settings of one node. The koanf tags are the keys in the file; a
// flag overrides the key of the same name.
type Settings struct {
	Node     Node     `koanf:"node"`
	Listen   Listen   `koanf:"listen"`
	Cluster  Cluster  `koanf:"cluster"`
	Platform Platform `koanf:"platform"`
	// Cells into which engines are divided. Without any, one cell holds all engines.
	Cells   []Cell   `koanf:"cells" validate:"max=1000,unique=Name,dive"`
	Pools   Pools    `koanf:"pools"`
	Tenants []Tenant `koanf:"tenants" validate:"min=1,max=10000,unique=Name,dive"`
	// Administrators may edit all rows and drain nodes.
	Administrators []AdministratorToken `koanf:"administrators" validate:"max=1000,unique=SHA256,dive"`
	TLS            TLS                  `koanf:"tls"`
	Limits         Limits               `koanf:"limits"`
	Deadlines      Deadlines            `koanf:"deadlines"`
	Intervals      Intervals            `koanf:"intervals"`
	Policy         Policy               `koanf:"policy"`
	Claims         Claims               `koanf:"claims"`
	Retry          Retry                `koanf:"retry"`
	Log            Log                  `koanf:"log"`
}

// Node identifies this node and its location.
type Node struct {
	// Name is unique among live nodes. The default is the address for callers.
	Name   string `koanf:"name" validate:"required,max=100,printascii"`
	Zone   string `koanf:"zone" validate:"required,name"`
	Region string `koanf:"region" validate:"required,name"`
}

// Listen holds the listen addresses, each an IP address and a port.
type Listen struct {
	// Callers is the HTTP address for callers and administrators.
	Callers string `koanf:"callers" validate:"required,address"`
	// Peers is the TCP address for other nodes.
	Peers string `koanf:"peers" validate:"required,address"`
	// PublicMetrics allows reading the metrics without a token.
	PublicMetrics bool `koanf:"public_metrics"`
}

// Cluster holds the settings that must be the same on all nodes of a deployment.
type Cluster struct {
	// Secret authenticates nodes to each other.
	Secret string `koanf:"secret" validate:"required,min=16,max=256"`
	// Membership is the failure detector, MembershipLease or MembershipHeartbeat.
	Membership string `koanf:"membership" validate:"oneof=lease heartbeat"`
}

// The failure detectors for nodes.
const (
	// MembershipLease: each node holds a lease in the key-value service.
	MembershipLease = "lease"
	// MembershipHeartbeat: nodes probe each other.
	MembershipHeartbeat = "heartbeat"
)

// Platform holds the addresses of the platform's services.
type Platform struct {
	KeyValue    []string `koanf:"key_value" validate:"min=1,max=16,unique,dive,http_url"`
	MachineList string   `koanf:"machine_list" validate:"required,http_url"`
	WeightStore string   `koanf:"weight_store" validate:"required,http_url"`
	// Timeout of one call to a service.
	Timeout time.Duration `koanf:"timeout" validate:"min=10ms,max=1m"`
}

// Cell is a group of engines with one owner.
type Cell struct {
	Name   string   `koanf:"name" validate:"required,name"`
	Region string   `koanf:"region" validate:"omitempty,name"`
	Pools  []string `koanf:"pools" validate:"max=100,unique,dive,name"`
	Zones  []string `koanf:"zones" validate:"max=100,unique,dive,name"`
}

// Pools lists the pools of servers.
type Pools struct {
	// Engines are the pools of model engines.
	Engines  []string      `koanf:"engines" validate:"min=1,max=100,unique,dive,name"`
	BackEnds []BackEndPool `koanf:"back_ends" validate:"max=100,unique=Name,dive"`
}

// BackEndPool is a pool of servers to which requests are passed through.
type BackEndPool struct {
	Name string `koanf:"name" validate:"required,name"`
	// Repeatable is whether a request whose outcome is unknown may be sent again.
	Repeatable bool `koanf:"repeatable"`
	// TimeLimit is the maximum and the default of a request's time limit.
	TimeLimit time.Duration `koanf:"time_limit" validate:"min=100ms,max=1h"`
	// Priority is the default priority of requests.
	Priority int `koanf:"priority" validate:"min=0,max=9"`
	// Tenants that may call the pool; if empty, all tenants.
	Tenants []string `koanf:"tenants" validate:"max=10000,unique,dive,name"`
	// PathPrefixes of the paths that may be called; if empty, all paths.
	PathPrefixes []string `koanf:"path_prefixes" validate:"max=100,unique,dive,startswith=/"`
}

// Tenant is a customer, with its share of capacity when capacity is scarce.
type Tenant struct {
	Name string `koanf:"name" validate:"required,name"`
	// Weight is the tenant's share relative to those of other tenants.
	Weight int     `koanf:"weight" validate:"min=1,max=1000"`
	Tokens []Token `koanf:"tokens" validate:"max=1000,dive"`
}

// Token is a bearer token of a tenant, of which only the hash is stored.
type Token struct {
	// SHA256 is the token's digest in hexadecimal, as auth.HashToken returns it.
	SHA256 string `koanf:"sha256" validate:"sha256"`
	Role   string `koanf:"role" validate:"oneof=caller operator admin"`
}

// AdministratorToken is an administrator's bearer token, which belongs to no tenant.
// Only the hash is stored.
type AdministratorToken struct {
	SHA256 string `koanf:"sha256" validate:"sha256"`
}

// TLS holds the paths of the certificate and its key. If both are empty, plain HTTP
// is served.
type TLS struct {
	Certificate string `koanf:"certificate" validate:"required_with=Key,max=4096"`
	Key         string `koanf:"key" validate:"required_with=Certificate,max=4096"`
}

// Limits limit the requests that a node holds.
type Limits struct {
	BodyBytes   Size `koanf:"body" validate:"min=1024,max=1073741824"`
	HeaderBytes Size `koanf:"headers" validate:"min=1024,max=1048576"`
	// TotalBodyBytes limits the bodies of all requests in flight together.
	TotalBodyBytes Size `koanf:"total_bodies" validate:"min=1048576,gtefield=BodyBytes"`
	// QueuePerModel limits the requests queued for one model.
	QueuePerModel int `koanf:"queue_per_model" validate:"min=1,max=1000000"`
	// Waiting limits all queued requests together.
	Waiting int `koanf:"waiting" validate:"min=1,max=10000000,gtefield=QueuePerModel"`
	// WaitingBytes limits the bodies of all queued requests together.
	WaitingBytes Size `koanf:"waiting_memory" validate:"min=1048576,gtefield=BodyBytes"`
}

// Deadlines configures the deadlines of requests.
type Deadlines struct {
	// Default is the time limit of requests and pools that set none.
	Default time.Duration `koanf:"default" validate:"min=100ms,max=1h"`
	// Margin is how long before its deadline a request is refused at the latest.
	Margin time.Duration `koanf:"margin" validate:"min=1ms,max=10s,ltfield=Default"`
}

// Intervals holds the intervals of periodic work and the lease time to live.
type Intervals struct {
	LeaseTTL  time.Duration `koanf:"lease_ttl" validate:"min=1s,max=5m"`
	Heartbeat time.Duration `koanf:"heartbeat" validate:"min=50ms,max=1m"`
	Tick      time.Duration `koanf:"tick" validate:"min=10ms,max=10s"`
	Report    time.Duration `koanf:"report" validate:"min=50ms,max=1m"`
}

// Policy configures the planner's policy, which decides what is loaded and when it
// is evicted.
type Policy struct {
	Name string `koanf:"name" validate:"oneof=on-demand-lru fixed-keep-alive pinned hatchplank"`
	// ColdStartWeight weighs cold starts against idle capacity, from 0 (minimize
	// idle accelerator hours only) to 1 (minimize the cold-start tail only).
	ColdStartWeight float64 `koanf:"cold_start_weight" validate:"min=0,max=1"`
	// KeepAliveMax is the maximum time for which an idle replica is kept loaded.
	KeepAliveMax time.Duration `koanf:"keep_alive_max" validate:"min=1s,max=168h"`
}

// Claims configures the claims on idempotency keys of non-repeatable requests.
type Claims struct {
	Shards    int           `koanf:"shards" validate:"min=1,max=4096"`
	Retention time.Duration `koanf:"retention" validate:"min=1m,max=168h"`
}

// Retry configures the budget for attempts after the first.
type Retry struct {
	// Ratio is the number of retries allowed per first attempt.
	Ratio float64 `koanf:"ratio" validate:"min=0,max=1"`
	// Burst is the number of retries allowed at once.
	Burst int `koanf:"burst" validate:"min=0,max=10000"`
}

// Log configures the node's log.
type Log struct {
	Level  string `koanf:"level" validate:"oneof=trace debug info warn error"`
	Format string `koanf:"format" validate:"oneof=json console"`
}
