package inspect

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Print writes the page as text.
func (p Page) Print(output io.Writer) error {
	fmt.Fprintf(output, "node %s in %s\n", p.Node, p.Zone)
	if p.ConfigurationRevision == 0 {
		fmt.Fprintln(output, "no configuration yet")
	} else {
		fmt.Fprintf(output, "configuration %d of revision %d, %d routes\n", p.ConfigurationVersion, p.ConfigurationRevision, p.Routes)
	}
	fmt.Fprintln(output, p.holderLine())
	writer := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "\nSERVER\tPOOL\tZONE\tSTATE\tMODEL\tADAPTERS\tFOR\tREASON")
	for _, server := range p.Servers {
		server.print(writer)
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	p.printDemand(writer)
	p.printPoison(writer)
	return writer.Flush()
}

func (p Page) printDemand(output io.Writer) {
	if len(p.Demand) == 0 {
		return
	}
	fmt.Fprintln(output, "\nPOOL\tMODEL\tADAPTER\tWAITING\tRUNNING")
	for _, row := range p.Demand {
		fmt.Fprintf(output, "%s\t%s\t%s\t%d\t%d\n", row.Pool, row.Model, row.Adapter, row.Waiting, row.Running)
	}
}

func (p Page) printPoison(output io.Writer) {
	if len(p.Poison) == 0 {
		return
	}
	fmt.Fprintln(output, "\nPOISON REQUEST\tQUARANTINES\tREFUSED FOR\tTRIALS FOR\tCRASHED SERVERS")
	for _, entry := range p.Poison {
		fmt.Fprintf(output, "%s\t%d\t%.0fs\t%.0fs\t%s\n", entry.Identity, entry.Quarantines, entry.RemainingSeconds, entry.TrialSeconds, strings.Join(entry.Servers, ","))
	}
}

// holderLine describes which node is the order holder.
func (p Page) holderLine() string {
	switch {
	case p.IsHolder:
		return "this node orders the model servers"
	case p.Holder == "":
		return "no node is known to order the model servers"
	case p.Relayed:
		return p.Holder + " orders the model servers, and relays the store's state to this node; its own page shows why models were loaded"
	}
	return p.Holder + " orders the model servers, and its own page shows why models were loaded; this node reads the store itself"
}

func (s Server) print(output io.Writer) {
	state := "ready"
	if s.Draining {
		state = "draining"
	}
	line := fmt.Sprintf("%s\t%s\t%s\t%s", s.ID, s.Pool, s.Zone, state)
	if len(s.Replicas) == 0 {
		fmt.Fprintf(output, "%s\t\t\t\t\n", line)
		return
	}
	for _, replica := range s.Replicas {
		age := ""
		if replica.AgeSeconds > 0 {
			age = fmt.Sprintf("%.0fs", replica.AgeSeconds)
		}
		fmt.Fprintf(output, "%s\t%s\t%s\t%s\t%s\n", line, replica.Model, strings.Join(replica.Adapters, ","), age, replica.Reason)
	}
}
