package edge

import (
	"bufio"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

// pipeListener is a listener in memory, for virtual time.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
	close       sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.connections:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.close.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial connects a client, and returns nil once the listener is closed.
func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	select {
	case l.connections <- server:
		return client
	case <-l.closed:
		return nil
	}
}

// stopRecord is what a stop did, by the time since SIGTERM.
type stopRecord struct {
	began time.Time

	mutex sync.Mutex
	at    map[string]time.Duration
}

func (r *stopRecord) note(step string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.at[step] = time.Since(r.began)
}

// stopInVirtualTime runs a process with a listener in memory, lets prepare connect clients, and
// stops it. Its components' steps are recorded; those in components replace them.
func stopInVirtualTime(components Components, prepare func(*pipeListener, *stopRecord)) map[string]time.Duration {
	record := &stopRecord{at: map[string]time.Duration{}}
	step := func(name string, instead func()) func() {
		return func() {
			if instead != nil {
				instead()
			}
			record.note(name)
		}
	}
	components.Ready = func() string { return "" }
	components.Drain = func(time.Time) { record.note("drained") }
	components.EndRequests = step("final answers", components.EndRequests)
	components.HandOver = step("handed over", components.HandOver)
	components.Stopped = step("saved", components.Stopped)
	if components.Callers == nil {
		components.Callers = http.NotFoundHandler()
	}
	settings, err := LoadSettings([]byte(validSettings))
	Expect(err).NotTo(HaveOccurred())
	process := NewProcess(settings, zerolog.Nop())
	process.Assemble(components)
	listener := newPipeListener()
	process.serveCallers(listener, make(chan error, 1))
	prepare(listener, record)
	synctest.Wait()
	record.began = time.Now()
	process.stop()
	record.note("exit")
	synctest.Wait()
	record.mutex.Lock()
	defer record.mutex.Unlock()
	return maps.Clone(record.at)
}

// idleConnection connects a client whose first request has been answered; the step is noted once the
// node closes the connection.
func idleConnection(listener *pipeListener, record *stopRecord, step string) {
	connection := listener.dial()
	reader := bufio.NewReader(connection)
	_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(reader, nil)
	Expect(err).NotTo(HaveOccurred())
	_, _ = io.Copy(io.Discard, response.Body)
	go func() {
		_, _ = reader.ReadByte()
		record.note(step)
	}()
}

// With the store silent, requests were accepted up to 4.3 s after SIGTERM, and cut off without an
// answer.
func TestSilentStoreDoesNotDelayTheStop(t *testing.T) {
	for name, components := range map[string]Components{
		"handover takes 1.8 s":   {HandOver: func() { time.Sleep(1800 * time.Millisecond) }},
		"handover takes an hour": {HandOver: func() { time.Sleep(time.Hour) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				at := stopInVirtualTime(components, func(listener *pipeListener, record *stopRecord) {
					idleConnection(listener, record, "idle connection closed")
				})
				Expect(at["drained"]).To(BeZero())
				Expect(at["idle connection closed"]).To(BeNumerically("~", acceptAfterStop, 100*time.Millisecond))
				Expect(at).To(HaveKey("saved"))
				Expect(at["exit"]).To(BeNumerically("<", 8*time.Second))
				time.Sleep(2 * time.Hour)
			})
		})
	}
}

// The handover delayed the final answers beyond the end of the process.
func TestRequestsGetFinalAnswersWhileTheStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		ended := make(chan struct{})
		answered := make(chan int, 1)
		at := stopInVirtualTime(Components{
			HandOver:    func() { time.Sleep(1800 * time.Millisecond) },
			EndRequests: func() { close(ended) },
			Callers: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				<-ended
				writer.WriteHeader(http.StatusServiceUnavailable)
			}),
		}, func(listener *pipeListener, _ *stopRecord) {
			connection := listener.dial()
			_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			go func() {
				response, err := http.ReadResponse(bufio.NewReader(connection), nil)
				if err != nil {
					answered <- 0
					return
				}
				answered <- response.StatusCode
			}()
		})
		Expect(at).To(HaveKeyWithValue("final answers", 8*time.Second-finalAnswerMargin))
		Expect(<-answered).To(Equal(http.StatusServiceUnavailable))
		Expect(at["exit"]).To(BeNumerically("<", 8*time.Second))
	})
}

// The counts of the retry budget were saved only after all carried requests had ended, and the process
// waited for the store however long that took.
func TestProcessExitsWithinTheGracePeriodWhateverItWaitsFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		at := stopInVirtualTime(Components{
			HandOver:     func() { time.Sleep(time.Hour) },
			Stopped:      func() { time.Sleep(time.Hour) },
			AwaitCarried: func(ctx context.Context) { <-ctx.Done() },
		}, func(listener *pipeListener, record *stopRecord) {
			idleConnection(listener, record, "idle connection closed")
		})
		Expect(at["exit"]).To(BeNumerically("<", 8*time.Second))
		time.Sleep(2 * time.Hour)
	})
}

// Two soaks saw it: net/http drops without an answer what it reads while the server shuts down.
func TestRequestThatIsReadAsThePortClosesIsAnswered(t *testing.T) {
	for name, earlier := range map[string]int{"on a new connection": 0, "on a connection used before": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				answered := make(chan error, 1)
				stopInVirtualTime(Components{}, func(listener *pipeListener, _ *stopRecord) {
					connection := listener.dial()
					reader := bufio.NewReader(connection)
					for range earlier {
						_, _ = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
						response, err := http.ReadResponse(reader, nil)
						Expect(err).NotTo(HaveOccurred())
						_, _ = io.Copy(io.Discard, response.Body)
					}
					_, _ = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n")
					go func() {
						<-listener.closed
						time.Sleep(100 * time.Millisecond)
						_, _ = io.WriteString(connection, "\r\n")
						_, err := http.ReadResponse(reader, nil)
						answered <- err
					}()
				})
				Expect(<-answered).To(Succeed())
			})
		})
	}
}

// A request that the node took is answered, at whatever moment of the stop it was sent.
func TestNoRequestIsTakenWithoutAnAnswerAroundTheClosingOfThePort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		const clients = 100
		lost := make(chan time.Duration, 2*clients)
		taken := make(chan struct{}, 2*clients)
		var all sync.WaitGroup
		stopInVirtualTime(Components{}, func(listener *pipeListener, _ *stopRecord) {
			send := func(reader *bufio.Reader, connection net.Conn) (sent, answered bool) {
				if _, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
					return false, false
				}
				response, err := http.ReadResponse(reader, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, response.Body)
				}
				return true, err == nil
			}
			began := time.Now()
			for client := range 2 * clients {
				used := client%2 == 0
				wait := acceptAfterStop + time.Duration(client/2-clients/2)*200*time.Microsecond
				all.Go(func() {
					dialWait := min(wait, acceptAfterStop) - time.Millisecond
					time.Sleep(dialWait)
					connection := listener.dial()
					reader := bufio.NewReader(connection)
					if used {
						_, _ = send(reader, connection)
					}
					time.Sleep(wait - dialWait)
					sent, answered := send(reader, connection)
					if sent {
						taken <- struct{}{}
					}
					if sent && !answered {
						lost <- time.Since(began)
					}
				})
			}
		})
		all.Wait()
		Expect(len(taken)).To(BeNumerically(">", clients))
		Expect(lost).To(BeEmpty())
	})
}

// A node whose log is not read did not exit.
func TestProcessExitsWhileItsLogIsBlocked(t *testing.T) {
	RegisterTestingT(t)
	logger, output, err := NewLogger(blockedWriter{}, "info", "n")
	Expect(err).NotTo(HaveOccurred())
	logger.Info().Msg("line")
	closed := make(chan error, 1)
	go func() { closed <- output.Close() }()
	Eventually(closed, "10s").Should(Receive(MatchError(errLogBlocked)))
}
