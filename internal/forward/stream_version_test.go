package forward

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/serverlimit"
	"github.com/hatchplank/hatchplank/internal/streamorigin"
)

// versioned are servers that hold the model, by ID, with their software versions.
func versioned(versions map[string]string) map[string]*fleet.Server {
	servers := map[string]*fleet.Server{}
	for id, version := range versions {
		servers[id] = &fleet.Server{ID: id, Pool: modelPool, Slots: 8, Models: holds("m"), Zone: "y", SoftwareVersion: version}
	}
	servers["m1"].Zone = "z"
	return servers
}

// A stream that broke was continued by a server of another software version.
func TestStreamIsNotContinuedByAnotherSoftwareVersion(t *testing.T) {
	breaks := map[string]func(context.Context, Attempt) (*Reply, error){
		"broken": streams(append(events(1, 2), "id: 3\nda"), time.Millisecond, io.ErrUnexpectedEOF),
		"silent": stallsAfter(events(1, 2)),
	}
	for name, first := range breaks {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				b.view.ReplaceServers(versioned(map[string]string{"m1": "v1", "m2": "v2", "m3": "v1"}))
				b.backend.answer["m1"] = first
				b.backend.answer["m2"] = streams(events(3, 4), time.Millisecond, io.EOF)
				b.backend.answer["m3"] = streams(events(3, 4), time.Millisecond, io.EOF)
				seen := &recorder{}
				outcome := b.forwarder.Serve(context.Background(), request("patient", "m", 5*time.Second), seen)
				Expect(outcome.Code).To(Equal(result.OK))
				Expect(seen.body.String()).To(Equal(strings.Join(events(1, 4), "")))
				Expect(b.backend.servers()).To(Equal([]string{"m1", "m3"}))
			})
		})
	}
}

// slowLimits take a while to grant a slot at any server but m1, and tell when they are asked.
type slowLimits struct {
	NoLimits
	asked chan struct{}
}

func (l *slowLimits) Take(_ context.Context, server *fleet.Server, _ serverlimit.Request) serverlimit.Grant {
	if server.ID != "m1" {
		l.asked <- struct{}{}
		time.Sleep(100 * time.Millisecond)
	}
	return serverlimit.Grant{Allowed: true}
}

// beginsLate is a body whose first events come a while after begin, and that then blocks.
type beginsLate struct {
	stalledBody
	begin chan struct{}
}

func (b *beginsLate) Read(buffer []byte) (int, error) {
	if len(b.parts) > 0 {
		<-b.begin
		time.Sleep(50 * time.Millisecond)
	}
	return b.stalledBody.Read(buffer)
}

// slowCaller takes a while to receive each part.
type slowCaller struct{ recorder }

func (c *slowCaller) Write(part []byte) error {
	time.Sleep(200 * time.Millisecond)
	return c.recorder.Write(part)
}

// Guards against a server of another software version that was reserved just before the stream began.
func TestStreamDoesNotMoveToAServerReservedBeforeItBegan(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		limits := &slowLimits{asked: make(chan struct{}, 10)}
		b.forwarder.limits = limits
		b.view.ReplaceServers(versioned(map[string]string{"m1": "v1", "m2": "v2"}))
		b.backend.answer["m1"] = func(ctx context.Context, attempt Attempt) (*Reply, error) {
			if attempt.ResumeAfter != "" {
				return streams(events(3, 4), time.Millisecond, io.EOF)(ctx, attempt)
			}
			body := &beginsLate{stalledBody{scriptedBody{ctx: ctx, parts: []string{strings.Join(events(1, 2), "")}}}, limits.asked}
			return &Reply{Status: 200, Events: true, Body: body}, nil
		}
		b.backend.answer["m2"] = streams(events(3, 4), time.Millisecond, io.EOF)
		seen := &slowCaller{}
		outcome := b.forwarder.Serve(context.Background(), request("patient", "m", 5*time.Second), seen)
		Expect(outcome.Code).To(Equal(result.OK))
		Expect(seen.body.String()).To(Equal(strings.Join(events(1, 4), "")))
		Expect(b.backend.servers()).To(Equal([]string{"m1", "m1"}))
	})
}

// A caller whose stream only another software version could continue waited for the deadline.
func TestStreamWithoutServersOfItsVersionBreaksAtOnce(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.view.ReplaceServers(versioned(map[string]string{"m1": "v1", "m2": "v2"}))
		b.backend.answer["m1"] = func(ctx context.Context, attempt Attempt) (*Reply, error) {
			b.view.ReplaceServers(map[string]*fleet.Server{"m2": b.view.Load().Servers["m2"]})
			return streams(events(1, 2), time.Millisecond, io.ErrUnexpectedEOF)(ctx, attempt)
		}
		seen, began := &recorder{}, time.Now()
		outcome := b.forwarder.Serve(context.Background(), request("patient", "m", 5*time.Second), seen)
		Expect(outcome.Broken).To(BeTrue())
		Expect(outcome.Reason).To(ContainSubstring("software version"))
		Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
		Expect(b.backend.servers()).To(Equal([]string{"m1"}))
	})
}

// A request that got no event may run at a server of any software version.
func TestStreamThatHasNotBegunMovesToAnotherSoftwareVersion(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.view.ReplaceServers(versioned(map[string]string{"m1": "v1", "m2": "v2"}))
		b.backend.answer["m1"] = streams(nil, time.Millisecond, io.ErrUnexpectedEOF)
		b.backend.answer["m2"] = streams(events(1, 4), time.Millisecond, io.EOF)
		outcome := b.forwarder.Serve(context.Background(), request("patient", "m", 5*time.Second), &recorder{})
		Expect(outcome.Code).To(Equal(result.OK))
		Expect(b.backend.servers()).To(Equal([]string{"m1", "m2"}))
	})
}

// fakeOrigins are the origins that all nodes know; others are unknown.
type fakeOrigins map[string]streamorigin.Origin

func (o fakeOrigins) Begin(request string, origin streamorigin.Origin, _ bool) { o[request] = origin }

func (o fakeOrigins) Find(_ context.Context, request, _ string, _ bool) (streamorigin.Origin, streamorigin.Finding) {
	if origin, known := o[request]; known {
		return origin, streamorigin.Known
	}
	return streamorigin.Origin{}, streamorigin.Unknown
}

func (o fakeOrigins) Settled(string) []string { return nil }

// beginTimes are the times at which origins were recorded.
type beginTimes struct {
	fakeOrigins
	times chan time.Time
}

func (o *beginTimes) Begin(string, streamorigin.Origin, bool) { o.times <- time.Now() }

// Guards against a stream that outlasts the retention of its origin, and is then joined.
func TestOriginIsRefreshedWhileItsStreamIsRelayed(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		origins := &beginTimes{times: make(chan time.Time, 100)}
		b.forwarder.origins = origins
		b.view.ReplaceServers(versioned(map[string]string{"m1": "v1"}))
		b.backend.answer["m1"] = streams(events(1, 100), time.Second, io.EOF)
		b.view.Load().Configuration.Match("h", "/patient/x").Timeout = 5 * time.Minute
		began := time.Now()
		outcome := b.forwarder.Serve(context.Background(), request("patient", "m", 5*time.Minute), &recorder{})
		Expect(outcome.Code).To(Equal(result.OK))
		Expect(time.Since(began)).To(BeNumerically(">", 90*time.Second))
		Expect(origins.times).To(HaveLen(4), "at the first event and each half retention")
		time.Sleep(5 * time.Minute)
		Expect(origins.times).To(HaveLen(4), "not after its end")
	})
}

// settledOrigins are origins of pools with settled versions.
type settledOrigins struct {
	fakeOrigins
	settled []string
}

func (o *settledOrigins) Settled(string) []string { return o.settled }

// Guards against a stream that begins at a server of a version which other nodes do not know yet: its caller
// resumes it at one of these, which takes it for a stream of the version that it knows.
func TestStreamBeginsAtAVersionThatAllNodesKnow(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		origins := &settledOrigins{fakeOrigins: fakeOrigins{}, settled: []string{"v1"}}
		b.forwarder.origins = origins
		b.view.ReplaceServers(versioned(map[string]string{"m1": "v2", "m2": "v1"}))
		b.backend.answer["m1"] = streams(events(1, 4), time.Millisecond, io.EOF)
		b.backend.answer["m2"] = b.backend.answer["m1"]
		begin := func() string {
			before := len(b.backend.servers())
			Expect(b.forwarder.Serve(context.Background(), request("patient", "m", 5*time.Second), &recorder{}).Code).To(Equal(result.OK))
			Expect(b.backend.servers()).To(HaveLen(before + 1))
			return b.backend.servers()[before]
		}
		for range 4 {
			Expect(begin()).To(Equal("m2"))
		}
		origins.settled = []string{"v0"}
		Expect(begin()).To(Equal("m1"), "no server of a settled version")
		origins.settled = nil
		Expect(begin()).To(Equal("m1"), "nothing is settled")
	})
}

// Guards against a stream that waits for a server of a settled version which does not serve it.
func TestStreamDoesNotWaitForASettledVersionThatFails(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.forwarder.origins = &settledOrigins{fakeOrigins: fakeOrigins{}, settled: []string{"v1"}}
		b.view.ReplaceServers(versioned(map[string]string{"m1": "v2", "m2": "v1"}))
		b.backend.answer["m1"] = streams(events(1, 4), time.Millisecond, io.EOF)
		b.backend.answer["m2"] = streams(nil, time.Millisecond, io.ErrUnexpectedEOF)
		began := time.Now()
		Expect(b.forwarder.Serve(context.Background(), request("patient", "m", 5*time.Second), &recorder{}).Code).To(Equal(result.OK))
		Expect(b.backend.servers()).To(Equal([]string{"m2", "m1"}))
		Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
	})
}

// Guards against a stream that waits for a server of a settled version which can't take it now, while one of
// another version is free.
func TestStreamDoesNotWaitForASettledVersionThatIsBusy(t *testing.T) {
	cases := map[string]func(b *testbed, settled *fleet.Server){
		"backoff": func(b *testbed, settled *fleet.Server) {
			b.forwarder.backoffs = &fakeBackoffs{until: map[string]time.Time{settled.ID: time.Now().Add(time.Hour)}}
		},
		"full": func(b *testbed, settled *fleet.Server) {
			load := b.forwarder.tracker.ofServers([]*fleet.Server{settled})[0]
			load.mutex.Lock()
			defer load.mutex.Unlock()
			load.changeOwn(maxRequestsPerSlot*settled.Slots, time.Now())
		},
	}
	for name, busy := range cases {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				b.forwarder.origins = &settledOrigins{fakeOrigins: fakeOrigins{}, settled: []string{"v1"}}
				b.view.ReplaceServers(versioned(map[string]string{"m1": "v2", "m2": "v1"}))
				busy(b, b.view.Load().Servers["m2"])
				b.backend.answer["m1"] = streams(events(1, 4), time.Millisecond, io.EOF)
				began := time.Now()
				Expect(b.forwarder.Serve(context.Background(), request("patient", "m", 5*time.Second), &recorder{}).Code).To(Equal(result.OK))
				Expect(b.backend.servers()).To(Equal([]string{"m1"}))
				Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
			})
		})
	}
}

// oneVersion is a pool that had one version, which began the streams that nobody knows.
type oneVersion struct{ noOrigins }

func (oneVersion) Find(context.Context, string, string, bool) (streamorigin.Origin, streamorigin.Finding) {
	return streamorigin.Origin{Pool: modelPool, SoftwareVersion: "v1"}, streamorigin.SoleVersion
}

// resumption is the request of a caller that resumes a stream.
func resumption(of, after string) *Request {
	resumed := request("patient", "m", 5*time.Second)
	resumed.ID, resumed.Resumes, resumed.ResumeAfter = "resumption", of, after
	return resumed
}

// A stream that its caller resumed went on at a server of another software version.
func TestResumedStreamGoesToTheSoftwareVersionThatBeganIt(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		origins := fakeOrigins{}
		b.forwarder.origins = origins
		b.view.ReplaceServers(versioned(map[string]string{"m1": "v1", "m2": "v2", "m3": "v2"}))
		b.backend.answer["m3"] = streams(events(3, 4), time.Millisecond, io.EOF)
		b.backend.answer["m2"] = b.backend.answer["m3"]
		origins["first"] = streamorigin.Origin{Pool: modelPool, SoftwareVersion: "v2"}
		for range 4 {
			outcome := b.forwarder.Serve(context.Background(), resumption("first", "2"), &recorder{})
			Expect(outcome.Code).To(Equal(result.OK))
		}
		Expect(b.backend.count("m1")).To(BeZero())
		Expect(origins).NotTo(HaveKey("resumption"))
	})
}

// Guards against a stream that is continued at a server of another version which joined just now.
func TestResumedStreamDoesNotGoToAVersionThatJoinsMeanwhile(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.forwarder.origins = oneVersion{}
		b.view.ReplaceServers(versioned(map[string]string{"m1": "v2", "m2": "v1", "m3": "v2"}))
		b.backend.answer["m2"] = streams(events(3, 4), time.Millisecond, io.EOF)
		for range 4 {
			outcome := b.forwarder.Serve(context.Background(), resumption("first", "2"), &recorder{})
			Expect(outcome.Code).To(Equal(result.OK))
		}
		Expect(b.backend.count("m2")).To(Equal(4))
	})
}

// A stream whose version serves no more, or is not known, was begun by one version and ended by another.
func TestResumedStreamIsRefusedWithoutItsSoftwareVersion(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.forwarder.origins = fakeOrigins{"first": {Pool: modelPool, SoftwareVersion: "v0"}}
		b.view.ReplaceServers(versioned(map[string]string{"m1": "v1", "m2": "v2"}))
		for _, id := range []string{"first", "never"} {
			began := time.Now()
			outcome := b.forwarder.Serve(context.Background(), resumption(id, "2"), &recorder{})
			Expect(outcome.Code).NotTo(Equal(result.OK))
			Expect(outcome.Ran).To(Equal(result.RanNo))
			Expect(outcome.Reason).To(ContainSubstring("software version"))
			Expect(time.Since(began)).To(BeZero())
		}
		Expect(b.backend.servers()).To(BeEmpty())
	})
}

// A resumed stream of a route to several pools went to another pool.
func TestResumedStreamGoesToThePoolThatBeganIt(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		origins := fakeOrigins{}
		b.forwarder.origins = origins
		outcome := b.forwarder.Serve(context.Background(), request("patient", "m", 5*time.Second), &recorder{})
		Expect(outcome.Code).To(Equal(result.OK))
		Expect(origins["r"].Pool).To(Equal(modelPool))
		origins["r"] = streamorigin.Origin{Pool: plainPool}
		outcome = b.forwarder.Serve(context.Background(), resumption("r", "2"), &recorder{})
		Expect(outcome.Ran).To(Equal(result.RanNo))
		Expect(outcome.Reason).To(ContainSubstring("pool"))
	})
}

// setVersion makes the record of a server name another software version, as after a restart under its ID.
func (b *testbed) setVersion(id, version string) {
	record := *b.view.Record(id)
	record.SoftwareVersion, record.Born = version, record.Born+1
	b.view.UpdateServers(map[string]*fleet.Server{id: &record})
}

// Guards against a stream that is continued by the version of its server's earlier record: the server started
// again under its ID at another version, and it is not known which of the two began the stream.
func TestStreamOfAServerThatChangedItsVersionIsNotContinued(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		origins := fakeOrigins{}
		b.forwarder.origins = origins
		b.view.ReplaceServers(versioned(map[string]string{"m1": "v1", "m2": "v1", "m3": "v2"}))
		b.backend.answer["m1"] = func(ctx context.Context, attempt Attempt) (*Reply, error) {
			b.setVersion("m1", "v2")
			return streams(events(1, 2), time.Millisecond, io.ErrUnexpectedEOF)(ctx, attempt)
		}
		b.backend.answer["m2"] = streams(events(3, 4), time.Millisecond, io.EOF)
		b.backend.answer["m3"] = b.backend.answer["m2"]
		began := time.Now()
		outcome := b.forwarder.Serve(context.Background(), request("patient", "m", 5*time.Second), &recorder{})
		Expect(outcome.Broken).To(BeTrue())
		Expect(outcome.Reason).To(ContainSubstring("software version"))
		Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
		Expect(b.backend.servers()).To(Equal([]string{"m1"}))
		Expect(origins).To(BeEmpty())
	})
}

// Guards against a stream that is sent to a server whose record, read again before, names another version
// than the one it was chosen by.
func TestStreamIsNotSentToAServerWhoseVersionHasChanged(t *testing.T) {
	withOutdatedRecords(t, func(b *testbed, _ context.Context, server string) error {
		if server == "m1" && b.view.Record("m1").SoftwareVersion == "v1" {
			b.setVersion("m1", "v2")
		}
		return nil
	}, func(b *testbed) {
		b.forwarder.origins = fakeOrigins{"first": {Pool: modelPool, SoftwareVersion: "v1"}}
		b.view.ReplaceServers(versioned(map[string]string{"m1": "v1", "m2": "v1"}))
		b.backend.answer["m1"] = streams(events(3, 4), time.Millisecond, io.EOF)
		b.backend.answer["m2"] = b.backend.answer["m1"]
		outcome := b.forwarder.Serve(context.Background(), resumption("first", "2"), &recorder{})
		Expect(outcome.Code).To(Equal(result.OK))
		Expect(b.backend.servers()).To(Equal([]string{"m2"}))
	})
}
