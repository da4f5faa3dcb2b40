package load

import (
	"context"
	"encoding/json"
	"io"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"
)

// Comparison of two runs of the same load at the same time: one through the
// nodes, one directly at an engine.
type Comparison struct {
	ThroughNodes Report `json:"through_nodes"`
	Direct       Report `json:"direct"`
	// AddedFirstChunk and AddedTotal are what each quantile of the times through
	// the nodes is above the direct one.
	AddedFirstChunk Quantiles `json:"added_first_chunk_ms"`
	AddedTotal      Quantiles `json:"added_total_ms"`
}

// Compare sends the load of the options to their nodes and, in the same time
// and at the same rate, to an engine that serves the workload's models.
func Compare(ctx context.Context, options Options, engine string) (Comparison, error) {
	direct := options
	direct.Nodes = []string{engine}
	direct.Seed++
	direct.Progress = nil
	direct.Records = nil
	var comparison Comparison
	runs, ctx := errgroup.WithContext(ctx)
	runs.Go(func() (err error) {
		comparison.ThroughNodes, err = Run(ctx, options)
		return err
	})
	runs.Go(func() (err error) {
		comparison.Direct, err = Run(ctx, direct)
		return err
	})
	if err := runs.Wait(); err != nil {
		return Comparison{}, err
	}
	comparison.AddedFirstChunk = comparison.ThroughNodes.FirstChunk.minus(comparison.Direct.FirstChunk)
	comparison.AddedTotal = comparison.ThroughNodes.Total.minus(comparison.Direct.Total)
	return comparison, nil
}

// Faultless reports whether both runs were faultless and refused nothing, so
// that their times can be compared.
func (c Comparison) Faultless() bool {
	return c.ThroughNodes.Faultless() && c.Direct.Faultless() && c.ThroughNodes.Refused == 0 && c.Direct.Refused == 0
}

// Write prints the comparison as a table and then as one line of JSON.
func (c Comparison) Write(output io.Writer) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	writeLine := newLineWriter(table)
	writeLine("", "through nodes", "direct")
	writeLine("served", c.ThroughNodes.Served, c.Direct.Served)
	writeLine("refused", c.ThroughNodes.Refused, c.Direct.Refused)
	writeLine("unanswered", c.ThroughNodes.Unanswered, c.Direct.Unanswered)
	writeLine("first chunk, ms", c.ThroughNodes.FirstChunk, c.Direct.FirstChunk)
	writeLine("whole answer, ms", c.ThroughNodes.Total, c.Direct.Total)
	writeLine("added to the first chunk, ms", c.AddedFirstChunk)
	writeLine("added to the whole answer, ms", c.AddedTotal)
	if err := table.Flush(); err != nil {
		return err
	}
	return json.NewEncoder(output).Encode(c)
}

func (q Quantiles) minus(other Quantiles) Quantiles {
	return Quantiles{P50: q.P50 - other.P50, P90: q.P90 - other.P90, P99: q.P99 - other.P99, Max: q.Max - other.Max}
}
