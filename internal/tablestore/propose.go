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
	// Base is the revision that the operator looked at.
	Base table.Revision
	// Changed rows, new or replaced whole.
	Changed []table.Row
	// Removed names; unknown ones are ignored.
	Removed []string
	Author  string
	Comment string
}

// Outcome is what a proposal came to.
type Outcome struct {
	// Code is one of result.OK, result.RevisionConflict, result.InvalidTable,
	// result.StoreUnavailable (proved not applied) and result.WriteAmbiguous.
	Code result.Code
	// Revision is the accepted one; for a conflict the present one; for an
	// ambiguous write the one it may have become.
	Revision table.Revision
	// Token is unique to the proposal and stands in the log if it was applied.
	Token string
	// Problems of an invalid table.
	Problems []table.Problem
	// Concurrent edits accepted since the base, for a conflict; empty if they
	// are not known here any more.
	Concurrent []LogEntry
}

// Propose tries to make an edit the next revision. Done as in package
// platform. Acceptance is told only once it is durable. An edit that changes
// nothing is accepted as its base.
func (s *Store) Propose(edit Edit, done func(Outcome)) {
	s.mutex.Lock()
	s.tokens++
	token := fmt.Sprintf("%s/%d", s.Members.Self().ID(), s.tokens)
	s.mutex.Unlock()
	proposal := &proposal{store: s, edit: edit, token: token, done: done}
	proposal.readHead()
}

// proposal is one edit on its way. It has one call under way at a time.
type proposal struct {
	store *Store
	edit  Edit
	token string
	done  func(Outcome)

	failures int
	// ambiguous: a write was sent whose outcome is not known.
	ambiguous   bool
	baseHead    int64
	entry       LogEntry
	transaction outside.Transaction
}

func (p *proposal) finish(outcome Outcome) {
	outcome.Token = p.token
	p.store.Log.Info().Str("reason", outcome.Code.Name()).Int64("revision", int64(outcome.Revision)).
		Str("author", p.edit.Author).Msg("table edit")
	p.done(outcome)
}

// again repeats a step after a pause, or gives up after too many failures.
func (p *proposal) again(step func()) {
	p.failures++
	if p.failures < p.store.options.MaxAttempts {
		p.store.Clock.AfterFunc(p.store.pause(p.failures), step)
		return
	}
	if p.ambiguous {
		p.finish(Outcome{Code: result.WriteAmbiguous, Revision: p.entry.Revision})
		return
	}
	p.finish(Outcome{Code: result.StoreUnavailable, Revision: p.store.Revision()})
}

// rangeHead reads the head; a missing one is revision 0.
func (p *proposal) rangeHead(onError func(), onHead func(head headRecord, modRevision int64)) {
	p.store.KeyValues.Range(headKey, p.store.options.Timeout, func(reading outside.RangeResult, err error) {
		if err != nil {
			onError()
			return
		}
		head, modRevision, err := headOf(reading.KeyValues)
		if err != nil {
			p.store.Log.Error().Err(err).Msg("unreadable table head")
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

// readHead finds out whether the base is the present revision.
func (p *proposal) readHead() {
	p.rangeHead(func() { p.again(p.readHead) }, func(head headRecord, modRevision int64) {
		if head.Entry.Revision != p.edit.Base {
			p.conflict(head.Entry.Revision)
			return
		}
		p.baseHead = modRevision
		p.store.catchUp.to(p.edit.Base, func(err error) {
			if err != nil {
				p.again(p.readHead)
				return
			}
			p.prepare()
		})
	})
}

// prepare checks the edit against its base and builds the write.
func (p *proposal) prepare() {
	base := p.store.Snapshot()
	if base.Revision() != p.edit.Base {
		p.conflict(base.Revision())
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
	p.transaction, err = buildTransaction(p.entry, next, p.baseHead)
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
			p.accepted()
		case err == nil:
			p.judgeCurrent(reply.Current)
		case errors.Is(err, outside.ErrNotApplied) && !p.ambiguous:
			p.again(p.write)
		case p.store.options.AssumeUnapplied:
			p.finish(Outcome{Code: result.StoreUnavailable, Revision: p.store.Revision()})
		default:
			p.ambiguous = true
			p.again(p.readBack)
		}
	})
}

func (p *proposal) judgeCurrent(current []outside.KeyValue) {
	head, modRevision, err := headOf(current)
	if err != nil {
		p.again(p.readBack)
		return
	}
	p.judge(head, modRevision)
}

// readBack finds out what became of a write whose reply was lost.
func (p *proposal) readBack() {
	p.rangeHead(func() { p.again(p.readBack) }, p.judge)
}

// judge compares the present head with the write. If the head is unchanged the
// write has had no effect, but still may: it is repeated as it is, and takes
// effect once at most.
func (p *proposal) judge(head headRecord, modRevision int64) {
	switch {
	case head.Entry.Token == p.token:
		p.accepted()
	case modRevision == p.baseHead:
		p.again(p.write)
	case !p.ambiguous:
		p.conflict(head.Entry.Revision)
	case head.Entry.Revision > p.entry.Revision:
		p.readLog(head.Entry.Revision)
	default:
		p.conflict(head.Entry.Revision)
	}
}

// readLog finds out whose edit became the revision that this one aimed at.
func (p *proposal) readLog(headRevision table.Revision) {
	p.store.KeyValues.Range(logKey(p.entry.Revision), p.store.options.Timeout, func(reading outside.RangeResult, err error) {
		if err != nil {
			p.again(func() { p.readLog(headRevision) })
			return
		}
		p.judgeLog(reading.KeyValues, headRevision)
	})
}

func (p *proposal) judgeLog(keyValues []outside.KeyValue, headRevision table.Revision) {
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
		p.accepted()
	default:
		p.conflict(headRevision)
	}
}

func (p *proposal) accepted() {
	p.store.take([]LogEntry{p.entry})
	p.finish(Outcome{Code: result.OK, Revision: p.entry.Revision})
}

// conflict names the edits accepted since the base.
func (p *proposal) conflict(headRevision table.Revision) {
	p.store.catchUp.to(headRevision, func(error) {
		outcome := Outcome{Code: result.RevisionConflict, Revision: max(headRevision, p.store.Revision())}
		if entries, complete := p.store.replica.since(p.edit.Base); complete {
			outcome.Concurrent = entries
		}
		p.finish(outcome)
	})
}
