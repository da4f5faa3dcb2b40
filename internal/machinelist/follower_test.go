package machinelist_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/machinelist"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/simulation"
)

func TestMachineList(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Machine list")
}

// service is a simulated machine list that answers each read after its delay; a
// read without a delay times out.
type service struct {
	loop     *simulation.Loop
	delays   []time.Duration
	versions []uint64
	requests int
}

func (s *service) List(_ uint64, timeout time.Duration, done func(*outside.MachineListing, error)) {
	reading := s.requests
	s.requests++
	if reading >= len(s.delays) || s.delays[reading] == 0 {
		s.loop.AfterFunc(timeout, func() { done(nil, outside.ErrServerUnreachable) })
		return
	}
	listing := &outside.MachineListing{Version: s.versions[reading]}
	s.loop.AfterFunc(s.delays[reading], func() { done(listing, nil) })
}

func startFollower(delays []time.Duration, versions []uint64) (*simulation.Loop, *machinelist.Follower, *service) {
	loop := simulation.NewLoop(1)
	list := &service{loop: loop, delays: delays, versions: versions}
	follower := machinelist.NewFollower(machinelist.Config{
		Clock: loop, Service: list, Period: time.Second, Timeout: 4 * time.Second, Logger: zerolog.Nop(),
	})
	follower.Start()
	return loop, follower, list
}

var _ = Describe("Follower", func() {
	It("reads again while a reply is missing", func() {
		loop, follower, _ := startFollower([]time.Duration{0, time.Millisecond}, []uint64{0, 7})
		loop.RunFor(1500 * time.Millisecond)
		listing, _ := follower.Listing()
		Expect(listing.Version).To(BeEquivalentTo(7))
	})

	It("keeps a newer listing when an older reply arrives late", func() {
		loop, follower, _ := startFollower([]time.Duration{3 * time.Second, time.Millisecond}, []uint64{6, 7})
		loop.RunFor(1500 * time.Millisecond)
		_, readAt := follower.Listing()
		loop.RunFor(2 * time.Second)
		listing, still := follower.Listing()
		Expect(listing.Version).To(BeEquivalentTo(7))
		Expect(still).To(BeTemporally(">=", readAt))
	})

	It("limits the number of reads in flight", func() {
		loop, _, list := startFollower(nil, nil)
		loop.RunFor(3900 * time.Millisecond)
		Expect(list.requests).To(Equal(3))
	})
})
