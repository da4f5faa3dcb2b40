package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

// The case short-lease: the store applies a shorter time to live to leases than the nodes ask for, and says so.
// The node that gives the orders is partitioned from the store.
const (
	// appliedTTL is the time to live that the store applies; ttl-min-ms allows it.
	appliedTTL = time.Second
	// cutTime is how long the node is partitioned from the store.
	cutTime = 5900 * time.Millisecond
	// The cut comes between these times after a renewal of the lease, and after the server wrote its record. At
	// other moments the other node may see the end of the lease a second later.
	minSinceRenewal, maxSinceRenewal = 380 * time.Millisecond, 480 * time.Millisecond
	minSinceBeat, maxSinceBeat       = 250 * time.Millisecond, 500 * time.Millisecond
	// thawTime is thaw-ms, for which orders don't count after a link has healed.
	thawTime = 300 * time.Millisecond
	// turn is lease-ms, the minimum time between orders of two holders to one server.
	turn               = 3 * time.Second
	leaseConfiguration = `{"version":1,"routes":[
 {"name":"s","host":"h.example","path-prefix":"/s/","kind":"streaming","timeout-ms":15000,"target-latency-ms":500,"priority":0,"service":"llm","max-attempts":1,"session-affinity":true,"resumable":false,"gap-target-ms":400}],
 "services":[{"name":"llm","health-path":"/health","max-connections":360,"engine":{"slots":64,"kv-tokens":244881,"weights-mb":200000,"adapter-slots":8,"loads-per-s":4,
 "models":[{"name":"m1","weights-mb":72700,"load-time-s":2.1,"adapters":46,"adapter-mb":66,"warm-s":0.63,"disk-load-s":0.84}]}}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":5000,"idle-timeout-ms":15000}}`
)

// orderLog keeps the holders of the orders to a server.
type orderLog struct {
	mutex sync.Mutex
	// healed is when the cut ended; zero before. Orders don't count for thawTime from then on.
	healed time.Time
	holder string
	at     time.Time
	// shortest is the shortest time between orders of two holders, described by text.
	shortest time.Duration
	text     string
}

func (l *orderLog) add(received order, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.healed.IsZero() && now.Sub(l.healed) < thawTime {
		return
	}
	if gap := now.Sub(l.at); l.holder != "" && l.holder != received.Holder && (l.text == "" || gap < l.shortest) {
		l.shortest, l.text = gap, fmt.Sprintf("%s after an order of %s: %s", gap.Round(time.Millisecond), l.holder, received)
	}
	l.holder, l.at = received.Holder, now
}

func playShortLease(w *world) error {
	w.leaseTTL = appliedTTL
	if text := os.Getenv("LEASE_MS"); text != "" {
		// For comparison.
		applied, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		w.leaseTTL = time.Duration(applied) * time.Millisecond
	}
	w.record("the store applies %s to leases", w.leaseTTL)
	if err := w.put("op/config", leaseConfiguration); err != nil {
		return err
	}
	orders := &orderLog{}
	server := &modelServer{
		id: "i-llm1", service: "llm", adapterSlots: 8, maxModels: 2, loadTime: 2100 * time.Millisecond,
		eventPause: 10 * time.Millisecond, onOrder: orders.add,
	}
	if err := w.startModelServer(server, "m1"); err != nil {
		return err
	}
	links := map[string]*link{}
	for _, name := range []string{"edge-1", "edge-2"} {
		path, err := newLink(w.storeAddress)
		if err != nil {
			return err
		}
		links[name] = path
		if _, err := w.startNode(name, path.address); err != nil {
			return err
		}
	}
	if err := await(10*time.Second, "there is no holder", func() bool { return w.holder() != nil }); err != nil {
		return err
	}
	time.Sleep(settleTime)
	for _, node := range w.nodes {
		for client := range 3 {
			go w.askForAdapters(node, client)
		}
	}
	time.Sleep(4 * time.Second)
	holder := w.holder()
	if holder == nil {
		return errors.New("there is no holder")
	}
	w.record("node %s gives the orders", holder.name)
	if err := await(20*time.Second, "no moment to cut", func() bool { return w.isMoment(server) }); err != nil {
		return err
	}
	if w.trouble {
		w.record("the path between node %s and the store is cut", holder.name)
		links[holder.name].cut()
	}
	time.Sleep(cutTime)
	if w.trouble {
		w.record("the path is whole again")
		orders.mutex.Lock()
		orders.healed = time.Now()
		orders.mutex.Unlock()
		links[holder.name].heal()
	}
	time.Sleep(2 * time.Second)
	orders.mutex.Lock()
	defer orders.mutex.Unlock()
	switch {
	case orders.text == "" && w.trouble:
		return errors.New("only one node gave orders")
	case orders.text != "" && orders.shortest < turn:
		return fmt.Errorf("%w: two holders took turns at a server within %s: %s", errBroken, turn, orders.text)
	}
	w.record("orders of two holders: %s", orders.text)
	return nil
}

// askForAdapters asks a node for one adapter after the other, more than the server has places for.
func (w *world) askForAdapters(node *node, client int) {
	for number := client * 13; ; number++ {
		id, model := fmt.Sprintf("%s-%d-%d", node.name, client, number), fmt.Sprintf("m1/a%d", number%40+1)
		got := call{node: node.callers, path: "/s/1", id: id, model: model, deadline: 5 * time.Second}.send()
		w.record("client asked node %s for %s and got: %s", node.name, model, got)
		time.Sleep(50 * time.Millisecond)
	}
}

// isMoment reports whether the cut may come now.
func (w *world) isMoment(server *modelServer) bool {
	renewed, beat := time.Since(time.Unix(0, w.renewedAt.Load())), time.Since(time.Unix(0, server.beatAt.Load()))
	return renewed > minSinceRenewal && renewed < maxSinceRenewal && beat > minSinceBeat && beat < maxSinceBeat
}
