package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// The case cut-answer: a server crashes while it sends an answer that ends with its connection, and is back
// under its ID before the node has read the end.
const (
	// answerBytes is the length of the server's whole answer, and clientSpeed the client's link in bytes a second.
	answerBytes = 16 << 20
	clientSpeed = 500 << 10
	// crashAfter is the time from the request to the crash, downTime that until the server is back.
	crashAfter, downTime = time.Second, 1900 * time.Millisecond
	// plainServers is the number of servers, one of which crashes.
	plainServers       = 4
	plainConfiguration = `{"version":1,"routes":[
 {"name":"p","host":"h.example","path-prefix":"/p/","kind":"non_idempotent","timeout-ms":40000,"target-latency-ms":30000,"priority":1,"service":"plain","max-attempts":1}],
 "services":[{"name":"plain","health-path":"/health","max-connections":100}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":5000,"idle-timeout-ms":15000}}`
)

// plainServer is a server's process.
type plainServer struct {
	id, address string
	command     *exec.Cmd
	// born of the process, and whether there is none.
	born int64
	down atomic.Bool
}

// beat writes the server's record.
func (s *plainServer) beat(w *world) error {
	return w.put("servers/"+s.id, fmt.Sprintf(
		`{"service":"plain","address":%q,"zone":"z1","version":"v1","slots":6,"state":"ready","cold-remaining-ms":0,"call-seq":0,"born":%d}`, s.address, s.born))
}

func playCutAnswer(w *world) error {
	if err := w.put("op/config", plainConfiguration); err != nil {
		return err
	}
	var servers []*plainServer
	for number := range plainServers {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		server := &plainServer{id: fmt.Sprintf("i-plain%d", number+1), address: address}
		if err := w.startPlain(server); err != nil {
			return err
		}
		servers = append(servers, server)
		go func() {
			for range time.Tick(heartbeat) {
				if !server.down.Load() {
					_ = server.beat(w)
				}
			}
		}()
	}
	node, err := w.startNode("edge-1", w.storeAddress)
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	go w.crashBusy(servers)
	w.record("client sends request r1 for an answer of %d bytes", answerBytes)
	got := call{node: node.callers, path: "/p/x", id: "r1", deadline: 40 * time.Second, bytesPerSecond: clientSpeed}.send()
	w.record("client got: %s", got)
	if got.whole && got.status == http.StatusOK && got.length < answerBytes {
		return fmt.Errorf("%w: a success of %d bytes ended as complete, the server's whole body has %d", errBroken, got.length, answerBytes)
	}
	if !w.trouble && !got.whole {
		return fmt.Errorf("without a crash the client got: %s", got)
	}
	return nil
}

// crashBusy finds the server that runs the request. With the disruption it kills it, and starts it again under its
// ID.
func (w *world) crashBusy(servers []*plainServer) {
	time.Sleep(crashAfter)
	for _, server := range servers {
		if !server.isBusy() {
			continue
		}
		w.record("server %s runs request r1", server.id)
		if !w.trouble {
			return
		}
		w.record("server %s crashes (SIGKILL)", server.id)
		server.down.Store(true)
		_ = server.command.Process.Kill()
		_ = server.command.Wait()
		time.Sleep(downTime)
		if err := w.startPlain(server); err != nil {
			w.record("the server could not start again: %v", err)
		}
		return
	}
	w.record("no server runs the request")
}

// isBusy reports whether the server runs a request.
func (s *plainServer) isBusy() bool {
	response, err := http.Get("http://" + s.address + "/health")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return !strings.HasPrefix(response.Header.Get("Hatchplank-Server-Load"), "0,")
}

// startPlain starts a server's process, waits until it listens, and writes its record.
func (w *world) startPlain(server *plainServer) error {
	born := time.Now().UnixMilli()
	server.command = exec.Command(os.Args[0], "serve-plain", server.address, server.id, strconv.FormatInt(born, 10))
	if err := w.startProcess(server.command); err != nil {
		return err
	}
	err := await(5*time.Second, "the server does not listen", func() bool {
		conn, err := net.Dial("tcp", server.address)
		if err != nil {
			return false
		}
		return conn.Close() == nil
	})
	if err != nil {
		return err
	}
	w.record("server %s started at %s: process %d, born %d", server.id, server.address, server.command.Process.Pid, born)
	server.born = born
	server.down.Store(false)
	return server.beat(w)
}

// servePlain is the process of the server: it answers each request by a long body without a length.
func servePlain(arguments []string) {
	address, id, born := arguments[0], arguments[1], arguments[2]
	var running atomic.Int64
	handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		header := writer.Header()
		if expected := request.Header.Get("Hatchplank-Expect-Instance"); expected != "" && expected != id {
			writer.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		header.Set("Hatchplank-Server-Load", fmt.Sprintf("%d,0,6", running.Load()))
		if request.URL.Path == "/health" {
			header.Set("Hatchplank-Instance-Id", id)
			header.Set("Content-Type", "application/json")
			_, _ = fmt.Fprintf(writer, `{"born":%s}`, born)
			return
		}
		running.Add(1)
		defer running.Add(-1)
		sendUnframed(writer, id, request.Header.Get("Hatchplank-Request-Id"))
	})
	_ = http.ListenAndServe(address, handler)
}

// sendUnframed sends an answer that ends with its connection.
func sendUnframed(writer http.ResponseWriter, server, request string) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nHatchplank-Request-Id: %s\r\n%s: seal-%s\r\nContent-Type: application/octet-stream\r\nConnection: close\r\n\r\n", request, sealHeader, server)
	part := make([]byte, 64<<10)
	for i := range part {
		part[i] = 'a' + byte(i%26)
	}
	for sent := 0; sent < answerBytes && err == nil; sent += len(part) {
		_, err = conn.Write(part)
	}
}
