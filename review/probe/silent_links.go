package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The case silent-links: the open connections between nodes go silent for good, while new ones work. Later,
// clients whose connections are reset take their streams up at another node.
const (
	// silentBefore is the time from then on until the streams begin: more than contact-ms.
	silentBefore = 6 * time.Second
	// silentStreams is the number of streams, resetStreams that of those whose clients' connections are reset
	// (0.53 of those at one node of three), and silentEvents that of events of each.
	silentStreams, resetStreams, silentEvents = 30, 16, 60
	silentConfiguration                       = `{"version":1,"routes":[
 {"name":"s","host":"h.example","path-prefix":"/s/","kind":"streaming","timeout-ms":15000,"target-latency-ms":4000,"priority":1,"service":"llm","max-attempts":2,"session-affinity":true,"resumable":true,"gap-target-ms":400}],
 "services":[{"name":"llm","health-path":"/health","max-connections":360,"engine":{"slots":64,"kv-tokens":244881,"weights-mb":200000,"adapter-slots":8,"loads-per-s":4,
 "models":[{"name":"m1","weights-mb":72700,"load-time-s":2.1,"adapters":0,"adapter-mb":66,"warm-s":0.63,"disk-load-s":0.84}]}}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":5000,"idle-timeout-ms":15000}}`
)

func playSilentLinks(w *world) error {
	w.peersThrough = true
	if err := w.put("op/config", silentConfiguration); err != nil {
		return err
	}
	if err := w.startTwoVersions(); err != nil {
		return err
	}
	for _, name := range []string{"edge-1", "edge-2", "edge-3"} {
		if _, err := w.startNode(name, w.storeAddress); err != nil {
			return err
		}
	}
	time.Sleep(8 * time.Second)
	if w.trouble {
		w.record("the open connections between nodes go silent")
		for _, node := range w.nodes {
			node.peers.silence()
		}
	}
	time.Sleep(silentBefore)
	begun, taken, wentOn := w.takeUpStreams(w.nodes[0], w.nodes[1])
	return w.judgeTakenUp(begun, taken, wentOn)
}

// minTakenUp is the number of streams that are taken up from which the rule holds.
const minTakenUp = 12

// judgeTakenUp compares the share of the streams that went on, of those taken up, with that of the new streams that
// began.
func (w *world) judgeTakenUp(begun, taken, wentOn int) error {
	w.record("%d of %d new streams began, and %d of %d that were taken up went on", begun, silentStreams, wentOn, taken)
	if taken < minTakenUp {
		return errors.New("too few streams were taken up")
	}
	if 2*wentOn*silentStreams < begun*taken {
		return fmt.Errorf("%w: %d of %d streams went on, while %d of %d new ones began", errBroken, wentOn, taken, begun, silentStreams)
	}
	return nil
}

// takeUpStreams begins streams at a node. The connections of some of their clients are reset, which take them up at
// another one.
func (w *world) takeUpStreams(from, to *node) (begun, taken, wentOn int) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	path := fmt.Sprintf("/s/%d", silentEvents)
	for number := range silentStreams {
		group.Go(func() {
			id := fmt.Sprintf("s%d", number)
			first := call{node: from.callers, path: path, id: id, model: "m1", deadline: 10 * time.Second}
			if number < resetStreams {
				first.resetAfter = 10
			}
			got := first.send()
			w.record("client of stream %s at node %s (connection reset after the last of its events: %t): %s", id, from.name, number < resetStreams, got)
			mutex.Lock()
			if got.status == http.StatusOK && got.events > 0 {
				begun++
			}
			mutex.Unlock()
			if number >= resetStreams || got.err != nil || got.events == 0 {
				return
			}
			again := call{node: to.callers, path: path, id: id + "-again", model: "m1", deadline: 10 * time.Second, lastEvent: got.events, resumes: id}.send()
			w.record("client takes stream %s up at node %s: %s", id, to.name, again)
			mutex.Lock()
			defer mutex.Unlock()
			taken++
			if again.status == http.StatusOK && again.events > 0 {
				wentOn++
			}
		})
	}
	group.Wait()
	return begun, taken, wentOn
}
