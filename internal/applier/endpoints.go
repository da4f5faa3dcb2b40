package applier

import (
	"encoding/binary"
	"maps"
	"math/bits"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hatchplank/hatchplank/internal/directory"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
)

// callable replicas are shown to gateways.
func (o *Owner) callable(server *serverEntry, entry *replicaEntry) bool {
	return entry.Phase == outside.ReplicaReady && server.adopted && !server.unreachable()
}

// endpointsOf lists a model's endpoints in order of server.
func (o *Owner) endpointsOf(model string) directory.RowEndpoints {
	endpoints := directory.RowEndpoints{Model: model, Gateways: o.competing[model]}
	for _, server := range o.servers {
		entry := server.replica(model)
		if entry == nil || !o.callable(server, entry) {
			continue
		}
		endpoints.Endpoints = append(endpoints.Endpoints, o.endpoint(server, entry))
	}
	plan, known := o.rowPlans[model]
	switch {
	case known:
		endpoints.ReadyAt = plan.ReadyAt
		endpoints.Refused = plan.Refused
	case o.listed && o.plannedOnce():
		endpoints.Refused = refusedUnknownRow
	}
	endpoints.Digest = digestOf(&endpoints)
	return endpoints
}

// digestOf is a hash of what gateways act on but the load; never 0. The number of
// gateways counts by powers of two, since it changes with every request.
func digestOf(row *directory.RowEndpoints) uint64 {
	text := make([]byte, 0, digestBytes*(1+len(row.Endpoints)))
	for i := range row.Endpoints {
		endpoint := &row.Endpoints[i]
		text = appendWord(text, string(endpoint.Server))
		text = appendWord(text, endpoint.Version)
		text = binary.AppendVarint(text, int64(endpoint.Slot))
		text = binary.AppendVarint(text, int64(endpoint.MaxBatch))
		text = strconv.AppendBool(text, endpoint.Draining)
		text = binary.AppendVarint(text, int64(len(endpoint.Adapters)))
		for _, adapter := range endpoint.Adapters {
			text = appendWord(text, adapter)
		}
	}
	text = binary.AppendVarint(text, row.ReadyAt.UnixNano())
	text = appendWord(text, row.Refused)
	text = binary.AppendVarint(text, int64(bits.Len(uint(row.Gateways))))
	return max(1, xxhash.Sum64(text))
}

// digestBytes is about how long the text of one endpoint is.
const digestBytes = 64

// appendWord adds a word with its length, so that no two lists look alike.
func appendWord(text []byte, word string) []byte {
	text = binary.AppendVarint(text, int64(len(word)))
	return append(text, word...)
}

// refusedUnknownRow is told of models that the owner's table does not have.
const refusedUnknownRow = "no_such_model"

func (o *Owner) plannedOnce() bool { return len(o.rowPlans) > 0 }

func (o *Owner) endpoint(server *serverEntry, entry *replicaEntry) directory.Endpoint {
	endpoint := directory.Endpoint{
		Server: server.id, Zone: server.machine.Zone, Model: entry.Model, Version: entry.Version,
		Slot: entry.Slot, MaxBatch: server.state.MaxBatch,
		Running: entry.Running, Queued: entry.Queued,
		Draining: entry.drain != nil || server.leaving(),
	}
	for _, adapter := range entry.adapters {
		if adapter.Phase == outside.ReplicaReady && adapter.drain == nil {
			endpoint.Adapters = append(endpoint.Adapters, adapter.Adapter)
		}
	}
	return endpoint
}

// updateFor makes an update of models for a gateway.
func (o *Owner) updateFor(gateway *gatewayEntry, models []string, now time.Time) directory.EndpointUpdate {
	o.updateSequence++
	update := directory.EndpointUpdate{
		Cell: o.cell, Epoch: o.epoch, Sequence: o.updateSequence, Revision: o.revision,
		Rows: make([]directory.RowEndpoints, 0, len(models)),
	}
	for _, model := range models {
		update.Rows = append(update.Rows, o.endpointsOf(model))
		gateway.told[model] = now
		gateway.refreshed[model] = now
	}
	return update
}

// pushLocked tells gateways about the models whose endpoints have changed.
func (o *Owner) pushLocked(now time.Time) {
	if len(o.changed) == 0 {
		return
	}
	changed := slices.Sorted(maps.Keys(o.changed))
	clear(o.changed)
	for _, gateway := range o.gateways {
		var models []string
		for _, model := range changed {
			if o.interested(gateway, model, now) {
				models = append(models, model)
			}
		}
		if len(models) > 0 && gateway.address != "" {
			o.push(gateway, models, now)
		}
	}
}

// interested gateways had demand for the model lately, or were told endpoints
// that now drain.
func (o *Owner) interested(gateway *gatewayEntry, model string, now time.Time) bool {
	if at, known := gateway.interest[model]; known && now.Sub(at) < o.config.Intervals.Interest {
		return true
	}
	_, told := gateway.told[model]
	return told && o.drains(model)
}

func (o *Owner) drains(model string) bool {
	for _, server := range o.servers {
		entry := server.replica(model)
		if entry == nil {
			continue
		}
		if entry.drain != nil || server.leaving() {
			return true
		}
		for _, adapter := range entry.adapters {
			if adapter.drain != nil {
				return true
			}
		}
	}
	return false
}

func (o *Owner) push(gateway *gatewayEntry, models []string, now time.Time) {
	update := o.updateFor(gateway, models, now)
	o.config.Transport.Call(gateway.address, update, o.config.Intervals.Push, func(_ peer.Message, err error) {
		o.pushed(gateway.id, update, err)
	})
}

// pushed notes a gateway's acknowledgement; a lost push is sent again while
// something drains.
func (o *Owner) pushed(gateway string, update directory.EndpointUpdate, err error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.ended {
		return
	}
	for _, row := range update.Rows {
		if err != nil {
			if o.drains(row.Model) {
				o.changed[row.Model] = true
			}
			continue
		}
		o.acknowledge(gateway, row.Model, update.Sequence)
	}
}
