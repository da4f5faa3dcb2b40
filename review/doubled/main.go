// Command doubled shows that a request that may not be repeated is run twice if a server that rejected
// it sends a second copy of the rejection later. It also counts the requests that run although they were
// refused.
//
// Its exit code is 1 if a request ran twice, 0 if none did, and 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/review/stand"
)

// The machines, bounds and faults are those of the site abay-channel: 7 nodes; late surplus answers
// at up to 0.6 of the servers, in up to 0.03 of their answers, for up to 5 s at a time.
const (
	configuration = `{"version":1,"routes":[{"name":"r-avail","host":"abay.example","path-prefix":"/avail/","kind":"non_idempotent",
 "timeout-ms":5000,"target-latency-ms":1000,"priority":2,"service":"channel","max-attempts":1}],
 "services":[{"name":"channel","health-path":"/health","max-connections":100,"protocol":"h1","tls":false}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":5000,"idle-timeout-ms":15000}}`
	deadline = 5 * time.Second
	nodeZone = "bole-hall"
	slots    = 2
	queue    = 2
	work     = 30 * time.Millisecond
	// spoiledShare is the share of its answers that the faulty server sends twice.
	spoiledShare = 0.03
	// spoiledTime is how long it does so at a time, and calmTime the pause before it does again.
	spoiledTime, calmTime = 5 * time.Second, time.Second
	rounds                = 17
	// In every period, groupCallers at each of groupNodes nodes send requests for groupTime, each with
	// groupPause between two of them. One caller at each of the other nodes sends one between
	// singleFrom and singleTo of the period, and a few more after calmFrom, one after the other.
	nodeCount, groupNodes, groupCallers = 7, 2, 8
	period                              = time.Second
	groupTime, groupPause               = 150 * time.Millisecond, 8 * time.Millisecond
	singleFrom, singleTo                = 20 * time.Millisecond, 60 * time.Millisecond
	calmFrom, calmPause, calmRequests   = 400 * time.Millisecond, 25 * time.Millisecond, 8
	// minRuns is the number of requests below which the case did not run as meant.
	minRuns = 100
)

func main() {
	root := flag.String("root", ".", "root of the repository")
	path := flag.String("record", "record.txt", "file of the record")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	broken, err := run(*root, *path, *trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	}
	if broken > 0 {
		os.Exit(1)
	}
}

// world is the deployment of the case.
type world struct {
	record  *stand.Record
	nodes   []*stand.Node
	servers []*stand.Server
	mutex   sync.Mutex
	draws   *rand.Rand
	// spoils is set while the faulty server sends answers twice.
	spoils bool
	// refused are the requests whose answer promises that they have not run and never will.
	refused map[string]bool
}

func run(root, path string, trouble bool) (broken int, err error) {
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
	w := &world{record: record, refused: map[string]bool{}, draws: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 0))}
	if err := store.Put("op/config", configuration); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, id := range []string{"i-faulty", "i-sound"} {
		server := &stand.Server{ID: id, Service: "channel", Zone: "kality-hall", Slots: slots, Queue: queue, Work: work, Record: record}
		if id == "i-faulty" {
			server.Zone, server.Surplus = nodeZone, w.surplus
		}
		if err := server.Start(); err != nil {
			return 0, err
		}
		defer server.Close()
		w.servers = append(w.servers, server)
		go store.Heartbeat("servers/"+id, server.Entry, stop)
	}
	for i := range nodeCount {
		node, err := stand.StartNode(stand.NodeOptions{
			Root: root, Folder: folder, Name: fmt.Sprintf("edge-%d", i+1), Zone: nodeZone,
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
	w.traffic(trouble)
	return w.judge()
}

// surplus draws whether the faulty server sends an answer twice.
func (w *world) surplus(int) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.spoils && w.draws.Float64() < spoiledShare
}

func (w *world) setSpoils(spoils bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.spoils = spoils
}

// traffic sends requests while the disruption comes and goes.
func (w *world) traffic(trouble bool) {
	stop := make(chan struct{})
	var callers sync.WaitGroup
	began := time.Now()
	for i, node := range w.nodes {
		if i >= groupNodes {
			callers.Go(func() { w.callAlone(node, node.Name, began, stop) })
			continue
		}
		for number := range groupCallers {
			callers.Go(func() { w.callInGroup(node, fmt.Sprintf("%s-%d", node.Name, number), began, stop) })
		}
	}
	for range rounds {
		time.Sleep(calmTime)
		w.setSpoils(trouble)
		time.Sleep(spoiledTime)
		w.setSpoils(false)
	}
	close(stop)
	callers.Wait()
	time.Sleep(time.Second)
}

// callInGroup sends requests at the beginning of each period.
func (w *world) callInGroup(node *stand.Node, name string, began time.Time, stop <-chan struct{}) {
	client := &stand.Client{Node: node, Host: "abay.example", Record: w.record}
	defer client.Close()
	for at := began.Add(period); sleepUntil(at, stop); at = at.Add(period) {
		for number := 0; time.Since(at) < groupTime; number++ {
			w.post(client, fmt.Sprintf("%s-%d-%d", name, at.Sub(began)/period, number))
			time.Sleep(groupPause)
		}
	}
}

// callAlone sends a request in each period while the group calls, and a few after that.
func (w *world) callAlone(node *stand.Node, name string, began time.Time, stop <-chan struct{}) {
	client := &stand.Client{Node: node, Host: "abay.example", Record: w.record}
	defer client.Close()
	for at := began.Add(period); sleepUntil(at.Add(singleFrom+rand.N(singleTo-singleFrom)), stop); at = at.Add(period) {
		w.post(client, fmt.Sprintf("%s-%d", name, at.Sub(began)/period))
		time.Sleep(time.Until(at.Add(calmFrom)))
		for number := range calmRequests {
			w.post(client, fmt.Sprintf("%s-%d-%d", name, at.Sub(began)/period, number))
			time.Sleep(calmPause)
		}
	}
}

// sleepUntil reports false if stop is closed before the time.
func sleepUntil(at time.Time, stop <-chan struct{}) bool {
	select {
	case <-stop:
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}

// post sends one request, and notes a refusal.
func (w *world) post(client *stand.Client, id string) {
	answer := client.Post("/avail/2f", id, "room", deadline)
	switch answer.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.refused[id] = true
	}
}

// judge returns how many requests ran more than once, and records those that were refused and ran.
func (w *world) judge() (broken int, err error) {
	runs := map[string][]stand.Run{}
	for _, server := range w.servers {
		for _, run := range server.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
		}
		answers, spoiled := server.Counts()
		w.record.Write("server %s: %d answers, %d of them sent twice", server.ID, answers, spoiled)
	}
	twice, refused := 0, 0
	for id, all := range runs {
		if len(all) > 1 {
			twice++
			w.record.Write("TWICE: %s", w.describe(all))
		}
		if w.refused[id] {
			refused++
			w.record.Write("REFUSED: %s was refused; %s", id, w.describe(all))
		}
	}
	w.record.Write("%d requests ran; TWICE: %d ran more than once; REFUSED: %d were refused and ran", len(runs), twice, refused)
	if len(runs) < minRuns {
		return 0, errors.New("hardly any request was run")
	}
	return twice, nil
}

// describe tells where and when a request ran.
func (w *world) describe(runs []stand.Run) string {
	text := runs[0].ID + " ran"
	for _, run := range runs {
		text += fmt.Sprintf(" at %s at %.3f s", run.Server, w.record.Seconds(run.At))
	}
	return text
}
