package command

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/table"
)

// NewStatusCommand returns the command that shows what is loaded, where and
// why, and what waits.
func NewStatusCommand() *cobra.Command {
	var node nodeFlags
	var output string
	command := &cobra.Command{
		Use:   "status",
		Short: "Show what is loaded, where and why, and what waits",
		Long: "Show what one node knows: the rows with their replicas and waiting requests, the\n" +
			"servers' memory, the live nodes, who owns which cell, and the platform's health.\n" +
			"An operator sees the rows of the own tenant.",
		Example: "  hatchplank status --node http://127.0.0.1:8080 --token-file operator.token\n" +
			"  hatchplank status --output json | jq '.rows[] | select(.waiting > 0)'",
		Args: usageArguments(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			return runStatus(command, node, output)
		},
	}
	node.register(command)
	registerOutput(command, &output)
	return command
}

func runStatus(command *cobra.Command, node nodeFlags, output string) error {
	if err := checkOutput(output); err != nil {
		return err
	}
	client, err := node.client()
	if err != nil {
		return err
	}
	status, err := client.Status(command.Context())
	if err != nil {
		return err
	}
	if output == outputJSON {
		return printJSON(command.OutOrStdout(), status)
	}
	return printStatus(command.OutOrStdout(), status, time.Now())
}

// printStatus prints one table a kind of thing.
func printStatus(output io.Writer, status api.Status, now time.Time) error {
	fmt.Fprintf(output, "node %s, table revision %d%s\n", status.Node, status.Revision, suffixIf(status.Draining, ", draining"))
	if len(status.Unreachable) > 0 {
		fmt.Fprintf(output, "no answer, so what they hold is missing: %s\n", strings.Join(status.Unreachable, ", "))
	}
	sections := []struct {
		title  string
		header string
		write  func(io.Writer, api.Status)
	}{
		{"ROWS", "ROW\tTENANT\tREADY\tHELD\tMIN\tMAX\tWAITING\tRUNNING", writeRows},
		{"REPLICAS", "ROW\tSLOT\tSERVER\tZONE\tPHASE\tVERSION\tRUNNING\tQUEUED\tREASON\tLEAVING", writeReplicas},
		{"POOLS", "POOL\tWAITING\tRUNNING", writePools},
		{"SERVERS", "SERVER\tPOOL\tZONE\tCELL\tSTATE\tRESERVED\tMEMORY", writeServers},
		{"NODES", "NAME\tZONE\tADDRESS\tREVISION\tSTATE", writeMembers},
		{"OWNERS", "CELL\tOWNER\tEPOCH", writeOwners},
		{"PLATFORM", "SERVICE\tSTATE\tLAST SUCCESS\tDETAIL", func(output io.Writer, status api.Status) { writePlatform(output, status, now) }},
	}
	for _, section := range sections {
		fmt.Fprintf(output, "\n%s\n", section.title)
		writer := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
		fmt.Fprintln(writer, section.header)
		section.write(writer, status)
		if err := writer.Flush(); err != nil {
			return err
		}
	}
	return nil
}

func writeRows(output io.Writer, status api.Status) {
	for _, row := range status.Rows {
		fmt.Fprintf(output, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", row.Row, row.Tenant, readyReplicas(row),
			len(row.Replicas), row.MinReplicas, row.MaxReplicas, row.Waiting, row.Running)
	}
}

func readyReplicas(row api.RowStatus) int {
	ready := 0
	for _, replica := range row.Replicas {
		if replica.Phase == "ready" {
			ready++
		}
	}
	return ready
}

func writeReplicas(output io.Writer, status api.Status) {
	for _, row := range status.Rows {
		for _, replica := range row.Replicas {
			fmt.Fprintf(output, "%s\t%d\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n",
				row.Row, replica.Slot, replica.Server, replica.Zone, replica.Phase, replica.Version,
				replica.Running, replica.Queued, replica.Reason, replica.Leaving)
		}
	}
}

func writePools(output io.Writer, status api.Status) {
	for _, pool := range status.Pools {
		fmt.Fprintf(output, "%s\t%d\t%d\n", pool.Pool, pool.Waiting, pool.Running)
	}
}

func writeServers(output io.Writer, status api.Status) {
	for _, server := range status.Servers {
		fmt.Fprintf(output, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			server.Server, server.Pool, server.Zone, server.Cell, server.State,
			table.FormatSize(server.ReservedBytes), table.FormatSize(server.MemoryBytes))
	}
}

func writeMembers(output io.Writer, status api.Status) {
	for _, member := range status.Members {
		state := "live"
		if member.Draining {
			state = "draining"
		}
		fmt.Fprintf(output, "%s\t%s\t%s\t%d\t%s\n", member.Name, member.Zone, member.Address, member.Revision, state)
	}
}

func writeOwners(output io.Writer, status api.Status) {
	for _, owner := range status.Owners {
		member := owner.Member
		if owner.Vacant {
			member = "(vacant)"
		}
		fmt.Fprintf(output, "%s\t%s\t%d\n", owner.Cell, member, owner.Epoch)
	}
}

func writePlatform(output io.Writer, status api.Status, now time.Time) {
	for _, service := range status.Platform.Services {
		state := "healthy"
		if !service.Healthy {
			state = "failing"
		}
		fmt.Fprintf(output, "%s\t%s\t%s\t%s\n", service.Service, state, age(service.LastSuccess, now), service.Detail)
	}
}

func age(moment, now time.Time) string {
	if moment.IsZero() {
		return "never"
	}
	return now.Sub(moment).Round(time.Second).String() + " ago"
}

func suffixIf(condition bool, suffix string) string {
	if condition {
		return suffix
	}
	return ""
}
