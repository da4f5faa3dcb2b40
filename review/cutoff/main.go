// Command cutoff shows that a node which is stopped as planned while the store does not answer cuts off
// requests that it took and passed on to a server.
//
// Its exit code is 1 if a request was lost by the rule LOST, 0 if none was, and 2 if the case could not
// run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hatchplank/hatchplank/review/stand"
)

const (
	configuration = `{"version":1,"routes":[{"name":"r-avail","host":"abay.example","path-prefix":"/avail/","kind":"non_idempotent",
 "timeout-ms":10000,"target-latency-ms":5000,"priority":2,"service":"channel","max-attempts":1}],
 "services":[{"name":"channel","health-path":"/health","max-connections":100,"protocol":"h1","tls":false}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":5000,"idle-timeout-ms":15000}}`
	deadline = 10 * time.Second
	zone     = "bole-hall"
	// work is how long a run takes.
	work = 4500 * time.Millisecond
	// grace is the time from SIGTERM to SIGKILL, and outage how long the store does not answer; it
	// begins outageLead before SIGTERM.
	grace, outage, outageLead = 8 * time.Second, 4500 * time.Millisecond, 300 * time.Millisecond
	nodeCount                 = 3
)

// sendAt are the times after SIGTERM at which clients send a request on connections that they have kept
// open; all later than 3 s.
var sendAt = []time.Duration{3300 * time.Millisecond, 3600 * time.Millisecond, 3900 * time.Millisecond}

func main() {
	root := flag.String("root", ".", "root of the repository")
	path := flag.String("record", "record.txt", "file of the record")
	trouble := flag.Bool("trouble", true, "with the disruption of the store")
	flag.Parse()
	lost, err := run(*root, *path, *trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	}
	if lost > 0 {
		os.Exit(1)
	}
}

// world is the deployment of the case.
type world struct {
	record *stand.Record
	folder string
	store  *stand.Store
	server *stand.Server
	nodes  []*stand.Node
}

func run(root, path string, trouble bool) (lost int, err error) {
	record, err := stand.NewRecord(path)
	if err != nil {
		return 0, err
	}
	defer record.Close()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(folder)
	store, err := stand.NewStore()
	if err != nil {
		return 0, err
	}
	defer store.Close()
	if err := store.Put("op/config", configuration); err != nil {
		return 0, err
	}
	server := &stand.Server{ID: "i-server", Service: "channel", Zone: zone, Slots: 6, Queue: 24, Work: work, Record: record}
	if err := server.Start(); err != nil {
		return 0, err
	}
	defer server.Close()
	stop := make(chan struct{})
	defer close(stop)
	go store.Heartbeat("servers/"+server.ID, server.Entry, stop)
	w := &world{record: record, folder: folder, store: store, server: server}
	for i := range nodeCount {
		node, err := stand.StartNode(stand.NodeOptions{
			Root: root, Folder: folder, Name: fmt.Sprintf("edge-%d", i+1), Zone: zone,
			IP: fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, 1+os.Getpid()/200%250, i+1), Store: store.Address,
		})
		if err != nil {
			return 0, err
		}
		defer node.Kill()
		w.nodes = append(w.nodes, node)
	}
	for _, node := range w.nodes {
		if err := node.AwaitReady(10 * time.Second); err != nil {
			return 0, err
		}
	}
	time.Sleep(5 * time.Second)
	return w.stopHolder(trouble)
}

// stopHolder stops the node that writes to the store under a condition, and sends requests to it
// meanwhile.
func (w *world) stopHolder(trouble bool) (lost int, err error) {
	holder := w.holder()
	if holder == nil {
		return 0, errors.New("no node holds the lease")
	}
	clients := make([]*stand.Client, len(sendAt))
	for i := range clients {
		clients[i] = &stand.Client{Node: holder, Host: "abay.example", Record: w.record}
		defer clients[i].Close()
	}
	var warming sync.WaitGroup
	for i, client := range clients {
		warming.Go(func() { client.Post("/avail/2f", fmt.Sprintf("warm-%d", i), "room", deadline) })
	}
	warming.Wait()
	if trouble {
		w.record.Write("store: answers no call from now on")
		w.store.SetSilent(true)
		time.AfterFunc(outage, func() {
			w.store.SetSilent(false)
			w.record.Write("store: answers again")
		})
	}
	time.Sleep(outageLead)
	w.record.Write("%s: SIGTERM", holder.Name)
	began := time.Now()
	holder.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(grace, func() {
		w.record.Write("%s: SIGKILL", holder.Name)
		holder.Signal(syscall.SIGKILL)
	})
	defer kill.Stop()
	answers := make([]stand.Answer, len(clients))
	var sending sync.WaitGroup
	for i, client := range clients {
		sending.Go(func() {
			time.Sleep(time.Until(began.Add(sendAt[i])))
			answers[i] = client.Post("/avail/2f", id(i), "room", deadline)
		})
	}
	sending.Wait()
	<-holder.Ended()
	w.record.Write("%s: ended %.3f s after SIGTERM", holder.Name, time.Since(began).Seconds())
	return w.judge(answers, began), nil
}

func id(number int) string { return fmt.Sprintf("room-%d", number) }

// holder returns the node whose log says that it holds the lease.
func (w *world) holder() *stand.Node {
	for _, node := range w.nodes {
		if node.LogHas(w.folder, `"lease held"`) {
			return node
		}
	}
	return nil
}

// Bounds of the rule LOST.
const (
	// lossSlack after its last byte, a request that was not passed on may end without an answer.
	lossSlack = 200 * time.Millisecond
	// excusedUntil is the time after SIGTERM up to which a request may be cut off if its server is still
	// working on it in the last sixth of the grace period.
	excusedUntil = 3 * time.Second
	// plannedMargin after the grace period, planned work ends.
	plannedMargin = time.Second
)

// judge counts the requests that were lost around the SIGTERM at a time. A sound server answers each of
// them within the deadline, so that no other excuse of the rule applies.
func (w *world) judge(answers []stand.Answer, stopped time.Time) (lost int) {
	ran := map[string]bool{}
	for _, run := range w.server.Runs() {
		ran[run.ID] = true
	}
	for i, answer := range answers {
		sent, ended := answer.SentAt.Sub(stopped), answer.EndedAt.Sub(stopped)
		waited := answer.EndedAt.Sub(answer.SentAt)
		switch {
		case answer.Status != 0:
			w.record.Write("%s was answered %d %s", id(i), answer.Status, strings.TrimSpace(answer.Body))
		case !ran[id(i)] && waited <= lossSlack:
			w.record.Write("%s was not taken: its connection ended within %v", id(i), lossSlack)
		case waited >= deadline, ended > grace+plannedMargin:
			w.record.Write("%s is excused: its deadline was reached, or the planned work was over", id(i))
		case ran[id(i)] && sent <= excusedUntil && ended >= grace*5/6:
			w.record.Write("%s is excused: its server was still working", id(i))
		default:
			lost++
			w.record.Write("LOST: %s, sent %.3f s after SIGTERM, got no answer until %.3f s; passed on to the server: %v",
				id(i), sent.Seconds(), ended.Seconds(), ran[id(i)])
		}
	}
	w.record.Write("LOST: %d of %d", lost, len(answers))
	return lost
}
