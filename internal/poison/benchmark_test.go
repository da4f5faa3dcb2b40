package poison

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkDecide measures a decision after a zone with 200 servers was lost, each of which ran 64
// requests, most of them of many callers.
func BenchmarkDecide(b *testing.B) {
	for _, parts := range []int{0, 3, 16} {
		b.Run(fmt.Sprintf("%d parts", parts), func(b *testing.B) { benchmarkDecide(b, parts) })
	}
}

func benchmarkDecide(b *testing.B, parts int) {
	random := rand.New(rand.NewPCG(1, 1))
	all := numbered(0, 2000)
	var crashes []Crash
	for i := range 200 {
		crash := Crash{Server: fmt.Sprint("s", i)}
		for place := range 64 {
			identity := all[random.IntN(1000)]
			if place < 8 {
				identity = all[place]
			}
			crash.Suspects = append(crash.Suspects, identity)
			crash.Elapsed = append(crash.Elapsed, time.Duration(random.IntN(1000))*time.Millisecond)
			var own []Identity
			for position := range parts {
				own = append(own, all[1000+10*position+random.IntN(1+min(6*position, 50))])
			}
			crash.Parts = append(crash.Parts, own)
		}
		crashes = append(crashes, crash)
	}
	now := time.Now()
	for b.Loop() {
		log := NewCrashLog()
		log.Add(crashes, now)
		entries, _ := log.Decide(func(Identity) bool { return false }, now)
		b.ReportMetric(float64(len(entries)), "entries")
	}
}

// BenchmarkOrdinaryRequest is what a request pays that no server crashes under: its parts are
// identified, it is admitted, and recorded as served. None is quarantined.
func BenchmarkOrdinaryRequest(b *testing.B) {
	for _, count := range []int{0, 2, 8, 300} {
		b.Run(fmt.Sprintf("%d parts", count), func(b *testing.B) {
			guard := &Guard{served: newServed(), quarantine: NewQuarantine()}
			var ids []string
			for i := range count {
				ids = append(ids, fmt.Sprintf("%08x", i))
			}
			identities := numbered(0, 4096)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				now := time.Now()
				for i := 0; pb.Next(); i++ {
					request := Request{Identity: identities[i%len(identities)], Parts: PartsOf("caller", "host.example", ids)}
					if _, refusal := guard.Admit(context.Background(), request, now); refusal != nil {
						b.Fatal("refused")
					}
					guard.RequestServed(request, now)
				}
			})
		})
	}
}
