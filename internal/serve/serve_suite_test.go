package serve_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	openai "github.com/sashabaranov/go-openai"

	"github.com/hatchplank/hatchplank/examples"
	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/serve"
	"github.com/hatchplank/hatchplank/internal/settings"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
	"github.com/hatchplank/hatchplank/internal/standin/suite"
	"github.com/hatchplank/hatchplank/internal/table"
)

func TestServe(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Serve Suite")
}

// Tokens of the examples' settings.
const (
	adminToken  = "example-schools-admin"
	callerToken = "example-saronikos-caller"
)

// patience bounds every wait; nothing is expected to take that long.
const patience = 60 * time.Second

// loadSpeed makes loads of models so many times faster.
const loadSpeed = 200

// quiet drops all log lines.
var quiet = zerolog.Nop()

// logOf is a node's log, which is shown with a spec that fails.
func logOf(name string) zerolog.Logger {
	return zerolog.New(GinkgoWriter).With().Timestamp().Str("node", name).Logger()
}

func startPlatform() *suite.Suite {
	GinkgoHelper()
	config, err := suite.BuiltIn(examples.Schools)
	Expect(err).NotTo(HaveOccurred())
	config.TimeScale = loadSpeed
	running, err := suite.Start(config, suite.AllParts, quiet)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(running.Close)
	return running
}

// settingsFor are the examples' settings with addresses chosen by the system.
func settingsFor(platform *suite.Suite, name, zone string) settings.Settings {
	GinkgoHelper()
	deployment, err := examples.Load(examples.Schools)
	Expect(err).NotTo(HaveOccurred())
	chosen := deployment.Settings
	chosen.Node.Name = name
	chosen.Node.Zone = zone
	chosen.Listen.Callers = "127.0.0.1:0"
	chosen.Listen.Peers = "127.0.0.1:0"
	chosen.Platform.KeyValue = []string{urlOf(platform, suite.PartKeyValue)}
	chosen.Platform.MachineList = urlOf(platform, suite.PartMachines)
	chosen.Platform.WeightStore = urlOf(platform, suite.PartWeights)
	return chosen
}

func urlOf(platform *suite.Suite, part suite.Part) string {
	GinkgoHelper()
	address, known := platform.Address(string(part))
	Expect(known).To(BeTrue(), string(part))
	return "http://" + address
}

// runningNode is a node and what its Run returned.
type runningNode struct {
	url     string
	stop    context.CancelFunc
	stopped chan error
}

func startNode(chosen settings.Settings) *runningNode {
	GinkgoHelper()
	process, err := serve.New(chosen, logOf(chosen.Node.Name))
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	node := &runningNode{url: "http://" + process.CallerAddress(), stop: cancel, stopped: make(chan error, 1)}
	go func() { node.stopped <- process.Run(ctx) }()
	DeferCleanup(node.stop)
	Eventually(node.readiness, patience).Should(Equal(http.StatusOK))
	return node
}

func (n *runningNode) readiness() int {
	response, err := http.Get(n.url + "/readyz")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// applyTable makes the examples' table the table.
func (n *runningNode) applyTable(ctx context.Context) {
	GinkgoHelper()
	deployment, err := examples.Load(examples.Schools)
	Expect(err).NotTo(HaveOccurred())
	body, err := table.Encode(table.FormatJSON, 0, deployment.Rows)
	Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, n.url+"/admin/v1/table", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("If-Match", fmt.Sprintf("%q", "0"))
	client := api.Client{BaseURL: n.url, Token: adminToken}
	_, _, err = client.Do(request)
	Expect(err).NotTo(HaveOccurred())
}

func (n *runningNode) client() *openai.Client {
	config := openai.DefaultConfig(callerToken)
	config.BaseURL = n.url + "/v1"
	return openai.NewClientWithConfig(config)
}

// setKeyValueFaults switches the faults of the key-value service.
func setKeyValueFaults(ctx context.Context, platform *suite.Suite, faults string) {
	GinkgoHelper()
	address := urlOf(platform, suite.PartKeyValue) + keyvalue.PathControlFaults
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, strings.NewReader(faults))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}
