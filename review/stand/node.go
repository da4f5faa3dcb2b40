package stand

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Node is a process of the node program, started with the command of the deploy file.
type Node struct {
	Name string
	// Front is the address for clients, Ready the one for readiness checks.
	Front, Ready string
	command      *exec.Cmd
	ended        chan struct{}
}

// NodeOptions describe a node.
type NodeOptions struct {
	// Root of the repository, and a temporary folder for settings and logs.
	Root, Folder string
	Name, Zone   string
	// IP is a loopback address that no other node has.
	IP string
	// Store is the address of the store, as this node sees it.
	Store string
}

// freePort returns a port that was free on the address.
func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// StartNode fills in the settings template of the deploy file with the figures of the site
// abay-channel and starts the node program.
func StartNode(options NodeOptions) (*Node, error) {
	var ports [3]int
	for i := range ports {
		port, err := freePort(options.IP)
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	node := &Node{
		Name: options.Name, ended: make(chan struct{}),
		Front: fmt.Sprintf("%s:%d", options.IP, ports[0]), Ready: fmt.Sprintf("%s:%d", options.IP, ports[1]),
	}
	values := map[string]any{
		"node": options.Name, "zone": options.Zone, "ip": options.IP, "listen.front": node.Front, "listen.ready": node.Ready,
		"internal-ports.0": ports[2], "platform.address": options.Store, "platform.ttl-min-ms": 1000,
		"platform.reads-per-s": 2000, "platform.writes-per-s": 400, "bounds.contact-ms": 3000,
		"bounds.config-apply-ms": 2000, "bounds.drain-ms": 2000, "bounds.budget-ratio": 0.2, "bounds.budget-slack": 54,
		"bounds.budget-window-s": 10, "bounds.lease-ms": 3000, "bounds.require-fence": false, "bounds.ceiling-window-s": 5,
		"bounds.ceiling-overage": 1.1, "bounds.grace-s": 8, "limits.memory-mb": 284, "limits.cpu-weight": 0.4,
		"limits.link-mbps": 1000, "limits.max-fds": 4100,
	}
	template, err := os.ReadFile(filepath.Join(options.Root, "deploy", "settings.yaml.template"))
	if err != nil {
		return nil, err
	}
	settings := filepath.Join(options.Folder, options.Name+".yaml")
	if err := os.WriteFile(settings, []byte(fill(string(template), values)), 0o600); err != nil {
		return nil, err
	}
	return node, node.start(options, settings)
}

// started are the processes that an interrupted case has to end.
var started struct {
	mutex sync.Mutex
	once  sync.Once
	nodes []*Node
}

// endOnSignal ends all nodes and this process if it is interrupted.
func endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		started.mutex.Lock()
		for _, node := range started.nodes {
			node.Kill()
		}
		os.Exit(exitNotRun)
	}()
}

// exitNotRun is the exit code of a case that could not run.
const exitNotRun = 2

func (n *Node) start(options NodeOptions, settings string) error {
	output, err := os.Create(filepath.Join(options.Folder, options.Name+".log"))
	if err != nil {
		return err
	}
	n.command = exec.Command("target/hatchplank-node", "serve")
	n.command.Dir = options.Root
	n.command.Env = append(os.Environ(), "HATCHPLANK_BOOT="+settings)
	n.command.Stdout, n.command.Stderr = output, output
	started.once.Do(endOnSignal)
	started.mutex.Lock()
	defer started.mutex.Unlock()
	if err := n.command.Start(); err != nil {
		return err
	}
	started.nodes = append(started.nodes, n)
	go func() {
		_ = n.command.Wait()
		_ = output.Close()
		close(n.ended)
	}()
	return nil
}

var gap = regexp.MustCompile(`\{\{([a-z0-9.-]+)(\|json)?\}\}`)

// fill fills the gaps of a settings template.
func fill(template string, values map[string]any) string {
	return gap.ReplaceAllStringFunc(template, func(found string) string {
		parts := gap.FindStringSubmatch(found)
		value, given := values[parts[1]]
		if !given {
			return ""
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, _ := json.Marshal(value)
		return string(encoded)
	})
}

// AwaitReady waits until the node says that it is ready.
func (n *Node) AwaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + n.Ready + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(n.Name + " did not become ready")
}

// Signal sends a signal to the process.
func (n *Node) Signal(signal syscall.Signal) { _ = n.command.Process.Signal(signal) }

// Ended is closed once the process has ended.
func (n *Node) Ended() <-chan struct{} { return n.ended }

// Kill ends the process.
func (n *Node) Kill() {
	n.Signal(syscall.SIGCONT)
	n.Signal(syscall.SIGKILL)
	<-n.ended
}

// LogHas reports whether the node's log has a line with all of the texts.
func (n *Node) LogHas(folder string, texts ...string) bool {
	content, err := os.ReadFile(filepath.Join(folder, n.Name+".log"))
	if err != nil {
		return false
	}
	for _, line := range strings.Split(string(content), "\n") {
		all := true
		for _, text := range texts {
			all = all && strings.Contains(line, text)
		}
		if all {
			return true
		}
	}
	return false
}
