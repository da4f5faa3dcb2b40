package record_test

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

func TestRecord(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "record")
}

var _ = Describe("Log", func() {
	It("numbers, counts and returns events over block borders", func() {
		log := record.NewLog()
		for index := range 10_000 {
			log.Append(record.Event{Kind: record.KindMemory, UsedBytes: int64(index)})
		}
		Expect(log.Appended()).To(BeEquivalentTo(10_000))
		Expect(log.Count(record.KindMemory)).To(BeEquivalentTo(10_000))
		Expect(log.Count(record.KindOrder)).To(BeZero())
		some := log.After(4090, 20)
		Expect(some).To(HaveLen(20))
		for index, event := range some {
			Expect(event.Sequence).To(BeEquivalentTo(4091 + index))
			Expect(event.UsedBytes).To(BeEquivalentTo(4090 + index))
		}
		Expect(log.After(9_999, 0)).To(HaveLen(1))
		Expect(log.After(10_000, 0)).To(BeEmpty())
		Expect(log.Events()).To(HaveLen(10_000))
	})

	It("hands events to consumers and keeps none as a stream", func() {
		var seen []uint64
		log := record.NewStream(func(event record.Event) { seen = append(seen, event.Sequence) })
		log.Append(record.Event{Kind: record.KindOrder})
		log.Append(record.Event{Kind: record.KindOrder})
		Expect(seen).To(Equal([]uint64{1, 2}))
		Expect(log.Events()).To(BeEmpty())
		var none *record.Log
		none.Append(record.Event{})
	})

	It("goes through JSON unchanged for every kind", func() {
		for kind := record.KindOrder; kind <= record.KindRoleChanged; kind++ {
			Expect(kind.String()).NotTo(BeEmpty())
			event := record.Event{
				Sequence: 3, Kind: kind, At: time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC),
				Fence: outside.Fence{Epoch: 1, Sequence: 2}, Attempt: "a", BodyDigest: 1 << 63,
			}
			text, err := json.Marshal(event)
			Expect(err).NotTo(HaveOccurred())
			var read record.Event
			Expect(json.Unmarshal(text, &read)).To(Succeed())
			Expect(read).To(Equal(event))
		}
		var kind record.Kind
		Expect(kind.UnmarshalText([]byte("nonsense"))).NotTo(Succeed())
	})
})

func BenchmarkAppend(b *testing.B) {
	log := record.NewLog()
	b.ReportAllocs()
	for b.Loop() {
		log.Append(record.Event{Kind: record.KindMemory, Server: "lm-1", UsedBytes: 1})
	}
}
