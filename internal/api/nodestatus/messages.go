// Package nodestatus collects the state of a deployment: each node tells what
// it owns and what waits at it, and the node that was asked puts it together.
package nodestatus

import (
	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/table"
)

// PartRequest asks a node for its part of the status.
type PartRequest struct{}

// PartReply is a node's part of the status.
type PartReply struct {
	// Member is the id of the answering node.
	Member   string
	Revision table.Revision
	// Rows with replicas in cells owned by the node, or with requests at it.
	Rows    []api.RowStatus
	Pools   []api.PoolStatus
	Servers []api.ServerStatus
}

func init() {
	peer.RegisterAs("nodestatus.PartRequest", PartRequest{})
	peer.RegisterAs("nodestatus.PartReply", PartReply{})
}
