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

// routable reports whether gateways are sent the replica as an endpoint. Draining replicas are sent
// as well, marked as such.
func (o *Owner) routable(server *serverEntry, entry *replicaEntry) bool {
	return entry.Phase == outside.ReplicaReady && server.adopted && !server.unreachable()
}

// endpointsOf returns a model's endpoints, sorted by server, with its planning status.
func (o *Owner) endpointsOf(model string) directory.RowEndpoints {
	endpoints := directory.RowEndpoints{Model: model, Gateways: o.activeGateways[model]}
	for _, server := range o.servers {
		entry := server.replica(model)
		if entry == nil || !o.routable(server, entry) {
			continue
		}
		endpoints.Endpoints = append(endpoints.Endpoints, o.endpoint(server, entry))
	}
	plan, planned := o.rowPlans[model]
	switch {
	case planned:
		endpoints.ReadyAt = plan.ReadyAt
		endpoints.Refused = plan.Refused
	case o.listingFresh && o.hasRowPlans():
		endpoints.Refused = refusedUnknownRow
	}
	endpoints.Digest = digestOf(&endpoints)
	return endpoints
}

// digestOf returns a hash of all that gateways act on except the load; it is never 0. Of the number
// of active gateways only the power of two counts, since the number changes with every request.
func digestOf(row *directory.RowEndpoints) uint64 {
	buffer := make([]byte, 0, digestBytesPerEndpoint*(1+len(row.Endpoints)))
	for i := range row.Endpoints {
		endpoint := &row.Endpoints[i]
		buffer = appendString(buffer, string(endpoint.Server))
		buffer = appendString(buffer, endpoint.Version)
		buffer = binary.AppendVarint(buffer, int64(endpoint.Slot))
		buffer = binary.AppendVarint(buffer, int64(endpoint.MaxBatch))
		buffer = strconv.AppendBool(buffer, endpoint.Draining)
		buffer = binary.AppendVarint(buffer, int64(len(endpoint.Adapters)))
		for _, adapter := range endpoint.Adapters {
			buffer = appendString(buffer, adapter)
		}
	}
	buffer = binary.AppendVarint(buffer, row.ReadyAt.UnixNano())
	buffer = appendString(buffer, row.Refused)
	buffer = binary.AppendVarint(buffer, int64(bits.Len(uint(row.Gateways))))
	return max(1, xxhash.Sum64(buffer))
}

// digestBytesPerEndpoint is the approximate encoded size of one endpoint.
const digestBytesPerEndpoint = 64

// appendString appends a string prefixed with its length, so that different lists have different
// encodings.
func appendString(buffer []byte, value string) []byte {
	buffer = binary.AppendVarint(buffer, int64(len(value)))
	return append(buffer, value...)
}

// refusedUnknownRow is the refusal of models that are not in the owner's table.
const refusedUnknownRow = "no_such_model"

// hasRowPlans reports whether a plan with rows was made.
func (o *Owner) hasRowPlans() bool { return len(o.rowPlans) > 0 }

// endpoint describes a replica as gateways are sent it, with the adapters that are ready.
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

// buildUpdate returns an update with the models' endpoints for a gateway, and records that the
// gateway has them.
func (o *Owner) buildUpdate(gateway *gatewayEntry, models []string, now time.Time) directory.EndpointUpdate {
	o.updateSequence++
	update := directory.EndpointUpdate{
		Cell: o.cell, Epoch: o.epoch, Sequence: o.updateSequence, Revision: o.revision,
		Rows: make([]directory.RowEndpoints, 0, len(models)),
	}
	for _, model := range models {
		update.Rows = append(update.Rows, o.endpointsOf(model))
		gateway.cachedAt[model] = now
		gateway.loadSentAt[model] = now
	}
	return update
}

// pushChangesLocked sends the endpoints of changed models to the gateways interested in them. It
// must be called with the lock held.
func (o *Owner) pushChangesLocked(now time.Time) {
	if len(o.changedModels) == 0 {
		return
	}
	changed := slices.Sorted(maps.Keys(o.changedModels))
	clear(o.changedModels)
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

// interested reports whether changes of the model's endpoints are sent to the gateway: it had
// demand for the model within InterestExpiry, or it may have cached endpoints of which one is
// draining.
func (o *Owner) interested(gateway *gatewayEntry, model string, now time.Time) bool {
	if lastDemand, found := gateway.lastDemand[model]; found && now.Sub(lastDemand) < o.config.Intervals.InterestExpiry {
		return true
	}
	_, cached := gateway.cachedAt[model]
	return cached && o.modelDraining(model)
}

// modelDraining reports whether a replica of the model or an adapter on one is draining, or a
// server with a replica is leaving.
func (o *Owner) modelDraining(model string) bool {
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

// push sends a gateway the models' endpoints.
func (o *Owner) push(gateway *gatewayEntry, models []string, now time.Time) {
	update := o.buildUpdate(gateway, models, now)
	o.config.Transport.Call(gateway.address, update, o.config.Intervals.PushTimeout, func(_ peer.Message, err error) {
		o.pushDone(gateway.id, update, err)
	})
}

// pushDone records a gateway's acknowledgement. A failed push is repeated for the models of which
// an endpoint is draining.
func (o *Owner) pushDone(gateway string, update directory.EndpointUpdate, err error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.stopped {
		return
	}
	for _, row := range update.Rows {
		if err != nil {
			if o.modelDraining(row.Model) {
				o.changedModels[row.Model] = true
			}
			continue
		}
		o.acknowledge(gateway, row.Model, update.Sequence)
	}
}
