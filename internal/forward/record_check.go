package forward

import (
	"context"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// Records tells how current the servers' records in the view are.
type Records interface {
	// Outdated reports whether the server may have announced its shutdown, or have left, so long ago
	// that this node must act on it although it does not know.
	Outdated(server string) bool
	// ReadRecord reads the record of one server from the store and applies it to the view.
	ReadRecord(ctx context.Context, server string) error
	// AwaitDeparture waits until a server, which was seen running at the time, is known to have ended its process
	// as planned. It returns false once that can't be known any more, or when ctx ends.
	AwaitDeparture(ctx context.Context, server fleet.Incarnation, seenRunning time.Time) bool
}

// currentRecords are records that are never outdated.
type currentRecords struct{}

func (currentRecords) Outdated(string) bool { return false }

func (currentRecords) ReadRecord(context.Context, string) error { return nil }

func (currentRecords) AwaitDeparture(context.Context, fleet.Incarnation, time.Time) bool {
	return false
}

// RecordCheck is the outcome of the read of an outdated record.
type RecordCheck string

// The outcomes of reads of outdated records.
const (
	// RecordAccepts: the server takes new work.
	RecordAccepts RecordCheck = "accepts"
	// RecordLeaves: the server shuts down, or is no longer registered.
	RecordLeaves RecordCheck = "leaves"
	// RecordUnread: the store did not return the record; the request is sent by the outdated one.
	RecordUnread RecordCheck = "unread"
)

// recordWaitShare of the time left until the deadline is the longest wait for a record.
const recordWaitShare = 0.2

// updateOutdated reads the record of a server again before a request is sent there, if the one in
// the view is outdated. A node that can't read the store sends by the old record: its servers most
// likely still serve.
func (f *Forwarder) updateOutdated(ctx context.Context, flow *flow, server *fleet.Server) {
	if !f.records.Outdated(server.ID) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(recordWaitShare*float64(time.Until(flow.deadline))))
	defer cancel()
	switch err := f.records.ReadRecord(ctx, server.ID); {
	case err != nil:
		f.onRecordCheck(RecordUnread)
	case f.stillAccepts(server):
		f.onRecordCheck(RecordAccepts)
	default:
		f.onRecordCheck(RecordLeaves)
	}
}
