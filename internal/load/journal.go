package load

import (
	"sync"
	"time"
)

// tryRecord is one try of a request at one node, as the tool saw it.
type tryRecord struct {
	requestID string
	// node is the host and port that were called.
	node string
	// key of a non-repeatable request; empty otherwise.
	key string
	// sentAt and deadline of the try, and when its outcome came.
	sentAt, deadline, endedAt time.Time
	outcome                   outcome
}

// journal keeps the tries of a run for the checker; safe for concurrent use. A
// nil journal keeps nothing.
type journal struct {
	mutex sync.Mutex
	tries []tryRecord
}

func (j *journal) add(try tryRecord) {
	if j == nil {
		return
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.tries = append(j.tries, try)
}

// all returns the tries that have ended.
func (j *journal) all() []tryRecord {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.tries
}
