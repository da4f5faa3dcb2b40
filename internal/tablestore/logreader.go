package tablestore

import "strings"

// DecodeLogEntry decodes a key-value pair if it is an accepted edit of the
// table's log, for those who follow the service's records.
func DecodeLogEntry(key string, value []byte) (LogEntry, bool) {
	if !strings.HasPrefix(key, logPrefix) {
		return LogEntry{}, false
	}
	entry, err := decodeRecord[LogEntry](value)
	return entry, err == nil
}
