package streamorigin

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// Guards against streams of two versions that are joined after a kill of all nodes: none of them remembered
// that the pool had had another version.
func TestStreamsAreNotJoinedAfterAKillOfAllNodes(t *testing.T) {
	cases := map[string][]string{"both versions serve": {"v1", "v2"}, "the old one has just left": {"v2"}}
	for name, after := range cases {
		for _, pause := range []time.Duration{0, 300 * time.Millisecond, 3300 * time.Millisecond} {
			t.Run(name+", resumed after "+pause.String(), func(t *testing.T) {
				inDeploymentWithStore(t, newFakeStore(), 5, []string{"v1"}, func(d *deployment) {
					time.Sleep(2 * retention)
					d.serve("v1", "v2")
					time.Sleep(2 * time.Second)
					d.nodes["a"].origins.Begin("r1", Origin{Pool: "p", SoftwareVersion: "v1"}, false)
					time.Sleep(time.Second)
					d.serve(after...)
					time.Sleep(time.Second)
					d.killAll(after...)
					time.Sleep(pause)
					for address, node := range d.nodes {
						found, finding := node.origins.Find(context.Background(), "r1", "p", false)
						Expect(finding).To(Equal(Known), address)
						Expect(found.SoftwareVersion).To(Equal("v1"), address)
						_, finding = node.origins.Find(context.Background(), "not begun", "p", false)
						Expect(finding).To(Equal(Unknown), address)
					}
				})
			})
		}
	}
}

// Guards against streams that are refused after a kill of all nodes although the pool has had one version,
// or servers name none.
func TestStreamsOfOneVersionGoOnAfterAKillOfAllNodes(t *testing.T) {
	for _, version := range []string{"v1", ""} {
		inDeploymentWithStore(t, newFakeStore(), 5, []string{version}, func(d *deployment) {
			time.Sleep(5 * time.Second)
			d.nodes["a"].origins.Begin("r1", Origin{Pool: "p", SoftwareVersion: version}, false)
			d.killAll(version)
			for address, node := range d.nodes {
				found, finding := node.origins.Find(context.Background(), "r1", "p", false)
				Expect(finding).To(Equal(SoleVersion), address)
				Expect(found.SoftwareVersion).To(Equal(version), address)
			}
		})
	}
}

// Guards against a pool that counts as mixed for longer than the retention after its old version left.
func TestVersionIsRemovedFromTheStoreAfterTheRetention(t *testing.T) {
	store := newFakeStore()
	inDeploymentWithStore(t, store, 5, []string{"v1"}, func(d *deployment) {
		time.Sleep(2 * retention)
		d.serve("v2")
		time.Sleep(2 * time.Second)
		d.killAll("v2")
		_, finding := d.nodes["a"].origins.Find(context.Background(), "r1", "p", false)
		Expect(finding).To(Equal(Unknown))
		time.Sleep(retention + 2*time.Second)
		d.killAll("v2")
		found, finding := d.nodes["a"].origins.Find(context.Background(), "r1", "p", false)
		Expect(finding).To(Equal(SoleVersion))
		Expect(found.SoftwareVersion).To(Equal("v2"))
		writes, conflicts := store.written()
		Expect(writes).To(Equal(3), "one for each change")
		Expect(conflicts).To(BeZero())
	})
}

// Guards against a version that stays saved for good, since gaps in the records keep each node's view from
// covering the retention.
func TestVersionIsRemovedFromTheStoreDespiteGapsInTheRecords(t *testing.T) {
	inDeploymentWithStore(t, newFakeStore(), 3, []string{"v1"}, func(d *deployment) {
		time.Sleep(2 * retention)
		d.serve("v2")
		for range 2 * (maxUnseen + 2*retention) / retention {
			time.Sleep(retention / 2)
			_, finding := d.nodes["a"].origins.Find(context.Background(), "r1", "p", false)
			if finding == SoleVersion {
				break
			}
			for _, node := range d.nodes {
				node.setLate(true)
			}
			time.Sleep(2 * testRecordsAge)
			for _, node := range d.nodes {
				node.setLate(false)
			}
		}
		d.killAll("v2")
		_, finding := d.nodes["a"].origins.Find(context.Background(), "r1", "p", false)
		Expect(finding).To(Equal(SoleVersion))
	})
}

// Guards against a missing record that is taken for one without versions: an earlier build used the store,
// or somebody deleted the record.
func TestMissingRecordIsNoEvidence(t *testing.T) {
	store := newFakeStore()
	store.revision = 1
	inDeploymentWithStore(t, store, 3, []string{"v1"}, func(d *deployment) {
		_, finding := d.nodes["a"].origins.Find(context.Background(), "r1", "p", false)
		Expect(finding).To(Equal(Unknown))
		writes, _ := store.written()
		Expect(writes).To(BeZero())
		time.Sleep(retention)
		_, finding = d.nodes["a"].origins.Find(context.Background(), "r1", "p", false)
		Expect(finding).To(Equal(SoleVersion))
		d.killAll("v1")
		_, finding = d.nodes["a"].origins.Find(context.Background(), "r1", "p", false)
		Expect(finding).To(Equal(SoleVersion))
	})
}

// Guards against a record that a restore of the store brought back, which lacks the versions since: nodes
// that start after it trusted it, or those that ran forgot what they knew.
func TestRestoredRecordIsCompletedOrNotTrusted(t *testing.T) {
	for name, killed := range map[string]bool{"nodes run": false, "nodes were killed": true} {
		t.Run(name, func(t *testing.T) {
			store := newFakeStore()
			inDeploymentWithStore(t, store, 5, []string{"v1"}, func(d *deployment) {
				time.Sleep(5 * time.Second)
				backup := store.all()
				d.serve("v1", "v2")
				time.Sleep(5 * time.Second)
				d.serve("v1")
				if killed {
					store.restore(backup)
					d.killAll("v1")
				} else {
					store.restore(backup)
					time.Sleep(2 * time.Second)
					d.killAll("v1")
				}
				for address, node := range d.nodes {
					_, finding := node.origins.Find(context.Background(), "r1", "p", false)
					Expect(finding).To(Equal(Unknown), address)
				}
			})
		})
	}
}

// Guards against refusals after a restore of the store, where the running nodes know all versions.
func TestStreamsOfOneVersionGoOnAfterARestore(t *testing.T) {
	store := newFakeStore()
	inDeploymentWithStore(t, store, 3, []string{"v1"}, func(d *deployment) {
		time.Sleep(5 * time.Second)
		store.restore(nil)
		for range 2 {
			found, finding := d.nodes["a"].origins.Find(context.Background(), "r1", "p", false)
			Expect(finding).To(Equal(SoleVersion))
			Expect(found.SoftwareVersion).To(Equal("v1"))
			time.Sleep(2 * time.Second)
			d.killAll("v1")
		}
	})
}

// Guards against versions that get lost while the store is away, and against a store that is called over
// and over.
func TestVersionsAreSavedOnceTheStoreIsBack(t *testing.T) {
	store := newFakeStore()
	inDeploymentWithStore(t, store, 3, []string{"v1"}, func(d *deployment) {
		time.Sleep(5 * time.Second)
		store.setUnavailable(true)
		d.serve("v1", "v2")
		time.Sleep(20 * time.Second)
		store.setUnavailable(false)
		time.Sleep(maxSavePause + time.Second)
		d.serve("v1")
		d.killAll("v1")
		_, finding := d.nodes["a"].origins.Find(context.Background(), "r1", "p", false)
		Expect(finding).To(Equal(Unknown))
		writes, _ := store.written()
		Expect(writes).To(Equal(2))
	})
}

// Guards against a version that one node saved and another, whose records are a moment behind, removes.
func TestVersionThatAnotherNodeSawFirstStaysSaved(t *testing.T) {
	store := newFakeStore()
	inDeploymentWithStore(t, store, 3, []string{"v1"}, func(d *deployment) {
		time.Sleep(2 * retention)
		d.nodes["c"].serve("v1", "v2")
		time.Sleep(5 * time.Second)
		d.killAll("v1")
		_, finding := d.nodes["a"].origins.Find(context.Background(), "r1", "p", false)
		Expect(finding).To(Equal(Unknown))
		writes, _ := store.written()
		Expect(writes).To(Equal(2))
	})
}

// Guards against a record that can't be decoded, or is too large, and counts as one without versions.
func TestRecordThatIsNotUnderstoodIsNoEvidence(t *testing.T) {
	for _, value := range []string{
		"", "{", `{"era":-1}`, "[]", `{"pools":{"p":["v1"]}}x`,
		`{"era":0}`, `{}`, `{"era":0,"pools":null,"next":1}`, `{"era":0,"pools":{"p":null}}`,
	} {
		store := newFakeStore()
		store.revision = 1
		store.keys[versionsKey] = outside.KeyValue{Key: versionsKey, Value: []byte(value), ModRevision: 1}
		inDeploymentWithStore(t, store, 1, []string{"v1"}, func(d *deployment) {
			_, finding := d.nodes["a"].origins.Find(context.Background(), "r1", "p", false)
			Expect(finding).To(Equal(Unknown), value)
		})
	}
}

// Guards against a stream of a route to several pools that is resumed in another pool after a kill of all
// nodes: each pool has had one version, but not the same.
func TestStreamOfARouteToSeveralPoolsStaysInItsPoolAfterAKill(t *testing.T) {
	inDeploymentWithStore(t, newFakeStore(), 4, []string{"v1"}, func(d *deployment) {
		time.Sleep(5 * time.Second)
		d.nodes["a"].origins.Begin("r1", Origin{Pool: "p", SoftwareVersion: "v1"}, true)
		time.Sleep(time.Second)
		d.killAll("v1")
		for address, node := range d.nodes {
			for _, pool := range []string{"p", "q"} {
				found, finding := node.origins.Find(context.Background(), "r1", pool, true)
				Expect(finding).To(Equal(Known), address)
				Expect(found.Pool).To(Equal("p"), address)
				found, finding = node.origins.Find(context.Background(), "not saved", pool, true)
				Expect(finding).To(Equal(Unknown), address+": it may have begun in the other pool")
				Expect(found).To(BeZero())
			}
		}
	})
}

// Guards against findings whose reason nobody can tell afterwards, and against a line for each of thousands of
// resumed streams.
func TestFindingIsLoggedWithItsBasis(t *testing.T) {
	line := "origin of a resumed stream"
	inDeploymentWithStore(t, newFakeStore(), 3, []string{"v1"}, func(d *deployment) {
		node := d.nodes["b"]
		find := func(request string) Basis {
			node.origins.Find(context.Background(), request, "p", false)
			return *node.basis.Load()
		}
		node.origins.Begin("own", Origin{Pool: "p", SoftwareVersion: "v1"}, false)
		Expect(find("own")).To(Equal(FromTable))
		Expect(node.log.lines(line)).To(BeEmpty())
		Expect(find("r1")).To(Equal(FromRecord))
		node.setLate(true)
		time.Sleep(2 * testRecordsAge)
		Expect(find("r1")).To(Equal(FromReply))
		d.network.SetCut("b", true)
		Expect(find("r1")).To(Equal(NoBasis))
		lines := node.log.lines(line)
		Expect(lines).To(HaveLen(3))
		Expect(lines[0]).To(And(ContainSubstring(`"finding":"irrelevant"`), ContainSubstring(`"basis":"record"`), ContainSubstring(`"covered_ms":`), MatchRegexp(`"asked":2,"answered":[12],`)))
		Expect(lines[2]).To(And(ContainSubstring(`"finding":"unknown"`), ContainSubstring(`"records_age_ms":2`), ContainSubstring(`"asked":2,"answered":0`), Not(ContainSubstring("covered_ms"))))
		node.setLate(false)
		time.Sleep(time.Second)
		var waiting sync.WaitGroup
		for range 1000 {
			waiting.Go(func() { find("r1") })
		}
		waiting.Wait()
		Expect(len(node.log.lines(line))).To(BeNumerically("<=", 3+linesPerSecond))
	})
}

// Guards against a version that is forgotten, since the late answer of a write that conflicted replaces a
// newer record.
func TestLateConflictDoesNotReplaceANewerRecord(t *testing.T) {
	RegisterTestingT(t)
	record := func(revision int64, versions ...string) outside.KeyValue {
		value, err := json.Marshal(versionRecord{Pools: map[string][]string{"p": versions}})
		Expect(err).NotTo(HaveOccurred())
		return outside.KeyValue{Key: versionsKey, Value: value, ModRevision: revision}
	}
	s := newVersionStore(Config{VersionsKey: versionsKey, Era: func() int64 { return 0 }, Logger: zerolog.Nop()})
	s.change(outside.WatchEvent{KeyValue: record(101, "v1", "v2")})
	s.written(versionRecord{}, outside.TransactionResult{Revision: 100, Current: []outside.KeyValue{record(100, "v1")}}, nil)
	Expect(s.load().pools).To(Equal(map[string][]string{"p": {"v1", "v2"}}))
	Expect(s.revision).To(Equal(int64(101)))
	s.written(versionRecord{}, outside.TransactionResult{Revision: 100}, nil)
	Expect(s.revision).To(Equal(int64(101)), "the record was written after the reply")
	s.written(versionRecord{}, outside.TransactionResult{Revision: 103, Current: []outside.KeyValue{record(102, "v2")}}, nil)
	Expect(s.load().pools).To(Equal(map[string][]string{"p": {"v2"}}))
}

// Guards against writes without end of the marker that stands for a record which is too large, and against a
// marker that stays once the record fits again.
func TestMarkerOfATooLargeRecordIsWrittenOnce(t *testing.T) {
	store := newFakeStore()
	inDeploymentWithStore(t, store, 3, []string{"v1"}, func(d *deployment) {
		time.Sleep(2 * retention)
		before, _ := store.written()
		d.serve("v1", strings.Repeat("x", maxRecordBytes))
		time.Sleep(5 * time.Minute)
		writes, conflicts := store.written()
		Expect(writes-before).To(Equal(1), "%d conflicts", conflicts)
		_, finding := d.nodes["a"].origins.Find(context.Background(), "r1", "p", false)
		Expect(finding).To(Equal(Unknown))
		d.serve("v1")
		time.Sleep(2*retention + 2*maxSavePause)
		writes, _ = store.written()
		Expect(writes-before).To(Equal(2), "the record fits again")
		_, finding = d.nodes["a"].origins.Find(context.Background(), "r1", "p", false)
		Expect(finding).To(Equal(SoleVersion))
	})
}
