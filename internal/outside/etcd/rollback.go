package etcd

import (
	"sync"

	"github.com/rs/zerolog"
)

// rollbackDetector detects a rollback of the service to an earlier state, as after a restore
// from a backup under running nodes. The service must not roll back, because it stores the
// epochs of owners, cells and claims. The response of a linearizable call has a revision not
// below that of any response received before the call started; a lower one is a rollback.
type rollbackDetector struct {
	logger zerolog.Logger

	mutex   sync.Mutex
	highest int64
}

// currentFloor returns the minimum revision of the response to a call that starts now.
func (d *rollbackDetector) currentFloor() (floor int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.highest
}

// observe records the revision of the response to a call that started with the given floor. It
// logs each rollback once.
func (d *rollbackDetector) observe(floor, revision int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if revision >= floor {
		d.highest = max(d.highest, revision)
		return
	}
	if d.highest < floor {
		// Another call has detected this rollback already.
		return
	}
	d.logger.Error().Int64("revision", revision).Int64("revision_before", d.highest).Msg("key-value service went back to an earlier state")
	d.highest = revision
}
