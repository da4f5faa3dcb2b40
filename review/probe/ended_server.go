package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

// The case ended-server: a server that leaves as planned sends the last answers whole, without a length, and ends.
// The node that passes the answers on was sent SIGTERM.
const (
	endedEvents, endedPause = 40, 100 * time.Millisecond
	// otherServers serve on, and hold another model.
	otherServers = 7
	// endedRequests is the number of streams at the server that leaves.
	endedRequests      = 3
	endedConfiguration = `{"version":1,"routes":[
 {"name":"s","host":"h.example","path-prefix":"/s/","kind":"streaming","timeout-ms":15000,"target-latency-ms":500,"priority":0,"service":"llm","max-attempts":1,"session-affinity":true,"resumable":false,"gap-target-ms":400}],
 "services":[{"name":"llm","health-path":"/health","max-connections":360,"engine":{"slots":64,"kv-tokens":244881,"weights-mb":200000,"adapter-slots":8,"loads-per-s":4,
 "models":[{"name":"m1","weights-mb":72700,"load-time-s":2.1,"adapters":46,"adapter-mb":66,"warm-s":0.63,"disk-load-s":0.84},{"name":"m2","weights-mb":72700,"load-time-s":2.1,"adapters":0,"adapter-mb":66,"warm-s":0.63,"disk-load-s":0.84}]}}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":5000,"idle-timeout-ms":15000}}`
)

// endingServer is a model server whose streams end with their connection. Once it leaves, it ends after the last one.
type endingServer struct {
	*modelServer
	running atomic.Int64
	whole   atomic.Int64
}

// serve sends a stream, and closes its connection.
func (s *endingServer) serve(writer http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	s.running.Add(1)
	leaving := ""
	if s.leavingAs.Load() {
		leaving = "Server-Leaving: 1\r\n"
	}
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nHatchplank-Request-Id: %s\r\n%s: seal-%s\r\n%sContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, sealHeader, s.id, leaving)
	for number := 1; number <= endedEvents && err == nil; number++ {
		_, err = fmt.Fprintf(conn, "id: %d\ndata: piece-%d\n\n", number, number)
		time.Sleep(endedPause)
	}
	if err == nil {
		s.whole.Add(1)
	}
	s.world.record("server %s has sent its whole answer to request %s: %t", s.id, id, err == nil)
	_ = conn.Close()
	if s.running.Add(-1) == 0 && s.leavingAs.Load() {
		s.end()
	}
}

func playEndedServer(w *world) error {
	if err := w.put("op/config", endedConfiguration); err != nil {
		return err
	}
	server := &endingServer{modelServer: &modelServer{id: "i-llm1", service: "llm", adapterSlots: 8, maxModels: 2, loadTime: 2100 * time.Millisecond}}
	server.answer = server.serve
	if err := w.startModelServer(server.modelServer, "m1"); err != nil {
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
	time.Sleep(settleTime)
	answers := make(chan answer, endedRequests)
	for number := range endedRequests {
		go func() {
			answers <- call{node: node.callers, path: "/s/x", id: fmt.Sprintf("r%d", number+1), model: "m1", deadline: 15 * time.Second}.send()
		}()
	}
	if err := await(5*time.Second, "the requests do not run", func() bool { return server.running.Load() == endedRequests }); err != nil {
		return err
	}
	if err := w.signal(node, syscall.SIGTERM); err != nil {
		return err
	}
	if w.trouble {
		w.record("server %s says draining", server.id)
		if err := server.leave(); err != nil {
			return err
		}
	}
	cut := 0
	for range endedRequests {
		got := <-answers
		w.record("client got: %s", got)
		if !got.whole {
			cut++
		}
	}
	switch whole := server.whole.Load(); {
	case whole < endedRequests:
		return fmt.Errorf("the server sent only %d whole answers", whole)
	case cut > 0:
		return fmt.Errorf("%w: the node closed the connections of %d requests without a complete answer, though the server had sent it", errBroken, cut)
	}
	return nil
}
