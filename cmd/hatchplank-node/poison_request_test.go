package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/platform/standin"
)

// crashingBody is the body of the request that crashes each server that begins to run it.
const crashingBody = "crashes the server"

// crashingServer is a server that crashes on a request with crashingBody. After each crash its next
// incarnation starts at another address.
type crashingServer struct {
	t          *testing.T
	deployment *deployment
	name       string

	mutex   sync.Mutex
	engines []*standin.Engine
}

func newCrashingServer(t *testing.T, d *deployment, name string) *crashingServer {
	s := &crashingServer{t: t, deployment: d, name: name}
	s.startIncarnation("")
	return s
}

// startIncarnation starts an incarnation, whose record replaces that of the previous one.
func (s *crashingServer) startIncarnation(previousID string) {
	s.mutex.Lock()
	engine := standin.NewEngine(fmt.Sprintf("%s-%d", s.name, len(s.engines)))
	s.engines = append(s.engines, engine)
	s.mutex.Unlock()
	engine.CrashesOn = func(body string) bool { return strings.HasPrefix(body, crashingBody) }
	server := httptest.NewServer(engine)
	s.t.Cleanup(server.Close)
	var once sync.Once
	engine.Crash = func() {
		once.Do(func() {
			_ = server.Listener.Close()
			server.CloseClientConnections()
			s.startIncarnation(engine.ID)
		})
	}
	key, record := standin.ServerKey(engine.ID), engine.Record("plain", strings.TrimPrefix(server.URL, "http://"), "ready")
	operations := []outside.Operation{{Key: key, Value: []byte(record)}}
	if previousID != "" {
		operations = append(operations, outside.Operation{Kind: outside.OperationDelete, Key: standin.ServerKey(previousID)})
	}
	_, err := s.deployment.store.Transact(outside.Transaction{Operations: operations})
	if err != nil {
		s.t.Error(err)
	}
}

// crashes returns the number of incarnations that crashed.
func (s *crashingServer) crashes() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.engines) - 1
}

// startCrashingServers starts servers with these names.
func startCrashingServers(t *testing.T, d *deployment, names ...string) []*crashingServer {
	var servers []*crashingServer
	for _, name := range names {
		servers = append(servers, newCrashingServer(t, d, name))
	}
	return servers
}

// startAll starts nodes and returns their URLs.
func (d *deployment) startAll(t *testing.T, names ...string) []string {
	var urls []string
	for _, name := range names {
		url, _ := d.start(t, name)
		urls = append(urls, url)
	}
	return urls
}

// totalCrashes returns the number of incarnations that crashed, of all servers.
func totalCrashes(servers []*crashingServer) int {
	total := 0
	for _, server := range servers {
		total += server.crashes()
	}
	return total
}

// sendUntilRefused sends poison requests to the nodes in turn, each after a request that is served there,
// until each node has refused them twice. No more servers than maxCrashes crash.
func sendUntilRefused(nodes []string, servers []*crashingServer, maxCrashes int, serves func(node string) int, sendPoison func(node string, number int) int) {
	tries, consecutiveRefusals := 0, 0
	try := func() int {
		node := nodes[tries%len(nodes)]
		tries++
		// Requests that are served show that servers are available.
		Eventually(func() int { return serves(node) }, "30s").Should(Equal(http.StatusOK))
		if sendPoison(node, tries) == http.StatusServiceUnavailable {
			consecutiveRefusals++
		} else {
			consecutiveRefusals = 0
		}
		Expect(totalCrashes(servers)).To(BeNumerically("<=", maxCrashes))
		return consecutiveRefusals
	}
	Eventually(try, "60s", "300ms").Should(Equal(2 * len(nodes)))
	// Other requests are still served by each node.
	for _, node := range nodes {
		Eventually(func() int { return serves(node) }, "30s").Should(Equal(http.StatusOK))
	}
}

// Guards against a poison request that crashes one server after the other. A request crashed the
// server that ran it, and its client sent it again, with another ID, to another node, which
// forwarded it to the next server, and so on: 14 servers of a pool crashed, 8 of them when the third
// crash could have been known to all nodes. Nodes kept the results of attempts by server and
// by request, so they did not recognise a retried request (76 of the 98 attempts that failed in
// crashes, at all seven nodes, were the first of their request; none was a node's own retry).
func TestRequestThatCrashesServersIsRefusedByAllNodes(t *testing.T) {
	RegisterTestingT(t)
	d := newDeployment(t)
	servers, nodes := startCrashingServers(t, d, "p", "q", "r"), d.startAll(t, "x", "y", "z")
	const crashesToQuarantine, maxFurtherCrashes = 3, 3
	serves := func(node string) int { return standin.PostBody(node, "/p/x", "", "harmless") }
	sendUntilRefused(nodes, servers, crashesToQuarantine+maxFurtherCrashes, serves, func(node string, number int) int {
		// A client without an idempotency key may retry from any address.
		return standin.PostFrom(fmt.Sprintf("127.0.0.%d", 1+number), node, "/p/x", "", crashingBody)
	})
}

// Guards against one part of prompts that crashes one server after the other: requests that share
// it, no two of them alike, were each taken for a new request, and 40 servers crashed.
func TestRequestsThatShareAPromptPartThatCrashesServersAreRefused(t *testing.T) {
	RegisterTestingT(t)
	d := newDeployment(t)
	servers := startCrashingServers(t, d, "p", "q", "r", "s")
	d.remove(standin.ServerKey("i-9"))
	nodes := d.startAll(t, "x", "y", "z")
	const crashesToQuarantine, maxFurtherCrashes = 5, 3
	sent := 0
	serves := func(node string) int {
		sent++
		return standin.PostPrompt(node, "/p/x", "harmless", "5c1e", fmt.Sprint("b", sent%6), fmt.Sprint("e", sent))
	}
	sendUntilRefused(nodes, servers, crashesToQuarantine+maxFurtherCrashes, serves, func(node string, number int) int {
		return standin.PostPrompt(node, "/p/x", fmt.Sprint(crashingBody, number), "5c1e", "dead", fmt.Sprint("d", number))
	})
}
