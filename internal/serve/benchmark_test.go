package serve_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/examples"
	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/serve"
	"github.com/hatchplank/hatchplank/internal/standin/suite"
	"github.com/hatchplank/hatchplank/internal/table"
)

// fastPlatform has engines fast enough that the node dominates the latency.
const fastPlatform = `
region: attica
zones: [marousi, piraeus]
store: {loads_per_second: 100, full_speed_loads: 100}
pools:
  - {name: glossa, engine: true, servers: 2, accelerators: 8, accelerator_memory_gib: 80,
     step_overhead: 20us, step_per_sequence: 1us, max_batch: 256}
`

const benchmarkRequest = `{"model":"warm","max_tokens":1,"messages":[{"role":"user","content":"May we visit the school?"}]}`

var benchmarkRow = table.Row{
	Name: "warm", Kind: table.KindModel, Version: "1", WeightBytes: 10_000_000, Tenant: "saronikos",
	Priority: 5, Weight: 10, MinReplicas: 2, MaxReplicas: 2, MemoryBytes: 1 << 30, TimeLimit: time.Minute, Repeatable: true,
}

// startBenchmarkNode starts a node and returns its URL. The node is stopped at
// the end of the benchmark.
func startBenchmarkNode(b *testing.B) string {
	b.Helper()
	config, err := suite.Parse([]byte(fastPlatform))
	if err != nil {
		b.Fatal(err)
	}
	config.KeepRecords = false
	platform, err := suite.Start(config, suite.AllParts, zerolog.Nop())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(platform.Close)
	deployment, err := examples.Load(examples.Schools)
	if err != nil {
		b.Fatal(err)
	}
	chosen := deployment.Settings
	chosen.Listen.Callers, chosen.Listen.Peers = "127.0.0.1:0", "127.0.0.1:0"
	chosen.Platform.KeyValue = []string{benchmarkURL(platform, suite.PartKeyValue)}
	chosen.Platform.MachineList = benchmarkURL(platform, suite.PartMachines)
	chosen.Platform.WeightStore = benchmarkURL(platform, suite.PartWeights)
	process, err := serve.New(chosen, zerolog.New(io.Discard).Level(zerolog.InfoLevel))
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- process.Run(ctx) }()
	b.Cleanup(func() {
		stop()
		<-stopped
	})
	return "http://" + process.CallerAddress()
}

func benchmarkURL(platform *suite.Suite, part suite.Part) string {
	address, _ := platform.Address(string(part))
	return "http://" + address
}

// applyBenchmarkTable puts the table into force, retrying until the node is ready.
func applyBenchmarkTable(b *testing.B, node string) {
	b.Helper()
	body, err := table.Encode(table.FormatJSON, 0, []table.Row{benchmarkRow})
	if err != nil {
		b.Fatal(err)
	}
	client := api.Client{BaseURL: node, Token: adminToken}
	for {
		request, err := http.NewRequest(http.MethodPut, node+"/admin/v1/table", bytes.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		request.Header.Set("If-Match", `"0"`)
		if _, _, err = client.Do(request); err == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// send sends one request and reports whether it was served.
func send(client *http.Client, node string) bool {
	request, err := http.NewRequest(http.MethodPost, node+"/v1/chat/completions", bytes.NewReader([]byte(benchmarkRequest)))
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+callerToken)
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// BenchmarkWarmModel measures requests for a loaded model, with the caller, the
// node and the stand-in engine in one process over loopback TCP.
func BenchmarkWarmModel(b *testing.B) {
	node := startBenchmarkNode(b)
	applyBenchmarkTable(b, node)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	for !send(client, node) {
		time.Sleep(10 * time.Millisecond)
	}
	b.ReportAllocs()
	b.SetParallelism(2)
	b.ResetTimer()
	b.RunParallel(func(next *testing.PB) {
		for next.Next() {
			if !send(client, node) {
				b.Error("a request for a loaded model was not served")
				return
			}
		}
	})
}
