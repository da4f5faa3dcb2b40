package mirror

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// The configuration and the own keys are confirmed more often than the servers' records: a node
// without a records snapshot, or whose history was dropped, goes on with the records that it has.
// Their age is kept separately, and a server whose record may be too old is looked up by itself
// before anything is sent to it.

const (
	// maxRecordAgeShare of Times.Changes is the maximum age of a record by which a request is sent.
	// The rest is left for connecting to the server.
	maxRecordAgeShare = 0.6
	// recordReadTimeout bounds the read of one record, for which a request waits.
	recordReadTimeout = 200 * time.Millisecond
	// recordRetryPause is how long no record is read after a read failed: a store that rejects this
	// node would delay each request.
	recordRetryPause = time.Second
)

// errRecordsUnavailable reports that calls to the store failed a short time ago.
var errRecordsUnavailable = errors.New("read a server's record: the store does not answer this node")

// recordAges is as of when the servers' records in the view are those of the store. The mirror's
// lock guards it.
type recordAges struct {
	// all is the time as of which all records are known; the zero time: they never were.
	all time.Time
	// single are later times of single servers, by ID.
	single map[string]time.Time
	// reads are the reads of single records in progress, by ID.
	reads map[string]*recordRead
	// failedAt is when a read of a single record failed last.
	failedAt time.Time
}

// recordRead is a read of one record. Its error is set before done is closed.
type recordRead struct {
	done chan struct{}
	err  error
}

func newRecordAges() recordAges {
	return recordAges{single: map[string]time.Time{}, reads: map[string]*recordRead{}}
}

// recordKnownAsOf returns the time as of which the record of a server is known. While changes are
// known to be missing, that is only the time of a read by itself. It must be called with the lock
// held.
func (m *Mirror) recordKnownAsOf(id string) time.Time {
	read, missing := m.ages.single[id], m.partial || m.revision == 0
	if missing || read.After(m.ages.all) {
		return read
	}
	return m.ages.all
}

// showRecords applies records to the view. Those that were read by themselves may be later than
// these, so their times no longer hold. It must be called with the lock held.
func (m *Mirror) showRecords(changes map[string]*fleet.Server) {
	if len(changes) == 0 {
		return
	}
	for id := range changes {
		delete(m.ages.single, id)
	}
	m.releaseHolds(changes)
	m.recordDepartures(changes)
	m.config.View.UpdateServers(changes)
}

// showAllRecords is like showRecords, for the records of all servers.
func (m *Mirror) showAllRecords(servers map[string]*fleet.Server) {
	clear(m.ages.single)
	m.releaseHolds(servers)
	known := m.config.View.Load().Servers
	changes := make(map[string]*fleet.Server, len(known))
	for id := range known {
		changes[id] = servers[id]
	}
	m.recordDepartures(changes)
	m.config.View.ReplaceServers(servers)
}

// confirmRecords records that all records are those of the store as of a time, unless some of them
// are missing. It must be called with the lock held.
func (m *Mirror) confirmRecords(asOf, now time.Time) {
	if m.partial || !asOf.After(m.ages.all) {
		return
	}
	if outdated := now.Sub(m.ages.all) - m.maxRecordAge(); outdated > 0 && !m.ages.all.IsZero() {
		m.config.Logger.Info().Dur("outdated_for_ms", outdated).Int64("revision", m.revision).Msg("server records current again")
	}
	m.ages.all = asOf
	maps.DeleteFunc(m.ages.single, func(_ string, read time.Time) bool { return !read.After(asOf) })
}

// maxRecordAge is the maximum age of a record by which a request is sent.
func (m *Mirror) maxRecordAge() time.Duration { return MaxRecordAge(m.config.Times) }

// MaxRecordAge returns the maximum age of a record by which a request is sent.
func MaxRecordAge(times Times) time.Duration { return share(maxRecordAgeShare, times.Changes) }

// RecordsAge returns the age of the servers' records, in the sense of Outdated; false if they were
// never all known.
func (m *Mirror) RecordsAge() (time.Duration, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return time.Since(m.ages.all), !m.ages.all.IsZero()
}

// Outdated reports whether the server may have announced that it leaves, longer ago than this node
// may take to act on it.
func (m *Mirror) Outdated(id string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return time.Since(m.recordKnownAsOf(id)) > m.maxRecordAge()
}

// ReadRecord reads the record of one server from the store and applies it to the view. Concurrent
// calls for a server share one read. It fails if the store does not answer in recordReadTimeout or
// before ctx ends; and at once for recordRetryPause after that, and while other calls to the store
// fail.
func (m *Mirror) ReadRecord(ctx context.Context, id string) error {
	m.mutex.Lock()
	read, inProgress := m.ages.reads[id]
	if !inProgress {
		if m.storeUnavailable || time.Since(m.ages.failedAt) < recordRetryPause {
			m.mutex.Unlock()
			return errRecordsUnavailable
		}
		read = &recordRead{done: make(chan struct{})}
		m.ages.reads[id] = read
		go m.readRecord(id, read)
	}
	m.mutex.Unlock()
	select {
	case <-read.done:
		return read.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readRecord reads the record of one server. It does not end with the request that began it, for
// which others may wait too.
func (m *Mirror) readRecord(id string, read *recordRead) {
	defer close(read.done)
	ctx, cancel := context.WithTimeout(context.Background(), recordReadTimeout)
	defer cancel()
	asked := time.Now()
	changes, err := m.config.Source.Record(ctx, id)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.ages.reads, id)
	if errors.Is(err, ErrRejected) {
		changes.Servers, err = m.lastRecord(id, changes.Rejected), nil
	}
	if err != nil {
		read.err, m.ages.failedAt = err, time.Now()
		return
	}
	m.applyRecord(id, changes, asked)
}

// applyRecord applies a read of one server's record to the view, unless a later change is known.
// The state that is passed on to others stays as it is, since it is complete up to a revision only
// without such single records. It must be called with the lock held.
func (m *Mirror) applyRecord(id string, read Changes, asOf time.Time) {
	if max(m.state.servers[id].revision, m.state.rejected[id].revision, m.state.removed[id]) > read.At {
		return
	}
	m.releaseHolds(read.Servers)
	before, server := m.config.View.Record(id), read.Servers[id]
	if !changesRouting(before, server) {
		m.ages.single[id] = asOf
		return
	}
	visible := m.visibleChanges(map[string]*fleet.Server{id: server}, time.Now())
	m.logServers(visible, read.At)
	m.showRecords(visible)
	m.ages.single[id] = asOf
}
