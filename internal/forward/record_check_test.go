package forward

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/serverlimit"
)

// setDraining makes the record of a server say that it drains.
func (b *testbed) setDraining(id string) {
	record := *b.view.Record(id)
	record.Draining = true
	b.view.UpdateServers(map[string]*fleet.Server{id: &record})
}

// fakeRecords are records that are outdated, with the result of reading each of them again.
type fakeRecords struct {
	currentRecords
	read  func(ctx context.Context, server string) error
	reads int
}

func (r *fakeRecords) Outdated(string) bool { return true }

func (r *fakeRecords) ReadRecord(ctx context.Context, server string) error {
	r.reads++
	return r.read(ctx, server)
}

// withOutdatedRecords runs the body with a forwarder whose records are outdated, and returns the
// outcomes of the checks.
func withOutdatedRecords(t *testing.T, read func(b *testbed, ctx context.Context, server string) error, body func(b *testbed)) (checks []RecordCheck) {
	inVirtualTime(t, func(b *testbed) {
		b.forwarder.records = &fakeRecords{read: func(ctx context.Context, server string) error { return read(b, ctx, server) }}
		b.forwarder.onRecordCheck = func(check RecordCheck) { checks = append(checks, check) }
		body(b)
	})
	return checks
}

// Guards against a request to a server that announced by its record, which this node does not have,
// that it drains: the request goes to another one, and needs no retry.
func TestOutdatedRecordIsReadBeforeARequestIsSent(t *testing.T) {
	for name, leave := range map[string]func(b *testbed, id string){
		"draining": func(b *testbed, id string) { b.setDraining(id) },
		"gone":     func(b *testbed, id string) { b.view.UpdateServers(map[string]*fleet.Server{id: nil}) },
	} {
		t.Run(name, func(t *testing.T) {
			checks := withOutdatedRecords(t, func(b *testbed, _ context.Context, server string) error {
				time.Sleep(5 * time.Millisecond)
				if server == "m1" {
					leave(b, server)
				}
				return nil
			}, func(b *testbed) {
				outcome := b.forwarder.Serve(context.Background(), request("stream", "m", 5*time.Second), &recorder{})
				Expect(outcome.Code).To(Equal(result.OK))
				Expect(outcome.Attempts).To(Equal(1))
				Expect(b.backend.servers()).To(Equal([]string{"m2"}))
			})
			Expect(checks).To(Equal([]RecordCheck{RecordLeaves, RecordAccepts}))
		})
	}
}

// Guards against refusals because the store does not answer: the request is sent by the old record
// while its caller still waits.
func TestRequestIsSentThoughItsServersRecordCantBeRead(t *testing.T) {
	for name, read := range map[string]func(*testbed, context.Context, string) error{
		"rejected": func(*testbed, context.Context, string) error { return errors.New("rejected") },
		"no answer": func(_ *testbed, ctx context.Context, _ string) error {
			<-ctx.Done()
			return ctx.Err()
		},
	} {
		t.Run(name, func(t *testing.T) {
			checks := withOutdatedRecords(t, read, func(b *testbed) {
				outcome := b.forwarder.Serve(context.Background(), request("once", "", 600*time.Millisecond), &recorder{})
				Expect(outcome.Code).To(Equal(result.OK))
				Expect(outcome.FirstByte).To(BeNumerically("<", 150*time.Millisecond))
			})
			Expect(checks).To(Equal([]RecordCheck{RecordUnread}))
		})
	}
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
