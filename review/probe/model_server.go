package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// reportLag is how old the state in a report is.
const reportLag = 100 * time.Millisecond

// order is the body of an order.
type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expect    *int64 `json:"expect-rev"`
	Holder    string `json:"holder"`
	Token     int64  `json:"fencing-token"`
}

func (o order) String() string {
	what := o.Model
	if o.Adapter != "" {
		what += "/" + o.Adapter
	}
	return fmt.Sprintf("%s %s from holder %s, fencing token %d", o.Operation, what, o.Holder, o.Token)
}

// modelServer is a stand-in of a model server, as PROTOCOL.md has it. An unload waits for the runs of what is
// unloaded, which keeps its place until then; other orders are answered 409 meanwhile.
type modelServer struct {
	world       *world
	id, service string
	// software is the version of the server's software.
	software     string
	address      string
	adapterSlots int
	maxModels    int
	loadTime     time.Duration
	// eventPause is the time between the events of a stream.
	eventPause time.Duration
	// onOrder is called with each order that arrives, if set.
	onOrder func(order, time.Time)

	http *http.Server
	// beatAt is when the record was written last, in Unix nanoseconds.
	beatAt atomic.Int64
	// leavingAs is set once the server leaves as planned.
	leavingAs atomic.Bool
	// answer sends the answer to the request with the ID in place of a stream with chunks; nil: not set.
	answer func(writer http.ResponseWriter, id string)

	mutex    sync.Mutex
	models   map[string]map[string]bool
	leaving  map[string]bool
	runs     map[string]int
	total    int
	busy     bool
	sequence int64
	reports  []agedReport
	// ended is set once the server has ended.
	ended bool
}

// agedReport is a report on the state from a time on.
type agedReport struct {
	from time.Time
	body []byte
}

// startModelServer starts a server that holds models, and writes its record.
func (w *world) startModelServer(server *modelServer, models ...string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server.world, server.address = w, listener.Addr().String()
	server.models, server.leaving, server.runs = map[string]map[string]bool{}, map[string]bool{}, map[string]int{}
	for _, model := range models {
		server.models[model] = map[string]bool{}
	}
	server.noteChange()
	server.http = &http.Server{Handler: server}
	go func() { _ = server.http.Serve(listener) }()
	w.record("server %s holds %s at %s", server.id, strings.Join(models, ", "), server.address)
	if err := server.beat(); err != nil {
		return err
	}
	go func() {
		for range time.Tick(heartbeat) {
			_ = server.beat()
		}
	}()
	return nil
}

// beat writes the server's record.
func (s *modelServer) beat() error {
	s.mutex.Lock()
	if s.ended {
		s.mutex.Unlock()
		return nil
	}
	state := s.state()
	s.mutex.Unlock()
	s.beatAt.Store(time.Now().UnixNano())
	state["service"], state["address"], state["zone"], state["version"] = s.service, s.address, "z1", cmp.Or(s.software, "v1")
	state["slots"], state["state"], state["cold-remaining-ms"] = 64, "ready", 0
	if s.leavingAs.Load() {
		state["state"] = "draining"
	}
	encoded, err := json.Marshal(state)
	if err != nil {
		return err
	}
	return s.world.put("servers/"+s.id, string(encoded))
}

// leave makes the server say that it leaves.
func (s *modelServer) leave() error {
	s.leavingAs.Store(true)
	return s.beat()
}

// end ends the server: it closes its port and all connections, and its record goes.
func (s *modelServer) end() {
	s.mutex.Lock()
	s.ended = true
	s.mutex.Unlock()
	_ = s.http.Close()
	s.world.record("server %s has ended as planned", s.id)
	if err := s.world.remove("servers/" + s.id); err != nil {
		s.world.record("the record of server %s stays: %v", s.id, err)
	}
}

// state returns what a report says. The lock must be held.
func (s *modelServer) state() map[string]any {
	models := []map[string]any{}
	for name, adapters := range s.models {
		names := []string{}
		for adapter := range adapters {
			names = append(names, adapter)
		}
		slices.Sort(names)
		models = append(models, map[string]any{"name": name, "version": 1, "adapters": names})
	}
	return map[string]any{
		"stage": "colocated", "models": models, "busy-slots": s.busy, "call-seq": s.sequence, "queue-depth": 0, "in-flight": s.total,
		"kv-used": 0, "kv-total": 244881, "handle-count": 0,
	}
}

// noteChange keeps the state for reports. The lock must be held.
func (s *modelServer) noteChange() {
	encoded, _ := json.Marshal(s.state())
	s.reports = append(s.reports, agedReport{time.Now(), encoded})
}

// ServeHTTP implements http.Handler.
func (s *modelServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get("Hatchplank-Expect-Instance"); expected != "" && expected != s.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.leavingAs.Load() {
		writer.Header().Set("Server-Leaving", "1")
	}
	switch request.URL.Path {
	case "/health":
		writer.Header().Set("Hatchplank-Instance-Id", s.id)
		if s.leavingAs.Load() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	case "/report":
		s.serveReport(writer)
	case "/order":
		var received order
		if json.NewDecoder(request.Body).Decode(&received) != nil || received.Holder == "" || received.Token == 0 {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		if s.onOrder != nil {
			s.onOrder(received, time.Now())
		}
		status := s.take(received)
		s.world.record("server %s got order %s: %d", s.id, received, status)
		writer.WriteHeader(status)
	default:
		s.serveRequest(writer, request)
	}
}

func (s *modelServer) serveReport(writer http.ResponseWriter) {
	s.mutex.Lock()
	known := s.reports[0]
	for _, report := range s.reports {
		if time.Since(report.from) >= reportLag {
			known = report
		}
	}
	s.mutex.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(known.body)
}

// take carries an order out and returns the status of its answer.
func (s *modelServer) take(received order) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	defer s.noteChange()
	if s.busy || len(s.leaving) > 0 || received.Expect != nil && *received.Expect != s.sequence {
		return http.StatusConflict
	}
	adapters, holds := s.models[received.Model]
	switch {
	case received.Adapter != "" && !holds:
		return http.StatusMisdirectedRequest
	case received.Adapter != "" && received.Operation == "model_load":
		return s.loadAdapter(received, adapters)
	case received.Adapter != "":
		return s.unloadAdapter(received, adapters)
	case received.Operation == "model_load" && holds, received.Operation == "model_unload" && !holds:
		return http.StatusOK
	case received.Operation == "model_load" && len(s.models) >= s.maxModels:
		return s.fall(received)
	}
	s.sequence++
	s.busy = true
	go s.finish(received)
	return http.StatusAccepted
}

// loadAdapter loads an adapter. The lock must be held.
func (s *modelServer) loadAdapter(received order, adapters map[string]bool) int {
	if adapters[received.Adapter] {
		return http.StatusOK
	}
	held := 0
	for _, all := range s.models {
		held += len(all)
	}
	if held >= s.adapterSlots {
		return s.fall(received)
	}
	s.sequence++
	adapters[received.Adapter] = true
	return http.StatusAccepted
}

// unloadAdapter unloads an adapter: at once if no request uses it, else after its runs. The lock must be held.
func (s *modelServer) unloadAdapter(received order, adapters map[string]bool) int {
	if !adapters[received.Adapter] {
		return http.StatusOK
	}
	s.sequence++
	key := received.Model + "/" + received.Adapter
	if s.runs[key] == 0 {
		delete(adapters, received.Adapter)
		return http.StatusOK
	}
	s.world.record("server %s: %d requests use %s, which is unloaded after them", s.id, s.runs[key], key)
	s.leaving[key] = true
	return http.StatusAccepted
}

// fall records an order over the capacity, after which the server falls. The lock must be held.
func (s *modelServer) fall(received order) int {
	s.ended = true
	s.world.record("server %s holds %v, which takes all its room, and falls by order %s", s.id, s.held(), received)
	go func() { _ = s.http.Close() }()
	return http.StatusConflict
}

// held returns what the server holds. The lock must be held.
func (s *modelServer) held() []string {
	var held []string
	for model, adapters := range s.models {
		held = append(held, model)
		for adapter := range adapters {
			held = append(held, model+"/"+adapter)
		}
	}
	slices.Sort(held)
	return held
}

// finish ends the load or unload of a model.
func (s *modelServer) finish(received order) {
	if received.Operation == "model_load" {
		time.Sleep(s.loadTime)
	}
	for {
		s.mutex.Lock()
		if received.Operation == "model_load" || s.runs[received.Model] == 0 {
			break
		}
		s.mutex.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
	defer s.mutex.Unlock()
	if received.Operation == "model_load" {
		s.models[received.Model] = map[string]bool{}
	} else {
		delete(s.models, received.Model)
	}
	s.busy = false
	s.noteChange()
}

func (s *modelServer) serveRequest(writer http.ResponseWriter, request *http.Request) {
	key, id := request.Header.Get("Hatchplank-Model"), request.Header.Get("Hatchplank-Request-Id")
	model, adapter, _ := strings.Cut(key, "/")
	header := writer.Header()
	header.Set("Hatchplank-Request-Id", id)
	s.mutex.Lock()
	header.Set("Hatchplank-Server-Load", fmt.Sprintf("%d,0,64", s.total))
	adapters, holds := s.models[model]
	if !holds || adapter != "" && !adapters[adapter] {
		s.mutex.Unlock()
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.leaving[key] {
		s.mutex.Unlock()
		header.Set("Hatchplank-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.count(model, adapter, 1)
	s.mutex.Unlock()
	s.world.record("server %s runs request %s for %s", s.id, id, key)
	defer func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.count(model, adapter, -1)
		s.world.record("server %s: request %s has ended", s.id, id)
	}()
	if s.answer != nil {
		s.answer(writer, id)
		return
	}
	header.Set(sealHeader, "seal-"+s.id)
	header.Set("Content-Type", "text/event-stream")
	events, _ := strconv.Atoi(request.URL.Path[strings.LastIndexByte(request.URL.Path, '/')+1:])
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for number := last + 1; number <= events; number++ {
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: piece-%d\n\n", number, number)
		_ = http.NewResponseController(writer).Flush()
		select {
		case <-request.Context().Done():
			return
		case <-time.After(s.eventPause):
		}
	}
}

// count changes the number of runs. An adapter that waited for its last run is unloaded. The lock must be
// held.
func (s *modelServer) count(model, adapter string, change int) {
	s.total += change
	s.runs[model] += change
	if adapter == "" {
		return
	}
	key := model + "/" + adapter
	s.runs[key] += change
	if s.runs[key] == 0 && s.leaving[key] {
		delete(s.leaving, key)
		delete(s.models[model], adapter)
		s.noteChange()
	}
}
