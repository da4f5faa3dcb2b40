package tablestore

import (
	"errors"
	"fmt"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/table"
)

// Edit is a proposed change of the table.
type Edit struct {
	// Base is the revision that the edit was made on.
	Base table.Revision
	// Changed rows; each is added or replaces the row of its name as a whole.
	Changed []table.Row
	// Removed are names of rows; names that the table lacks are ignored.
	Removed []string
	Author  string
	Comment string
}

// Outcome is the result of a proposal.
type Outcome struct {
	// Code is one of result.OK, result.RevisionConflict, result.InvalidTable,
	// result.StoreUnavailable (the edit was certainly not applied),
	// result.WriteAmbiguous and result.Internal.
	Code result.Code
	// Revision is the accepted revision; after a conflict the present one;
	// after an ambiguous write the one that the edit may have become.
	Revision table.Revision
	// Token is unique to the proposal and is in the log if the edit was applied.
	Token string
	// Problems of an invalid table.
	Problems []table.Problem
	// Concurrent are the edits accepted since the base, after a conflict; empty
	// if this node no longer keeps them all.
	Concurrent []LogEntry
}

// Propose tries to make an edit the next revision. done follows the callback
// contract of package outside; it receives result.OK only once the edit is
// durable. An edit that changes nothing is accepted with the revision of its
// base.
func (s *Store) Propose(edit Edit, done func(Outcome)) {
	s.mutex.Lock()
	s.tokens++
	token := fmt.Sprintf("%s/%d", s.Members.Self().ID(), s.tokens)
	s.mutex.Unlock()
	proposal := &proposal{store: s, edit: edit, token: token, done: done}
	proposal.readHead()
}

// proposal is an edit in progress. It makes one call at a time to the key-value
// service.
type proposal struct {
	store *Store
	edit  Edit
	token string
	done  func(Outcome)

	failures int
	// ambiguous is true after a write whose outcome is unknown.
	ambiguous       bool
	baseModRevision int64
	entry           LogEntry
	transaction     outside.Transaction
}

func (p *proposal) finish(outcome Outcome) {
	outcome.Token = p.token
	p.store.Log.Info().Str("reason", outcome.Code.Name()).Int64("revision", int64(outcome.Revision)).
		Str("author", p.edit.Author).Msg("table edit")
	p.done(outcome)
}

// retry repeats a step after a backoff. After MaxAttempts failures it ends the
// proposal.
func (p *proposal) retry(step func()) {
	p.failures++
	if p.failures < p.store.options.MaxAttempts {
		p.store.Clock.AfterFunc(p.store.backoff(p.failures), step)
		return
	}
	if p.ambiguous {
		p.finish(Outcome{Code: result.WriteAmbiguous, Revision: p.entry.Revision})
		return
	}
	p.finish(Outcome{Code: result.StoreUnavailable, Revision: p.store.Revision()})
}

// rangeHead reads the head record; if there is none, the revision is 0.
func (p *proposal) rangeHead(onError func(), onHead func(head headRecord, modRevision int64)) {
	p.store.KeyValues.Range(headKey, p.store.options.Timeout, func(reading outside.RangeResult, err error) {
		if err != nil {
			onError()
			return
		}
		head, modRevision, err := headOf(reading.KeyValues)
		if err != nil {
			p.store.Log.Error().Err(err).Msg("table head can't be decoded")
			onError()
			return
		}
		onHead(head, modRevision)
	})
}

func headOf(keyValues []outside.KeyValue) (headRecord, int64, error) {
	keyValue, exists := findKey(keyValues, headKey)
	if !exists {
		return headRecord{}, 0, nil
	}
	head, err := decodeRecord[headRecord](keyValue.Value)
	return head, keyValue.ModRevision, err
}

// readHead checks that the edit's base is the present revision.
func (p *proposal) readHead() {
	p.rangeHead(func() { p.retry(p.readHead) }, func(head headRecord, modRevision int64) {
		if head.Entry.Revision != p.edit.Base {
			p.finishConflict(head.Entry.Revision)
			return
		}
		p.baseModRevision = modRevision
		p.store.catchUp.readTo(p.edit.Base, func(err error) {
			if err != nil {
				p.retry(p.readHead)
				return
			}
			p.prepare()
		})
	})
}

// prepare validates the table that the edit leads to and builds the write.
func (p *proposal) prepare() {
	base := p.store.Snapshot()
	if base.Revision() != p.edit.Base {
		p.finishConflict(base.Revision())
		return
	}
	delta := table.Delta{From: base.Revision(), To: base.Revision() + 1, Changed: p.edit.Changed, Removed: p.edit.Removed}
	next, err := base.Apply(delta)
	if err != nil {
		p.finish(Outcome{Code: result.Internal, Revision: base.Revision()})
		return
	}
	if problems := p.store.Validate(next.Rows()); len(problems) > 0 {
		p.finish(Outcome{Code: result.InvalidTable, Revision: base.Revision(), Problems: problems})
		return
	}
	effective := table.Diff(base, next)
	if len(effective.Changed) == 0 && len(effective.Removed) == 0 {
		p.finish(Outcome{Code: result.OK, Revision: base.Revision()})
		return
	}
	p.entry = LogEntry{
		Revision: next.Revision(), Token: p.token, Author: p.edit.Author, Comment: p.edit.Comment,
		Time: p.store.Clock.Now().UTC(), Delta: effective,
	}
	p.transaction, err = buildTransaction(p.entry, next, p.baseModRevision)
	if err != nil {
		p.store.Log.Error().Err(err).Msg("table edit can't be encoded")
		p.finish(Outcome{Code: result.Internal, Revision: base.Revision()})
		return
	}
	p.write()
}

func (p *proposal) write() {
	p.store.KeyValues.Transact(p.transaction, p.store.options.Timeout, func(reply outside.TransactionResult, err error) {
		switch {
		case err == nil && reply.Succeeded:
			p.finishAccepted()
		case err == nil:
			p.resolveFromReply(reply.Current)
		case errors.Is(err, outside.ErrNotApplied) && !p.ambiguous:
			p.retry(p.write)
		case p.store.options.AssumeUnapplied:
			p.finish(Outcome{Code: result.StoreUnavailable, Revision: p.store.Revision()})
		default:
			p.ambiguous = true
			p.retry(p.readBack)
		}
	})
}

func (p *proposal) resolveFromReply(current []outside.KeyValue) {
	head, modRevision, err := headOf(current)
	if err != nil {
		p.retry(p.readBack)
		return
	}
	p.resolveFromHead(head, modRevision)
}

// readBack reads the head to resolve a write whose outcome is unknown.
func (p *proposal) readBack() {
	p.rangeHead(func() { p.retry(p.readBack) }, p.resolveFromHead)
}

// resolveFromHead compares the present head with the write. If the head is
// unchanged, the write has not been applied, but may still arrive: the same
// transaction is repeated, and its compare lets it be applied at most once.
func (p *proposal) resolveFromHead(head headRecord, modRevision int64) {
	switch {
	case head.Entry.Token == p.token:
		p.finishAccepted()
	case modRevision == p.baseModRevision:
		p.retry(p.write)
	case !p.ambiguous:
		p.finishConflict(head.Entry.Revision)
	case head.Entry.Revision > p.entry.Revision:
		p.readLog(head.Entry.Revision)
	default:
		p.finishConflict(head.Entry.Revision)
	}
}

// readLog reads which edit became the revision that this one was proposed as.
// It is used when the head is already newer.
func (p *proposal) readLog(headRevision table.Revision) {
	p.store.KeyValues.Range(logKey(p.entry.Revision), p.store.options.Timeout, func(reading outside.RangeResult, err error) {
		if err != nil {
			p.retry(func() { p.readLog(headRevision) })
			return
		}
		p.resolveFromLog(reading.KeyValues, headRevision)
	})
}

func (p *proposal) resolveFromLog(keyValues []outside.KeyValue, headRevision table.Revision) {
	keyValue, exists := findKey(keyValues, logKey(p.entry.Revision))
	if !exists {
		p.finish(Outcome{Code: result.WriteAmbiguous, Revision: p.entry.Revision})
		return
	}
	entry, err := decodeRecord[LogEntry](keyValue.Value)
	switch {
	case err != nil:
		p.finish(Outcome{Code: result.WriteAmbiguous, Revision: p.entry.Revision})
	case entry.Token == p.token:
		p.finishAccepted()
	default:
		p.finishConflict(headRevision)
	}
}

func (p *proposal) finishAccepted() {
	p.store.applyEntries([]LogEntry{p.entry})
	p.finish(Outcome{Code: result.OK, Revision: p.entry.Revision})
}

// finishConflict ends the proposal with a conflict and the edits accepted since
// its base.
func (p *proposal) finishConflict(headRevision table.Revision) {
	p.store.catchUp.readTo(headRevision, func(error) {
		outcome := Outcome{Code: result.RevisionConflict, Revision: max(headRevision, p.store.Revision())}
		if entries, complete := p.store.replica.since(p.edit.Base); complete {
			outcome.Concurrent = entries
		}
		p.finish(outcome)
	})
}
