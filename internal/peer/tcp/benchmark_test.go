package tcp

import (
	"sync"
	"testing"

	"github.com/hatchplank/hatchplank/internal/peer"
)

func benchmarkPair(b *testing.B) (client, server *Transport) {
	b.Helper()
	config := testConfig()
	config.QueueLength = 1 << 16
	server, err := New(config)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(server.Close)
	server.Handle(testRequest{}, echo)
	server.Start()
	client, err = New(config)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(client.Close)
	return client, server
}

func call(b *testing.B, client *Transport, address string, number int) {
	var waiting sync.WaitGroup
	waiting.Add(1)
	client.Call(address, testRequest{Number: number}, longTimeout, func(message peer.Message, err error) {
		defer waiting.Done()
		if err != nil || message.(testReply).Number != number {
			b.Error("wrong answer", message, err)
		}
	})
	waiting.Wait()
}

// reportBytes reports the mean size of a small message on a gob stream that has
// already described the types.
func reportBytes(b *testing.B, before, after Statistics) {
	messages := float64(after.MessagesSent - before.MessagesSent)
	b.ReportMetric(float64(after.BytesSent-before.BytesSent)/messages, "bytes/message")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}

func BenchmarkCallOneAtATime(b *testing.B) {
	client, server := benchmarkPair(b)
	call(b, client, server.Address(), 0)
	before := client.Statistics()
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		call(b, client, server.Address(), number)
	}
	reportBytes(b, before, client.Statistics())
}

func BenchmarkCallMany(b *testing.B) {
	client, server := benchmarkPair(b)
	call(b, client, server.Address(), 0)
	before := client.Statistics()
	b.ReportAllocs()
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		for number := 1; pb.Next(); number++ {
			call(b, client, server.Address(), number)
		}
	})
	reportBytes(b, before, client.Statistics())
}
