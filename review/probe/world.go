package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
	"github.com/hatchplank/hatchplank/platform/standin"
)

// world is one small deployment: the platform's store, nodes and servers.
type world struct {
	program string
	folder  string
	// trouble is false if the case plays without its disruption.
	trouble bool
	started time.Time
	store   *keyvalue.Store
	// storeAddress is where the store listens.
	storeAddress string
	// peersThrough makes nodes reach each other through links.
	peersThrough bool
	// backAt is when the nodes were last started again; zero: they were not.
	backAt time.Time
	// leaseTTL is the time to live that the store applies to leases; zero: the one asked for.
	leaseTTL time.Duration
	// renewedAt is when the last renewal of a lease arrived, in Unix nanoseconds.
	renewedAt atomic.Int64

	mutex sync.Mutex
	file  *os.File
	// judged is set once the result is recorded; nothing is recorded after it.
	judged    bool
	processes []*exec.Cmd
	nodes     []*node
}

// node is a node's process.
type node struct {
	name, callers, health string
	command               *exec.Cmd
	// peers carries the connections of other nodes to this one; nil: they connect to it.
	peers *link
}

func newWorld(program, recordFile string) (*world, error) {
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-probe-")
	if err != nil {
		return nil, err
	}
	w := &world{
		program: program, folder: folder, file: file, started: time.Now(), trouble: os.Getenv("TROUBLE") != "0",
		store: keyvalue.NewStore(keyvalue.Options{Clock: clock.System{}}),
	}
	server := standin.NewStoreServer(w.store)
	// The responses name no era: the pages know none.
	server.FirstEra = -1
	w.storeAddress, err = serve(w.shortenLeases(server))
	w.record("trouble: %t; store at %s", w.trouble, w.storeAddress)
	return w, err
}

// record writes a line to the record.
func (w *world) record(format string, arguments ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.judged {
		return
	}
	w.judged = strings.HasPrefix(format, "RESULT")
	line := fmt.Sprintf("%8.3f ", time.Since(w.started).Seconds()) + fmt.Sprintf(format, arguments...)
	_, _ = fmt.Fprintln(w.file, line)
}

// close ends all processes that were started.
func (w *world) close() {
	w.mutex.Lock()
	processes := w.processes
	w.mutex.Unlock()
	for _, process := range processes {
		_ = process.Process.Signal(syscall.SIGCONT)
		_ = process.Process.Kill()
		_ = process.Wait()
	}
	_ = os.RemoveAll(w.folder)
	_ = w.file.Close()
}

// serve serves a handler at a free port and returns the address.
func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// freeAddress returns a loopback address at which nothing listens.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// shortenLeases applies leaseTTL to each lease that is granted, and answers the time that applies.
func (w *world) shortenLeases(store http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/kv-lease" && w.leaseTTL > 0 {
			body := fmt.Sprintf(`{"ttl-ms":%d}`, w.leaseTTL.Milliseconds())
			request.Body = http.NoBody
			clone := request.Clone(request.Context())
			clone.Body = readCloser{strings.NewReader(body)}
			clone.ContentLength = int64(len(body))
			store.ServeHTTP(writer, clone)
			return
		}
		if strings.HasPrefix(request.URL.Path, "/kv-keep/") {
			w.renewedAt.Store(time.Now().UnixNano())
		}
		store.ServeHTTP(writer, request)
	})
}

// readCloser adds a Close without effect.
type readCloser struct{ *strings.Reader }

// Close implements io.Closer.
func (readCloser) Close() error { return nil }

// put writes a key of the store.
func (w *world) put(key, value string) error {
	_, err := w.store.Transact(outside.Transaction{Operations: []outside.Operation{
		{Kind: outside.OperationPut, Key: key, Value: []byte(value)},
	}})
	return err
}

// remove removes a key of the store.
func (w *world) remove(key string) error {
	_, err := w.store.Transact(outside.Transaction{Operations: []outside.Operation{{Kind: outside.OperationDelete, Key: key}}})
	return err
}

const (
	// heartbeat is the time between two writes of a server's record.
	heartbeat = 1200 * time.Millisecond
	// contact is contact-ms.
	contact = 3 * time.Second
	// settleTime is the time after the start of the nodes from which they are in touch.
	settleTime = contact + time.Second
)

// settings are those of the template in deploy/, with the figures of the users' small deployments.
const settings = `node: {name: %q, zone: "z1"}
listen: {callers: %q, health: %q, peers: %q, peers_advertised: %q, metrics: ""}
cluster: {secret: hatchplank-nodes}
store: {address: %q, contact: 3000ms, changes: 2000ms, drains: 2000ms, minimum_lease: 1000ms, reads_per_second: 2000, writes_per_second: 400}
retries: {ratio: 0.2, slack: 54, window: 10s}
quotas: {window_seconds: }
orders: {turn: 3000ms, fenced: false, load_window: 5s, load_overage: 1.1}
stop: {grace: 8s}
log: {level: info}
memory: {limit_mb: 284}
machine: {processor_share: 0.4, link_mbps: 1000, descriptors: 4100}
`

// startNode starts a node that reaches the store at an address, and waits until it is ready.
func (w *world) startNode(name, store string) (*node, error) {
	var addresses [3]string
	for i := range addresses {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	started := &node{name: name, callers: addresses[0], health: addresses[1]}
	file := filepath.Join(w.folder, name+".yaml")
	advertised := ""
	if w.peersThrough {
		var err error
		if started.peers, err = newLink(addresses[2]); err != nil {
			return nil, err
		}
		advertised = started.peers.address
	}
	content := fmt.Sprintf(settings, name, addresses[0], addresses[1], addresses[2], advertised, store)
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		return nil, err
	}
	started.command = exec.Command(w.program, "serve")
	started.command.Env = append(os.Environ(), "HATCHPLANK_BOOT="+file)
	if logs := os.Getenv("PROBE_LOGS"); logs != "" {
		output, err := os.Create(filepath.Join(logs, name+".log"))
		if err != nil {
			return nil, err
		}
		started.command.Stdout, started.command.Stderr = output, output
	}
	if err := w.startProcess(started.command); err != nil {
		return nil, err
	}
	w.nodes = append(w.nodes, started)
	w.record("node %s started: process %d, clients at %s", name, started.command.Process.Pid, started.callers)
	return started, await(10*time.Second, "node "+name+" is not ready", func() bool {
		response, err := http.Get("http://" + started.health + "/ready")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// startProcess starts a process that close ends.
func (w *world) startProcess(command *exec.Cmd) error {
	if err := command.Start(); err != nil {
		return err
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.processes = append(w.processes, command)
	return nil
}

// signal sends a signal to a node.
func (w *world) signal(to *node, signal syscall.Signal) error {
	w.record("%s to node %s", signal, to.name)
	return to.command.Process.Signal(signal)
}

// holder returns the node that the product's own key names as the one that orders; nil if there is none. Only
// the choice of the node that the disruption strikes depends on it.
func (w *world) holder() *node {
	for _, found := range w.store.Range("hatchplank/holder").KeyValues {
		var record struct {
			Name string `json:"name"`
		}
		if found.Key != "hatchplank/holder" || json.Unmarshal(found.Value, &record) != nil {
			continue
		}
		for _, node := range w.nodes {
			if node.name == record.Name {
				return node
			}
		}
	}
	return nil
}

// await waits until a condition holds.
func await(limit time.Duration, failure string, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("%s after %s", failure, limit)
}
