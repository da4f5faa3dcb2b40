// Package load sends an open-loop load to a deployment of stand-ins and checks
// every answer against what the stand-ins should have said.
package load

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// Bounds of one run.
const (
	MaxRate     = 100_000
	MaxDuration = time.Hour
	maxWeight   = 1_000_000
	maxTokens   = 100_000
)

// Workload is the mix of requests.
type Workload struct {
	Models []ModelShare `yaml:"models"`
	Pools  []PoolShare  `yaml:"pools"`
	// NonRepeatable is the share of requests, from 0 to 1, that go to the pools
	// with an idempotency key.
	NonRepeatable float64 `yaml:"non_repeatable"`
	// Streamed is the share of generations, from 0 to 1, that ask for a stream.
	Streamed float64 `yaml:"streamed"`
}

// ModelShare is a model and its part of the generations.
type ModelShare struct {
	Name      string `yaml:"name"`
	Weight    int    `yaml:"weight"`
	MaxTokens int    `yaml:"max_tokens"`
	// PromptBytes is the length of the prompt's text.
	PromptBytes int `yaml:"prompt_bytes"`
}

// PoolShare is a back-end pool and its part of the non-repeatable requests.
type PoolShare struct {
	Name   string `yaml:"name"`
	Weight int    `yaml:"weight"`
	// Path below the pool, with a leading slash.
	Path string `yaml:"path"`
}

// Defaults of shares.
const (
	DefaultMaxTokens   = 16
	DefaultPromptBytes = 400
	DefaultStreamed    = 0.5
	DefaultPoolPath    = "/"
)

// ReadWorkload reads a workload from a YAML file; unknown keys are errors.
func ReadWorkload(path string) (Workload, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Workload{}, eris.Wrap(err, "read workload")
	}
	return DecodeWorkload(content)
}

// DecodeWorkload reads a workload from YAML.
func DecodeWorkload(content []byte) (Workload, error) {
	workload := Workload{Streamed: DefaultStreamed}
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	if err := decoder.Decode(&workload); err != nil && !eris.Is(err, io.EOF) {
		return workload, eris.Wrap(err, "read workload")
	}
	workload.setDefaults()
	return workload, workload.check()
}

func (w *Workload) setDefaults() {
	for index := range w.Models {
		model := &w.Models[index]
		model.Weight = orDefault(model.Weight, 1)
		model.MaxTokens = orDefault(model.MaxTokens, DefaultMaxTokens)
		model.PromptBytes = orDefault(model.PromptBytes, DefaultPromptBytes)
	}
	for index := range w.Pools {
		pool := &w.Pools[index]
		pool.Weight = orDefault(pool.Weight, 1)
		pool.Path = orDefault(pool.Path, DefaultPoolPath)
	}
}

// check returns the first rule that the workload breaks.
func (w Workload) check() error {
	switch {
	case len(w.Models) == 0 && len(w.Pools) == 0:
		return eris.New("workload: at least one model or pool is needed")
	case !isShare(w.NonRepeatable) || !isShare(w.Streamed):
		return eris.New("workload: shares are from 0 to 1")
	case w.NonRepeatable > 0 && len(w.Pools) == 0:
		return eris.New("workload: non-repeatable requests need a pool")
	case w.NonRepeatable < 1 && len(w.Models) == 0:
		return eris.New("workload: repeatable requests need a model")
	}
	for _, model := range w.Models {
		if model.Name == "" || !isWeight(model.Weight) || model.MaxTokens < 1 || model.MaxTokens > maxTokens || model.PromptBytes < 1 || model.PromptBytes > 1<<20 {
			return eris.Errorf("workload: model %q: name, weight, max_tokens or prompt_bytes is out of range", model.Name)
		}
	}
	for _, pool := range w.Pools {
		if pool.Name == "" || !isWeight(pool.Weight) || !strings.HasPrefix(pool.Path, "/") {
			return eris.Errorf("workload: pool %q: name, weight or path is not valid", pool.Name)
		}
	}
	return nil
}

func isShare(value float64) bool { return value >= 0 && value <= 1 }

func isWeight(weight int) bool { return weight >= 1 && weight <= maxWeight }

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// CheckTarget refuses every URL that does not name this machine by a loopback
// address.
func CheckTarget(target string) error {
	parsed, err := url.Parse(target)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		return eris.Errorf("target %q is not an http or https URL", target)
	}
	host := parsed.Hostname()
	address, err := netip.ParseAddr(host)
	if err != nil || !address.IsLoopback() {
		return eris.Errorf("target %q is not a loopback address such as http://%s", target, net.JoinHostPort("127.0.0.1", "8080"))
	}
	return nil
}
