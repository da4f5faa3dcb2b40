package etcd

import (
	"sync"

	"github.com/rs/zerolog"
)

// rollbackDetector notices that the service went back to an earlier state, as after a restore
// from a backup beneath running nodes. The product relies on that this never happens: epochs
// of owners, cells and claims live there. Calls that are linearizable answer with a revision
// not below that of any answer that came before they began.
type rollbackDetector struct {
	logger zerolog.Logger

	mutex   sync.Mutex
	highest int64
}

// begin returns the revision below which the answer to a call that begins now can't lie.
func (d *rollbackDetector) begin() (floor int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.highest
}

// answered notes the revision of an answer. A rollback is logged once.
func (d *rollbackDetector) answered(floor, revision int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if revision >= floor {
		d.highest = max(d.highest, revision)
		return
	}
	if d.highest < floor {
		// Another call has noticed it.
		return
	}
	d.logger.Error().Int64("revision", revision).Int64("revision_before", d.highest).Msg("key-value service went back to an earlier state")
	d.highest = revision
}
