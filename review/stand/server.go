package stand

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is a request that a server began to work on.
type Run struct {
	ID, Server string
	At         time.Time
}

// Server is a server of a plain service, as PROTOCOL.md describes it: it works on Slots requests at
// a time, queues a few more, rejects the rest with Hatchplank-Not-Executed, and tells its load.
type Server struct {
	ID, Service, Zone string
	Slots, Queue      int
	// Work is how long a run takes.
	Work time.Duration
	// Surplus reports whether the server sends a second copy of the answer that it gives now, in
	// the place of the answer that is due next on the connection; nil: never. It is called once for
	// each answer.
	Surplus func(status int) bool
	Record  *Record

	listener net.Listener
	slots    chan struct{}
	mutex    sync.Mutex
	running  int
	waiting  int
	runs     []Run
	answers  int
	spoiled  int
}

// Start listens on a free port.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener, s.slots = listener, make(chan struct{}, s.Slots)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return nil
}

// Close stops listening.
func (s *Server) Close() { _ = s.listener.Close() }

// Address returns the address of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Entry returns the server's record in the store.
func (s *Server) Entry() string {
	entry, _ := json.Marshal(map[string]any{
		"service": s.Service, "address": s.Address(), "zone": s.Zone, "version": "v1", "slots": s.Slots, "state": "ready",
		"cold-remaining-ms": 0, "call-seq": 0,
	})
	return string(entry)
}

// Runs returns the requests that the server began to work on.
func (s *Server) Runs() []Run {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Run(nil), s.runs...)
}

// Counts returns how many answers the server gave, and how many of them it sent twice.
func (s *Server) Counts() (answers, spoiled int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.answers, s.spoiled
}

// serve answers the requests of a connection, one after the other.
func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var surplus []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get("Hatchplank-Request-Id")
		if len(surplus) > 0 {
			s.Record.Write("server %s: surplus answer goes out in the place of the answer to %s", s.ID, id)
			if _, err := conn.Write(surplus); err != nil {
				return
			}
			surplus = nil
		}
		answer, status := s.answer(request, id, body)
		if s.spoils(status) {
			s.Record.Write("server %s: will send its answer %d to %s a second time", s.ID, status, id)
			surplus = answer
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

// spoils counts an answer and asks whether it is sent twice.
func (s *Server) spoils(status int) bool {
	if s.Surplus == nil {
		return false
	}
	spoiled := s.Surplus(status)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.answers++
	if spoiled {
		s.spoiled++
	}
	return spoiled
}

// answer runs or rejects a request and returns the encoded answer.
func (s *Server) answer(request *http.Request, id string, body []byte) (encoded []byte, status int) {
	if expected := request.Header.Get("Hatchplank-Expect-Instance"); expected != "" && expected != s.ID {
		return s.encode(http.StatusMisdirectedRequest, id, "", "Hatchplank-Instance-Id: "+s.ID), http.StatusMisdirectedRequest
	}
	if !s.admit() {
		s.Record.Write("server %s: rejects %s with 503, not executed", s.ID, id)
		return s.encode(http.StatusServiceUnavailable, id, "", "Hatchplank-Not-Executed: 1"), http.StatusServiceUnavailable
	}
	deadline := deadlineOf(request)
	s.slots <- struct{}{}
	if !time.Now().Before(deadline) {
		<-s.slots
		s.leaveQueue()
		s.Record.Write("server %s: rejects %s with 503, not executed, as its deadline has passed in the queue", s.ID, id)
		return s.encode(http.StatusServiceUnavailable, id, "", "Hatchplank-Not-Executed: 1"), http.StatusServiceUnavailable
	}
	s.mutex.Lock()
	s.waiting--
	s.running++
	s.runs = append(s.runs, Run{ID: id, Server: s.ID, At: time.Now()})
	s.mutex.Unlock()
	s.Record.Write("server %s: runs %s", s.ID, id)
	inTime := time.Until(deadline) >= s.Work
	time.Sleep(min(s.Work, time.Until(deadline)))
	s.mutex.Lock()
	s.running--
	s.mutex.Unlock()
	<-s.slots
	if !inTime {
		return s.encode(http.StatusGatewayTimeout, id, "", "Hatchplank-Server-Seal: seal."+s.ID), http.StatusGatewayTimeout
	}
	return s.encode(http.StatusOK, id, fmt.Sprintf("done %s, %d bytes", id, len(body)), "Hatchplank-Server-Seal: seal."+s.ID), http.StatusOK
}

// deadlineOf returns the time at which the server ceases to work on a request.
func deadlineOf(request *http.Request) time.Time {
	left, err := strconv.ParseInt(request.Header.Get("Hatchplank-Deadline-Ms"), 10, 64)
	if err != nil {
		return time.Now().Add(time.Hour)
	}
	return time.Now().Add(time.Duration(left) * time.Millisecond)
}

// leaveQueue gives a place in the queue back.
func (s *Server) leaveQueue() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.waiting--
}

// admit takes a place in the queue; it reports false if the server is full.
func (s *Server) admit() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.running+s.waiting >= s.Slots+s.Queue {
		return false
	}
	s.waiting++
	return true
}

func (s *Server) encode(status int, id, body, header string) []byte {
	s.mutex.Lock()
	load := fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.Slots)
	s.mutex.Unlock()
	var answer bytes.Buffer
	fmt.Fprintf(&answer, "HTTP/1.1 %d %s\r\nHatchplank-Request-Id: %s\r\nHatchplank-Server-Load: %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, load, header, len(body), body)
	return answer.Bytes()
}
