package applier

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// adoptedServer is a server and the incarnation in which it was adopted.
type adoptedServer struct {
	server      *serverEntry
	incarnation outside.Incarnation
}

// confirmLocked starts a confirmation of the epoch if servers were adopted that are not confirmed
// yet. One confirmation covers all of them. It must be called with the lock held.
func (o *Owner) confirmLocked(now time.Time) {
	if o.config.Confirmer == nil || o.confirming || now.Before(o.nextConfirm) {
		return
	}
	var adoptions []adoptedServer
	for _, server := range o.servers {
		if server.adopted && !server.confirmed {
			adoptions = append(adoptions, adoptedServer{server, server.incarnation})
		}
	}
	if len(adoptions) == 0 {
		return
	}
	o.confirming = true
	o.config.Confirmer.Confirm(o.cell, o.epoch, func(current bool, err error) { o.confirmDone(adoptions, current, err) })
}

// confirmDone handles the result of a confirmation.
func (o *Owner) confirmDone(adoptions []adoptedServer, current bool, err error) {
	o.mutex.Lock()
	released := o.confirmDoneLocked(adoptions, current, err)
	o.mutex.Unlock()
	if released != nil {
		released()
	}
}

// confirmDoneLocked marks the servers as confirmed if the epoch is current, and otherwise stops the
// owner. The caller must hold the lock, and call released, unless nil, without it.
func (o *Owner) confirmDoneLocked(adoptions []adoptedServer, current bool, err error) (released func()) {
	o.confirming = false
	if o.stopped {
		return nil
	}
	if err != nil {
		o.nextConfirm = o.config.Clock.Now().Add(o.backoff(o.config.Intervals.RetryMin, o.config.Intervals.RetryMax, 3))
		o.logger.Warn().Err(err).Str("reason", "epoch_unconfirmed").Msg("epoch could not be confirmed; adopted servers are not used yet")
		return nil
	}
	if !current {
		return o.stopLocked("superseded")
	}
	for _, adoption := range adoptions {
		if adoption.server.adopted && adoption.server.incarnation == adoption.incarnation {
			adoption.server.confirmed = true
		}
	}
	o.wakeLocked()
	return nil
}

// keyValueConfirmer implements Confirmer by reading the cell's ownership record.
type keyValueConfirmer struct {
	service outside.KeyValueService
	timeout time.Duration
}

// NewKeyValueConfirmer returns a Confirmer that reads the ownership records of package membership.
// The timeout is that of one read.
func NewKeyValueConfirmer(service outside.KeyValueService, timeout time.Duration) Confirmer {
	return &keyValueConfirmer{service: service, timeout: timeout}
}

// Confirm implements Confirmer by a linearizable read.
func (c *keyValueConfirmer) Confirm(cell string, epoch uint64, done func(bool, error)) {
	key := membership.CellPrefix + cell
	c.service.Range(key, c.timeout, func(result outside.RangeResult, err error) {
		if err != nil {
			done(false, eris.Wrap(err, "read ownership record"))
			return
		}
		for _, found := range result.KeyValues {
			if found.Key != key {
				continue
			}
			var record struct {
				Epoch  uint64
				Vacant bool
			}
			if err := json.Unmarshal(found.Value, &record); err != nil {
				done(false, eris.Wrap(err, "decode ownership record"))
				return
			}
			done(record.Epoch == epoch && !record.Vacant, nil)
			return
		}
		done(false, eris.Errorf("no ownership record of cell %s", cell))
	})
}
