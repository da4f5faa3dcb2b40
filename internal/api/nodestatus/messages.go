// Package nodestatus collects the state of a deployment: the node that serves the status call
// queries all nodes for the cells that they own and the requests at their gateways, and merges
// the replies.
package nodestatus

import (
	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/table"
)

// PartRequest queries a node for its part of the status.
type PartRequest struct{}

// PartReply is a node's part of the status.
type PartReply struct {
	// Member is the ID of the replying node.
	Member string
	// Revision of the table that the node uses.
	Revision table.Revision
	// Rows with replicas in cells owned by the node, or with requests at its gateway.
	Rows []api.RowStatus
	// Pools with requests at the node's gateway.
	Pools []api.PoolStatus
	// Servers of the cells owned by the node.
	Servers []api.ServerStatus
}

func init() {
	peer.RegisterAs("nodestatus.PartRequest", PartRequest{})
	peer.RegisterAs("nodestatus.PartReply", PartReply{})
}
