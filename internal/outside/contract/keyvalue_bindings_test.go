package contract_test

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/exchange"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/etcd"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
	"github.com/hatchplank/hatchplank/platform"
	"github.com/hatchplank/hatchplank/platform/standin"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

// keyValueHarness is one binding under test with the store behind it.
type keyValueHarness struct {
	service outside.KeyValueService
	store   *keyvalue.Store
	// advance lets time pass for the store.
	advance func(time.Duration)
	// eventually drives the binding until the condition holds, or fails.
	eventually func(condition func() bool)
	// shortTimeout passes within a test.
	shortTimeout time.Duration
}

// longTimeout never passes in a test that succeeds.
const longTimeout = 30 * time.Second

const progressInterval = time.Second

var keyValueBindings = map[string]func() *keyValueHarness{
	"etcd over HTTP": openETCD,
	"simulated":      openSimulated,
}

func newStore(storeClock clock.Clock) *keyvalue.Store {
	return keyvalue.NewStore(keyvalue.Options{
		Clock:            storeClock,
		RecordPrefixes:   []string{""},
		ProgressInterval: progressInterval,
	})
}

func openETCD() *keyValueHarness {
	manual := &manualClock{now: simulation.Epoch}
	store := newStore(manual)
	server := httptest.NewServer(keyvalue.NewServer(store, zerolog.Nop()))
	client, err := etcd.New(etcd.Config{
		Endpoints:        []string{server.URL},
		HTTPClient:       &http.Client{Transport: &http.Transport{}},
		Logger:           zerolog.Nop(),
		WatchIdleTimeout: longTimeout,
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	DeferCleanup(store.Close)
	DeferCleanup(client.Close)
	return &keyValueHarness{
		service:      client,
		store:        store,
		advance:      manual.advance,
		eventually:   func(condition func() bool) { Eventually(condition, longTimeout, time.Millisecond).Should(BeTrue()) },
		shortTimeout: 300 * time.Millisecond,
	}
}

func openPlatformStore() *keyValueHarness {
	manual := &manualClock{now: simulation.Epoch}
	store := newStore(manual)
	server := httptest.NewServer(standin.NewStoreServer(store))
	client := exchange.NewClient(exchange.DialSettings{Timeout: longTimeout, AckTimeout: longTimeout})
	DeferCleanup(server.Close)
	DeferCleanup(store.Close)
	DeferCleanup(func() { client.Prune(time.Now().Add(time.Hour)) })
	return &keyValueHarness{
		service:      platform.NewStore(strings.TrimPrefix(server.URL, "http://"), client, longTimeout, zerolog.Nop()),
		store:        store,
		advance:      manual.advance,
		eventually:   func(condition func() bool) { Eventually(condition, longTimeout, time.Millisecond).Should(BeTrue()) },
		shortTimeout: 300 * time.Millisecond,
	}
}

func openSimulated() *keyValueHarness {
	loop := simulation.NewLoop(1)
	network := simulation.NewNetwork(loop)
	server := simulation.NewProcess(loop, "kv")
	store := newStore(server)
	client := simulation.NewProcess(loop, "client")
	return &keyValueHarness{
		service: keyvalue.NewSimulated(network, server, client, store),
		store:   store,
		advance: loop.RunFor,
		eventually: func(condition func() bool) {
			end := loop.Now().Add(2 * longTimeout)
			for !condition() && loop.Now().Before(end) && loop.Step() {
			}
			Expect(condition()).To(BeTrue())
		},
		shortTimeout: 300 * time.Millisecond,
	}
}

// manualClock stands still until it is advanced. It is safe for concurrent use.
type manualClock struct {
	mutex  sync.Mutex
	now    time.Time
	timers []*manualTimer
}

type manualTimer struct {
	clock    *manualClock
	at       time.Time
	function func()
}

func (c *manualClock) Now() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.now
}

func (c *manualClock) AfterFunc(delay time.Duration, function func()) clock.Timer {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	timer := &manualTimer{clock: c, at: c.now.Add(delay), function: function}
	c.timers = append(c.timers, timer)
	return timer
}

func (t *manualTimer) Stop() bool {
	t.clock.mutex.Lock()
	defer t.clock.mutex.Unlock()
	return t.clock.remove(t)
}

func (c *manualClock) remove(timer *manualTimer) bool {
	position := slices.Index(c.timers, timer)
	if position < 0 {
		return false
	}
	c.timers = slices.Delete(c.timers, position, position+1)
	return true
}

// advance calls what becomes due, in order of time.
func (c *manualClock) advance(span time.Duration) {
	end := c.Now().Add(span)
	for {
		due := c.nextDue(end)
		if due == nil {
			return
		}
		due.function()
	}
}

// nextDue takes the next timer up to the end, or moves the clock there.
func (c *manualClock) nextDue(end time.Time) *manualTimer {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var next *manualTimer
	for _, timer := range c.timers {
		if !timer.at.After(end) && (next == nil || timer.at.Before(next.at)) {
			next = timer
		}
	}
	if next == nil {
		c.now = end
		return nil
	}
	c.now = next.at
	c.remove(next)
	return next
}
