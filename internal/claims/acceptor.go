package claims

import (
	"sort"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// maxPageEntries is the maximum number of entries in one SealReply, InstallRequest or snapshot page.
const maxPageEntries = 500

// acceptor holds this node's votes for the keys of one shard.
type acceptor struct {
	retention  time.Duration
	maxEntries int

	mutex sync.Mutex
	// active is the configuration in which this acceptor votes.
	active ConfigurationID
	// sealTokens holds the tokens of the proposals that sealed this acceptor. While there is one,
	// the acceptor does not vote.
	sealTokens map[string]bool
	// sealedAt is the time of the first of these seals.
	sealedAt time.Time
	// quarantineUntil is the time until which votes for new keys are refused.
	quarantineUntil time.Time
	entries         map[Key]*KeyRecord
	// expiry lists the keys in order of their first vote, oldest first.
	expiry []expiringKey
	// proposed holds configurations that are not known to be committed, by token.
	proposed map[string]*proposal
}

type expiringKey struct {
	key       Key
	claimedAt time.Time
}

// proposal is a configuration that a proposer is installing or has installed here, not known to be
// committed.
type proposal struct {
	configuration   ConfigurationID
	nextPage        int
	complete        bool
	entries         []KeyRecord
	quarantineUntil time.Time
	// installedAt is the time at which the latest page was installed.
	installedAt time.Time
}

func newAcceptor(retention time.Duration, maxEntries int) *acceptor {
	return &acceptor{
		retention:  retention,
		maxEntries: maxEntries,
		sealTokens: map[string]bool{},
		entries:    map[Key]*KeyRecord{},
		proposed:   map[string]*proposal{},
	}
}

// vote records the key for the attempt unless another attempt already holds it. A request that names
// a configuration proves that it is committed: the sender has read it from the key-value service or
// committed it.
func (a *acceptor) vote(request VoteRequest, now time.Time) VoteReply {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.activate(request.Configuration)
	if a.active != request.Configuration || len(a.sealTokens) > 0 {
		return VoteReply{Status: VoteWrongEpoch}
	}
	a.expire(now)
	entry, found := a.entries[request.Key]
	if found {
		return replyFromEntry(entry, request)
	}
	if now.Before(a.quarantineUntil) {
		return VoteReply{Status: VoteQuarantined}
	}
	if len(a.entries) >= a.maxEntries {
		return VoteReply{Status: VoteFull}
	}
	a.insert(KeyRecord{
		Key:       request.Key,
		Digest:    request.Digest,
		Holders:   []outside.AttemptID{request.Attempt},
		ClaimedAt: now,
	})
	return VoteReply{Status: VoteGranted, Holder: request.Attempt}
}

func replyFromEntry(entry *KeyRecord, request VoteRequest) VoteReply {
	reply := VoteReply{Status: VoteHeld, Outcome: entry.Outcome}
	if len(entry.Holders) == 1 {
		reply.Holder = entry.Holders[0]
	}
	switch {
	case entry.Digest != request.Digest:
		return VoteReply{Status: VoteConflict}
	case reply.Holder == request.Attempt:
		reply.Status = VoteGranted
	}
	return reply
}

// record stores an outcome and reports whether it did. Only the attempt that won the key sends one,
// so the outcome also decides a contested key, and a key for which this acceptor has no vote.
func (a *acceptor) record(request RecordRequest, now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.activate(request.Configuration)
	if a.active != request.Configuration || len(a.sealTokens) > 0 {
		return false
	}
	entry, found := a.entries[request.Key]
	if !found {
		a.insert(KeyRecord{Key: request.Key, Digest: request.Digest, ClaimedAt: now})
		entry = a.entries[request.Key]
	}
	outcome := request.Outcome
	entry.Outcome = &outcome
	entry.Holders = []outside.AttemptID{request.Attempt}
	return true
}

// release removes the vote for a claim round that was not won or whose attempt never ran, and reports
// whether there was one.
func (a *acceptor) release(request ReleaseRequest) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.activate(request.Configuration)
	entry, found := a.entries[request.Key]
	if a.active != request.Configuration || len(a.sealTokens) > 0 || !found {
		return false
	}
	if len(entry.Holders) != 1 || entry.Holders[0] != request.Attempt || entry.Outcome != nil {
		return false
	}
	delete(a.entries, request.Key)
	return true
}

// seal stops voting in the configuration and returns one page of the entries, sorted by key.
func (a *acceptor) seal(request SealRequest, now time.Time) SealReply {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.activate(request.Configuration)
	if a.active != request.Configuration {
		return SealReply{}
	}
	if len(a.sealTokens) == 0 {
		a.sealedAt = now
	}
	a.sealTokens[request.Token] = true
	a.expire(now)
	all := a.sortedEntries(now)
	first := min(request.Page*maxPageEntries, len(all))
	last := min(first+maxPageEntries, len(all))
	return SealReply{OK: true, Entries: all[first:last], More: last < len(all)}
}

// unseal removes the seal of one proposal. Voting resumes unless another proposal has sealed the
// acceptor too.
func (a *acceptor) unseal(request UnsealRequest) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.active == request.Configuration {
		delete(a.sealTokens, request.Token)
	}
}

// sortedEntries returns copies of the entries with their ages, sorted by key.
func (a *acceptor) sortedEntries(now time.Time) []KeyRecord {
	all := make([]KeyRecord, 0, len(a.entries))
	for _, entry := range a.entries {
		transferred := *entry
		transferred.Age = now.Sub(entry.ClaimedAt)
		all = append(all, transferred)
	}
	sort.Slice(all, func(i, j int) bool { return lessKey(all[i].Key, all[j].Key) })
	return all
}

func lessKey(a, b Key) bool {
	if a.Tenant != b.Tenant {
		return a.Tenant < b.Tenant
	}
	return a.Value < b.Value
}

// install stores one page of a proposed configuration's entries and reports whether the acceptor
// has that page. Page 0 restarts the transfer; other pages are accepted in order only.
func (a *acceptor) install(request InstallRequest, now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if request.Configuration.Epoch <= a.active.Epoch {
		return request.Configuration == a.active
	}
	pending, found := a.proposed[request.Configuration.Token]
	if !found || request.Page == 0 {
		pending = &proposal{configuration: request.Configuration, quarantineUntil: request.QuarantineUntil}
		a.proposed[request.Configuration.Token] = pending
	}
	if request.Page != pending.nextPage {
		return request.Page < pending.nextPage
	}
	for _, entry := range request.Entries {
		entry.ClaimedAt = now.Add(-entry.Age)
		pending.entries = append(pending.entries, entry)
	}
	pending.nextPage++
	pending.installedAt = now
	pending.complete = request.Last
	return true
}

// activate switches to a committed configuration if it is newer than the active one and all its
// entries have been installed.
func (a *acceptor) activate(committed ConfigurationID) {
	if committed.Epoch <= a.active.Epoch {
		return
	}
	pending, found := a.proposed[committed.Token]
	if !found || !pending.complete || pending.configuration != committed {
		return
	}
	a.active = committed
	a.sealTokens = map[string]bool{}
	a.quarantineUntil = pending.quarantineUntil
	a.entries = make(map[Key]*KeyRecord, len(pending.entries))
	a.expiry = a.expiry[:0]
	a.proposed = map[string]*proposal{}
	sort.Slice(pending.entries, func(i, j int) bool {
		return pending.entries[i].ClaimedAt.Before(pending.entries[j].ClaimedAt)
	})
	for _, entry := range pending.entries {
		a.insert(entry)
	}
}

// observeCommitted activates a configuration that the key-value service holds.
func (a *acceptor) observeCommitted(configuration ConfigurationID) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.activate(configuration)
}

// insert adds an entry. Its first vote must not be older than those of the others, since expire
// deletes keys in the order in which they were inserted.
func (a *acceptor) insert(entry KeyRecord) {
	stored := entry
	a.entries[entry.Key] = &stored
	a.expiry = append(a.expiry, expiringKey{key: entry.Key, claimedAt: entry.ClaimedAt})
}

// expire deletes the keys whose first vote is older than the retention period.
func (a *acceptor) expire(now time.Time) {
	expired := 0
	for expired < len(a.expiry) && now.Sub(a.expiry[expired].claimedAt) > a.retention {
		oldest := a.expiry[expired]
		entry, found := a.entries[oldest.key]
		if found && entry.ClaimedAt.Equal(oldest.claimedAt) {
			delete(a.entries, oldest.key)
		}
		expired++
	}
	a.expiry = a.expiry[expired:]
}

// sealTimedOut reports whether this acceptor has been sealed in the configuration for longer than the
// timeout, so that the proposal that sealed it counts as abandoned.
func (a *acceptor) sealTimedOut(configuration ConfigurationID, timeout time.Duration, now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	sealed := a.active == configuration && len(a.sealTokens) > 0
	return sealed && now.Sub(a.sealedAt) > timeout
}

// aheadOf reports whether this acceptor votes in a configuration newer than the given epoch, or holds
// a proposal for a newer one that may still be committed. If a read of the key-value service that
// began proposalTimeout or more after the latest page was installed here did not return the proposal,
// the proposal is ruled out.
func (a *acceptor) aheadOf(epoch uint64, readStartedAt time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.active.Epoch > epoch {
		return true
	}
	for _, pending := range a.proposed {
		if pending.configuration.Epoch > epoch && readStartedAt.Sub(pending.installedAt) < proposalTimeout {
			return true
		}
	}
	return false
}

// keyCount returns the number of keys that this acceptor holds votes for.
func (a *acceptor) keyCount() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.entries)
}
