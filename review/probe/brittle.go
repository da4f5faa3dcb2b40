package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The case brittle: many users come at once while the servers of a service say that they are brittle.
const (
	brittleServers = 4
	brittleSlots   = 6
	brittleWork    = 150 * time.Millisecond
	// usualQueue is how many requests wait at a server, and brittleQueue how many while it is brittle.
	usualQueue, brittleQueue = 24, 2
	// brittleLimit is the number of requests that a brittle server may reject in a second; it falls over by the
	// next one, and is back after brittleDown.
	brittleLimit = 10
	brittleDown  = 4 * time.Second
	// brittleNotice is the time from the first notice until servers let fewer wait: contact-ms.
	brittleNotice = 3 * time.Second
	// usualRate is the usual number of requests a second, of which the servers take 160, and burstFactor that of a
	// burst for burstTime.
	usualRate, burstFactor = 80, 2.5
	burstTime              = 5 * time.Second
	brittleConfiguration   = `{"version":1,"routes":[
 {"name":"f","host":"h.example","path-prefix":"/f/","kind":"idempotent","timeout-ms":1500,"target-latency-ms":400,"priority":1,"service":"plain","max-attempts":2}],
 "services":[{"name":"plain","health-path":"/health","max-connections":100}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":5000,"idle-timeout-ms":15000}}`
)

// brittleServer is a server that may say that it is brittle.
type brittleServer struct {
	world  *world
	number int

	mutex sync.Mutex
	// id of the incarnation that runs; empty while it is down.
	id       string
	starts   int
	address  string
	http     *http.Server
	brittle  time.Time
	running  int
	waiting  int
	slotFree chan struct{}
	rejected []time.Time
	falls    int
	ran      atomic.Int64
}

// start starts an incarnation at the server's address.
func (s *brittleServer) start() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.address == "" {
		s.address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.starts++
	s.address, s.id = listener.Addr().String(), fmt.Sprintf("i-plain%d-%d", s.number, s.starts)
	s.running, s.waiting, s.rejected, s.slotFree = 0, 0, nil, make(chan struct{}, brittleSlots)
	for range brittleSlots {
		s.slotFree <- struct{}{}
	}
	s.http = &http.Server{Handler: s}
	go func(server *http.Server) { _ = server.Serve(listener) }(s.http)
	s.world.record("server %s started at %s", s.id, s.address)
	return s.world.put("servers/"+s.id, fmt.Sprintf(
		`{"service":"plain","address":%q,"zone":"z1","version":"v1","slots":%d,"state":"ready","cold-remaining-ms":0,"call-seq":0}`, s.address, brittleSlots))
}

// setBrittle makes the server say that it is brittle, or no longer.
func (s *brittleServer) setBrittle(since time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.brittle = since
}

// ServeHTTP implements http.Handler.
func (s *brittleServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	if id := request.Header.Get("Hatchplank-Request-Id"); id != "" {
		header.Set("Hatchplank-Request-Id", id)
	}
	s.mutex.Lock()
	id, free := s.id, s.slotFree
	if !s.brittle.IsZero() {
		header.Set("Server-Brittle", fmt.Sprint(brittleLimit))
	}
	if expected := request.Header.Get("Hatchplank-Expect-Instance"); expected != "" && expected != id {
		s.mutex.Unlock()
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path == "/health" {
		s.mutex.Unlock()
		header.Set("Hatchplank-Instance-Id", id)
		return
	}
	queue := usualQueue
	if !s.brittle.IsZero() && time.Since(s.brittle) > brittleNotice {
		queue = brittleQueue
	}
	if s.running+s.waiting >= brittleSlots+queue {
		header.Set("Hatchplank-Server-Load", s.load())
		header.Set("Hatchplank-Not-Executed", "1")
		s.reject(queue)
		s.mutex.Unlock()
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.waiting++
	s.mutex.Unlock()
	select {
	case <-free:
	case <-request.Context().Done():
		s.add(id, 0, -1)
		return
	}
	s.add(id, 1, -1)
	s.ran.Add(1)
	time.Sleep(brittleWork)
	s.add(id, -1, 0)
	free <- struct{}{}
	s.mutex.Lock()
	header.Set("Hatchplank-Server-Load", s.load())
	s.mutex.Unlock()
	header.Set(sealHeader, "seal-"+id)
	_, _ = fmt.Fprint(writer, "answer")
}

// load returns the load header. The lock must be held.
func (s *brittleServer) load() string {
	return fmt.Sprintf("%d,%d,%d", s.running, s.waiting, brittleSlots)
}

// add changes the number of requests of an incarnation.
func (s *brittleServer) add(id string, running, waiting int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.id == id {
		s.running += running
		s.waiting += waiting
	}
}

// reject counts a rejected request; a brittle server falls over by too many. The lock must be held.
func (s *brittleServer) reject(queue int) {
	now := time.Now()
	s.rejected = append(s.rejected, now)
	for now.Sub(s.rejected[0]) > time.Second {
		s.rejected = s.rejected[1:]
	}
	if queue != brittleQueue || len(s.rejected) <= brittleLimit || s.id == "" {
		return
	}
	s.world.record("server %s rejected %d requests within a second for want of room, and falls over", s.id, len(s.rejected))
	s.falls++
	s.id = ""
	go s.restart(s.http)
}

// restart ends an incarnation, and starts another after a time.
func (s *brittleServer) restart(server *http.Server) {
	_ = server.Close()
	time.Sleep(brittleDown)
	if err := s.start(); err != nil {
		s.world.record("a server could not start again: %v", err)
	}
}

func playBrittle(w *world) error {
	if err := w.put("op/config", brittleConfiguration); err != nil {
		return err
	}
	var servers []*brittleServer
	for number := range brittleServers {
		server := &brittleServer{world: w, number: number + 1}
		if err := server.start(); err != nil {
			return err
		}
		servers = append(servers, server)
	}
	for _, name := range []string{"edge-1", "edge-2"} {
		if _, err := w.startNode(name, w.storeAddress); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	users := &users{world: w, statuses: map[int]int{}}
	users.rate.Store(usualRate)
	go users.run()
	time.Sleep(2 * time.Second)
	w.record("the servers say Server-Brittle: %d", brittleLimit)
	for _, server := range servers {
		server.setBrittle(time.Now())
	}
	time.Sleep(brittleNotice + 2*time.Second)
	if w.trouble {
		w.record("many users come at once: %.0f requests a second instead of %d", usualRate*burstFactor, usualRate)
		users.rate.Store(int64(usualRate * burstFactor))
	}
	time.Sleep(burstTime)
	users.rate.Store(usualRate)
	w.record("the burst is over")
	time.Sleep(2 * time.Second)
	users.rate.Store(0)
	time.Sleep(2 * time.Second)
	falls := 0
	for _, server := range servers {
		server.mutex.Lock()
		falls += server.falls
		w.record("server %d fell over %d times and ran %d requests", server.number, server.falls, server.ran.Load())
		server.mutex.Unlock()
	}
	users.report()
	if limit := 2 + brittleServers/10.0; float64(falls) > limit {
		return fmt.Errorf("%w: %d falls of brittle servers, %.1f are allowed", errBroken, falls, limit)
	}
	return nil
}

// users send requests at a rate.
type users struct {
	world *world
	rate  atomic.Int64
	mutex sync.Mutex
	// statuses counts the answers by status; 0: none.
	statuses map[int]int
}

// run sends requests to the nodes in turn until the rate is 0.
func (u *users) run() {
	for number := 0; ; number++ {
		rate := u.rate.Load()
		if rate == 0 {
			return
		}
		node := u.world.nodes[number%len(u.world.nodes)]
		go func() {
			got := call{node: node.callers, path: fmt.Sprintf("/f/%d", number), id: fmt.Sprintf("f%d", number), deadline: 1500 * time.Millisecond}.send()
			u.mutex.Lock()
			defer u.mutex.Unlock()
			u.statuses[got.status]++
		}()
		time.Sleep(time.Second / time.Duration(rate))
	}
}

func (u *users) report() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.world.record("answers by status (0: none): %v", u.statuses)
}
