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

// restoreCase is a store that comes back from a backup, with revisions that stand behind
// those which the nodes have seen, equal them, or have overtaken them again.
type restoreCase struct {
	name string
	// lost writes since the backup, and writes between the restore and its return.
	lost, written int
	// compacted: the history before the return is gone, so that each watch gets 410.
	compacted bool
	// times that this happens in a row.
	times int
}

var restoreCases = []restoreCase{
	{name: "behind", lost: 60, times: 1},
	{name: "equal", lost: 60, written: 60, times: 1},
	{name: "overtaken", lost: 60, written: 200, times: 1},
	{name: "overtaken, without history", lost: 60, written: 200, compacted: true, times: 1},
	{name: "behind, twice in a row", lost: 60, times: 2},
	{name: "overtaken, twice in a row", lost: 60, written: 200, times: 2},
}

// fill makes writes that mean nothing to nodes.
func (d *deployment) fill(writes int) {
	for number := range writes {
		d.put("op/filler", fmt.Sprint(number))
	}
}

// restored plays a case: the work is done right after the restore, before the store returns.
func (d *deployment) restored(played restoreCase, nodes []string, work func()) {
	for range played.times {
		backup := d.store.Backup()
		d.fill(played.lost)
		d.put(standin.ConfigurationKey, configurationWith(2, "/lost/"))
		d.everywhere(nodes, "/lost/x")
		d.store.SetFaults(keyvalue.Faults{Outage: true})
		d.store.Restore(backup)
		work()
		d.fill(played.written)
		if played.compacted {
			d.store.Compact(d.store.Revision())
		}
		d.store.SetFaults(keyvalue.Faults{})
	}
}

// configurationWith has one more route.
func configurationWith(version int, path string) string {
	added := fmt.Sprintf(`{"name":"n","host":"h.example","path-prefix":%q,"kind":"idempotent","timeout-ms":20000,"target-latency-ms":15000,"priority":1,"service":"plain","max-attempts":2},`, path)
	changed := strings.Replace(standin.SmallConfiguration, `"version":1`, fmt.Sprintf(`"version":%d`, version), 1)
	return strings.Replace(changed, `"routes":[`, `"routes":[`+added, 1)
}

// everywhere waits until each node serves the path.
func (d *deployment) everywhere(nodes []string, path string) {
	for _, node := range nodes {
		Eventually(func() int { return standin.Post(node, path, "") }, "30s").Should(Equal(http.StatusOK), path)
	}
}

// startThree starts three nodes, of which one gives orders.
func (d *deployment) startThree(t *testing.T) (nodes []string) {
	for _, name := range []string{"x", "y", "z"} {
		callers, _ := d.start(t, name)
		nodes = append(nodes, callers)
	}
	for _, node := range nodes {
		Eventually(func() int { return standin.Post(node, "/s/x", "b") }, "30s").Should(Equal(http.StatusOK))
	}
	return nodes
}

// A configuration that was acknowledged after a restore was never in force at any node: its
// revision was lower than the one that they knew.
func TestConfigurationWrittenAfterARestoreComesIntoForce(t *testing.T) {
	for _, played := range restoreCases {
		t.Run(played.name, func(t *testing.T) {
			RegisterTestingT(t)
			d := newDeployment(t)
			nodes := d.startThree(t)
			d.restored(played, nodes, func() {})
			d.put(standin.ConfigurationKey, configurationWith(3, "/new/"))
			d.everywhere(nodes, "/new/x")
		})
	}
}

// A server that said after a restore that it drains went on to get requests: nodes took the
// revision of its word for one that they had read.
func TestServerThatDrainsAfterARestoreGetsNoMoreRequests(t *testing.T) {
	for _, played := range restoreCases {
		t.Run(played.name, func(t *testing.T) {
			RegisterTestingT(t)
			d := newDeployment(t)
			d.put(standin.ServerKey("i-9"), d.engines[2].Record("plain", "127.0.0.1:1", "draining"))
			drains, next := standin.NewEngine("i-drains"), standin.NewEngine("i-next")
			address := d.add(t, drains, "plain")
			nodes := d.startThree(t)
			d.everywhere(nodes, "/p/x")
			d.restored(played, nodes, func() {
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
