package streamorigin

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// mixedVersions runs the body with five nodes and servers of two versions.
func mixedVersions(t *testing.T, body func(d *deployment)) {
	inDeploymentWithStore(t, newFakeStore(), 5, []string{"v1", "v2"}, body)
}

// expectFound checks that each node finds the origin of a stream, and returns what the last finding rests on.
func (d *deployment) expectFound(request string, origin Origin, severalPools bool) (basis Basis) {
	for address, node := range d.nodes {
		found, finding := node.origins.Find(context.Background(), request, "p", severalPools)
		Expect(finding).To(Equal(Known), address)
		Expect(found).To(Equal(origin), address)
		basis = *node.basis.Load()
	}
	return basis
}

// Guards against streams over several versions that are refused after the loss of all nodes, since their
// origins were kept in the nodes' memory only.
func TestStreamsOfSeveralVersionsGoOnAfterAKillOfAllNodes(t *testing.T) {
	first, second := Origin{Pool: "p", SoftwareVersion: "v1"}, Origin{Pool: "p", SoftwareVersion: "v2"}
	for _, age := range []time.Duration{300 * time.Millisecond, 5 * time.Second, 3 * retention} {
		t.Run(fmt.Sprint("streams of ", age), func(t *testing.T) {
			mixedVersions(t, func(d *deployment) {
				time.Sleep(5 * time.Second)
				node := d.nodes["a"].origins
				node.Begin("r1", first, false)
				node.Begin("r2", second, false)
				for left := age; left > 0; left -= RefreshPeriod {
					time.Sleep(min(left, RefreshPeriod))
					if left > RefreshPeriod {
						node.Begin("r1", first, false)
						node.Begin("r2", second, false)
					}
				}
				d.killAll("v1", "v2")
				d.expectFound("r1", first, false)
				d.expectFound("r2", second, false)
				_, finding := d.nodes["a"].origins.Find(context.Background(), "r3", "p", false)
				Expect(finding).To(Equal(Unknown))
			})
		})
	}
}

// Guards against origins that are lost, since the store was away or had lost the lease when they were saved.
func TestOriginsAreSavedOnceTheStoreIsBack(t *testing.T) {
	faults := map[string]func(d *deployment, begin func()){
		"the store is away": func(d *deployment, begin func()) {
			d.store.setUnavailable(true)
			begin()
			time.Sleep(5 * time.Second)
			d.store.setUnavailable(false)
		},
		"the store lost the lease": func(d *deployment, begin func()) {
			backup := d.store.all()
			d.nodes["a"].origins.Begin("r0", Origin{Pool: "p", SoftwareVersion: "v1"}, false)
			time.Sleep(time.Second)
			d.store.restore(backup)
			begin()
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			mixedVersions(t, func(d *deployment) {
				origin := Origin{Pool: "p", SoftwareVersion: "v2"}
				fault(d, func() { d.nodes["a"].origins.Begin("r1", origin, false) })
				time.Sleep(2 * maxOriginPause)
				d.killAll("v1", "v2")
				d.expectFound("r1", origin, false)
			})
		})
	}
}

// Guards against a stream that goes on at a guessed version, or is held for long, while the store is silent.
func TestStreamIsRefusedWhileTheStoreIsSilent(t *testing.T) {
	mixedVersions(t, func(d *deployment) {
		d.nodes["a"].origins.Begin("r1", Origin{Pool: "p", SoftwareVersion: "v1"}, false)
		time.Sleep(time.Second)
		d.killAll("v1", "v2")
		d.store.setUnavailable(true)
		for address, node := range d.nodes {
			began := time.Now()
			_, finding := node.origins.Find(context.Background(), "r1", "p", false)
			Expect(finding).To(Equal(Unknown), address)
			Expect(time.Since(began)).To(BeNumerically("<=", searchTimeout))
		}
		d.store.setUnavailable(false)
		time.Sleep(minReadPause)
		Expect(d.expectFound("r1", Origin{Pool: "p", SoftwareVersion: "v1"}, false)).To(BeElementOf(FromStore, FromKeeper))
	})
}

// Guards against a store that is called for each stream, and against records that stay for good.
func TestSavedOriginsAreBoundedInCallsAndTime(t *testing.T) {
	mixedVersions(t, func(d *deployment) {
		const seconds = 30
		for number := range seconds * 50 {
			d.nodes["a"].origins.Begin(fmt.Sprint("r", number), Origin{Pool: "p", SoftwareVersion: "v1"}, false)
			time.Sleep(20 * time.Millisecond)
		}
		writes, _ := d.store.originCalls()
		Expect(writes).To(BeNumerically("<=", len(d.nodes)*(seconds*savesPerSecond+saveBurst+1)))
		time.Sleep(2 * time.Second / savesPerSecond)
		d.killAll("v1", "v2")
		for number := range seconds * 50 {
			_, finding := d.nodes["b"].origins.Find(context.Background(), fmt.Sprint("r", number), "p", false)
			Expect(finding).To(Equal(Known), "%d", number)
		}
		_, reads := d.store.originCalls()
		Expect(reads).To(Equal(1))
		time.Sleep(leaseTime)
		Expect(d.store.all()).To(HaveLen(1), "only the versions")
	})
}

// Guards against a read of the store for each of many streams that nobody knows.
func TestReadsOfSavedOriginsAreLimited(t *testing.T) {
	mixedVersions(t, func(d *deployment) {
		time.Sleep(5 * time.Second)
		done := make(chan struct{})
		began := time.Now()
		for number := range 100 {
			go func() {
				for again := range 10 {
					_, finding := d.nodes["a"].origins.Find(context.Background(), fmt.Sprint("r", number, again), "p", false)
					Expect(finding).To(Equal(Unknown))
				}
				done <- struct{}{}
			}()
		}
		for range 100 {
			<-done
		}
		_, reads := d.store.originCalls()
		Expect(reads).To(BeNumerically("<=", 1+time.Since(began)/minReadPause))
	})
}

// Guards against a record of another writer that keeps those of the nodes from being read.
func TestSavedOriginsAreFoundBesideOtherRecords(t *testing.T) {
	mixedVersions(t, func(d *deployment) {
		origin := Origin{Pool: "p", SoftwareVersion: "v1"}
		d.nodes["a"].origins.Begin("r1", origin, false)
		time.Sleep(time.Second)
		for number, value := range []string{"", "no JSON", `{"origins":[{"pool":1}]}`, `{"origins":[{"pool":"p","software_version":"v2","streams":"AAAA"}]}`} {
			_, err := d.store.apply(outside.Transaction{Operations: []outside.Operation{{Key: fmt.Sprint(originsPrefix, "other/", number), Value: []byte(value)}}})
			Expect(err).NotTo(HaveOccurred())
		}
		d.killAll("v1", "v2")
		d.expectFound("r1", origin, false)
	})
}

// Guards against a node that holds more and more streams which the store does not take.
func TestUnsavedOriginsAreBounded(t *testing.T) {
	s := newOriginStore(Config{Store: newFakeStore(), OriginsPrefix: originsPrefix})
	NewWithT(t).Expect(s.enabled()).To(BeTrue())
	for number := range maxQueued + 10 {
		s.add(map[Key]Origin{keyOf(fmt.Sprint(number)): {Pool: "p"}}, time.Now())
	}
	NewWithT(t).Expect(s.unsaved).To(HaveLen(maxQueued))
}
