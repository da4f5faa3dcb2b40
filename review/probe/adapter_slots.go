package main

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// The case adapter-slots: a node freezes while a request through it uses an adapter. The holder takes the
// adapter for unused, orders its unload, and orders another load into the place that is not free yet.
const (
	adapterSlots = 8
	// freezeTime is how long the node stands still, and orderAfter when another adapter is asked for.
	freezeTime, orderAfter = 5 * time.Second, 3 * time.Second
	// streamPause is the pause after which clients give a stream up: eight times its gap target.
	streamPause          = 3200 * time.Millisecond
	adapterConfiguration = `{"version":1,"routes":[
 {"name":"s","host":"h.example","path-prefix":"/s/","kind":"streaming","timeout-ms":15000,"target-latency-ms":500,"priority":0,"service":"llm","max-attempts":1,"session-affinity":true,"resumable":false,"gap-target-ms":400}],
 "services":[{"name":"llm","health-path":"/health","max-connections":360,"engine":{"slots":64,"kv-tokens":244881,"weights-mb":200000,"adapter-slots":8,"loads-per-s":4,
 "models":[{"name":"m1","weights-mb":72700,"load-time-s":2.1,"adapters":46,"adapter-mb":66,"warm-s":0.63,"disk-load-s":0.84}]}}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":5000,"idle-timeout-ms":15000}}`
)

func playAdapterSlots(w *world) error {
	if err := w.put("op/config", adapterConfiguration); err != nil {
		return err
	}
	server := &modelServer{id: "i-llm1", service: "llm", adapterSlots: adapterSlots, maxModels: 2, loadTime: 2100 * time.Millisecond, eventPause: 100 * time.Millisecond}
	if err := w.startModelServer(server, "m1"); err != nil {
		return err
	}
	holder, other, err := w.startTwoNodes()
	if err != nil {
		return err
	}
	w.record("node %s gives the orders; clients of node %s use m1/a1", holder.name, other.name)
	long := make(chan answer, 1)
	go func() {
		long <- call{node: other.callers, path: "/s/120", id: "long", model: "m1/a1", deadline: 15 * time.Second, maxPause: streamPause}.send()
	}()
	if err := await(5*time.Second, "request long does not run", func() bool { return server.running("m1/a1") > 0 }); err != nil {
		return err
	}
	for number := 2; number <= adapterSlots; number++ {
		if err := w.askFor(holder, number); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	if w.trouble {
		if err := w.signal(other, syscall.SIGSTOP); err != nil {
			return err
		}
	}
	frozen, asked := time.Now(), make(chan error, 1)
	go func() {
		time.Sleep(orderAfter)
		asked <- w.askFor(holder, adapterSlots+1)
	}()
	time.Sleep(time.Until(frozen.Add(freezeTime)))
	if w.trouble {
		if err := w.signal(other, syscall.SIGCONT); err != nil {
			return err
		}
	}
	failure := <-asked
	w.record("client of request long got: %s", <-long)
	if order := server.fell(); order != "" {
		return fmt.Errorf("%w: a server whose %d places for adapters were taken got the order %s", errBroken, adapterSlots, order)
	}
	return failure
}

// askFor sends a short request for an adapter, and waits for its answer.
func (w *world) askFor(node *node, adapter int) error {
	id, model := fmt.Sprintf("short%d", adapter), fmt.Sprintf("m1/a%d", adapter)
	var got answer
	// A client comes again once after a refusal.
	for range 2 {
		got = call{node: node.callers, path: "/s/3", id: id, model: model, deadline: 5 * time.Second}.send()
		w.record("client asked node %s for %s and got: %s", node.name, model, got)
		if got.status != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	if !got.whole || got.status != http.StatusOK {
		return errors.New("request " + id + " was not served")
	}
	return nil
}

// startTwoNodes starts two nodes, and returns the one that gives orders first.
func (w *world) startTwoNodes() (holder, other *node, err error) {
	for _, name := range []string{"edge-1", "edge-2"} {
		if _, err := w.startNode(name, w.storeAddress); err != nil {
			return nil, nil, err
		}
	}
	err = await(10*time.Second, "there is no holder", func() bool { return w.holder() != nil })
	if err != nil {
		return nil, nil, err
	}
	time.Sleep(2 * time.Second)
	holder, other = w.nodes[0], w.nodes[1]
	if w.holder() == other {
		holder, other = other, holder
	}
	return holder, other, nil
}
