package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/metrics"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/edge"
	"github.com/hatchplank/hatchplank/platform/standin"
)

// endlessResponses are responses that do not end: what is sent first, and then again and again.
var endlessResponses = [][2]string{
	{"HTTP/1.1 200 ", strings.Repeat("x", 64<<10)},
	{"HTTP/1.1 200 OK\r\n", strings.Repeat("X-A: b\r\n", 8<<10)},
	{"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1<<10)},
	{"", strings.Repeat("\x00\x01", 32<<10)},
	{"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat(" ", 64<<10)},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + strings.Repeat(" ", 64<<10) + "\r\n"},
}

// endlessServer answers each connection with the next endless response until its client closes.
type endlessServer struct {
	accepted atomic.Int64
}

func (s *endlessServer) start(t *testing.T) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			response := endlessResponses[int(s.accepted.Add(1))%len(endlessResponses)]
			go respondWithoutEnd(conn, response[0], response[1])
		}
	}()
	return listener.Addr().String()
}

func respondWithoutEnd(conn net.Conn, first, repeated string) {
	defer conn.Close()
	if _, err := conn.Read(make([]byte, 64<<10)); err != nil {
		return
	}
	for text := first; ; text = repeated {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// liveHeap returns the bytes of the heap that are in use by objects, dead ones that are not freed yet
// included.
func liveHeap() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// watchHeap returns a function that ends the observation and returns the most that the heap held.
func watchHeap() (stop func() uint64) {
	done, highest := make(chan struct{}), make(chan uint64)
	go func() {
		ticker := time.NewTicker(time.Millisecond)
		defer ticker.Stop()
		most := uint64(0)
		for {
			select {
			case <-done:
				highest <- most
				return
			case <-ticker.C:
				most = max(most, liveHeap())
			}
		}
	}()
	return func() uint64 {
		close(done)
		return <-highest
	}
}

// servesInARow reports whether the node serves so many requests one after the other.
func servesInARow(url string, requests int) bool {
	for range requests {
		if standin.Post(url, "/p/x", "") != http.StatusOK {
			return false
		}
	}
	return true
}

// Guards against a node that a server fills with bytes until the system kills it, with all requests in
// flight: one of two plain servers, and one of three model servers, answer requests, orders and requests
// for reports without end.
func TestNodeServesBesideAServerWithResponsesWithoutEnd(t *testing.T) {
	// nodeMemory is the memory of the smallest nodes in bytes.
	const nodeMemory = 184 << 20
	RegisterTestingT(t)
	d := newDeployment(t)
	d.put(standin.ConfigurationKey, strings.Replace(standin.SmallConfiguration, `"non_idempotent","timeout-ms":20000,"target-latency-ms":15000,"priority":1,"service":"plain","max-attempts":1`,
		`"idempotent","timeout-ms":20000,"target-latency-ms":15000,"priority":1,"service":"plain","max-attempts":2`, 1))
	plain, models := &endlessServer{}, &endlessServer{}
	d.put(standin.ServerKey("i-endless"), standin.NewEngine("i-endless").Record("plain", plain.start(t), "ready"))
	d.put(standin.ServerKey("i-endless-models"), standin.NewEngine("i-endless-models", "a").Record("llm", models.start(t), "ready"))
	highest := watchHeap()
	process, _ := d.run(t, "x")
	url := "http://" + process.Address(edge.Callers)
	for number := range 60 {
		// Until the node knows its share of the retry budget, a request is not repeated.
		Expect(standin.Post(url, "/p/x", "")).To(BeElementOf(http.StatusOK, http.StatusBadGateway), fmt.Sprint("request ", number))
	}
	Eventually(func() bool { return servesInARow(url, 20) }, "30s").Should(BeTrue())
	Eventually(func() int { return standin.Post(url, "/s/x", "a") }, "30s").Should(Equal(http.StatusOK))
	Eventually(models.accepted.Load, "30s").Should(BeNumerically(">=", len(endlessResponses)))
	Expect(plain.accepted.Load()).To(BeNumerically(">", 0))
	most := highest()
	t.Logf("highest heap: %d MiB", most>>20)
	Expect(most).To(BeNumerically("<", nodeMemory))
	answer, err := http.Get("http://" + process.Address(edge.MetricsPage) + "/metrics")
	Expect(err).NotTo(HaveOccurred())
	defer answer.Body.Close()
	page, err := io.ReadAll(answer.Body)
	Expect(err).NotTo(HaveOccurred())
	for _, kind := range []string{"head_too_long", "too_many_interim", "body_too_long"} {
		Expect(string(page)).To(ContainSubstring(`hatchplank_node_response_anomalies_total{kind="` + kind + `"}`))
	}
}
