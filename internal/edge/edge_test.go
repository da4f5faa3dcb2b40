package edge

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/bytebudget"
	"github.com/hatchplank/hatchplank/internal/exchange"
	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/forward"
	"github.com/hatchplank/hatchplank/internal/logging"
	"github.com/hatchplank/hatchplank/internal/notice"
	"github.com/hatchplank/hatchplank/internal/poison"
	"github.com/hatchplank/hatchplank/internal/ratelimit"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/retrybudget"
	"github.com/hatchplank/hatchplank/internal/serverlimit"
	"github.com/hatchplank/hatchplank/internal/serverpath"
	"github.com/hatchplank/hatchplank/internal/streamorigin"
)

const validSettings = `
node: {name: n, zone: z}
listen: {callers: "127.0.0.1:0", health: "127.0.0.1:0", peers: "127.0.0.1:0"}
cluster: {secret: s}
store: {address: "127.0.0.1:1", contact: 3000ms, changes: 2000ms, drains: 2000ms, minimum_lease: 1000ms}
retries: {ratio: 0.2, slack: 54, window: 10s}
orders: {turn: 3000ms, fenced: false, load_window: 5s, load_overage: 1.1}
stop: {grace: 8s}
log: {level: info}
memory: {limit_mb: 284}
machine: {processor_share: 0.4, link_mbps: 1000, descriptors: 4100}
`

func TestSettings(t *testing.T) {
	RegisterTestingT(t)
	settings, err := LoadSettings([]byte(validSettings))
	Expect(err).NotTo(HaveOccurred())
	Expect(settings.Stop.Grace).To(Equal(8 * time.Second))
	Expect(settings.Retries.Slack).To(Equal(54.0))
}

func TestSettingsNameEachProblem(t *testing.T) {
	cases := map[string]struct{ from, to, problem string }{
		"no name":        {"name: n,", "", "node.name is missing"},
		"no zone":        {", zone: z", "", "node.zone is missing"},
		"no peers' port": {`peers: "127.0.0.1:0"`, `peers: "127.0.0.1:0", peers_advertised: "there"`, "listen.peers_advertised"},
		"no port":        {`store: {address: "127.0.0.1:1"`, `store: {address: "127.0.0.1"`, "store.address"},
		"misspelt":       {"stop: {grace", "stop: {gracee", "gracee"},
		"no unit":        {"grace: 8s", "grace: 8", "8"},
		"negative":       {"slack: 54", "slack: -1", "retries.slack"},
		"no window":      {"window: 10s}", "window: 0s}", "retries.window"},
		"no secret":      {"secret: s", `secret: ""`, "cluster.secret is missing"},
		"no contact":     {"contact: 3000ms, ", "", "store.contact"},
		"no changes":     {"changes: 2000ms, ", "", "store.changes"},
		"no drains":      {"drains: 2000ms, ", "", "store.drains"},
		"no load window": {"load_window: 5s", "load_window: 0s", "orders.load_window"},
		"no processor":   {"processor_share: 0.4", "processor_share: 0", "machine.processor_share"},
		"no link":        {"link_mbps: 1000, ", "", "machine.link_mbps"},
		"no descriptors": {", descriptors: 4100", "", "machine.descriptors"},
		"too few":        {"descriptors: 4100", "descriptors: 399", "machine.descriptors: 399 are too few, a node needs 400"},
		"quota window":   {"orders:", "quotas: {window_seconds: -1}\norders:", "quotas.window_seconds"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			changed := strings.Replace(validSettings, test.from, test.to, 1)
			Expect(changed).NotTo(Equal(validSettings))
			_, err := LoadSettings([]byte(changed))
			Expect(err).To(MatchError(ContainSubstring(test.problem)))
		})
	}
}

// The template of the deploy file gives each setting, and the result is valid.
func TestTemplateNamesAllSettings(t *testing.T) {
	RegisterTestingT(t)
	template, err := os.ReadFile(filepath.Join("..", "..", "deploy", "settings.yaml.template"))
	Expect(err).NotTo(HaveOccurred())
	filled := string(template)
	for gap, value := range map[string]string{
		"{{node|json}}": `"n"`, "{{zone|json}}": `"z"`, "{{listen.front|json}}": `"10.0.0.1:1"`, "{{listen.ready|json}}": `"10.0.0.1:2"`,
		"{{ip}}": "10.0.0.1", "{{internal-ports.0}}": "3", "{{platform.address|json}}": `"10.0.0.2:1"`,
		"{{bounds.contact-ms}}": "3000", "{{bounds.config-apply-ms}}": "2000", "{{bounds.drain-ms}}": "2000", "{{heartbeat-ms}}": "1200", "{{platform.ttl-min-ms}}": "1000", "{{bounds.budget-ratio}}": "0.2",
		"{{bounds.budget-slack}}": "54", "{{bounds.budget-window-s}}": "10", "{{bounds.lease-ms}}": "3000", "{{bounds.quota-window-s}}": "6",
		"{{bounds.require-fence}}": "false", "{{bounds.ceiling-window-s}}": "5", "{{bounds.ceiling-overage}}": "1.1",
		"{{bounds.grace-s}}": "8", "{{limits.memory-mb}}": "284",
		"{{limits.cpu-weight}}": "0.4", "{{limits.link-mbps}}": "1000.0", "{{limits.max-fds}}": "4100",
		"{{platform.reads-per-s}}": "2000", "{{platform.writes-per-s}}": "400",
	} {
		Expect(filled).To(ContainSubstring(gap))
		filled = strings.ReplaceAll(filled, gap, value)
	}
	Expect(filled).NotTo(ContainSubstring("{{"))
	settings, err := LoadSettings([]byte(filled))
	Expect(err).NotTo(HaveOccurred())
	Expect(settings.Listen.Peers).To(Equal("10.0.0.1:3"))
	Expect(settings.Orders.HandoverPeriod).To(Equal(3 * time.Second))
	Expect(settings.QuotaWindow()).To(Equal(6 * time.Second))
	Expect(settings.Heartbeat()).To(Equal(1200 * time.Millisecond))
	Expect(settings.Store.ReadsPerSecond).To(BeEquivalentTo(2000))
	Expect(settings.Store.WritesPerSecond).To(BeEquivalentTo(400))
	Expect(settings.Machine).To(Equal(Machine{ProcessorShare: 0.4, LinkMbps: 1000, Descriptors: 4100}))
}

// Guards against a node that does not start where the platform names no heartbeat: a gap of the template without a value is
// filled with nothing.
func TestSettingsWithoutAHeartbeatAreValid(t *testing.T) {
	RegisterTestingT(t)
	template, err := os.ReadFile(filepath.Join("..", "..", "deploy", "settings.yaml.template"))
	Expect(err).NotTo(HaveOccurred())
	Expect(string(template)).To(MatchRegexp(`heartbeat_ms: \{\{heartbeat-ms\}\}\n`))
	settings, err := LoadSettings([]byte(strings.Replace(validSettings, "drains: 2000ms,", "drains: 2000ms, heartbeat_ms: ,", 1)))
	Expect(err).NotTo(HaveOccurred())
	Expect(settings.Heartbeat()).To(Equal(defaultHeartbeat))
}

// In a fleet of large and small machines, large ones campaign first in spite of the random part
// of each node's wait, and idle connections leave most descriptors to other connections.
func TestMachineSizeDecidesCampaignDelayAndIdleConnections(t *testing.T) {
	RegisterTestingT(t)
	small := Machine{ProcessorShare: 0.192, LinkMbps: 20, Descriptors: 4100}
	large := Machine{ProcessorShare: 0.8, LinkMbps: 200, Descriptors: 8192}
	const campaignSpread = 200 * time.Millisecond
	Expect(small.FanOutTime() - large.FanOutTime()).To(BeNumerically(">", campaignSpread))
	Expect(large.FanOutTime()).To(BeNumerically("<", campaignSpread))
	Expect(small.MaxIdleConnections()).To(BeNumerically("<=", (4100-reservedDescriptors)/4))
}

// blockedWriter is a writer whose Write never returns.
type blockedWriter struct{}

func (blockedWriter) Write([]byte) (int, error) { select {} }

func TestLogNeverBlocks(t *testing.T) {
	RegisterTestingT(t)
	logger, _, err := NewLogger(blockedWriter{}, "info", "n")
	Expect(err).NotTo(HaveOccurred())
	written := make(chan struct{})
	go func() {
		for range 3 * maxBufferedLines {
			logger.Info().Msg("line")
		}
		close(written)
	}()
	Eventually(written, "10s").Should(BeClosed())
}

func TestLogRateIsLimitedAndReportsSkippedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		limiter := logging.NewLimiter(3)
		count := func() (written, skipped int) {
			for range 10 {
				out, allowed := limiter.Allow("kind", time.Now())
				if allowed {
					written++
					skipped += out
				}
			}
			return written, skipped
		}
		written, skipped := count()
		Expect(written).To(Equal(3))
		Expect(skipped).To(BeZero())
		time.Sleep(time.Second)
		written, skipped = count()
		Expect(written).To(Equal(3))
		Expect(skipped).To(Equal(7))
		_, allowed := limiter.Allow("another kind", time.Now())
		Expect(allowed).To(BeTrue())
	})
}

func newTestMetrics() *Metrics {
	none := func() float64 { return 0 }
	return NewMetrics(Gauges{Connections: none, Servers: none, Revision: none, Era: none, Holder: none, Relayed: none, Quarantine: none, Limited: none, LostPaths: none, Carried: none, RecordsAge: none, HeldBytes: func(bytebudget.Kind) float64 { return 0 }})
}

func TestRequestLogRecordsTheDecision(t *testing.T) {
	RegisterTestingT(t)
	var output bytes.Buffer
	metrics := newTestMetrics()
	log := NewRequestLog(zerolog.New(&output), metrics)
	request := &forward.Request{ID: "r1", Model: "m", Accepted: time.Now()}
	log.AttemptFailed(forward.Observation{Request: request, Server: "s1", Number: 1, WillRetry: true, Failure: &forward.AttemptError{
		Reason: forward.FailureFull, Ran: result.RanNo, Load: forward.Load{Reported: true, Running: 4, Waiting: 2},
	}})
	log.Ended(request, forward.Outcome{
		Code: result.NoBackEnd, Route: "r", Pool: "p", Attempts: 1, RetryAfter: time.Second, Reason: "no place",
		Decision: forward.Decision{Configuration: 7, Eligible: 0, Delay: 2 * time.Second},
	})
	log.LongRunning(forward.LongRunning{Request: request, Route: "r", Pool: "p", Server: "s1"})
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	Expect(lines).To(HaveLen(3))
	Expect(lines[2]).To(And(ContainSubstring(`"request":"r1"`), ContainSubstring(`"server":"s1"`), ContainSubstring("request under way")))
	var attempt, end map[string]any
	Expect(json.Unmarshal([]byte(lines[0]), &attempt)).To(Succeed())
	Expect(json.Unmarshal([]byte(lines[1]), &end)).To(Succeed())
	Expect(attempt).To(And(HaveKeyWithValue("request", "r1"), HaveKeyWithValue("server", "s1"), HaveKeyWithValue("reason", "full"), HaveKeyWithValue("server_running", 4.0)))
	Expect(end).To(And(HaveKeyWithValue("level", "warn"), HaveKeyWithValue("code", "no_back_end"), HaveKeyWithValue("configuration", 7.0), HaveKeyWithValue("expected_delay_ms", 2000.0)))
}

func brokenStream() *forward.AttemptError {
	return &forward.AttemptError{Reason: forward.FailureBroken, Ran: result.RanYes, Cause: &forward.StreamError{Fault: forward.FaultNoID}}
}

// No log line said what a server had sent within a stream that broke.
func TestRequestLogShowsWhatBrokeAStream(t *testing.T) {
	RegisterTestingT(t)
	var output, scraped bytes.Buffer
	metrics := newTestMetrics()
	log := NewRequestLog(zerolog.New(&output), metrics)
	log.AttemptFailed(forward.Observation{Request: &forward.Request{ID: "r1"}, Server: "s1", Failure: brokenStream()})
	var attempt map[string]any
	Expect(json.Unmarshal(output.Bytes(), &attempt)).To(Succeed())
	Expect(attempt).To(And(HaveKeyWithValue("server", "s1"), HaveKeyWithValue("reason", "broken"), HaveKeyWithValue("stream_fault", "no_id")))
	metrics.set.WritePrometheus(&scraped)
	Expect(scraped.String()).To(ContainSubstring(`hatchplank_node_stream_faults_total{fault="no_id"} 1`))
}

// Guards against a choice by other nodes' loads that the log shows as one by the server's report.
func TestRequestLogShowsWhereTheLoadWasFrom(t *testing.T) {
	RegisterTestingT(t)
	var output bytes.Buffer
	log := NewRequestLog(zerolog.New(&output), newTestMetrics())
	log.Ended(&forward.Request{ID: "r1", Accepted: time.Now()}, forward.Outcome{Code: result.OK, Decision: forward.Decision{
		Candidates: 2, Load: 9, LoadSource: forward.LoadFromNodes, LoadAge: 300 * time.Millisecond, Arrivals: 4.5, Slowdown: 1.4, Suspected: 1,
	}})
	var end map[string]any
	Expect(json.Unmarshal(output.Bytes(), &end)).To(Succeed())
	Expect(end).To(And(HaveKeyWithValue("load_from", "nodes"), HaveKeyWithValue("load_age_ms", 300.0), HaveKeyWithValue("arrivals", 4.5), HaveKeyWithValue("slowdown", 1.4), HaveKeyWithValue("suspected", 1.0)))
}

func TestMetricsAreDocumented(t *testing.T) {
	RegisterTestingT(t)
	metrics := newTestMetrics()
	log := NewRequestLog(zerolog.Nop(), metrics)
	request := &forward.Request{ID: "r1", Model: "m", Accepted: time.Now()}
	log.AttemptFailed(forward.Observation{Request: request, Failure: &forward.AttemptError{Reason: forward.FailureFull}})
	log.AttemptFailed(forward.Observation{Request: request, Failure: brokenStream()})
	log.Ended(request, forward.Outcome{Code: result.OK, Cold: true, Decision: forward.Decision{LoadSource: forward.LoadFromNodes}})
	log.SuspicionChecked(forward.SuspicionCheck{Server: &fleet.Server{ID: "s1"}})
	log.ResponseAnomaly(exchange.Anomaly{Kind: exchange.AnomalyForeignResponse})
	metrics.StoreCall("/call")
	metrics.Order("load", "accepted")
	metrics.ServerCrashed()
	metrics.PoisonTrial(poison.TrialGranted)
	metrics.Notice(notice.KindLeaving)
	metrics.SentDespiteNotice(notice.KindLeaving)
	metrics.ServerLimit(serverlimit.Grant{Allowed: true})
	metrics.SentToLimited(notice.PurposeRequest)
	metrics.Quota("north", ratelimit.Verdict{Allowed: true})
	metrics.Retry(retrybudget.Decision{Allowed: true, By: retrybudget.ByNode})
	metrics.CarryRequest(serverpath.Opened)
	metrics.CarrierAnswer(serverpath.Opened)
	metrics.RecordCheck(forward.RecordAccepts)
	metrics.UnframedEnd(forward.ServerLeft)
	metrics.StreamOrigin(streamorigin.Known, streamorigin.FromTable)
	metrics.MemoryShort(bytebudget.Events)
	answer := httptest.NewRecorder()
	metrics.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	Expect(err).NotTo(HaveOccurred())
	for _, description := range MetricDescriptions {
		Expect(answer.Body.String()).To(ContainSubstring(description.Name))
		Expect(string(page)).To(ContainSubstring("`" + description.Name + "`"))
	}
}

// TestRejectedRecordsAreExported: odd records among the servers' showed in the log only.
func TestRejectedRecordsAreExported(t *testing.T) {
	RegisterTestingT(t)
	answer := httptest.NewRecorder()
	NewMetrics(Gauges{Rejected: func() float64 { return 3 }}).ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	Expect(answer.Body.String()).To(ContainSubstring("hatchplank_node_rejected_records_total 3\n"))
}

// startProcess runs a process with the given handler of clients' requests and readiness check.
func startProcess(callers http.Handler, ready func() string) (process *Process, stop context.CancelFunc, done chan error) {
	settings, err := LoadSettings([]byte(validSettings))
	Expect(err).NotTo(HaveOccurred())
	process = NewProcess(settings, zerolog.Nop())
	process.Assemble(Components{
		Callers: callers, Ready: ready, IdleLimit: func() time.Duration { return time.Minute }, HandOver: func() {}, Stopped: func() {},
		Drain: func(time.Time) {}, EndRequests: func() {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done = make(chan error, 1)
	go func() { done <- process.Run(ctx) }()
	Eventually(func() string { return process.Address(Callers) + process.Address(Health) }).ShouldNot(BeEmpty())
	Eventually(process.started.Load).Should(BeTrue())
	return process, cancel, done
}

func TestProcessReportsReadiness(t *testing.T) {
	RegisterTestingT(t)
	var mutex sync.Mutex
	reason := "no configuration yet"
	process, stop, done := startProcess(http.NotFoundHandler(), func() string {
		mutex.Lock()
		defer mutex.Unlock()
		return reason
	})
	status := func() int {
		answer, err := http.Get("http://" + process.Address(Health) + "/ready")
		if err != nil {
			return 0
		}
		defer answer.Body.Close()
		return answer.StatusCode
	}
	Expect(status()).To(Equal(http.StatusServiceUnavailable))
	mutex.Lock()
	reason = ""
	mutex.Unlock()
	Expect(status()).To(Equal(http.StatusOK))
	stop()
	Eventually(status).Should(Equal(http.StatusServiceUnavailable))
	Eventually(done, "20s").Should(Receive(BeNil()))
}

func TestStopFinishesRunningRequestsAndAcceptsNewOnes(t *testing.T) {
	RegisterTestingT(t)
	release := make(chan struct{})
	running := make(chan struct{}, 2)
	process, stop, done := startProcess(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/slow" {
			running <- struct{}{}
			<-release
		}
		_, _ = io.WriteString(writer, "whole")
	}), func() string { return "" })
	get := func(path string) (string, error) {
		answer, err := http.Get("http://" + process.Address(Callers) + path)
		if err != nil {
			return "", err
		}
		defer answer.Body.Close()
		body, err := io.ReadAll(answer.Body)
		return string(body), err
	}
	slow := make(chan string, 1)
	go func() {
		body, err := get("/slow")
		slow <- body + errorText(err)
	}()
	<-running
	stop()
	Eventually(process.Stopping).Should(BeTrue())
	Expect(get("/fast")).To(Equal("whole"), "it still accepts new requests")
	close(release)
	Eventually(slow, "20s").Should(Receive(Equal("whole")))
	Eventually(done, "20s").Should(Receive(BeNil()))
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func TestProcessThatCannotListenReturnsTheError(t *testing.T) {
	RegisterTestingT(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer taken.Close()
	settings, err := LoadSettings([]byte(validSettings))
	Expect(err).NotTo(HaveOccurred())
	settings.Listen.Callers = taken.Addr().String()
	process := NewProcess(settings, zerolog.Nop())
	process.Assemble(Components{Callers: http.NotFoundHandler(), Ready: func() string { return "" }})
	Expect(errors.Is(process.Run(context.Background()), syscall.EADDRINUSE)).To(BeTrue())
}

func TestReloadOfInvalidSettingsKeepsTheCurrentOnes(t *testing.T) {
	RegisterTestingT(t)
	before := zerolog.GlobalLevel()
	defer zerolog.SetGlobalLevel(before)
	current, err := LoadSettings([]byte(validSettings))
	Expect(err).NotTo(HaveOccurred())
	Expect(reload([]byte("node: ["), nil, current, zerolog.Nop())).To(Equal(current))
	Expect(reload(nil, os.ErrNotExist, current, zerolog.Nop())).To(Equal(current))
	changed := reload([]byte(strings.Replace(validSettings, "level: info", "level: warn", 1)), nil, current, zerolog.Nop())
	Expect(changed.Log.Level).To(Equal("warn"))
	Expect(zerolog.GlobalLevel()).To(Equal(zerolog.WarnLevel))
}

func TestIdleConnectionsAreClosedAtTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		idle := newIdleConnections()
		near, far := net.Pipe()
		busy, other := net.Pipe()
		defer other.Close()
		idle.connStateChanged(near, http.StateNew)
		idle.connStateChanged(busy, http.StateIdle)
		idle.connStateChanged(busy, http.StateActive)
		time.Sleep(2 * time.Second)
		idle.closeExpired(3 * time.Second)
		Expect(idle.idleSince).To(HaveLen(1))
		time.Sleep(2 * time.Second)
		idle.closeExpired(3 * time.Second)
		Expect(idle.idleSince).To(BeEmpty())
		_, err := far.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
		Expect(busy.Close()).To(Succeed())
	})
}

// The idle limit closed connections on which the header of a request was being read.
func TestIdleLimitDoesNotCutOffARequestThatIsBeingRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		settings, err := LoadSettings([]byte(validSettings))
		Expect(err).NotTo(HaveOccurred())
		process := NewProcess(settings, zerolog.Nop())
		process.Assemble(Components{
			Callers:   http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusNoContent) }),
			IdleLimit: func() time.Duration { return 3 * time.Second },
		})
		listener := newPipeListener()
		process.serveCallers(listener, make(chan error, 1))
		defer func() { _ = process.callers.server.Close() }()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go process.monitor(ctx)
		connection := listener.dial()
		reader := bufio.NewReader(connection)
		expectAnswer := func() {
			response, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusNoContent))
		}
		_, _ = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		expectAnswer()
		time.Sleep(2500 * time.Millisecond)
		_, _ = io.WriteString(connection, "GET / HTTP/1.1\r\n")
		time.Sleep(2500 * time.Millisecond)
		_, _ = io.WriteString(connection, "Host: h\r\n\r\n")
		expectAnswer()
		answered := time.Now()
		_, err = reader.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		Expect(time.Since(answered)).To(BeNumerically("~", 3500*time.Millisecond, 600*time.Millisecond))
	})
}

// fieldPattern matches the names of log fields in source files.
var fieldPattern = regexp.MustCompile(`(?:\.(?:Str|Int|Int64|Dur|Bool|AnErr|Strs)\(|addText\(event, )"([a-z_]+)"`)

func TestLogFieldsAreDocumented(t *testing.T) {
	RegisterTestingT(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	Expect(err).NotTo(HaveOccurred())
	for _, folder := range []string{".", "../orders", "../mirror", "../notice", "../../platform", "../../cmd/hatchplank-node", "../logging"} {
		files, err := filepath.Glob(filepath.Join(folder, "*.go"))
		Expect(err).NotTo(HaveOccurred())
		for _, file := range files {
			source, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			for _, found := range fieldPattern.FindAllStringSubmatch(string(source), -1) {
				if found[1] != "node" {
					Expect(string(page)).To(ContainSubstring("`"+found[1]+"`"), file)
				}
			}
		}
	}
}

func TestPauseOfTheProcessIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		var output bytes.Buffer
		process := NewProcess(Settings{}, zerolog.New(&output))
		last := process.detectPause(time.Now().Add(-idleCheckPeriod))
		Expect(output.String()).To(BeEmpty())
		time.Sleep(idleCheckPeriod + 3*time.Second)
		process.detectPause(last)
		Expect(output.String()).To(ContainSubstring(`"paused_ms":3000`))
	})
}

// The signal's default action would terminate the test process.
func TestSIGHUPDoesNotTerminateAStoppingNode(t *testing.T) {
	RegisterTestingT(t)
	stopped, stop := context.WithCancel(context.Background())
	stop()
	hangUps := CatchSIGHUP()
	WatchSettings(stopped, hangUps, "none", Settings{}, zerolog.Nop())
	Expect(syscall.Kill(syscall.Getpid(), syscall.SIGHUP)).To(Succeed())
	Eventually(hangUps, "10s").Should(Receive())
}

// Guards against a connection of a client that is closed in order where a handler resets it, since its wrapper hid
// the socket's means to do so.
func TestHandlerCanResetAClientsConnection(t *testing.T) {
	RegisterTestingT(t)
	received := make(chan struct{})
	process, stop, done := startProcess(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, "half")
		control := http.NewResponseController(writer)
		_ = control.Flush()
		<-received
		conn, _, err := control.Hijack()
		if err != nil {
			return
		}
		_ = conn.(interface{ SetLinger(seconds int) error }).SetLinger(0)
		_ = conn.Close()
	}), func() string { return "" })
	conn, err := net.Dial("tcp", process.Address(Callers))
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
	Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	half := make([]byte, 4)
	_, err = io.ReadFull(response.Body, half)
	Expect(err).NotTo(HaveOccurred())
	close(received)
	_, err = response.Body.Read(half)
	Expect(err).To(MatchError(syscall.ECONNRESET))
	stop()
	Eventually(done, "20s").Should(Receive(BeNil()))
}
