package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/edge"
	"github.com/hatchplank/hatchplank/internal/inspect"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
	"github.com/hatchplank/hatchplank/platform/standin"
)

// These tests run complete nodes over loopback TCP, with simulated store and servers in the same
// process.

const nodeSettings = `
node: {name: %s, zone: z}
listen: {callers: "127.0.0.1:0", health: "127.0.0.1:0", peers: "127.0.0.1:0", metrics: "127.0.0.1:0"}
cluster: {secret: s}
store: {address: "%s", contact: 3000ms, changes: 500ms, drains: 500ms, heartbeat_ms: 3000, minimum_lease: 1000ms}
retries: {ratio: 0.2, slack: 54, window: 10s}
orders: {turn: 100ms, fenced: false, load_window: 5s, load_overage: 1.1}
stop: {grace: 2s}
log: {level: info}
machine: {processor_share: 0.4, link_mbps: 1000, descriptors: 4100}
`

// deployment is the environment of the nodes under test: a simulated store, two model servers and a
// plain server.
type deployment struct {
	store   *keyvalue.Store
	address string
	engines []*standin.Engine
	// addresses are those of the engines.
	addresses []string
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{store: keyvalue.NewStore(keyvalue.Options{Clock: clock.System{}})}
	server := httptest.NewServer(standin.NewStoreServer(d.store))
	t.Cleanup(server.Close)
	d.address = strings.TrimPrefix(server.URL, "http://")
	d.put(standin.ConfigurationKey, standin.SmallConfiguration)
	for i, models := range [][]string{{"a"}, nil} {
		engine := standin.NewEngine(fmt.Sprintf("i-%d", i), models...)
		engine.LoadTime = 50 * time.Millisecond
		d.add(t, engine, "llm")
	}
	d.add(t, standin.NewEngine("i-9"), "plain")
	return d
}

// add starts a server, registers it in the store and returns its address.
func (d *deployment) add(t *testing.T, engine *standin.Engine, pool string) (address string) {
	server := httptest.NewServer(engine)
	t.Cleanup(server.Close)
	d.engines = append(d.engines, engine)
	address = strings.TrimPrefix(server.URL, "http://")
	d.addresses = append(d.addresses, address)
	d.put(standin.ServerKey(engine.ID), engine.Record(pool, address, "ready"))
	return address
}

// remove deletes a key of the store.
func (d *deployment) remove(key string) {
	_, err := d.store.Transact(outside.Transaction{Operations: []outside.Operation{{Kind: outside.OperationDelete, Key: key}}})
	Expect(err).NotTo(HaveOccurred())
}

// put writes a key of the store.
func (d *deployment) put(key, value string) {
	_, err := d.store.Transact(outside.Transaction{Operations: []outside.Operation{{Key: key, Value: []byte(value)}}})
	Expect(err).NotTo(HaveOccurred())
}

// start runs a node until the test ends or stop is called, and returns its URL for clients.
func (d *deployment) start(t *testing.T, name string) (url string, stop func()) {
	process, stop := d.run(t, name)
	return "http://" + process.Address(edge.Callers), stop
}

// run runs a node until the test ends or stop is called.
func (d *deployment) run(t *testing.T, name string) (process *edge.Process, stop func()) {
	settings, err := edge.LoadSettings([]byte(fmt.Sprintf(nodeSettings, name, d.address)))
	Expect(err).NotTo(HaveOccurred())
	process, err = assemble(settings, zerolog.Nop())
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- process.Run(ctx) }()
	stopped := false
	stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		Eventually(done, "30s").Should(Receive(BeNil()))
	}
	t.Cleanup(stop)
	Eventually(func() int { return statusOf("http://" + process.Address(edge.Health) + "/ready") }, "30s").Should(Equal(http.StatusOK))
	return process, stop
}

// statusOf returns the status of a GET request; zero if it failed.
func statusOf(url string) int {
	answer, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	return answer.StatusCode
}

func TestNodesServeLoadedAndUnloadedModels(t *testing.T) {
	RegisterTestingT(t)
	d := newDeployment(t)
	first, _ := d.start(t, "x")
	second, _ := d.start(t, "y")
	for _, url := range []string{first, second} {
		for _, request := range []struct{ path, model string }{{"/p/x", ""}, {"/s/x", "a"}, {"/s/x", "a/a1"}, {"/s/x", "b"}} {
			Eventually(func() int {
				return standin.Post(url, request.path, request.model)
			}, "30s").Should(Equal(http.StatusOK), request.path+request.model)
		}
	}
	for _, engine := range d.engines {
		Expect(engine.CapacityViolations()).To(BeZero())
	}
}

func TestOrdersContinueAfterTheHolderStops(t *testing.T) {
	RegisterTestingT(t)
	d := newDeployment(t)
	first, stop := d.start(t, "x")
	Eventually(func() int {
		return standin.Post(first, "/s/x", "a/a1")
	}, "30s").Should(Equal(http.StatusOK))
	second, _ := d.start(t, "y")
	stop()
	Eventually(func() int {
		return standin.Post(second, "/s/x", "b")
	}, "30s").Should(Equal(http.StatusOK))
}

// statusPage returns the status page of a node.
func statusPage(process *edge.Process) inspect.Page {
	var page inspect.Page
	answer, err := http.Get("http://" + process.Address(edge.MetricsPage) + "/status")
	Expect(err).NotTo(HaveOccurred())
	defer answer.Body.Close()
	Expect(json.NewDecoder(answer.Body).Decode(&page)).To(Succeed())
	return page
}

func TestStatusPageShowsTheNodesState(t *testing.T) {
	RegisterTestingT(t)
	d := newDeployment(t)
	process, _ := d.run(t, "x")
	page := func() inspect.Page { return statusPage(process) }
	Eventually(func() bool { return page().IsHolder }, "30s").Should(BeTrue())
	Eventually(func() int { return standin.Post("http://"+process.Address(edge.Callers), "/s/x", "b") }, "30s").Should(Equal(http.StatusOK))
	shown := page()
	Expect(shown.Holder).To(Equal("x"))
	Expect(shown.Servers).To(HaveLen(3))
	reasons := map[string]string{}
	for _, server := range shown.Servers {
		for _, replica := range server.Replicas {
			reasons[replica.Model] = replica.Reason
		}
	}
	Expect(reasons).To(Equal(map[string]string{"a": "found there", "b": "cold"}))
}
