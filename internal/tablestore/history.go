package tablestore

import (
	"github.com/hatchplank/hatchplank/internal/outside"
)

// History reads the records of accepted edits, newest first, at most limit of
// them (0: all that are kept). done follows the callback contract of package
// outside.
func (s *Store) History(limit int, done func([]HistoryRecord, error)) {
	s.KeyValues.Range(historyPrefix, s.options.Timeout, func(result outside.RangeResult, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		done(decodeHistory(result.KeyValues, limit))
	})
}

func decodeHistory(keyValues []outside.KeyValue, limit int) ([]HistoryRecord, error) {
	if limit <= 0 || limit > len(keyValues) {
		limit = len(keyValues)
	}
	records := make([]HistoryRecord, 0, limit)
	for index := len(keyValues) - 1; len(records) < limit; index-- {
		record, err := decodeRecord[HistoryRecord](keyValues[index].Value)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}
