package claims

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
)

func isNotApplied(err error) bool { return errors.Is(err, outside.ErrNotApplied) }

// sealCollector collects the entries of the old acceptors, one list per acceptor.
type sealCollector struct {
	reconfiguration *reconfiguration

	mutex     sync.Mutex
	failed    int
	collected [][]KeyRecord
}

// sealAll seals all old acceptors; a seal quorum is enough to proceed.
func (r *reconfiguration) sealAll() {
	collector := &sealCollector{reconfiguration: r}
	for _, acceptor := range r.current.Acceptors {
		collector.requestPage(acceptor, 0, nil)
	}
}

// requestPage requests one page of an acceptor's entries, then the following ones.
func (c *sealCollector) requestPage(acceptor membership.Member, page int, previous []KeyRecord) {
	r := c.reconfiguration
	request := SealRequest{Configuration: r.current.id(r.shard), Token: r.token, Page: page}
	r.set.config.Transport.Call(acceptor.PeerAddress, request, r.set.config.CallTimeout,
		func(message peer.Message, err error) {
			reply, ok := message.(SealReply)
			if err != nil || !ok || !reply.OK {
				c.acceptorDone(nil, false)
				return
			}
			entries := append(previous, reply.Entries...)
			if reply.More {
				c.requestPage(acceptor, page+1, entries)
				return
			}
			c.acceptorDone(entries, true)
		})
}

// acceptorDone counts an acceptor's result. It waits for all acceptors, not just for a seal quorum,
// since each further list leaves fewer keys contested.
func (c *sealCollector) acceptorDone(entries []KeyRecord, ok bool) {
	c.mutex.Lock()
	if ok {
		c.collected = append(c.collected, entries)
	} else {
		c.failed++
	}
	allReplied := len(c.collected)+c.failed == len(c.reconfiguration.current.Acceptors)
	collected := c.collected
	c.mutex.Unlock()
	if allReplied {
		c.reconfiguration.onSealed(collected)
	}
}

// onSealed installs the merged entries if a seal quorum was collected. If the votes are lost for good,
// it installs what was collected and quarantines the shard; otherwise it unseals the acceptors.
func (r *reconfiguration) onSealed(collected [][]KeyRecord) {
	if len(collected) >= r.current.sealQuorum() {
		r.entries = mergeEntries(collected, r.current)
		r.next.QuarantineUntil = r.current.QuarantineUntil
		r.installAll()
		return
	}
	if r.votesLost() {
		r.entries = mergeEntries(collected, r.current)
		r.next.QuarantineUntil = r.set.config.Clock.Now().Add(r.set.config.Quarantine)
		r.set.config.Logger.Error().Int("shard", r.shard).Uint64("epoch", r.next.Epoch).
			Time("quarantine_until", r.next.QuarantineUntil).Msg("claim shard lost its votes")
		r.installAll()
		return
	}
	r.unsealAll()
	r.finish("too few acceptors could be sealed")
}

// votesLost reports whether fewer of the acceptors than a seal quorum have been members for at least
// lossGracePeriod. The votes of acceptors that are no longer members cannot be recovered.
func (r *reconfiguration) votesLost() bool {
	members := r.set.config.Members.Members()
	remaining := 0
	for _, acceptor := range r.current.Acceptors {
		if slices.ContainsFunc(members, func(m membership.Member) bool { return m.ID() == acceptor.ID() }) {
			remaining++
		}
	}
	now := r.set.config.Clock.Now()
	r.set.reconfigurationMutex.Lock()
	defer r.set.reconfigurationMutex.Unlock()
	state := &r.set.reconfigurations[r.shard]
	if remaining >= r.current.sealQuorum() {
		state.unreachableSince = time.Time{}
		return false
	}
	if state.unreachableSince.IsZero() {
		state.unreachableSince = now
	}
	return now.Sub(state.unreachableSince) >= lossGracePeriod
}

// unsealAll lets the old acceptors resume voting after a proposal that was certainly not committed.
func (r *reconfiguration) unsealAll() {
	request := UnsealRequest{Configuration: r.current.id(r.shard), Token: r.token}
	for _, acceptor := range r.current.Acceptors {
		r.set.config.Transport.Send(acceptor.PeerAddress, request)
	}
}

// installAll transfers the entries to the new acceptors, all of which must accept them, or to the
// key-value service if there are no acceptors. Then it commits the new configuration.
func (r *reconfiguration) installAll() {
	if len(r.next.Acceptors) == 0 {
		r.writeSnapshot(0)
		return
	}
	remaining := &countdown{left: len(r.next.Acceptors), done: func(ok bool) {
		if ok {
			r.commit()
			return
		}
		r.unsealAll()
		r.finish("an acceptor did not accept the entries")
	}}
	for _, acceptor := range r.next.Acceptors {
		r.installPage(acceptor, 0, remaining)
	}
}

// installPage transfers one page of the entries to an acceptor, then the following ones.
func (r *reconfiguration) installPage(acceptor membership.Member, page int, remaining *countdown) {
	entries, last := pageOf(r.entries, page)
	request := InstallRequest{
		Configuration: r.next.id(r.shard), Page: page, Last: last,
		Entries: entries, QuarantineUntil: r.next.QuarantineUntil,
	}
	r.set.config.Transport.Call(acceptor.PeerAddress, request, r.set.config.CallTimeout,
		func(message peer.Message, err error) {
			acknowledgement, ok := message.(Acknowledgement)
			switch {
			case err != nil || !ok || !acknowledgement.OK:
				remaining.report(false)
			case last:
				remaining.report(true)
			default:
				r.installPage(acceptor, page+1, remaining)
			}
		})
}

// pageOf returns one page of the entries, counted from 0, and whether it is the last.
func pageOf(entries []KeyRecord, page int) (part []KeyRecord, last bool) {
	first := min(page*maxPageEntries, len(entries))
	end := min(first+maxPageEntries, len(entries))
	return entries[first:end], end == len(entries)
}

// countdown calls done after a number of results, with whether all were successes.
type countdown struct {
	mutex  sync.Mutex
	left   int
	failed bool
	done   func(ok bool)
}

// report counts one result.
func (c *countdown) report(ok bool) {
	c.mutex.Lock()
	c.left--
	c.failed = c.failed || !ok
	finished := c.left == 0
	failed := c.failed
	c.mutex.Unlock()
	if finished {
		c.done(!failed)
	}
}

// writeSnapshot writes the shard's entries to the key-value service, page by page, when the last node
// shuts down. The pages' keys contain the proposal's token, so that writing a page again overwrites
// only the same page.
func (r *reconfiguration) writeSnapshot(page int) {
	entries, last := pageOf(r.entries, page)
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(entries); err != nil {
		r.unsealAll()
		r.finish("entries cannot be encoded")
		return
	}
	put := outside.Operation{Kind: outside.OperationPut, Key: snapshotKey(r.shard, r.token, page), Value: buffer.Bytes()}
	r.set.config.KeyValues.Transact(outside.Transaction{Operations: []outside.Operation{put}}, keyValueTimeout,
		func(_ outside.TransactionResult, err error) {
			switch {
			case err != nil:
				r.unsealAll()
				r.finish(fmt.Sprintf("page %d not written", page))
			case last:
				r.next.SnapshotPages = page + 1
				r.commit()
			default:
				r.writeSnapshot(page + 1)
			}
		})
}

// readSnapshot reads the shard's entries from the snapshot and installs them at the new acceptors.
func (r *reconfiguration) readSnapshot() {
	prefix := snapshotPrefix(r.shard, r.current.Token)
	r.set.config.KeyValues.Range(prefix, keyValueTimeout, func(result outside.RangeResult, err error) {
		if err != nil || len(result.KeyValues) != r.current.SnapshotPages {
			r.finish("snapshot cannot be read")
			return
		}
		for _, pair := range result.KeyValues {
			var entries []KeyRecord
			if err := gob.NewDecoder(bytes.NewReader(pair.Value)).Decode(&entries); err != nil {
				r.finish("snapshot cannot be decoded")
				return
			}
			r.entries = append(r.entries, entries...)
		}
		r.next.QuarantineUntil = r.current.QuarantineUntil
		r.installAll()
	})
}
