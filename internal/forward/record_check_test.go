package forward

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/serverlimit"
)

// setDraining makes the record of a server say that it drains.
func (b *testbed) setDraining(id string) {
	record := *b.view.Record(id)
	record.Draining = true
	b.view.UpdateServers(map[string]*fleet.Server{id: &record})
}

// Guards against a request that waits for a slot under a server's rate limit and is sent after the
// server's record said that it drains, or was gone.
func TestRequestThatWaitsForASlotIsNotSentToAServerThatLeaves(t *testing.T) {
	for name, leave := range map[string]func(b *testbed){
		"draining": func(b *testbed) { b.setDraining("m1") },
		"gone":     func(b *testbed) { b.view.UpdateServers(map[string]*fleet.Server{"m1": nil}) },
	} {
		t.Run(name, func(t *testing.T) {
			withLimits(t, func(b *testbed, limits *fakeLimits) {
				b.view.UpdateServers(map[string]*fleet.Server{"m2": nil})
				limits.announce(serverlimit.Grant{Delay: 500 * time.Millisecond}, "m1")
				time.AfterFunc(300*time.Millisecond, func() { leave(b) })
				b.forwarder.Serve(context.Background(), request("stream", "m", 5*time.Second), &recorder{})
				Expect(b.backend.servers()).To(BeEmpty())
				Expect([]int{limits.taken, limits.returned}).To(Equal([]int{1, 1}))
			})
		})
	}
}
