package tablestore

import "strings"

// DecodeLogEntry decodes a key-value pair of the table's log, for callers that
// watch the key-value service themselves. It returns false for other keys and
// for values that can't be decoded.
func DecodeLogEntry(key string, value []byte) (LogEntry, bool) {
	if !strings.HasPrefix(key, logPrefix) {
		return LogEntry{}, false
	}
	entry, err := decodeRecord[LogEntry](value)
	return entry, err == nil
}
