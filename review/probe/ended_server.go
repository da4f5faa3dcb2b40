package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The case ended-server: a server that leaves as planned sends the last answer whole, without a length, and ends.
// The node that passes the answer on was sent SIGTERM.
const (
	endedEvents, endedPause = 40, 100 * time.Millisecond
	// otherServers serve on, and hold another model.
	otherServers       = 7
	endedConfiguration = `{"version":1,"routes":[
 {"name":"s","host":"h.example","path-prefix":"/s/","kind":"streaming","timeout-ms":15000,"target-latency-ms":500,"priority":0,"service":"llm","max-attempts":1,"session-affinity":true,"resumable":false,"gap-target-ms":400}],
 "services":[{"name":"llm","health-path":"/health","max-connections":360,"engine":{"slots":64,"kv-tokens":244881,"weights-mb":200000,"adapter-slots":8,"loads-per-s":4,
 "models":[{"name":"m1","weights-mb":72700,"load-time-s":2.1,"adapters":46,"adapter-mb":66,"warm-s":0.63,"disk-load-s":0.84},{"name":"m2","weights-mb":72700,"load-time-s":2.1,"adapters":0,"adapter-mb":66,"warm-s":0.63,"disk-load-s":0.84}]}}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":5000,"idle-timeout-ms":15000}}`
)

// endingServer serves streams that end with their connection. Once it leaves, it ends after the last one.
type endingServer struct {
	world    *world
	listener net.Listener
	running  atomic.Int64
	leaving  atomic.Bool
	whole    atomic.Int64

	mutex sync.Mutex
	ended bool
}

// record returns the server's record.
func (s *endingServer) record(state string) string {
	return fmt.Sprintf(`{"service":"llm","address":%q,"zone":"z1","version":"v1","slots":64,"state":%q,"cold-remaining-ms":0,"stage":"colocated","models":[{"name":"m1","version":1,"adapters":[]}],"call-seq":0}`, s.listener.Addr(), state)
}

// ServeHTTP implements http.Handler.
func (s *endingServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	const id = "i-llm1"
	if expected := request.Header.Get("Hatchplank-Expect-Instance"); expected != "" && expected != id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.leaving.Load() {
		writer.Header().Set("Server-Leaving", "1")
	}
	switch request.URL.Path {
	case "/report":
		_, _ = fmt.Fprint(writer, `{"stage":"colocated","models":[{"name":"m1","version":1,"adapters":[]}],"busy-slots":false,"call-seq":0,"queue-depth":0,"in-flight":0,"kv-used":0,"kv-total":244881,"handle-count":0}`)
		return
	case "/order":
		writer.WriteHeader(http.StatusConflict)
		return
	}
	s.running.Add(1)
	s.stream(writer, request.Header.Get("Hatchplank-Request-Id"))
	if s.running.Add(-1) == 0 && s.leaving.Load() {
		s.end()
	}
}

// stream sends a stream, and closes its connection.
func (s *endingServer) stream(writer http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	s.world.record("the server runs request %s", id)
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nHatchplank-Request-Id: %s\r\n%s: seal-1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, sealHeader)
	for number := 1; number <= endedEvents && err == nil; number++ {
		_, err = fmt.Fprintf(conn, "id: %d\ndata: piece-%d\n\n", number, number)
		time.Sleep(endedPause)
	}
	if err == nil {
		s.whole.Add(1)
	}
	s.world.record("the server has sent its whole answer to request %s: %t", id, err == nil)
	_ = conn.Close()
}

// end ends the server: nothing listens at its address any more.
func (s *endingServer) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.ended {
		s.ended = true
		_ = s.listener.Close()
		s.world.record("the server has ended as planned")
	}
}

func playEndedServer(w *world) error {
	if err := w.put("op/config", endedConfiguration); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &endingServer{world: w, listener: listener}
	go func() { _ = http.Serve(listener, server) }()
	if err := w.put("servers/i-llm1", server.record("ready")); err != nil {
		return err
	}
	for number := range otherServers {
		other := &modelServer{id: fmt.Sprintf("i-llm%d", number+2), service: "llm", adapterSlots: 8, maxModels: 2, loadTime: 2100 * time.Millisecond, eventPause: endedPause}
		if err := w.startModelServer(other, "m2"); err != nil {
			return err
		}
	}
	node, err := w.startNode("edge-1", w.storeAddress)
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	const requests = 3
	answers := make(chan answer, requests)
	for number := range requests {
		go func() {
			answers <- call{node: node.callers, path: "/s/x", id: fmt.Sprintf("r%d", number+1), model: "m1", deadline: 15 * time.Second}.send()
		}()
	}
	if err := await(5*time.Second, "the requests do not run", func() bool { return server.running.Load() == requests }); err != nil {
		return err
	}
	if err := w.signal(node, syscall.SIGTERM); err != nil {
		return err
	}
	if w.trouble {
		server.leaving.Store(true)
		w.record("the server says draining")
		if err := w.put("servers/i-llm1", server.record("draining")); err != nil {
			return err
		}
	}
	cut := 0
	for range requests {
		got := <-answers
		w.record("client got: %s", got)
		if !got.whole {
			cut++
		}
	}
	switch whole := server.whole.Load(); {
	case whole < requests:
		return fmt.Errorf("the server sent only %d whole answers", whole)
	case cut > 0:
		return fmt.Errorf("%w: the node closed the connections of %d requests without a complete answer, though the server had sent it", errBroken, cut)
	}
	return nil
}
