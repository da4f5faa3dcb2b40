package tablestore

import (
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/table"
)

// PushMessage carries accepted edits that are new to the sender.
type PushMessage struct {
	// Sender is the peer address from which missing entries can be pulled.
	Sender string
	// Entries are in order of revision, without gaps.
	Entries []LogEntry
}

// PullRequest asks for all that is newer than the sender's revision.
type PullRequest struct {
	// Sender is the peer address of the sender.
	Sender   string
	Revision table.Revision
}

// PullReply answers a PullRequest with the entries after the requested
// revision, or with a snapshot, or with neither if nothing is newer.
type PullReply struct {
	// Revision of the answering node.
	Revision table.Revision
	// Loaded is true if the answering node has read the table at least once.
	Loaded  bool
	Entries []LogEntry
	// HasSnapshot is true if Rows are the whole table at Revision.
	HasSnapshot bool
	Rows        []table.Row
}

// RevisionRequest asks a node which table revision it uses.
type RevisionRequest struct{}

// RevisionReply answers a RevisionRequest.
type RevisionReply struct {
	// Member is the id of the answering node.
	Member   string
	Revision table.Revision
}

func init() {
	peer.RegisterAs("tablestore.PushMessage", PushMessage{})
	peer.RegisterAs("tablestore.PullRequest", PullRequest{})
	peer.RegisterAs("tablestore.PullReply", PullReply{})
	peer.RegisterAs("tablestore.RevisionRequest", RevisionRequest{})
	peer.RegisterAs("tablestore.RevisionReply", RevisionReply{})
}
