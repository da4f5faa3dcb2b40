//go:build soak

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/platform/standin"
)

const (
	// processMemoryMB is the memory of the node under test, as its settings tell it.
	processMemoryMB = 284
	// floodFor is how long servers hold the node's memory.
	floodFor = 6 * time.Second
	// floodCallers is the number of requests in flight of each kind.
	floodCallers = 256
	// floodServers is the number of servers of each kind.
	floodServers = 4
)

const floodConfiguration = `{"version":2,"routes":[
 {"name":"r","host":"h.example","path-prefix":"/s/","kind":"streaming","timeout-ms":20000,"target-latency-ms":15000,"priority":1,"service":"llm","max-attempts":2,"resumable":true},
 {"name":"p","host":"h.example","path-prefix":"/p/","kind":"non_idempotent","timeout-ms":20000,"target-latency-ms":15000,"priority":1,"service":"plain","max-attempts":1},
 {"name":"e","host":"h.example","path-prefix":"/events/","kind":"streaming","timeout-ms":20000,"target-latency-ms":15000,"priority":1,"service":"events","max-attempts":1},
 {"name":"b","host":"h.example","path-prefix":"/bodies/","kind":"idempotent","timeout-ms":20000,"target-latency-ms":15000,"priority":1,"service":"bodies","max-attempts":1}],
 "services":[{"name":"plain","max-connections":100},{"name":"events","max-connections":400},{"name":"bodies","max-connections":400},
 {"name":"llm","max-connections":100,"engine":{"slots":8,"weights-mb":200,"adapter-slots":2,"loads-per-s":4,
 "models":[{"name":"a","weights-mb":70,"load-time-s":0.05,"adapters":2,"adapter-mb":1},{"name":"b","weights-mb":70,"load-time-s":0.05,"adapters":0,"adapter-mb":1}]}}],
 "limits":{"max-body-bytes":1000000,"idle-timeout-ms":15000}}`

// floodingServer answers each request with a head and a beginning, and then with a byte now and then.
type floodingServer struct {
	head, beginning string
	accepted        atomic.Int64
}

func (s *floodingServer) start(t *testing.T) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return listener.Addr().String()
}

func (s *floodingServer) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	s.accepted.Add(1)
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nHatchplank-Request-Id: %s\r\nHatchplank-Server-Seal: seal\r\n%s\r\n", request.Header.Get("Hatchplank-Request-Id"), s.head); err != nil {
		return
	}
	if _, err := io.WriteString(conn, s.beginning); err != nil {
		return
	}
	for {
		time.Sleep(100 * time.Millisecond)
		if _, err := io.WriteString(conn, "x"); err != nil {
			return
		}
	}
}

// runProcess runs the node as a process of its own, and returns its URLs for clients and metrics and its
// process ID.
func (d *deployment) runProcess(t *testing.T) (callers, metrics string, process int) {
	folder := t.TempDir()
	program := filepath.Join(folder, "hatchplank-node")
	output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
	var addresses [4]string
	for i := range addresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		addresses[i] = listener.Addr().String()
		defer listener.Close()
	}
	settings := fmt.Sprintf(nodeSettings, "x", d.address) + fmt.Sprintf("memory: {limit_mb: %d}\n", processMemoryMB)
	for i, name := range []string{"callers", "health", "peers", "metrics"} {
		settings = strings.Replace(settings, name+`: "127.0.0.1:0"`, name+`: "`+addresses[i]+`"`, 1)
	}
	file := filepath.Join(folder, "settings.yaml")
	Expect(os.WriteFile(file, []byte(settings), 0o600)).To(Succeed())
	log, err := os.Create(filepath.Join(folder, "log"))
	Expect(err).NotTo(HaveOccurred())
	command := exec.Command(program, "serve", "--settings", file)
	command.Stdout, command.Stderr = log, log
	return d.started(t, command, log, addresses)
}

func (d *deployment) started(t *testing.T, command *exec.Cmd, log *os.File, addresses [4]string) (callers, metrics string, process int) {
	Expect(command.Start()).To(Succeed())
	t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGTERM)
		_ = command.Wait()
		_ = log.Close()
	})
	return "http://" + addresses[0], "http://" + addresses[3] + "/metrics", command.Process.Pid
}

// flood sends requests to a path, so many at a time, until the context ends.
func flood(ctx context.Context, flows *sync.WaitGroup, url string, body string) {
	transport := &http.Transport{MaxIdleConnsPerHost: floodCallers}
	context.AfterFunc(ctx, transport.CloseIdleConnections)
	for caller := range floodCallers {
		flows.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				request, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
				request.Host = "h.example"
				request.Header.Set("Hatchplank-Request-Id", fmt.Sprintf("%s%d-%d", request.URL.Path[1:3], caller, number))
				request.Header.Set("Hatchplank-Deadline-Ms", "20000")
				response, err := transport.RoundTrip(request)
				if err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
				select {
				case <-ctx.Done():
				case <-time.After(20 * time.Millisecond):
				}
			}
		})
	}
}

// Guards against a node that servers fill with responses, none above its own limit, until the system kills
// it with the requests of all clients.
func TestNodeServesWithinItsMemoryBesideManyUnfinishedResponses(t *testing.T) {
	RegisterTestingT(t)
	d := newDeployment(t)
	d.put(standin.ConfigurationKey, floodConfiguration)
	events := &floodingServer{head: "Content-Type: text/event-stream\r\n", beginning: "id: 1\ndata: " + strings.Repeat("x", 1000<<10)}
	bodies := &floodingServer{head: "Content-Length: 10000000\r\n", beginning: strings.Repeat("x", 255<<10)}
	for number := range floodServers {
		for pool, server := range map[string]*floodingServer{"events": events, "bodies": bodies} {
			engine := standin.NewEngine(fmt.Sprintf("i-%s-%d", pool, number))
			engine.Slots = floodCallers
			d.put(standin.ServerKey(engine.ID), engine.Record(pool, server.start(t), "ready"))
		}
	}
	url, metrics, process := d.runProcess(t)
	Eventually(func() int { return standin.Post(url, "/p/x", "") }, "30s").Should(Equal(http.StatusOK))
	Eventually(func() int { return standin.Post(url, "/s/x", "a") }, "30s").Should(Equal(http.StatusOK))
	calm := standin.PeakResidentMB(process)

	ctx, cancel := context.WithTimeout(context.Background(), floodFor)
	defer cancel()
	var flows sync.WaitGroup
	flood(ctx, &flows, url+"/events/x", "body")
	flood(ctx, &flows, url+"/bodies/x", strings.Repeat("b", 100<<10))
	sent, served, page, longest := 0, 0, "", time.Duration(0)
	for ctx.Err() == nil {
		for _, to := range [][2]string{{"/p/x", ""}, {"/s/x", "a"}} {
			sent++
			began := time.Now()
			if standin.PostBody(url, to[0], to[1], strings.Repeat("s", 5000)) == http.StatusOK {
				served++
			}
			longest = max(longest, time.Since(began))
		}
		page = metricsPage(metrics)
		time.Sleep(5 * time.Millisecond)
	}
	flows.Wait()
	most := standin.PeakResidentMB(process)
	t.Logf("highest memory: %d MB, %d before; %d of %d sound requests served, the slowest in %v; responses without end: %d streams, %d bodies", most, calm, served, sent, longest.Round(time.Millisecond), events.accepted.Load(), bodies.accepted.Load())
	for _, line := range strings.Split(page, "\n") {
		if strings.Contains(line, "_held_bytes") || strings.Contains(line, "_memory_short") || strings.Contains(line, "_attempts_total") {
			t.Log(line)
		}
	}
	Expect(most).To(And(BeNumerically(">", 0), BeNumerically("<=", processMemoryMB)))
	Expect(served).To(Equal(sent))
	Expect(page).To(ContainSubstring(`attempts_total{outcome="memory_short"}`), "no response had to give way")
	Expect(events.accepted.Load()).To(BeNumerically(">=", floodCallers))
	Expect(bodies.accepted.Load()).To(BeNumerically(">=", floodCallers))
}

func metricsPage(url string) string {
	answer, err := http.Get(url)
	if err != nil {
		return ""
	}
	defer answer.Body.Close()
	page, _ := io.ReadAll(answer.Body)
	return string(page)
}
