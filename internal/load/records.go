package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hatchplank/hatchplank/internal/standin/httpserver"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
	"github.com/hatchplank/hatchplank/internal/standin/record"
	"github.com/hatchplank/hatchplank/internal/table"
	"github.com/hatchplank/hatchplank/internal/tablestore"
)

// recordsTimeout of one read of records.
const recordsTimeout = 30 * time.Second

// RecordSources are the base URLs of the stand-ins whose records are checked.
type RecordSources struct {
	// Servers are machine lists, which give the records of all servers of their
	// process, or single servers.
	Servers []string
	// KeyValue is the key-value service, which gives the table's accepted
	// edits.
	KeyValue string
}

func (s RecordSources) check() error {
	for _, source := range s.Servers {
		if err := CheckTarget(source); err != nil {
			return err
		}
	}
	if s.KeyValue == "" {
		return eris.New("records of servers need the key-value service's records of the table too")
	}
	return CheckTarget(s.KeyValue)
}

// acceptedTable is the table as it was accepted at a time.
type acceptedTable struct {
	at       time.Time
	snapshot *table.Snapshot
}

// serverRecords reads the events of all sources; an event that several of them
// give counts once.
func (s RecordSources) serverRecords(ctx context.Context) ([]record.Event, error) {
	var events []record.Event
	seen := map[record.Event]bool{}
	for _, source := range s.Servers {
		found, err := recordsOf(ctx, source)
		if err != nil {
			return nil, err
		}
		for _, event := range found {
			if !seen[event] {
				seen[event] = true
				events = append(events, event)
			}
		}
	}
	return events, nil
}

func recordsOf(ctx context.Context, source string) ([]record.Event, error) {
	var events []record.Event
	for after := uint64(0); ; after = events[len(events)-1].Sequence {
		var page []record.Event
		err := readRecords(ctx, fmt.Sprintf("%s%s?after=%d", source, httpserver.PathRecords, after), &page)
		if err != nil {
			return nil, err
		}
		if len(page) == 0 {
			return events, nil
		}
		events = append(events, page...)
	}
}

// tables reads every accepted table, in order of revision.
func (s RecordSources) tables(ctx context.Context) ([]acceptedTable, error) {
	var messages []keyvalue.RecordMessage
	if err := readRecords(ctx, s.KeyValue+keyvalue.PathControlRecords, &messages); err != nil {
		return nil, err
	}
	var accepted []acceptedTable
	rows := table.NewSnapshot(0, nil)
	for _, message := range messages {
		for _, event := range message.Events {
			entry, isLog := tablestore.DecodeLogEntry(string(event.KeyValue.Key), event.KeyValue.Value)
			if !isLog {
				continue
			}
			next, err := rows.Apply(entry.Delta)
			if err != nil {
				return nil, eris.Wrap(err, "records of the table")
			}
			rows = next
			accepted = append(accepted, acceptedTable{at: message.Time, snapshot: next})
		}
	}
	return accepted, nil
}

func readRecords(ctx context.Context, address string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return eris.Wrap(err, "records")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "records")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("records: %s answers %s", address, response.Status)
	}
	return eris.Wrap(json.NewDecoder(response.Body).Decode(into), "records")
}
