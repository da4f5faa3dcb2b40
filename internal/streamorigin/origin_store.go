package streamorigin

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/hatchplank/hatchplank/internal/outside"
)

const (
	// gatherPeriod is how long origins are gathered before a write. Writes that follow each other are
	// limited to saveBurst at once and savesPerSecond.
	gatherPeriod   = 100 * time.Millisecond
	savesPerSecond = 2
	saveBurst      = 4
	// maxPerRecord is the maximum number of streams in a record: some 90 KB.
	maxPerRecord = 4096
	// maxPerLease is the maximum number of streams that are saved under one lease; further ones are not
	// saved until the next lease.
	maxPerLease = 4 * maxPerRecord
	// leaseTime is the time to live of a lease. Records are written under it in its first half.
	leaseTime = 2 * retention
	// maxOriginPause bounds the pause after a write that failed, which doubles.
	maxOriginPause = 4 * time.Second
	// readTimeout bounds a read of all records, for which requests wait, minReadPause is the minimum time
	// between the beginnings of two of them, and readTTL is how long its result is used.
	readTimeout  = 500 * time.Millisecond
	minReadPause = 500 * time.Millisecond
	readTTL      = 5 * time.Second
)

// originRecord is a record in the store: origins that one node keeps. A node writes each origin once, and
// again while the stream lasts; its records expire with their lease.
type originRecord struct {
	Origins []savedOrigin `json:"origins"`
}

// savedOrigin is an origin with the keys of its streams, one after the other.
type savedOrigin struct {
	Pool            string `json:"pool"`
	SoftwareVersion string `json:"software_version"`
	Streams         []byte `json:"streams"`
}

// newOriginRecord returns the record of the streams.
func newOriginRecord(streams map[Key]Origin) originRecord {
	keys := map[Origin][]byte{}
	for stream, origin := range streams {
		keys[origin] = append(keys[origin], stream[:]...)
	}
	var record originRecord
	for origin, streams := range keys {
		record.Origins = append(record.Origins, savedOrigin{Pool: origin.Pool, SoftwareVersion: origin.SoftwareVersion, Streams: streams})
	}
	return record
}

// streams returns the streams of a record.
func (r originRecord) streams() map[Key]Origin {
	streams := map[Key]Origin{}
	for _, saved := range r.Origins {
		origin := Origin{Pool: saved.Pool, SoftwareVersion: saved.SoftwareVersion}
		for keys := saved.Streams; len(keys) >= len(Key{}); keys = keys[len(Key{}):] {
			streams[Key(keys)] = origin
		}
	}
	return streams
}

// originStore saves the origins that this node keeps for all nodes, so that they outlast the loss of all
// nodes, and reads what was saved.
type originStore struct {
	store outside.KeyValueService
	// prefix of the records of all nodes, and ownPrefix of those of this process.
	prefix, ownPrefix string
	logger            zerolog.Logger
	writes            *rate.Limiter

	mutex sync.Mutex
	// unsaved are the streams to be saved, dueAt is when they are: the zero time, if there are none.
	unsaved map[Key]Origin
	dueAt   time.Time
	saving  bool
	// pause after the last write, which failed; zero if it succeeded.
	pause time.Duration
	// lease of the records that are written until leaseEnd, and leased the number of streams in them.
	lease    outside.LeaseID
	leaseEnd time.Time
	leased   int
	// records is the number of records written by this process.
	records int
	// reading is the read in progress, or that is to begin; nil: none. read are the streams of the last
	// one, and readAt is when it began.
	reading *originRead
	read    map[Key]Origin
	readAt  time.Time
}

// originRead is a read of all records. Its result is available before done is closed.
type originRead struct{ done chan struct{} }

// newOriginStore returns a store of origins. A node that starts again writes other keys than before.
func newOriginStore(config Config) *originStore {
	return &originStore{
		store: config.Store, prefix: config.OriginsPrefix, logger: config.Logger,
		ownPrefix: fmt.Sprintf("%s%s/%016x/", config.OriginsPrefix, config.Address, rand.Uint64()),
		writes:    rate.NewLimiter(savesPerSecond, saveBurst), unsaved: map[Key]Origin{},
	}
}

// enabled reports whether origins are saved.
func (s *originStore) enabled() bool { return s.store != nil && s.prefix != "" }

// add queues streams to be saved.
func (s *originStore) add(streams map[Key]Origin, now time.Time) {
	if !s.enabled() || len(streams) == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.queue(streams)
	if s.dueAt.IsZero() {
		s.dueAt = now.Add(gatherPeriod)
	}
}

// queue queues streams as far as there is room. It must be called with the lock held.
func (s *originStore) queue(streams map[Key]Origin) {
	for stream, origin := range streams {
		if len(s.unsaved) >= maxQueued {
			return
		}
		s.unsaved[stream] = origin
	}
}

// save begins to write queued streams if that is due.
func (s *originStore) save(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.unsaved) == 0 || s.saving || now.Before(s.dueAt) || !s.writes.AllowN(now, 1) {
		return
	}
	if now.After(s.leaseEnd) {
		s.saving = true
		go s.store.GrantLease(leaseTime, storeTimeout, func(lease outside.Lease, err error) { s.leaseGranted(now, lease, err) })
		return
	}
	if streams := s.takeUnsaved(); len(streams) > 0 {
		s.write(streams)
	}
}

// takeUnsaved takes the streams of the next record. Those beyond the lease's limit are dropped. It must be
// called with the lock held.
func (s *originStore) takeUnsaved() map[Key]Origin {
	taken := map[Key]Origin{}
	for stream, origin := range s.unsaved {
		if len(taken) >= min(maxPerRecord, maxPerLease-s.leased) {
			break
		}
		taken[stream] = origin
		delete(s.unsaved, stream)
	}
	s.leased += len(taken)
	if s.leased >= maxPerLease && len(s.unsaved) > 0 {
		s.logger.Warn().Int("streams", len(s.unsaved)).Msg("too many origins of streams to save")
		clear(s.unsaved)
	}
	if len(s.unsaved) == 0 {
		s.dueAt = time.Time{}
	}
	return taken
}

// leaseGranted handles the result of asking for the lease of the next records.
func (s *originStore) leaseGranted(asked time.Time, lease outside.Lease, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.saving = false
	if err != nil {
		s.failed(err)
		return
	}
	s.lease, s.leaseEnd, s.leased, s.pause = lease.ID, asked.Add(lease.TimeToLive/2), 0, 0
}

// write writes the next record. It must be called with the lock held.
func (s *originStore) write(streams map[Key]Origin) {
	value, err := json.Marshal(newOriginRecord(streams))
	if err != nil {
		s.logger.Error().Err(err).Msg("origins of streams could not be encoded")
		return
	}
	s.saving = true
	s.records++
	put := outside.Operation{Kind: outside.OperationPut, Key: fmt.Sprintf("%s%d", s.ownPrefix, s.records), Value: value, Lease: s.lease}
	// The store may wait for its share of the calls.
	go s.store.Transact(outside.Transaction{Operations: []outside.Operation{put}}, storeTimeout, func(_ outside.TransactionResult, err error) {
		s.written(streams, err)
	})
}

// written handles the result of a write.
func (s *originStore) written(streams map[Key]Origin, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.saving = false
	if err == nil {
		s.pause = 0
		return
	}
	// The lease may have ended, as in a restore of the store.
	s.leaseEnd = time.Time{}
	s.queue(streams)
	s.failed(err)
}

// failed postpones the next write after one that failed. It must be called with the lock held.
func (s *originStore) failed(err error) {
	s.pause = min(max(2*s.pause, minSavePause), maxOriginPause)
	s.dueAt = time.Now().Add(s.pause)
	s.logger.Warn().Err(err).Int("streams", len(s.unsaved)).Dur("pause_ms", s.pause).Msg("origins of streams not saved yet")
}

// find returns the saved origin of a stream. It reads the records of all nodes; concurrent calls share a
// read. It finds none if the store does not answer before ctx ends.
func (s *originStore) find(ctx context.Context, stream Key) (Origin, bool) {
	if origin, saved := s.lookup(stream); saved {
		return origin, true
	}
	read := s.beginRead()
	if read == nil {
		return Origin{}, false
	}
	select {
	case <-read.done:
	case <-ctx.Done():
	}
	return s.lookup(stream)
}

// lookup returns the origin of a stream if the last read found it.
func (s *originStore) lookup(stream Key) (Origin, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	origin, saved := s.read[stream]
	return origin, saved
}

// beginRead begins to read all records, after a pause if one has just been read, unless a read is in
// progress. It returns nil if origins are not saved.
func (s *originStore) beginRead() *originRead {
	if !s.enabled() {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.reading != nil {
		return s.reading
	}
	read := &originRead{done: make(chan struct{})}
	s.reading = read
	time.AfterFunc(max(time.Until(s.readAt.Add(minReadPause)), 0), func() {
		began := time.Now()
		s.store.Range(s.prefix, readTimeout, func(found outside.RangeResult, err error) { s.readEnded(read, found, began, err) })
	})
	return read
}

// readEnded handles the result of a read.
func (s *originStore) readEnded(read *originRead, found outside.RangeResult, began time.Time, err error) {
	defer close(read.done)
	streams := map[Key]Origin{}
	for _, keyValue := range found.KeyValues {
		var record originRecord
		if failure := json.Unmarshal(keyValue.Value, &record); failure != nil {
			s.logger.Error().Err(failure).Str("key", keyValue.Key).Msg("cannot decode saved origins of streams")
			continue
		}
		maps.Copy(streams, record.streams())
	}
	s.logger.Info().Err(err).Int("records", len(found.KeyValues)).Int("streams", len(streams)).Msg("saved origins of streams read")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reading, s.read, s.readAt = nil, streams, began
}

// forgetRead drops the result of the last read once it is old.
func (s *originStore) forgetRead(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.Sub(s.readAt) > readTTL {
		s.read = nil
	}
}
