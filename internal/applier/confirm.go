package applier

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// adoption is a server in an incarnation.
type adoption struct {
	server      *serverEntry
	incarnation outside.Incarnation
}

// confirmLocked asks whether the epoch is still current for all servers that
// were adopted since it was asked last.
func (o *Owner) confirmLocked(now time.Time) {
	if o.config.Confirmer == nil || o.confirming || now.Before(o.nextConfirm) {
		return
	}
	var adoptions []adoption
	for _, server := range o.servers {
		if server.adopted && !server.confirmed {
			adoptions = append(adoptions, adoption{server, server.incarnation})
		}
	}
	if len(adoptions) == 0 {
		return
	}
	o.confirming = true
	o.config.Confirmer.Confirm(o.cell, o.epoch, func(current bool, err error) { o.confirmDone(adoptions, current, err) })
}

func (o *Owner) confirmDone(adoptions []adoption, current bool, err error) {
	o.mutex.Lock()
	released := o.confirmDoneLocked(adoptions, current, err)
	o.mutex.Unlock()
	if released != nil {
		released()
	}
}

func (o *Owner) confirmDoneLocked(adoptions []adoption, current bool, err error) (released func()) {
	o.confirming = false
	if o.ended {
		return nil
	}
	if err != nil {
		o.nextConfirm = o.config.Clock.Now().Add(o.backoff(o.config.Intervals.RetryMin, o.config.Intervals.RetryMax, 3))
		o.logger.Warn().Err(err).Str("reason", "epoch_unconfirmed").Msg("adopted servers are not used yet")
		return nil
	}
	if !current {
		return o.endLocked("superseded")
	}
	for _, adopted := range adoptions {
		if adopted.server.adopted && adopted.server.incarnation == adopted.incarnation {
			adopted.server.confirmed = true
		}
	}
	o.wakeLocked()
	return nil
}

// keyValueConfirmer reads the cell's ownership record.
type keyValueConfirmer struct {
	service outside.KeyValueService
	timeout time.Duration
}

// NewKeyValueConfirmer returns a Confirmer that reads membership's records.
func NewKeyValueConfirmer(service outside.KeyValueService, timeout time.Duration) Confirmer {
	return &keyValueConfirmer{service: service, timeout: timeout}
}

// Confirm implements Confirmer by a linearizable read.
func (c *keyValueConfirmer) Confirm(cell string, epoch uint64, done func(bool, error)) {
	key := membership.CellPrefix + cell
	c.service.Range(key, c.timeout, func(result outside.RangeResult, err error) {
		if err != nil {
			done(false, eris.Wrap(err, "read ownership"))
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
				done(false, eris.Wrap(err, "decode ownership"))
				return
			}
			done(record.Epoch == epoch && !record.Vacant, nil)
			return
		}
		done(false, eris.Errorf("no ownership record of cell %s", cell))
	})
}
