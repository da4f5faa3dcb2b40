// Package streamorigin keeps the pool and the software version of the servers at which streams began, so
// that a stream that its caller resumes, at any node, continues at servers of the same version. What two
// versions generate does not fit together, and servers do not check it.
//
// The node that passes on a stream's first event keeps its origin. While a pool has servers of several
// versions, it also sends it to two of the counter nodes (see package ratelimit), which all nodes know;
// a node that does not know a stream asks them. As long as a pool has one version, no origin is sent.
//
// The nodes that keep origins for others also save them in the store, for the loss of all nodes.
//
// A stream that no node knows, and that is not saved, goes on only if the pool is shown to have had one version: by a record in
// the store of the versions that the pools had lately, or by a node whose view had no gap.
package streamorigin

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/logging"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
)

const (
	// observePeriod is the interval at which the servers' versions are observed.
	observePeriod = 250 * time.Millisecond
	// sendPeriod is the interval at which origins are sent to other nodes.
	sendPeriod = 20 * time.Millisecond
	// copies is the number of nodes that an origin is sent to.
	copies = 2
	// maxQueued is the maximum number of origins that wait to be sent, and maxPerMessage that of a
	// message. Further ones are kept by this node only.
	maxQueued, maxPerMessage = 1 << 16, 512
	// askTimeout limits the wait for other nodes.
	askTimeout = 150 * time.Millisecond
	// recordsTimeout limits the wait for current records where no node answers, which are looked at
	// every recordsCheckPeriod.
	recordsTimeout, recordsCheckPeriod = 500 * time.Millisecond, 10 * time.Millisecond
	// searchTimeout limits a search, with a read of the origins in the store.
	searchTimeout = askTimeout + recordsTimeout
	// linesPerSecond bounds the log lines about each finding: after the loss of a node, all its callers
	// resume their streams.
	linesPerSecond = 10
)

// Finding is the result of a search for a stream's origin.
type Finding string

// The findings.
const (
	// Known: the origin is known.
	Known Finding = "known"
	// SoleVersion: the origin is not known, but the pool has had one version since before the stream can
	// have begun. The origin has this version; servers of others that join meanwhile are not meant.
	SoleVersion Finding = "irrelevant"
	// Unknown: the origin is not known, and the pool has had several versions or may have had them.
	Unknown Finding = "unknown"
)

// Config of Origins.
type Config struct {
	View      *fleet.View
	Transport peer.Transport
	// Address of this node, and Nodes that keep origins for all.
	Address string
	Nodes   func() []string
	// RecordsAge returns the age of the servers' records in View; false if they were never all known.
	// The records are current up to MaxRecordsAge. nil: they always are.
	RecordsAge    func() (time.Duration, bool)
	MaxRecordsAge time.Duration
	// Store holds, under VersionsKey, the software versions that the pools had within the retention, and
	// Era returns its era; nil: they are not saved.
	Store       outside.KeyValueService
	VersionsKey string
	Era         func() int64
	// OriginsPrefix precedes the keys under which origins are saved in Store; empty: they are not. It must
	// not precede keys that all nodes keep.
	OriginsPrefix string
	Logger        zerolog.Logger
	// OnFind is called with each finding and what it rests on; nil: not called.
	OnFind func(Finding, Basis)
}

// Origins keeps the origins of streams. It is safe for concurrent use.
type Origins struct {
	config   Config
	table    table
	versions versions
	saved    *versionStore
	// savedOrigins are those in the store.
	savedOrigins *originStore
	limiter      *logging.Limiter
	// configuration is the one that was observed last.
	configuration *fleet.Configuration

	mutex sync.Mutex
	// queued origins are sent to other nodes.
	queued map[Key]Origin
}

// New returns Origins; Run must be called to observe versions and to send.
func New(config Config) *Origins {
	if config.OnFind == nil {
		config.OnFind = func(Finding, Basis) {}
	}
	if config.RecordsAge == nil {
		config.RecordsAge = func() (time.Duration, bool) { return 0, true }
	}
	o := &Origins{config: config, saved: newVersionStore(config), savedOrigins: newOriginStore(config), limiter: logging.NewLimiter(linesPerSecond), queued: map[Key]Origin{}}
	o.versions.settleTime = config.MaxRecordsAge
	config.Transport.Handle(Began{}, o.handleBegan)
	config.Transport.Handle(Lookup{}, o.handleLookup)
	return o
}

// Run observes versions and sends origins until ctx ends.
func (o *Origins) Run(ctx context.Context) {
	observe, send := time.NewTicker(observePeriod), time.NewTicker(sendPeriod)
	defer observe.Stop()
	defer send.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-observe.C:
			o.observe(time.Now())
			o.savedOrigins.forgetRead(time.Now())
		case <-send.C:
			o.send()
			o.savedOrigins.save(time.Now())
		}
	}
}

// observe observes the servers' versions and the routes. The streams of pools that have several versions now
// and had not before, or that a route has left, are sent to other nodes; all streams are when the records
// stop being current, as nothing follows from these then.
func (o *Origins) observe(now time.Time) {
	snapshot := o.config.View.Load()
	current, wasCurrent := o.recordsCurrent(), !o.versions.load().currentSince.IsZero()
	pools := append(o.versions.observe(snapshot, o.saved.load(), current, now), o.observeRoutes(snapshot)...)
	if wasCurrent && !current {
		o.enqueue(o.table.where(func(Origin) bool { return true }))
	} else if len(pools) > 0 {
		o.enqueue(o.table.where(func(origin Origin) bool { return slices.Contains(pools, origin.Pool) }))
	}
	if current {
		o.saved.update(o.versions.load(), now)
	}
}

// observeRoutes returns the pools that routes have left since the last call.
func (o *Origins) observeRoutes(snapshot *fleet.Snapshot) []string {
	before := o.configuration
	o.configuration = snapshot.Configuration
	if before == nil || o.configuration == nil || before == o.configuration {
		return nil
	}
	return o.configuration.PoolsLeft(before)
}

// SetNoEarlierProcess is called before Replace if no process used the store before this one started.
func (o *Origins) SetNoEarlierProcess() { o.saved.setNoEarlierProcess() }

// Replace passes all own keys in the store.
func (o *Origins) Replace(keyValues []outside.KeyValue) { o.saved.replace(keyValues) }

// Restored passes all own keys after the store was restored from a backup.
func (o *Origins) Restored(keyValues []outside.KeyValue) {
	o.versions.interrupt()
	o.saved.replace(keyValues)
}

// Change passes one own key that was written or deleted.
func (o *Origins) Change(event outside.WatchEvent) { o.saved.change(event) }

// Settled returns the versions of a pool that every node with current records knows. A stream that begins
// at a server of another one may be resumed at a node that takes it for a stream of these.
func (o *Origins) Settled(pool string) []string { return o.versions.load().settled[pool] }

// RefreshPeriod is the interval at which Begin must be called while a stream is relayed, so that neither
// its origin nor its version is forgotten.
const RefreshPeriod = retention / 2

// Begin records that the first event of a stream was passed on, or that the stream is still relayed;
// request is the ID of the request that the first event was passed on for. With share, other nodes learn
// the origin in any case.
func (o *Origins) Begin(request string, origin Origin, share bool) {
	stream := keyOf(request)
	o.table.put(stream, origin, time.Now())
	o.versions.relay(origin)
	if share || !o.versions.load().isSole(origin) || !o.saved.load().allows(origin) {
		o.enqueue(map[Key]Origin{stream: origin})
	}
}

// Find returns the origin of the stream whose first event was passed on for a request with the ID. It
// asks other nodes if this one does not know the origin: its records may lack a version. With
// severalPools, the stream may have begun in another one: what versions the pool had tells nothing. The
// wait is limited.
func (o *Origins) Find(ctx context.Context, request, pool string, severalPools bool) (Origin, Finding) {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	found := o.orSaved(ctx, keyOf(request), o.search(ctx, keyOf(request), pool, severalPools))
	o.config.OnFind(found.finding, found.basis)
	o.logSearch(request, pool, severalPools, found)
	return found.origin, found.finding
}

// search is the result of a search for a stream's origin.
type search struct {
	origin  Origin
	finding Finding
	basis   Basis
	// versions that the pool is known to have had.
	versions []string
	// asked is the number of nodes that were asked, answered that of the replies that were awaited.
	asked, answered int
}

func (o *Origins) search(ctx context.Context, stream Key, pool string, severalPools bool) search {
	if origin, known := o.table.get(stream); known {
		return search{origin: origin, finding: Known, basis: FromTable}
	}
	found := o.evidence(pool, time.Now())
	found.mixed = severalPools
	nodes := o.others()
	if len(nodes) == 0 {
		return found.conclude(pool)
	}
	began := time.Now()
	replies := o.ask(ctx, nodes, Lookup{Stream: stream, Pool: pool}, found)
	result := search{finding: Unknown, basis: NoBasis, versions: found.versions}
	if len(replies) == 0 {
		// Whether the stream is saved is found out while the records are awaited.
		o.savedOrigins.beginRead()
	}
	switch {
	case len(replies) > 0:
		result = combine(found, replies, pool)
	case o.awaitRecords(ctx, began):
		found = o.evidence(pool, time.Now())
		found.mixed = severalPools
		result = found.conclude(pool)
	}
	result.asked, result.answered = len(nodes), len(replies)
	return result
}

// orSaved returns the result of a search, or the origin that is saved in the store if no node knows it.
func (o *Origins) orSaved(ctx context.Context, stream Key, result search) search {
	if result.finding != Unknown {
		return result
	}
	origin, saved := o.savedOrigins.find(ctx, stream)
	if !saved {
		return result
	}
	o.table.put(stream, origin, time.Now())
	result.origin, result.finding, result.basis = origin, Known, FromStore
	return result
}

// awaitRecords waits until the servers' records are known as of a time, and reports whether they are. Then
// they have every version at whose servers a stream began before, also where no other node answers.
func (o *Origins) awaitRecords(ctx context.Context, asOf time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	check := time.NewTicker(recordsCheckPeriod)
	defer check.Stop()
	for {
		if age, known := o.config.RecordsAge(); known && age <= time.Since(asOf) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-check.C:
		}
	}
}

// combine returns what follows from this node's evidence and the replies of others.
func combine(own evidence, replies []LookupReply, pool string) search {
	for _, reply := range replies {
		if reply.Known {
			origin := Origin{Pool: reply.Pool, SoftwareVersion: reply.SoftwareVersion}
			return search{origin: origin, finding: Known, basis: FromKeeper}
		}
		own = own.withReply(reply)
	}
	return own.conclude(pool)
}

// others returns the other nodes that keep origins.
func (o *Origins) others() []string {
	return slices.DeleteFunc(slices.Clone(o.config.Nodes()), func(node string) bool { return node == o.config.Address })
}

// nodeReply is the reply of a node; nil if it did not answer.
type nodeReply struct {
	node  string
	reply *LookupReply
}

// ask asks the nodes, and returns their replies. It ends once one knows the origin, or once the stream's
// keepers have answered and there is evidence of the pool's versions: the others would hardly know more. A
// node that does not answer, in time or at all, may know the origin: its silence is no evidence.
func (o *Origins) ask(ctx context.Context, nodes []string, lookup Lookup, found evidence) (replies []LookupReply) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	awaited := slices.DeleteFunc(keepers(lookup.Stream, o.config.Nodes()), func(node string) bool { return node == o.config.Address })
	results := make(chan nodeReply, len(nodes))
	for _, node := range nodes {
		o.config.Transport.Call(node, lookup, askTimeout, func(message peer.Message, _ error) {
			if reply, answered := message.(LookupReply); answered {
				results <- nodeReply{node, &reply}
				return
			}
			results <- nodeReply{node, nil}
		})
	}
	for range nodes {
		select {
		case result := <-results:
			if result.reply == nil {
				continue
			}
			replies = append(replies, *result.reply)
			found = found.withReply(*result.reply)
			awaited = slices.DeleteFunc(awaited, func(node string) bool { return node == result.node })
			if result.reply.Known || len(awaited) == 0 && found.basis != NoBasis {
				return replies
			}
		case <-ctx.Done():
			return replies
		}
	}
	return replies
}

func (o *Origins) handleLookup(_ string, message peer.Message, reply func(peer.Message, error)) {
	lookup := message.(Lookup)
	origin, known := o.table.get(lookup.Stream)
	own := o.evidence(lookup.Pool, time.Now())
	reply(LookupReply{
		Known: known, Pool: origin.Pool, SoftwareVersion: origin.SoftwareVersion,
		Mixed: len(own.versions) > 1, Versions: own.versions, Complete: own.basis != NoBasis,
	}, nil)
}

// logSearch writes a line on a search whose result is not from this node's own table.
func (o *Origins) logSearch(request, pool string, severalPools bool, found search) {
	if found.basis == FromTable {
		return
	}
	event := o.limiter.Event(&o.config.Logger, zerolog.InfoLevel, string(found.finding))
	if event == nil {
		return
	}
	if age, known := o.config.RecordsAge(); known {
		event.Dur("records_age_ms", age)
	}
	if since := o.versions.load().currentSince; !since.IsZero() {
		event.Dur("covered_ms", time.Since(since))
	}
	if found.finding != Unknown {
		event.Str("pool_began", found.origin.Pool).Str("software_version", found.origin.SoftwareVersion)
	}
	if severalPools {
		event.Bool("several_pools", true)
	}
	event.Str("request", request).Str("pool", pool).Str("finding", string(found.finding)).Str("basis", string(found.basis)).
		Int("versions", len(found.versions)).Int("asked", found.asked).Int("answered", found.answered).Msg("origin of a resumed stream")
}

func (o *Origins) handleBegan(_ string, message peer.Message, _ func(peer.Message, error)) {
	began := message.(Began)
	now, streams := time.Now(), map[Key]Origin{}
	for _, stream := range began.Streams {
		streams[stream] = Origin{Pool: began.Pool, SoftwareVersion: began.SoftwareVersion}
		o.table.put(stream, streams[stream], now)
	}
	o.savedOrigins.add(streams, now)
}

// enqueue queues origins for other nodes.
func (o *Origins) enqueue(streams map[Key]Origin) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for stream, origin := range streams {
		if len(o.queued) >= maxQueued {
			return
		}
		o.queued[stream] = origin
	}
}

// send sends the queued origins.
func (o *Origins) send() {
	nodes := o.config.Nodes()
	if len(nodes) == 0 {
		return
	}
	o.mutex.Lock()
	queued := o.queued
	o.queued = map[Key]Origin{}
	o.mutex.Unlock()
	type target struct {
		node   string
		origin Origin
	}
	streams, kept := map[target][]Key{}, map[Key]Origin{}
	for stream, origin := range queued {
		for _, node := range keepers(stream, nodes) {
			if node == o.config.Address {
				kept[stream] = origin
				continue
			}
			streams[target{node, origin}] = append(streams[target{node, origin}], stream)
		}
	}
	o.savedOrigins.add(kept, time.Now())
	for to, keys := range streams {
		for part := range slices.Chunk(keys, maxPerMessage) {
			o.config.Transport.Send(to.node, Began{Pool: to.origin.Pool, SoftwareVersion: to.origin.SoftwareVersion, Streams: part})
		}
	}
}

// keepers returns the nodes that keep a stream's origin, by rendezvous hash.
func keepers(stream Key, nodes []string) []string {
	ranked := slices.Clone(nodes)
	weight := func(node string) uint64 { return xxhash.Sum64String(node + string(stream[:])) }
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(weight(b), weight(a)) })
	return ranked[:min(copies, len(ranked))]
}
