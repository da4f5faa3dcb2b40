package suite_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/sashabaranov/go-openai"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/httpapi"
	"github.com/hatchplank/hatchplank/internal/standin/engine"
	"github.com/hatchplank/hatchplank/internal/standin/httpserver"
	"github.com/hatchplank/hatchplank/internal/standin/machines"
	"github.com/hatchplank/hatchplank/internal/standin/record"
	"github.com/hatchplank/hatchplank/internal/standin/suite"
)

func TestSuite(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Stand-in suite")
}

const timeout = 10 * time.Second

func start(deployment string) *suite.Suite {
	ginkgo.GinkgoHelper()
	config, err := suite.BuiltIn(deployment)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	config.TimeScale = 1000
	running, err := suite.Start(config, suite.AllParts, zerolog.Nop())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(running.Close)
	return running
}

func list(running *suite.Suite) []outside.Machine {
	ginkgo.GinkgoHelper()
	address, known := running.Address(string(suite.PartMachines))
	gomega.Expect(known).To(gomega.BeTrue())
	client := httpapi.NewMachineList(address, httpapi.Options{})
	defer client.Close()
	listings := make(chan *outside.MachineListing, 1)
	client.List(0, timeout, func(listing *outside.MachineListing, _ error) { listings <- listing })
	var listing *outside.MachineListing
	gomega.Eventually(listings, timeout).Should(gomega.Receive(&listing))
	return listing.Machines
}

func post(running *suite.Suite, name, path string, content any) int {
	ginkgo.GinkgoHelper()
	address, known := running.Address(name)
	gomega.Expect(known).To(gomega.BeTrue(), name)
	body, err := json.Marshal(content)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := http.Post("http://"+address+path, httpapi.MediaJSON, bytes.NewReader(body))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	response.Body.Close()
	return response.StatusCode
}

var _ = ginkgo.Describe("Suite", func() {
	ginkgo.DescribeTable("lists the servers of a deployment, spread over its zones",
		func(deployment string, pools, zones map[string]int) {
			foundPools, foundZones := map[string]int{}, map[string]int{}
			for _, machine := range list(start(deployment)) {
				foundPools[machine.Pool]++
				foundZones[machine.Zone]++
			}
			gomega.Expect(foundPools).To(gomega.Equal(pools))
			gomega.Expect(foundZones).To(gomega.Equal(zones))
		},
		ginkgo.Entry(nil, "schools", map[string]int{"glossa": 18, "eggrafi": 4},
			map[string]int{"marousi": 6, "piraeus": 6, "koropi": 5, "acharnes": 5}),
		ginkgo.Entry(nil, "abay", map[string]int{"lm-pool": 18, "channel-api": 3},
			map[string]int{"bole-hall": 7, "kality-hall": 7, "piassa-hall": 7}),
	)

	ginkgo.It("gives a reclaimed server's end to the list and its clients", func() {
		running := start("schools")
		status := post(running, string(suite.PartMachines), machines.PathReclaim, machines.ReclaimRequest{Server: "eggrafi-02"})
		gomega.Expect(status).To(gomega.Equal(http.StatusNoContent))
		gomega.Eventually(func() bool {
			_, running := running.Address("eggrafi-02")
			return running
		}, timeout).Should(gomega.BeFalse())
		gomega.Expect(list(running)).To(gomega.HaveLen(21))
	})

	ginkgo.DescribeTable("switches faults at run time",
		func(name, faults string) {
			running := start("abay")
			address, _ := running.Address(name)
			gomega.Expect(post(running, name, httpserver.PathFaults, json.RawMessage(faults))).To(gomega.Equal(http.StatusOK))
			response, err := http.Get("http://" + address + httpserver.PathFaults)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			defer response.Body.Close()
			shown, wanted := map[string]any{}, map[string]any{}
			gomega.Expect(json.NewDecoder(response.Body).Decode(&shown)).To(gomega.Succeed())
			gomega.Expect(json.Unmarshal([]byte(faults), &wanted)).To(gomega.Succeed())
			for field, value := range wanted {
				gomega.Expect(shown).To(gomega.HaveKeyWithValue(field, value))
			}
		},
		ginkgo.Entry(nil, "lm-pool-01", `{"slow_down":3,"hang":true,"truncate_stream":0.5}`),
		ginkgo.Entry(nil, "channel-api-01", `{"slow_factor":2,"refuse_share":0.25}`),
		ginkgo.Entry(nil, "machines", `{"lag_nanoseconds":5000000000,"outage":true}`),
		ginkgo.Entry(nil, "weights", `{"slow_down":8,"outage":true}`),
	)

	ginkgo.It("refuses a body over the limit without running it", func() {
		running := start("abay")
		address, _ := running.Address("channel-api-01")
		body := bytes.NewReader(make([]byte, httpserver.MaxBodyBytes+1))
		response, err := http.Post("http://"+address+"/rates", httpapi.MediaJSON, body)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer response.Body.Close()
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusRequestEntityTooLarge))
		gomega.Expect(running.Log().Count(record.KindBackEndRun)).To(gomega.BeZero())
	})

	ginkgo.It("serves a loaded model to a client of the OpenAI interface", func() {
		running := start("schools")
		address, _ := running.Address("glossa-01")
		load(address)
		config := openai.DefaultConfig("")
		config.BaseURL = "http://" + address + "/v1"
		client := openai.NewClientWithConfig(config)
		request := openai.ChatCompletionRequest{
			Model: "dossier", MaxCompletionTokens: 4,
			Messages: []openai.ChatCompletionMessage{{Role: "user", Content: "Summarise"}},
		}
		plain, err := client.CreateChatCompletion(context.Background(), request)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		body, _ := json.Marshal(request)
		gomega.Expect(plain.Choices[0].Message.Content).To(gomega.Equal(engine.ExpectedText("", body)))
		gomega.Expect(plain.Usage.CompletionTokens).To(gomega.Equal(4))

		stream, err := client.CreateChatCompletionStream(context.Background(), request)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer stream.Close()
		text := ""
		for {
			chunk, err := stream.Recv()
			if err != nil {
				gomega.Expect(err.Error()).To(gomega.Equal("EOF"))
				break
			}
			text += chunk.Choices[0].Delta.Content
		}
		request.Stream = true
		body, _ = json.Marshal(request)
		gomega.Expect(text).To(gomega.Equal(engine.ExpectedText("", body)))
	})
})

// load loads the model "dossier" on an engine.
func load(address string) {
	ginkgo.GinkgoHelper()
	client := httpapi.NewEngines(func(outside.ServerID) (string, bool) { return address, true }, httpapi.Options{})
	ginkgo.DeferCleanup(client.Close)
	client.Order(outside.Order{Fence: outside.Fence{Epoch: 1}, Commands: []outside.Command{{
		Kind: outside.CommandLoadModel, Model: "dossier", Version: "1", Attempt: "load",
		MemoryBytes: 2 << 30, WeightBytes: 1 << 30,
	}}}, timeout, func(outside.OrderResult, error) {})
	gomega.Eventually(func() string {
		states := make(chan *outside.EngineState, 1)
		client.State("glossa-01", 0, timeout, func(state *outside.EngineState, _ error) { states <- state })
		state := <-states
		if state == nil || len(state.Replicas) == 0 {
			return ""
		}
		return state.Replicas[0].Phase.String()
	}, timeout).Should(gomega.Equal(outside.ReplicaReady.String()))
}

var _ = ginkgo.DescribeTable("Parse refuses", func(change, fault string) {
	valid := "region: attica\nzones: [marousi]\nstore: {loads_per_second: 3, full_speed_loads: 6}\npools: [{name: glossa, servers: 1}]\n"
	_, err := suite.Parse([]byte(valid))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = suite.Parse(fmt.Append([]byte(valid), change))
	gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(fault)))
},
	ginkgo.Entry("an unknown key", "zone: koropi\n", "zone"),
	ginkgo.Entry("a name as listen address", "listen: localhost\n", "Listen"),
	ginkgo.Entry("a time scale of zero", "time_scale: 0\n", "TimeScale"),
	ginkgo.Entry("a base port too high", "base_port: 65000\n", "BasePort"),
	ginkgo.Entry("text that is not YAML", "][", "configuration"),
)
