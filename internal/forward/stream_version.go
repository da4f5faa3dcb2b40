package forward

import (
	"context"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/streamorigin"
)

// A stream belongs to the software version of the server that began it: what servers of two versions
// generate does not fit together, and a server does not check which version began the stream that it
// is asked to resume.

// StreamOrigins keeps the pools and software versions of the servers at which streams began, for all nodes.
type StreamOrigins interface {
	// Begin records the origin of the stream whose first event is passed on for the request with the ID, and
	// is called again while the stream is relayed. With share, other nodes learn it in any case.
	Begin(request string, origin streamorigin.Origin, share bool)
	// Find returns the origin of such a stream, which the pool is to resume; without a pool, any server
	// may continue it. With severalPools, it may have begun in another one. The wait is limited.
	Find(ctx context.Context, request, pool string, severalPools bool) (streamorigin.Origin, streamorigin.Finding)
	// Settled returns the versions of a pool that every node with current records knows.
	Settled(pool string) []string
}

// noOrigins is for nodes on their own.
type noOrigins struct{}

func (noOrigins) Begin(string, streamorigin.Origin, bool) {}

func (noOrigins) Find(context.Context, string, string, bool) (streamorigin.Origin, streamorigin.Finding) {
	return streamorigin.Origin{}, streamorigin.SoleVersion
}

func (noOrigins) Settled(string) []string { return nil }

// recordOrigin records where the flow's stream began. A stream that the caller resumes keeps the ID of
// the request that brought its first event.
func (f *Forwarder) recordOrigin(flow *flow, server *fleet.Server) {
	id := flow.request.ID
	if flow.resumesNamed() {
		id = flow.request.Resumes
	}
	f.origins.Begin(id, streamorigin.Origin{Pool: server.Pool, SoftwareVersion: server.SoftwareVersion}, len(flow.route.Targets) > 1)
}

// keepOriginKnown records the origin of the flow's stream over and over while it is relayed: it may outlast
// the retention of origins and the record of its server. The caller must call stop when the request ends.
func (f *Forwarder) keepOriginKnown(ctx context.Context, flow *flow) (stop func() bool) {
	if flow.onBegin == nil {
		return func() bool { return false }
	}
	return time.AfterFunc(streamorigin.RefreshPeriod, func() { f.refreshOrigin(ctx, flow) }).Stop
}

// refreshOrigin records the origin of the flow's stream at intervals until ctx ends.
func (f *Forwarder) refreshOrigin(ctx context.Context, flow *flow) {
	refresh := time.NewTicker(streamorigin.RefreshPeriod)
	defer refresh.Stop()
	for ctx.Err() == nil {
		if server := flow.begunAt.Load(); server != nil {
			f.recordOrigin(flow, server)
		}
		select {
		case <-ctx.Done():
		case <-refresh.C:
		}
	}
}

// resumesNamed reports whether the caller resumes a stream and names the request that began it.
func (fl *flow) resumesNamed() bool { return fl.request.ResumeAfter != "" && fl.request.Resumes != "" }

// bindOrigin binds a stream that the caller resumes to the pool and the software version that began it.
// It returns a refusal if they can't be found out, or if the route no longer leads to the pool.
func (f *Forwarder) bindOrigin(ctx context.Context, flow *flow) *Outcome {
	if !flow.resumesNamed() {
		return nil
	}
	origin, finding := f.origins.Find(ctx, flow.request.Resumes, flow.pool, len(flow.route.Targets) > 1)
	switch {
	case finding == streamorigin.Unknown:
		return flow.refuse(result.NoBackEnd, "the software version that began the stream is not known")
	case origin.Pool == "":
	case !flow.route.LeadsTo(origin.Pool):
		return flow.refuse(result.NoBackEnd, "the route does not lead to the pool that began the stream")
	default:
		flow.pool = origin.Pool
		flow.bindVersion(origin.SoftwareVersion)
	}
	return nil
}

// unknownVersion stands for the version of a stream whose server changed its version while the stream
// began. No server has it.
var unknownVersion = new(string)

// beginStream is called when the first event of a stream is passed on.
func (fl *flow) beginStream(server *fleet.Server) {
	if !fl.hasVersion(server) {
		fl.version.CompareAndSwap(nil, unknownVersion)
		return
	}
	fl.bindVersion(server.SoftwareVersion)
	if fl.onBegin != nil {
		fl.begunAt.Store(server)
		fl.onBegin(server)
	}
}

// hasVersion reports whether the record of a server that was chosen earlier still names its version. A
// server that starts again under its ID may have another.
func (f *Forwarder) hasVersion(server *fleet.Server) bool {
	listed := f.view.Load().Servers[server.ID]
	return listed == nil || listed.SoftwareVersion == server.SoftwareVersion
}

// bindVersion records the software version that began the stream.
func (fl *flow) bindVersion(version string) { fl.version.CompareAndSwap(nil, &version) }

// continuesStream reports whether a server has the software version that began the stream; true for a
// stream that has not begun.
func continuesStream(flow *flow, server *fleet.Server, _ *serverLoad, _ time.Time) bool {
	version := flow.version.Load()
	return version == nil || version != unknownVersion && *version == server.SoftwareVersion
}

// settledVersions returns the versions at whose servers the flow should begin a stream that its caller may
// resume: a node that does not know the others yet would take it for a stream of these. It returns none
// for other requests.
func (f *Forwarder) settledVersions(flow *flow) []string {
	if flow.onBegin == nil || flow.version.Load() != nil {
		return nil
	}
	return f.origins.Settled(flow.pool)
}

// preferSettled removes the candidates without one of the versions if others have one.
func preferSettled(candidates []candidate, settled []string) []candidate {
	unsettled := func(one candidate) bool { return !slices.Contains(settled, one.server.SoftwareVersion) }
	if !slices.ContainsFunc(candidates, func(one candidate) bool { return !unsettled(one) }) {
		return candidates
	}
	return slices.DeleteFunc(candidates, unsettled)
}

// refuseWithoutVersion ends a stream that only servers of another software version could continue: its
// caller may then resume it at another node or begin anew. It returns nil if one of the stream's version
// is reached, if no server has another one, or if the stream has not begun.
func (f *Forwarder) refuseWithoutVersion(flow *flow, found choice) *Outcome {
	if flow.version.Load() == nil {
		return nil
	}
	same, others := false, false
	for server := range f.holders(flow) {
		if continuesStream(flow, server, nil, time.Time{}) {
			same = true
		} else {
			others = true
		}
	}
	unreachable := found.eligible > 0 && found.unreachable == found.eligible
	if !others || same && !unreachable {
		return nil
	}
	return f.giveUp(flow, "no server with the stream's software version", result.BackEndUnreachable)
}
