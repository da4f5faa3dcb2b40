package tablestore

import (
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/table"
)

// PushMessage carries accepted edits that are new to the sender.
type PushMessage struct {
	// Sender is the peer address to ask for what is missing.
	Sender string
	// Entries in order of revision, without gaps.
	Entries []LogEntry
}

// PullRequest asks for all that is newer than the sender's revision.
type PullRequest struct {
	Sender   string
	Revision table.Revision
}

// PullReply answers a PullRequest: with entries that follow the revision
// asked from, or with a snapshot, or with neither if nothing is newer.
type PullReply struct {
	// Revision of the answering node.
	Revision table.Revision
	// Loaded: the answering node has read the table at least once.
	Loaded  bool
	Entries []LogEntry
	// HasSnapshot: Rows are the whole table at Revision.
	HasSnapshot bool
	Rows        []table.Row
}

// RevisionRequest asks which revision a node acts on.
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
