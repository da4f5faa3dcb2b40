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

// Tokens from the example settings.
const (
	adminToken  = "example-schools-admin"
	callerToken = "example-saronikos-caller"
)

// waitLimit is the timeout of every wait, far above what is expected.
const waitLimit = 60 * time.Second

// timeScale is the factor by which models load faster.
const timeScale = 200

// noLog discards all log lines.
var noLog = zerolog.Nop()

// specLogger returns a node's logger, whose output is shown if the spec fails.
func specLogger(name string) zerolog.Logger {
	return zerolog.New(GinkgoWriter).With().Timestamp().Str("node", name).Logger()
}

func startPlatform() *suite.Suite {
	GinkgoHelper()
	config, err := suite.BuiltIn(examples.Schools)
	Expect(err).NotTo(HaveOccurred())
	config.TimeScale = timeScale
	running, err := suite.Start(config, suite.AllParts, noLog)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(running.Close)
	return running
}

// settingsFor returns the example settings with addresses chosen by the system.
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

// runningNode is a node whose Run is in progress; stopped receives its result.
type runningNode struct {
	url     string
	stop    context.CancelFunc
	stopped chan error
}

func startNode(chosen settings.Settings) *runningNode {
	GinkgoHelper()
	process, err := serve.New(chosen, specLogger(chosen.Node.Name))
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	node := &runningNode{url: "http://" + process.CallerAddress(), stop: cancel, stopped: make(chan error, 1)}
	go func() { node.stopped <- process.Run(ctx) }()
	DeferCleanup(node.stop)
	Eventually(node.readiness, waitLimit).Should(Equal(http.StatusOK))
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

// applyTable puts the example table into force.
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

// setKeyValueFaults sets the injected faults of the key-value service.
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
