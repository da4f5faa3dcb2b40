// Package stand starts a small deployment for the cases of the review: node processes of this
// project, and stand-ins of the platform's store, servers and clients. All addresses are loopback
// addresses.
package stand

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to a file, one event a line, with the time in
// seconds since it was opened.
type Record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, began: time.Now()}, nil
}

// Write adds an event.
func (r *Record) Write(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// Seconds returns a time as seconds since the record was opened.
func (r *Record) Seconds(at time.Time) float64 { return at.Sub(r.began).Seconds() }

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
