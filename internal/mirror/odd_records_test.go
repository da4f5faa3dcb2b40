package mirror

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// oddZones are names that another writer left as the zone of a server.
var oddZones = []string{"", "/", "z0/", "z0/00", "a/b/c", strings.Repeat("z", 250), "line\r\nbreak", "\x00", "zone with spaces", "\xff"}

// The records of other zones were missing in snapshots that held a zone whose name has a slash.
func TestOddZonesKeepTheRecordsOfOtherZonesInSnapshots(t *testing.T) {
	for _, odd := range oddZones {
		t.Run(fmt.Sprintf("%.20q", odd), func(t *testing.T) {
			RegisterTestingT(t)
			content := recordsSnapshot{Revision: 7}
			for number := range 40 {
				content.Records = append(content.Records, ServerRecord{ID: fmt.Sprint("w", number), Pool: "p", Address: "10.0.0.1:80", Zone: fmt.Sprint("z", number%4)})
			}
			content.Records = append(content.Records, ServerRecord{ID: "odd", Pool: "p", Address: "10.0.0.1:80", Zone: odd})
			parts, err := content.encode()
			Expect(err).NotTo(HaveOccurred())
			for _, part := range parts {
				Expect(len(part.Name)).To(BeNumerically("<=", 150), "with the prefix, a key of the store")
			}
			decoded, err := decodeSnapshot(parts)
			Expect(err).NotTo(HaveOccurred())
			Expect(decoded.Records).To(ConsistOf(content.Records))
		})
	}
}

// One entry each in many zones made every snapshot exceed a transaction of the store, so that none was written.
func TestSnapshotOfManyZonesFitsInATransaction(t *testing.T) {
	RegisterTestingT(t)
	content := recordsSnapshot{Revision: 7, Records: benchmarkRecords(3 * maxDirectServers)}
	for number := range 200 {
		content.Records = append(content.Records, ServerRecord{ID: fmt.Sprint("odd", number), Pool: "p", Zone: fmt.Sprint("odd", number)})
	}
	parts, err := content.encode()
	Expect(err).NotTo(HaveOccurred())
	// 31 entries: the manifest, these parts, and as many to remove.
	Expect(len(parts)).To(BeNumerically("<=", 15))
	decoded, err := decodeSnapshot(parts)
	Expect(err).NotTo(HaveOccurred())
	Expect(decoded.Records).To(HaveLen(len(content.Records)))
	for number := range 6 {
		zone := fmt.Sprint("zone-", number)
		Expect(parts).To(ContainElement(HaveField("Name", HavePrefix(zonePrefix(zone)))), "a node reads its own zone first")
	}
}

// A model's name with separators gave other servers the models of the server that held it.
func TestModelsWithSeparatorsAreNotTakenForOthers(t *testing.T) {
	RegisterTestingT(t)
	sets := modelSets{}
	held := [][]ModelRecord{
		{{Name: "m,n", Adapters: []string{}}},
		{{Name: "m", Adapters: []string{}}, {Name: "n", Adapters: []string{}}},
		{{Name: "m/a", Adapters: []string{}}},
		{{Name: "m", Adapters: []string{"a"}}},
		{{Name: "m", Adapters: []string{"a/b"}}},
		{{Name: "m", Adapters: []string{"a", "b"}}},
		{{Name: "m", Adapters: []string{"a,n"}}},
		{{Name: "m", Adapters: []string{"a"}}, {Name: "n", Adapters: []string{}}},
		{},
	}
	for _, models := range held {
		server := ServerRecord{ID: "i", Models: models}.server(time.Now(), sets)
		Expect(recordOf(server).Models).To(HaveLen(len(models)), "%q", models)
		for i, model := range recordOf(server).Models {
			Expect(model.equal(models[i])).To(BeTrue(), "%q for %q", model, models[i])
		}
	}
}

// One odd entry kept the nodes of a large fleet from the servers that registered later.
func TestOddEntryInALargeFleetKeepsOthersFollowed(t *testing.T) {
	for number, odd := range oddZones {
		withLargeFleet(t, 4, func(d *deployment) {
			time.Sleep(settled)
			d.store.add(fakeChange{server: "odd", record: &fleet.Server{
				ID: "odd", Pool: "p", Zone: odd, Slots: 1 << 62, Born: -1 << 63, Models: map[string]fleet.LoadedModel{"m,n0": {}, "m/": {}},
			}})
			time.Sleep(maxSnapshotAge + testTimes.Changes)
			d.store.put("later", false, "m")
			d.store.put("w3", true, "m")
			d.store.configure(true)
			d.nodes = append(d.nodes, d.addNode(addressOf(4)))
			time.Sleep(maxSnapshotAge + testTimes.Contact)
			d.expectEqual("zone %d", number)
		})
	}
}

// FuzzRecordsBetweenNodes checks that a record with any fields passes unchanged through the state, updates, packing and
// snapshots beside others, and that the digest forgets it when it is removed.
func FuzzRecordsBetweenNodes(f *testing.F) {
	for _, zone := range oddZones {
		f.Add("odd", "p", "10.0.0.1:80", zone, "m,n", "a/b", 1<<62, int64(-1<<63), false)
	}
	f.Add("", "", "", "", "", "", -1<<63, int64(1<<63-1), true)
	f.Fuzz(func(t *testing.T, id, pool, address, zone, model, adapter string, slots int, born int64, rejected bool) {
		RegisterTestingT(t)
		odd := ServerRecord{
			ID: id, Pool: pool, Address: address, Zone: zone, Slots: slots, Born: born, SoftwareVersion: model, Created: 3,
			Models: []ModelRecord{{Name: model, Adapters: []string{adapter}}},
		}
		held := newState(0)
		for number, record := range benchmarkRecords(2 * minPackedRecords) {
			held.set(record.ID, recordOf(record.server(time.Now(), modelSets{})), int64(number+1))
		}
		before := held.digest
		held.set(id, odd, 100)
		if rejected {
			held.reject(id, odd.server(time.Now(), modelSets{}), 100)
			Expect(held.digest).To(Equal(before))
		}
		update, ok := held.updateSince(0, 100, 0)
		Expect(ok).To(BeTrue())
		update, err := throughGob(update.packed()).unpacked()
		Expect(err).NotTo(HaveOccurred())
		follower := newState(0)
		follower.apply(update.changes(time.Now()))
		content := recordsSnapshot{Revision: 100, Records: held.records(), Rejected: sortedRecords(held.rejected)}
		parts, err := content.encode()
		Expect(err).NotTo(HaveOccurred())
		snapshot, err := decodeSnapshot(parts)
		Expect(err).NotTo(HaveOccurred())
		Expect(follower.digest).To(Equal(held.digest))
		Expect(len(snapshot.Records)).To(Equal(len(held.servers)))
		for _, record := range snapshot.Records {
			Expect(record.equal(held.servers[record.ID].record)).To(BeTrue())
		}
		for id, entry := range held.rejected {
			Expect(len(snapshot.Rejected)).To(Equal(1))
			Expect(snapshot.Rejected[0].equal(entry.record)).To(BeTrue())
			Expect(follower.rejected[id].record.isKnown()).To(Equal(pool != ""))
		}
		held.remove(id, 101)
		Expect(held.digest).To(Equal(before))
	})
}

func throughGob(update Update) Update {
	var encoded bytes.Buffer
	var decoded Update
	Expect(gob.NewEncoder(&encoded).Encode(update)).To(Succeed())
	Expect(gob.NewDecoder(&encoded).Decode(&decoded)).To(Succeed())
	return decoded
}
