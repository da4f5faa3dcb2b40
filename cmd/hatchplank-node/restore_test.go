package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
	"github.com/hatchplank/hatchplank/platform/standin"
)

// restoreCase is a restore of the store from a backup, after which the store's revisions are behind
// those that the nodes have seen, equal to them, or past them again.
type restoreCase struct {
	name string
	// lostWrites is the number of writes after the backup, laterWrites the number of those between
	// the restore and the end of the outage.
	lostWrites, laterWrites int
	// compacted is set if the history before the end of the outage is compacted, so that each
	// watch gets status 410.
	compacted bool
	// repetitions is the number of restores in a row.
	repetitions int
}

var restoreCases = []restoreCase{
	{name: "behind", lostWrites: 60, repetitions: 1},
	{name: "equal", lostWrites: 60, laterWrites: 60, repetitions: 1},
	{name: "overtaken", lostWrites: 60, laterWrites: 200, repetitions: 1},
	{name: "overtaken, without history", lostWrites: 60, laterWrites: 200, compacted: true, repetitions: 1},
	{name: "behind, twice in a row", lostWrites: 60, repetitions: 2},
	{name: "overtaken, twice in a row", lostWrites: 60, laterWrites: 200, repetitions: 2},
}

// writeFiller writes a key that the nodes ignore, in order to advance the store's revision.
func (d *deployment) writeFiller(writes int) {
	for number := range writes {
		d.put("op/filler", fmt.Sprint(number))
	}
}

// restore runs a case. It calls duringOutage right after the restore, before the store is available
// again.
func (d *deployment) restore(test restoreCase, nodes []string, duringOutage func()) {
	for range test.repetitions {
		backup := d.store.Backup()
		d.writeFiller(test.lostWrites)
		d.put(standin.ConfigurationKey, configurationWithRoute(2, "/lost/"))
		d.awaitServedByAll(nodes, "/lost/x")
		d.store.SetFaults(keyvalue.Faults{Outage: true})
		d.store.Restore(backup)
		duringOutage()
		d.writeFiller(test.laterWrites)
		if test.compacted {
			d.store.Compact(d.store.Revision())
		}
		d.store.SetFaults(keyvalue.Faults{})
	}
}

// configurationWithRoute returns the small configuration with the version and an additional route.
func configurationWithRoute(version int, path string) string {
	added := fmt.Sprintf(`{"name":"n","host":"h.example","path-prefix":%q,"kind":"idempotent","timeout-ms":20000,"target-latency-ms":15000,"priority":1,"service":"plain","max-attempts":2},`, path)
	changed := strings.Replace(standin.SmallConfiguration, `"version":1`, fmt.Sprintf(`"version":%d`, version), 1)
	return strings.Replace(changed, `"routes":[`, `"routes":[`+added, 1)
}

// awaitServedByAll waits until each node serves the path.
func (d *deployment) awaitServedByAll(nodes []string, path string) {
	for _, node := range nodes {
		Eventually(func() int { return standin.Post(node, path, "") }, "30s").Should(Equal(http.StatusOK), path)
	}
}

// startThree starts three nodes and waits until each serves a model that the order holder has to
// load.
func (d *deployment) startThree(t *testing.T) (nodes []string) {
	for _, name := range []string{"x", "y", "z"} {
		url, _ := d.start(t, name)
		nodes = append(nodes, url)
	}
	for _, node := range nodes {
		Eventually(func() int { return standin.Post(node, "/s/x", "b") }, "30s").Should(Equal(http.StatusOK))
	}
	return nodes
}

// Guards against ignoring a configuration written after a restore, as nodes did because its
// revision was lower than the one that they had seen.
func TestConfigurationWrittenAfterARestoreTakesEffect(t *testing.T) {
	for _, test := range restoreCases {
		t.Run(test.name, func(t *testing.T) {
			RegisterTestingT(t)
			d := newDeployment(t)
			nodes := d.startThree(t)
			d.restore(test, nodes, func() {})
			d.put(standin.ConfigurationKey, configurationWithRoute(3, "/new/"))
			d.awaitServedByAll(nodes, "/new/x")
		})
	}
}

// Guards against sending requests to a server that began to drain after a restore. Nodes took the
// revision of its updated record for one that they had already read.
func TestServerThatDrainsAfterARestoreGetsNoMoreRequests(t *testing.T) {
	for _, test := range restoreCases {
		t.Run(test.name, func(t *testing.T) {
			RegisterTestingT(t)
			d := newDeployment(t)
			d.put(standin.ServerKey("i-9"), d.engines[2].Record("plain", "127.0.0.1:1", "draining"))
			drains, next := standin.NewEngine("i-drains"), standin.NewEngine("i-next")
			address := d.add(t, drains, "plain")
			nodes := d.startThree(t)
			d.awaitServedByAll(nodes, "/p/x")
			d.restore(test, nodes, func() {
				d.put(standin.ServerKey(drains.ID), drains.Record("plain", address, "draining"))
				d.add(t, next, "plain")
			})
			for _, node := range nodes {
				Eventually(func() int {
					before := next.RequestCount()
					standin.Post(node, "/p/x", "")
					return next.RequestCount() - before
				}, "30s").Should(Equal(1))
			}
			before := drains.RequestCount()
			for _, node := range nodes {
				Expect(standin.Post(node, "/p/x", "")).To(Equal(http.StatusOK))
			}
			Expect(drains.RequestCount()).To(Equal(before))
		})
	}
}
