package command

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/table"
)

// forcePollPeriod is how often nodes are asked which revision they act on.
const forcePollPeriod = 500 * time.Millisecond

// awaitForce waits until every live node acts on the revision or a newer one,
// and tells on standard error which nodes are behind.
func awaitForce(command *cobra.Command, client tableClient, revision table.Revision, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(command.Context(), timeout)
	defer cancel()
	ticker := time.NewTicker(forcePollPeriod)
	defer ticker.Stop()
	behind := "no node answered"
	for {
		force, err := client.force(ctx, revision)
		switch {
		case err == nil && force.InForce:
			return nil
		case err == nil:
			behind = membersBehind(force, revision)
		case ctx.Err() == nil:
			behind = err.Error()
		}
		fmt.Fprintf(command.ErrOrStderr(), "waiting for revision %d: %s\n", revision, behind)
		select {
		case <-ctx.Done():
			return fmt.Errorf("revision %d is accepted, but not in force everywhere after %s: %s", revision, timeout, behind)
		case <-ticker.C:
		}
	}
}

func membersBehind(force api.RevisionStatus, revision table.Revision) string {
	var names []string
	for _, member := range force.Members {
		if member.Revision < revision {
			names = append(names, fmt.Sprintf("%s at %d", member.Name, member.Revision))
		}
	}
	if len(names) == 0 {
		return "not every node has answered"
	}
	return strings.Join(names, ", ")
}
