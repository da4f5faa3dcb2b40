package settings

import (
	"fmt"
	"path"
	"time"
)

// Workload describes a deployment's platform and traffic, for the emulator, the
// demonstration and the load generator.
type Workload struct {
	Name   string `koanf:"name" validate:"required,name"`
	Region string `koanf:"region" validate:"required,name"`
	// Zones over which servers are distributed round-robin.
	Zones []string `koanf:"zones" validate:"min=1,max=100,unique,dive,name"`
	// ZoneDelay is the one-way network delay between zones, ClientDelay the one
	// between nodes and clients.
	ZoneDelay   time.Duration `koanf:"zone_delay" validate:"min=0s,max=1s"`
	ClientDelay time.Duration `koanf:"client_delay" validate:"min=0s,max=1s"`
	Engines     []EngineGroup `koanf:"engines" validate:"min=1,max=100,unique=Pool,dive"`
	BackEnds    []ServerGroup `koanf:"back_ends" validate:"max=100,unique=Pool,dive"`
	WeightStore StoreLimits   `koanf:"weight_store"`
	// Phases of a round in order. The first one is the quiet phase, which also
	// applies between rounds.
	Phases []Phase `koanf:"phases" validate:"min=2,max=20,unique=Name,dive"`
	// Rounds of the calendar.
	Rounds      []Round           `koanf:"rounds" validate:"min=1,max=100,unique=Name,dive"`
	Generations []GenerationClass `koanf:"generations" validate:"min=1,max=100,unique=Name,dive"`
	Calls       []BackEndClass    `koanf:"calls" validate:"max=100,unique=Name,dive"`
}

// EngineGroup is a group of identical model engines.
type EngineGroup struct {
	Pool              string `koanf:"pool" validate:"required,name"`
	Count             int    `koanf:"count" validate:"min=1,max=100000"`
	Accelerators      int    `koanf:"accelerators" validate:"min=1,max=64"`
	AcceleratorMemory Size   `koanf:"accelerator_memory" validate:"min=1073741824"`
	// HostMemory and Disk are the sizes of the checkpoint caches.
	HostMemory Size `koanf:"host_memory" validate:"min=0"`
	Disk       Size `koanf:"disk" validate:"min=0"`
	// MemorySpeed, DiskSpeed and RemoteSpeed are the bytes per second read from
	// host memory, disk and weight store.
	MemorySpeed Size `koanf:"memory_speed" validate:"min=1000000"`
	DiskSpeed   Size `koanf:"disk_speed" validate:"min=1000000"`
	RemoteSpeed Size `koanf:"remote_speed" validate:"min=1000000"`
	// Batch is the number of requests that one replica runs concurrently.
	Batch int `koanf:"batch" validate:"min=1,max=10000"`
	// TokensPerSecond is the generation rate of one running request.
	TokensPerSecond float64 `koanf:"tokens_per_second" validate:"gt=0,max=10000"`
	// PrefillTokensPerSecond is the prefill rate of one replica.
	PrefillTokensPerSecond float64 `koanf:"prefill_tokens_per_second" validate:"gt=0,max=1000000"`
}

// MemoryBytes returns the accelerator memory of one engine in bytes.
func (g EngineGroup) MemoryBytes() int64 { return int64(g.AcceleratorMemory) * int64(g.Accelerators) }

// ServerGroup is a group of identical servers other than engines.
type ServerGroup struct {
	Pool        string        `koanf:"pool" validate:"required,name"`
	Count       int           `koanf:"count" validate:"min=1,max=100000"`
	ServiceTime time.Duration `koanf:"service_time" validate:"min=1ms,max=1m"`
	// Concurrency is the number of calls that one server runs concurrently.
	Concurrency int `koanf:"concurrency" validate:"min=1,max=100000"`
}

// StoreLimits are the limits of the weight store.
type StoreLimits struct {
	LoadsPerSecond float64 `koanf:"loads_per_second" validate:"gt=0,max=10000"`
	FullSpeedLoads int     `koanf:"full_speed_loads" validate:"min=1,max=10000"`
}

// Phase is a part of a round.
type Phase struct {
	Name string `koanf:"name" validate:"required,name"`
	// Duration of the phase. That of the quiet phase is the time before the first
	// round.
	Duration time.Duration `koanf:"duration" validate:"min=1s,max=8760h"`
	// Ramp is the time over which rates change from those of the previous phase.
	Ramp time.Duration `koanf:"ramp" validate:"min=0s,ltefield=Duration"`
}

// Round is a round of the calendar, which may recur.
type Round struct {
	Name string `koanf:"name" validate:"required,name"`
	// Start is the time of the first opening after the beginning of the calendar.
	Start time.Duration `koanf:"start" validate:"min=0s,max=87600h"`
	// Every is the time between openings; if zero, the round does not recur.
	Every time.Duration `koanf:"every" validate:"min=0s,max=87600h"`
	// Scale is the factor by which the rates above the quiet rate are multiplied.
	Scale float64 `koanf:"scale" validate:"gt=0,max=100"`
}

// Tokens is a log-normal distribution of token counts.
type Tokens struct {
	Median int `koanf:"median" validate:"min=1,max=1000000"`
	P99    int `koanf:"p99" validate:"gtefield=Median,max=1000000"`
}

// GenerationClass is a class of requests to models.
type GenerationClass struct {
	Name string `koanf:"name" validate:"required,name"`
	// Rows is a path.Match pattern of row names.
	Rows string `koanf:"rows" validate:"required,max=100"`
	// Tenants whose callers send the requests; if empty, all tenants.
	Tenants  []string `koanf:"tenants" validate:"max=10000,unique,dive,name"`
	Priority int      `koanf:"priority" validate:"min=0,max=9"`
	// TimeLimit that requests ask for.
	TimeLimit time.Duration `koanf:"time_limit" validate:"min=100ms,max=1h"`
	Prompt    Tokens        `koanf:"prompt"`
	Output    Tokens        `koanf:"output"`
	// SharedPrefix is the fraction of the prompt that all requests for a row have in
	// common.
	SharedPrefix float64 `koanf:"shared_prefix" validate:"min=0,max=1"`
	// Streamed is the fraction of requests with a streamed response.
	Streamed float64 `koanf:"streamed" validate:"min=0,max=1"`
	// Skew is the exponent of the Zipf distribution over the rows; 0 is uniform.
	Skew float64 `koanf:"skew" validate:"min=0,max=4"`
	// Rates are the requests per second of the whole class, by phase.
	Rates map[string]float64 `koanf:"rates" validate:"min=1,dive,min=0,max=1000000"`
}

// Matches reports whether a row's name matches the pattern of the class.
func (c GenerationClass) Matches(row string) bool {
	matched, err := path.Match(c.Rows, row)
	return err == nil && matched
}

// BackEndClass is a class of calls to a back-end pool.
type BackEndClass struct {
	Name string `koanf:"name" validate:"required,name"`
	Pool string `koanf:"pool" validate:"required,name"`
	// Path that is called.
	Path      string        `koanf:"path" validate:"startswith=/,max=1000"`
	Tenants   []string      `koanf:"tenants" validate:"max=10000,unique,dive,name"`
	Priority  int           `koanf:"priority" validate:"min=0,max=9"`
	TimeLimit time.Duration `koanf:"time_limit" validate:"min=100ms,max=1h"`
	Body      Size          `koanf:"body" validate:"min=1,max=1073741824"`
	// NonRepeatable is the fraction of calls that may run at most once.
	NonRepeatable float64 `koanf:"non_repeatable" validate:"min=0,max=1"`
	// Repeats is the fraction of non-repeatable calls that the caller sends again
	// with the same key, possibly to another node, RepeatAfter after the first.
	Repeats     float64       `koanf:"repeats" validate:"min=0,max=1"`
	RepeatAfter time.Duration `koanf:"repeat_after" validate:"min=0s,max=10m"`
	// Rates are the calls per second of the whole class, by phase.
	Rates map[string]float64 `koanf:"rates" validate:"min=1,dive,min=0,max=1000000"`
}

// LoadWorkload decodes and validates a workload file and returns all problems at
// once; if there are any, the workload must not be used.
func LoadWorkload(file []byte) (Workload, []Problem) {
	var result Workload
	var problems problemList
	if !decode(file, nil, &result, &problems) {
		return result, problems.problems
	}
	validate(&result, &problems)
	checkWorkload(&result, &problems)
	return result, problems.problems
}

func checkWorkload(workload *Workload, problems *problemList) {
	for index, class := range workload.Generations {
		key := fmt.Sprintf("generations[%d]", index)
		if _, err := path.Match(class.Rows, ""); err != nil {
			problems.add(key+".rows", class.Rows, `a pattern such as "dossier-*"`)
		}
		checkRates(key, class.Rates, workload.Phases, problems)
	}
	for index, class := range workload.Calls {
		key := fmt.Sprintf("calls[%d]", index)
		checkRates(key, class.Rates, workload.Phases, problems)
		checkCallPool(key, class.Pool, workload.BackEnds, problems)
	}
}

func checkRates(key string, rates map[string]float64, phases []Phase, problems *problemList) {
	known := make(map[string]bool, len(phases))
	for _, phase := range phases {
		known[phase.Name] = true
	}
	for _, name := range sortedKeys(rates) {
		if !known[name] {
			problems.add(key+".rates."+name, rates[name], "the name of a phase")
		}
	}
}

func checkCallPool(key, pool string, groups []ServerGroup, problems *problemList) {
	for _, group := range groups {
		if group.Pool == pool {
			return
		}
	}
	problems.add(key+".pool", pool, "the pool of one of back_ends")
}
