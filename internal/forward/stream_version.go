package forward

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/result"
)

// A stream belongs to the software version of the server that began it: what servers of two versions
// generate does not fit together, and a server does not check which version began the stream that it
// is asked to resume.

// bindVersion records the software version that began the stream.
func (fl *flow) bindVersion(version string) { fl.version.CompareAndSwap(nil, &version) }

// continuesStream reports whether a server has the software version that began the stream; true for a
// stream that has not begun.
func continuesStream(flow *flow, server *fleet.Server, _ *serverLoad, _ time.Time) bool {
	version := flow.version.Load()
	return version == nil || *version == server.SoftwareVersion
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
