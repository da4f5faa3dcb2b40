package engine

import (
	"math"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/record"
	"github.com/hatchplank/hatchplank/internal/standin/weights"
)

// Config of an Engine. Zero fields take the defaults of WithDefaults.
type Config struct {
	Server outside.ServerID
	// Accelerators and their memory together, in bytes.
	Accelerators int
	MemoryBytes  int64
	// Role at the start: "mixed", "prefill" or "decode".
	Role string
	// BootID makes incarnations differ between starts of the stand-in's own
	// process.
	BootID string

	// Remote gives out checkpoints that are cached nowhere on the machine; nil
	// means a link of RemoteBytesPerSecond of the engine's own.
	Remote weights.Fetcher
	// RemoteBytesPerSecond without Remote.
	RemoteBytesPerSecond float64
	// DiskBytesPerSecond is shared by all loads from the local disk.
	DiskBytesPerSecond float64
	// HostBytesPerSecond is the copy from host memory to one accelerator.
	HostBytesPerSecond float64
	// DiskCacheBytes and HostCacheBytes hold checkpoints.
	DiskCacheBytes, HostCacheBytes int64
	// InitTime is added to a model's load after its bytes are there.
	InitTime time.Duration
	// AdapterInitTime is the same for an adapter.
	AdapterInitTime time.Duration
	// UnloadTime until an unloaded model's memory is free.
	UnloadTime time.Duration

	// MaxBatch requests run at once on a replica.
	MaxBatch int
	// MaxQueue requests wait at a replica; beyond it they are refused.
	MaxQueue int
	// StepOverhead is the fixed part of a decode step.
	StepOverhead time.Duration
	// StepPerSequence is added for each running request.
	StepPerSequence time.Duration
	// AcceleratorBytesPerSecond reads the weights once a decode step.
	AcceleratorBytesPerSecond float64
	// AcceleratorOperationsPerSecond is used for prefill.
	AcceleratorOperationsPerSecond float64
	// PrefillBudget is the largest number of prompt tokens in a step.
	PrefillBudget int
	// TokensPerChunk are put into one chunk, and run as one event.
	TokensPerChunk int

	// KVBytesPerToken is the KV cache of one token.
	KVBytesPerToken int64
	// PrefixBlockTokens are cached or evicted together.
	PrefixBlockTokens int
	// MaxPrefixBlocks limits a replica's prefix cache besides its memory.
	MaxPrefixBlocks int
	// KVTransferBytesPerSecond between engines.
	KVTransferBytesPerSecond float64

	// LoadLag is by how much the load figures in State lag.
	LoadLag time.Duration
	// CacheEventDelay is by how much cache events lag.
	CacheEventDelay time.Duration
	// CacheEventLoss is the probability that a cache event is dropped.
	CacheEventLoss float64

	// Record sees everything; may be nil.
	Record *record.Log
}

// The defaults. Rates are the published figures of common hardware; the parts
// that no data sheet gives are assumptions and said to be.
const (
	// DefaultAccelerators and DefaultMemoryBytes: four accelerators of 80 GB.
	DefaultAccelerators = 4
	DefaultMemoryBytes  = 4 * 80_000_000_000
	// DefaultDiskBytesPerSecond: data sheets of PCIe 4.0 x4 NVMe drives give
	// about 7 GB/s of sequential reading; assumed to be reached to 70%.
	DefaultDiskBytesPerSecond = 5e9
	// DefaultHostBytesPerSecond: PCIe 4.0 x16 carries 32 GB/s one way by its
	// specification; assumed to be reached to 75%.
	DefaultHostBytesPerSecond = 24e9
	// DefaultDiskCacheBytes and DefaultHostCacheBytes are assumptions.
	DefaultDiskCacheBytes = 1_000_000_000_000
	DefaultHostCacheBytes = 256_000_000_000
	// DefaultInitTime is an assumption: allocation and warm-up of an engine
	// whose process is already running.
	DefaultInitTime        = 2 * time.Second
	DefaultAdapterInitTime = 50 * time.Millisecond
	DefaultUnloadTime      = 500 * time.Millisecond
	// DefaultAcceleratorBytesPerSecond: the data sheet of the A100 80 GB gives
	// 2.0 TB/s of memory bandwidth.
	DefaultAcceleratorBytesPerSecond = 2.0e12
	// DefaultAcceleratorOperationsPerSecond: the same data sheet gives 312
	// TFLOPS in bfloat16; assumed to be reached to half in prefill.
	DefaultAcceleratorOperationsPerSecond = 156e12
	// DefaultStepOverhead and DefaultStepPerSequence are assumptions.
	DefaultStepOverhead    = 4 * time.Millisecond
	DefaultStepPerSequence = 200 * time.Microsecond
	// DefaultKVBytesPerToken: 32 layers, 8 KV heads of 128, keys and values in
	// 2 bytes each (the published shape of an 8-billion-parameter Llama 3).
	DefaultKVBytesPerToken = 32 * 8 * 128 * 2 * 2
	// DefaultKVTransferBytesPerSecond: 100 Gbit/s network.
	DefaultKVTransferBytesPerSecond = 12.5e9

	DefaultMaxBatch          = 32
	DefaultMaxQueue          = 64
	DefaultPrefillBudget     = 2048
	DefaultPrefixBlockTokens = 16
	DefaultMaxPrefixBlocks   = 8192
	DefaultLoadLag           = 500 * time.Millisecond
	DefaultCacheEventDelay   = 300 * time.Millisecond
)

// Roles of an engine.
const (
	RoleMixed   = "mixed"
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

// WithDefaults returns the configuration with zero fields filled in. Lags,
// losses and times may be set to "none" by a negative value.
func (c Config) WithDefaults() Config {
	c.Accelerators = orDefault(c.Accelerators, DefaultAccelerators)
	c.MemoryBytes = orDefault(c.MemoryBytes, DefaultMemoryBytes)
	c.Role = orDefault(c.Role, RoleMixed)
	c.BootID = orDefault(c.BootID, "boot")
	c.RemoteBytesPerSecond = orDefault(c.RemoteBytesPerSecond, weights.DefaultBytesPerSecond)
	c.DiskBytesPerSecond = orDefault(c.DiskBytesPerSecond, DefaultDiskBytesPerSecond)
	c.HostBytesPerSecond = orDefault(c.HostBytesPerSecond, DefaultHostBytesPerSecond)
	c.DiskCacheBytes = max(0, orDefault(c.DiskCacheBytes, DefaultDiskCacheBytes))
	c.HostCacheBytes = max(0, orDefault(c.HostCacheBytes, DefaultHostCacheBytes))
	c.InitTime = max(0, orDefault(c.InitTime, DefaultInitTime))
	c.AdapterInitTime = max(0, orDefault(c.AdapterInitTime, DefaultAdapterInitTime))
	c.UnloadTime = max(0, orDefault(c.UnloadTime, DefaultUnloadTime))
	c.MaxBatch = max(1, orDefault(c.MaxBatch, DefaultMaxBatch))
	c.MaxQueue = max(0, orDefault(c.MaxQueue, DefaultMaxQueue))
	c.StepOverhead = max(0, orDefault(c.StepOverhead, DefaultStepOverhead))
	c.StepPerSequence = max(0, orDefault(c.StepPerSequence, DefaultStepPerSequence))
	c.AcceleratorBytesPerSecond = orDefault(c.AcceleratorBytesPerSecond, DefaultAcceleratorBytesPerSecond)
	c.AcceleratorOperationsPerSecond = orDefault(c.AcceleratorOperationsPerSecond, DefaultAcceleratorOperationsPerSecond)
	c.PrefillBudget = max(1, orDefault(c.PrefillBudget, DefaultPrefillBudget))
	c.TokensPerChunk = max(1, c.TokensPerChunk)
	c.KVBytesPerToken = max(1, orDefault(c.KVBytesPerToken, DefaultKVBytesPerToken))
	c.PrefixBlockTokens = max(1, orDefault(c.PrefixBlockTokens, DefaultPrefixBlockTokens))
	c.MaxPrefixBlocks = max(0, orDefault(c.MaxPrefixBlocks, DefaultMaxPrefixBlocks))
	c.KVTransferBytesPerSecond = orDefault(c.KVTransferBytesPerSecond, DefaultKVTransferBytesPerSecond)
	c.LoadLag = max(0, orDefault(c.LoadLag, DefaultLoadLag))
	c.CacheEventDelay = max(0, orDefault(c.CacheEventDelay, DefaultCacheEventDelay))
	c.CacheEventLoss = max(0, c.CacheEventLoss)
	return c
}

// acceleratorsOf returns how many accelerators a replica of this size occupies.
func (c *Config) acceleratorsOf(memoryBytes int64) int {
	perAccelerator := float64(c.MemoryBytes) / float64(c.Accelerators)
	needed := int(math.Ceil(float64(memoryBytes) / perAccelerator))
	return min(max(1, needed), c.Accelerators)
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
