// Package suite runs any set of the platform's stand-ins in one process, on
// addresses of their own.
package suite

import (
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/go-viper/mapstructure/v2"
	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"
	"github.com/rotisserie/eris"
)

//go:embed deployments/*.yaml
var deployments embed.FS

// Config describes the stand-ins of one deployment.
type Config struct {
	Region string      `koanf:"region" validate:"required"`
	Zones  []string    `koanf:"zones" validate:"min=1,unique,dive,required"`
	Store  StoreConfig `koanf:"store"`
	Pools  []Pool      `koanf:"pools" validate:"min=1,unique=Name,dive"`
	// Listen is the IP address of all stand-ins.
	Listen string `koanf:"listen" validate:"ip"`
	// BasePort is the first port; 0 lets the system choose every port.
	BasePort int `koanf:"base_port" validate:"min=0,max=60000"`
	// TimeScale makes loads so many times faster.
	TimeScale float64 `koanf:"time_scale" validate:"gt=0"`
	// KeepRecords keeps every event for the control interface, in memory that
	// grows with the run.
	KeepRecords bool `koanf:"keep_records"`
	// KeyValueOperationsPerSecond that are not refused; 0: no limit.
	KeyValueOperationsPerSecond float64 `koanf:"key_value_operations_per_second" validate:"min=0"`
}

// StoreConfig describes the weight store.
type StoreConfig struct {
	LoadsPerSecond float64 `koanf:"loads_per_second" validate:"gt=0"`
	FullSpeedLoads int     `koanf:"full_speed_loads" validate:"gt=0"`
	// BytesPerSecond of one load at full speed; 0: the store's default.
	BytesPerSecond float64 `koanf:"bytes_per_second" validate:"min=0"`
}

// Pool describes servers of one kind. They are spread evenly over the zones.
type Pool struct {
	Name string `koanf:"name" validate:"required"`
	// Engine: the servers are model engines.
	Engine  bool `koanf:"engine"`
	Servers int  `koanf:"servers" validate:"min=1,max=500"`
	// Zones of the pool; none: all zones of the deployment.
	Zones []string `koanf:"zones"`
	// Accelerators of an engine and the memory of each.
	Accelerators         int   `koanf:"accelerators" validate:"min=0"`
	AcceleratorMemoryGiB int64 `koanf:"accelerator_memory_gib" validate:"min=0"`
	// StepOverhead and StepPerSequence of an engine's decode steps; 0: the
	// engine's defaults.
	StepOverhead    time.Duration `koanf:"step_overhead" validate:"min=0"`
	StepPerSequence time.Duration `koanf:"step_per_sequence" validate:"min=0"`
	// MaxBatch requests run at once on a replica; 0: the engine's default.
	MaxBatch int `koanf:"max_batch" validate:"min=0"`
	// Concurrency and ServiceTime of a server that is no engine.
	Concurrency int           `koanf:"concurrency" validate:"min=0"`
	ServiceTime time.Duration `koanf:"service_time" validate:"min=0"`
}

// Defaults of a Config.
const (
	DefaultListen    = "127.0.0.1"
	DefaultTimeScale = 1
)

// Deployments returns the names of the built-in deployments.
func Deployments() []string {
	entries, err := fs.ReadDir(deployments, "deployments")
	if err != nil {
		return nil
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), ".yaml"))
	}
	slices.Sort(names)
	return names
}

// BuiltIn returns the configuration of a built-in deployment.
func BuiltIn(deployment string) (Config, error) {
	content, err := deployments.ReadFile("deployments/" + deployment + ".yaml")
	if errors.Is(err, fs.ErrNotExist) {
		return Config{}, eris.Errorf("unknown deployment %q; known: %s", deployment, strings.Join(Deployments(), ", "))
	}
	if err != nil {
		return Config{}, eris.Wrap(err, "deployment")
	}
	return Parse(content)
}

// Parse reads a configuration in YAML. An unknown key is an error.
func Parse(content []byte) (Config, error) {
	config := Config{Listen: DefaultListen, TimeScale: DefaultTimeScale, KeepRecords: true}
	values := koanf.New(".")
	if err := values.Load(rawbytes.Provider(content), yaml.Parser()); err != nil {
		return Config{}, eris.Wrap(err, "stand-in configuration")
	}
	err := values.UnmarshalWithConf("", &config, koanf.UnmarshalConf{
		DecoderConfig: &mapstructure.DecoderConfig{
			Result:      &config,
			TagName:     "koanf",
			ErrorUnused: true,
			DecodeHook:  mapstructure.StringToTimeDurationHookFunc(),
		},
	})
	if err != nil {
		return Config{}, eris.Wrap(err, "stand-in configuration")
	}
	return config, config.Validate()
}

// Validate reports every breach of a rule.
func (c Config) Validate() error {
	if err := validator.New().Struct(c); err != nil {
		return eris.Wrap(err, "stand-in configuration")
	}
	for _, pool := range c.Pools {
		for _, zone := range pool.Zones {
			if !slices.Contains(c.Zones, zone) {
				return eris.Errorf("stand-in configuration: pool %q names the unknown zone %q", pool.Name, zone)
			}
		}
	}
	return nil
}

// zonesOf returns the zones over which a pool is spread.
func (c Config) zonesOf(pool Pool) []string {
	if len(pool.Zones) > 0 {
		return pool.Zones
	}
	return c.Zones
}

// serverName names the servers of a pool from 1.
func serverName(pool Pool, number int) string {
	return fmt.Sprintf("%s-%02d", pool.Name, number)
}
