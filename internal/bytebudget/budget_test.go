package bytebudget

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

const testLimit = 64 << 20

// held opens an account of so many bytes, and counts how often it has to give way.
func held(b *Budget, kind Kind, bytes int64, gaveWay *int) *Account {
	var giveWay func()
	if kind == Events {
		giveWay = func() { *gaveWay++ }
	}
	account := b.Open(kind, giveWay)
	if !account.Resize(bytes) {
		return nil
	}
	return account
}

func TestSmallAccountsAlwaysHaveRoom(t *testing.T) {
	RegisterTestingT(t)
	b := New(Config{Limit: testLimit})
	for _, kind := range Kinds {
		for b.Open(kind, nil).Resize(1 << 20) {
		}
		for range 100 {
			Expect(b.Open(kind, nil).Resize(maxStepBytes)).To(BeTrue())
		}
	}
}

func TestWhoGivesWay(t *testing.T) {
	const full = testLimit / (1 << 20)
	for name, c := range map[string]struct {
		events     int64
		kind       Kind
		bytes      int64
		granted    bool
		givingWays int
	}{
		"an event of the same size":                     {1 << 20, Events, 1 << 20, true, 1},
		"a larger event":                                {1 << 20, Events, 2 << 20, false, 0},
		"a smaller event":                               {1 << 20, Events, 64 << 10, true, 1},
		"a body beside large events":                    {1 << 20, Requests, 3 << 20, true, 3},
		"a body beside events as they may well be":      {32 << 10, Requests, 3 << 20, false, 0},
		"a response that needn't be read ahead":         {1 << 20, ReadAhead, 64 << 10, false, 0},
		"a small response that needn't be read ahead":   {1 << 20, ReadAhead, 4 << 10, true, 0},
		"a body that is longer than all bodies may be":  {1 << 20, Requests, 49 << 20, false, 0},
		"a body that is as long as all bodies together": {1 << 20, Requests, 48 << 20, true, 48},
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			gaveWay := 0
			short := map[Kind]int{}
			b := New(Config{Limit: testLimit, OnShort: func(kind Kind) { short[kind]++ }})
			var accounts []*Account
			for range full * (1 << 20) / c.events {
				accounts = append(accounts, held(b, Events, c.events, &gaveWay))
			}
			account := b.Open(c.kind, nil)
			if c.granted && c.givingWays > 16 {
				// What gives way is released first.
				Expect(account.Resize(c.bytes)).To(BeFalse())
				for _, other := range accounts {
					if other.gaveWay {
						other.Close()
					}
				}
				delete(short, c.kind)
			}
			Expect(account.Resize(c.bytes)).To(Equal(c.granted))
			Expect(gaveWay).To(Equal(c.givingWays))
			Expect(short[Events]).To(BeNumerically(">=", c.givingWays))
			for _, other := range append(accounts, account) {
				other.Close()
			}
			Expect(b.Used()).To(HaveEach(BeZero()))
		})
	}
}

func TestAnAccountThatIsPinnedDoesNotGiveWay(t *testing.T) {
	RegisterTestingT(t)
	gaveWay, other := 0, 0
	b := New(Config{Limit: testLimit})
	pinned := held(b, Events, 60<<20, &gaveWay)
	pinned.Pin()
	Expect(held(b, Events, 8<<20, &other)).To(BeNil())
	Expect(gaveWay).To(BeZero())
	pinned.Unpin()
	Expect(held(b, Events, 8<<20, &other)).NotTo(BeNil())
	Expect(gaveWay).To(Equal(1))
	Expect(pinned.Resize(61 << 20)).To(BeFalse())
}

// Bodies leave room for the events of sound streams, and responses that are read ahead leave room for bodies.
func TestNoKindUsesAllBytes(t *testing.T) {
	RegisterTestingT(t)
	b := New(Config{Limit: testLimit})
	for _, kind := range []Kind{ReadAhead, Requests} {
		for b.Open(kind, nil).Resize(256 << 10) {
		}
	}
	Expect(b.Used()).To(Equal(map[Kind]int64{ReadAhead: testLimit / 4, Requests: testLimit / 2}))
	ignored := 0
	Expect(held(b, Events, testLimit/4, &ignored)).NotTo(BeNil())
	Expect(ignored).To(BeZero())
}

// A node with many bodies of requests still reads responses ahead, which lets another server's replace them.
func TestResponsesAreReadAheadBesideBodies(t *testing.T) {
	RegisterTestingT(t)
	b := New(Config{Limit: testLimit})
	ignored := 0
	Expect(held(b, Requests, testLimit*3/8, &ignored)).NotTo(BeNil())
	Expect(held(b, Events, testLimit/4, &ignored)).NotTo(BeNil())
	Expect(held(b, ReadAhead, testLimit/8, &ignored)).NotTo(BeNil())
	Expect(held(b, ReadAhead, 64<<10, &ignored)).To(BeNil())
	Expect(ignored).To(BeZero())
}

// Accounts of all kinds are used by many goroutines: the limit is kept, and all bytes are released.
func TestManyUsersKeepTheLimit(t *testing.T) {
	RegisterTestingT(t)
	b := New(Config{Limit: testLimit})
	var users sync.WaitGroup
	var above atomic.Int64
	for user := range 32 {
		random := rand.New(rand.NewPCG(1, uint64(user)))
		users.Go(func() {
			for range 300 {
				kind := Kinds[random.IntN(len(Kinds))]
				var told atomic.Bool
				var giveWay func()
				if kind == Events {
					giveWay = func() { told.Store(true) }
				}
				account := b.Open(kind, giveWay)
				for size := int64(4 << 10); size < 8<<20 && !told.Load() && account.Resize(size); size *= 2 {
					used := int64(0)
					for _, bytes := range b.Used() {
						used += bytes
					}
					if used > testLimit+testLimit/4 {
						above.Add(1)
					}
					if random.IntN(4) == 0 {
						account.Pin()
						account.Unpin()
					}
				}
				account.Close()
				account.Close()
			}
		})
	}
	users.Wait()
	Expect(above.Load()).To(BeZero())
	Expect(b.Used()).To(HaveEach(BeZero()))
	Expect(b.breakable).To(BeEmpty())
	Expect([]int64{b.used, b.yielding}).To(HaveEach(BeZero()))
}

func BenchmarkSmallResponse(b *testing.B) {
	budget := New(Config{Limit: testLimit})
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			account := budget.Open(ReadAhead, nil)
			account.Resize(4 << 10)
			account.Close()
		}
	})
}

func BenchmarkLargeResponse(b *testing.B) {
	budget := New(Config{Limit: testLimit})
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			account := budget.Open(ReadAhead, nil)
			for size := int64(16 << 10); size <= 256<<10; size *= 2 {
				account.Resize(size)
			}
			account.Close()
		}
	})
}
